//! Starts and holds the shards of one dispatcher.

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

/// Options shared by all shards of a dispatcher.
#[derive(Clone)]
pub struct HostOptions {
    /// The options of the shard core.
    pub shard: ShardOptions,
    /// Distinguishes restarts of the dispatcher.
    pub incarnation: Incarnation,
    /// The region of this dispatcher.
    pub region: RegionName,
    /// The dispatchers of other regions.
    pub remote: Vec<PeerAddress>,
    /// Counts the bytes exchanged with the dispatchers of other regions.
    pub remote_counter: TrafficCounter,
    /// Records spans.
    pub spans: SpanSink,
    /// Requests load reports from endpoints.
    pub probe: Arc<dyn EndpointProbe>,
    /// The interval of probes and of reads of the platform's list.
    pub probe_interval: Duration,
    /// True if a failed probe is reported to the shard, which counts it as a failure of the endpoint. False where
    /// routers may reach endpoints that this dispatcher cannot.
    pub reports_unreachable: bool,
    /// The platform's list of instances.
    pub list: Arc<dyn InstanceList>,
}

impl fmt::Debug for HostOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostOptions").field("shard", &self.shard).finish_non_exhaustive()
    }
}

/// Holds the shards by service; a shard starts when the first router opens a session for its service.
#[derive(Debug)]
pub struct ShardHost {
    options: HostOptions,
    source: Arc<dyn PolicySource>,
    shards: Mutex<BTreeMap<ServiceName, ShardHandle>>,
    next_session: AtomicU64,
}

impl ShardHost {
    /// Creates a host without shards.
    pub fn new(options: HostOptions, source: Arc<dyn PolicySource>) -> ShardHost {
        ShardHost { options, source, shards: Mutex::default(), next_session: AtomicU64::new(1) }
    }

    /// Returns the options shared by all shards.
    pub(crate) fn options(&self) -> &HostOptions {
        &self.options
    }

    /// Returns an unused session identifier.
    pub(crate) fn new_session(&self) -> SessionId {
        SessionId(self.next_session.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the shard of a service, and starts it if necessary.
    pub(crate) fn shard(&self, service: &ServiceName) -> ShardHandle {
        let mut shards = self.lock();
        let start = || start_shard(service.clone(), self.options.clone(), self.source.clone());
        shards.entry(service.clone()).or_insert_with(start).clone()
    }

    /// Asks the routers of every shard to rejoin at another dispatcher.
    pub fn stop(&self) {
        for shard in self.lock().values() {
            let _ = shard.inputs.try_send(ShardInput::Event(Box::new(ShardEvent::Stop)));
        }
    }

    /// Lifts the quarantine or suspicion of a request in every shard. Returns the services in which it was suspected
    /// or quarantined.
    pub fn lift(&self, digest: RequestDigest) -> Vec<ServiceName> {
        let is_suspect =
            |status: &ShardStatus| status.suspects.iter().any(|suspect| suspect.record.digest == digest);
        let services = self.statuses().into_iter().filter(|(_, status)| is_suspect(status));
        let services = services.map(|(service, _)| service).collect();
        for shard in self.lock().values() {
            let _ = shard.inputs.try_send(ShardInput::Event(Box::new(ShardEvent::Lift(digest))));
        }
        services
    }

    /// Returns the latest status of every shard.
    pub fn statuses(&self) -> Vec<(ServiceName, ShardStatus)> {
        let shards = self.lock();
        let status = |shard: &ShardHandle| {
            shard.status.lock().expect("the lock of the status is not poisoned").clone()
        };
        shards.iter().map(|(service, shard)| (service.clone(), status(shard))).collect()
    }

    /// Returns the shard of a service if routers use it.
    pub(crate) fn used_shard(&self, service: &ServiceName) -> Option<ShardHandle> {
        let shard = self.lock().get(service).cloned()?;
        shard.is_used().then_some(shard)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<ServiceName, ShardHandle>> {
        self.shards.lock().expect("the lock of the shards is not poisoned")
    }
}
