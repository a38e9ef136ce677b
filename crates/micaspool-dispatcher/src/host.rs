//! The shards of one dispatcher.

use crate::driver::{start_shard, ShardHandle, ShardInput};
use crate::platform::InstanceList;
use crate::policy_source::PolicySource;
use crate::probe::EndpointProbe;
use micaspool_dispatch::{SessionId, ShardEvent, ShardOptions, ShardStatus};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{Incarnation, RegionName, RequestDigest, ServiceName};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What every shard of a dispatcher shares.
#[derive(Clone)]
pub struct HostOptions {
    /// Limits and times of a shard.
    pub shard: ShardOptions,
    /// Tells one life of the dispatcher from the next.
    pub incarnation: Incarnation,
    /// The region of this dispatcher.
    pub region: RegionName,
    /// Dispatchers of other regions.
    pub remote: Vec<PeerAddress>,
    /// Counts the bytes of the exchange with them.
    pub remote_counter: TrafficCounter,
    /// Where spans go.
    pub spans: SpanSink,
    /// How endpoints are asked for their load.
    pub probe: Arc<dyn EndpointProbe>,
    /// How often endpoints and the platform's list are asked.
    pub probe_interval: Duration,
    /// True when an endpoint that does not answer is left alone for a while. False where routers may
    /// reach endpoints that this dispatcher does not.
    pub reports_unreachable: bool,
    /// The platform's list.
    pub list: Arc<dyn InstanceList>,
}

impl fmt::Debug for HostOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostOptions").field("shard", &self.shard).finish_non_exhaustive()
    }
}

/// Starts a shard when a router first asks for its service.
#[derive(Debug)]
pub struct ShardHost {
    options: HostOptions,
    source: Arc<dyn PolicySource>,
    shards: Mutex<BTreeMap<ServiceName, ShardHandle>>,
    next_session: AtomicU64,
}

impl ShardHost {
    /// A host without shards.
    pub fn new(options: HostOptions, source: Arc<dyn PolicySource>) -> ShardHost {
        ShardHost { options, source, shards: Mutex::default(), next_session: AtomicU64::new(1) }
    }

    /// What every shard shares.
    pub(crate) fn options(&self) -> &HostOptions {
        &self.options
    }

    /// A number for a new stream.
    pub(crate) fn new_session(&self) -> SessionId {
        SessionId(self.next_session.fetch_add(1, Ordering::Relaxed))
    }

    /// The shard of a service, started if need be.
    pub(crate) fn shard(&self, service: &ServiceName) -> ShardHandle {
        let mut shards = self.lock();
        let start = || start_shard(service.clone(), self.options.clone(), self.source.clone());
        shards.entry(service.clone()).or_insert_with(start).clone()
    }

    /// Asks the routers of every shard to go elsewhere.
    pub fn stop(&self) {
        for shard in self.lock().values() {
            let _ = shard.inputs.try_send(ShardInput::Event(ShardEvent::Stop));
        }
    }

    /// Holds nothing against a request any more; gives the services where something was held.
    pub fn lift(&self, digest: RequestDigest) -> Vec<ServiceName> {
        let is_suspect =
            |status: &ShardStatus| status.suspects.iter().any(|suspect| suspect.record.digest == digest);
        let services = self.statuses().into_iter().filter(|(_, status)| is_suspect(status));
        let services = services.map(|(service, _)| service).collect();
        for shard in self.lock().values() {
            let _ = shard.inputs.try_send(ShardInput::Event(ShardEvent::Lift(digest)));
        }
        services
    }

    /// The state of every shard.
    pub fn statuses(&self) -> Vec<(ServiceName, ShardStatus)> {
        let shards = self.lock();
        let status =
            |shard: &ShardHandle| shard.status.lock().expect("no holder of the status panics").clone();
        shards.iter().map(|(service, shard)| (service.clone(), status(shard))).collect()
    }

    /// The shard of a service, when routers use it.
    pub(crate) fn used_shard(&self, service: &ServiceName) -> Option<ShardHandle> {
        let shard = self.lock().get(service).cloned()?;
        shard.is_used().then_some(shard)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<ServiceName, ShardHandle>> {
        self.shards.lock().expect("no holder of the shards panics")
    }
}
