//! A dispatcher configured by the route plan and the registered endpoints.
//!
//! It serves routers over the network, or runs inside a router and serves only that router while it reaches no other
//! dispatcher.

use crate::daemon::serve_wire;
use crate::fleet_source::FleetSource;
use crate::host::{HostOptions, ShardHost};
use crate::platform::InstanceList;
use crate::probe::EndpointProbe;
use crate::service::open_session;
use crate::session_replies::SessionReplies;
use crate::shard_view::{shards_json, ShardGauges};
use crate::subset::EngineSubset;
use async_std::channel::Receiver;
use async_trait::async_trait;
use futures::StreamExt;
use micaspool_client::FleetMirror;
use micaspool_daemon::StartError;
use micaspool_dispatch::ShardOptions;
use micaspool_http::status::StatusSource;
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{Cost, EndpointName, Incarnation, RegionName};
use micaspool_wire::v1::RouterMessage;
use prometheus_client::registry::Registry;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tonic::Status;

/// The maximum cost of one request. The largest prompts have about 100,000 tokens.
const COST_CEILING: Cost = Cost(262_144);
/// How long a new shard collects the state held by routers. If a dispatcher's process ends, routers notice it within
/// some hundred milliseconds.
const RECOVERY_WINDOW: Duration = Duration::from_millis(300);

/// How many requests in a row may break at an endpoint before it is paused. An endpoint that loses every twentieth
/// answer breaks three in a row once in 8,000 requests; one that has crashed breaks them at once.
const TOLERATED_BREAKS: u32 = 2;
/// The share of an engine's prefill budget that a dispatcher inside a router uses until load reports show who else
/// uses the engine, in percent.
const SHARED_ENGINE_PERCENT: u64 = 20;
/// The interval of load probes. Another dispatcher may use the same engines, and two probes a second limit how long
/// both overload an engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Options of a [`FleetDispatcher`].
#[derive(Debug, Clone)]
pub struct FleetDispatcherOptions {
    /// The region of the dispatcher.
    pub region: RegionName,
    /// Distinguishes restarts of the process.
    pub incarnation: Incarnation,
    /// This process's view of the fleet.
    pub mirror: Arc<FleetMirror>,
    /// Records spans.
    pub spans: SpanSink,
    /// Requests load reports from engines.
    pub probe: Arc<dyn EndpointProbe>,
    /// Selects the engines that a dispatcher inside a router uses; not set for others. Other dispatchers probably use
    /// the same engines: the core's, and those inside other routers that are cut off from it.
    pub subset: Option<EngineSubset>,
}

/// A dispatcher of a fleet whose endpoints register themselves.
#[derive(Debug, Clone)]
pub struct FleetDispatcher {
    host: Arc<ShardHost>,
    mirror: Arc<FleetMirror>,
    stopping: Arc<AtomicBool>,
}

struct FleetStatusSource {
    host: Arc<ShardHost>,
    mirror: Arc<FleetMirror>,
    registry: Registry,
    gauges: ShardGauges,
}

impl StatusSource for FleetStatusSource {
    fn is_ready(&self) -> bool {
        self.mirror.has_plan()
    }

    fn metrics(&self) -> String {
        self.gauges.refresh(&self.host);
        self.gauges.revision.set(i64::try_from(self.mirror.plan().number).unwrap_or(i64::MAX));
        encode_text(&self.registry)
    }

    fn state(&self) -> String {
        json!({ "process": "dispatcher", "plan": self.mirror.plan().number, "shards": shards_json(&self.host) })
            .to_string()
    }
}

/// Stands in for the platform's list in a fleet without one, where endpoints announce themselves that they are leaving.
struct NoInstanceList;

#[async_trait]
impl InstanceList for NoInstanceList {
    async fn leaving(&self) -> Option<BTreeSet<EndpointName>> {
        None
    }
}

impl FleetDispatcher {
    /// Creates a dispatcher that can only be reached from this process until [`FleetDispatcher::serve`] is called.
    pub fn new(options: FleetDispatcherOptions) -> FleetDispatcher {
        let shard = ShardOptions::builder()
            .cost_ceiling(COST_CEILING)
            .recovery_window(RECOVERY_WINDOW)
            .tolerated_breaks(TOLERATED_BREAKS)
            .initial_share(if options.subset.is_some() { SHARED_ENGINE_PERCENT } else { 100 })
            .build();
        let host = HostOptions {
            shard,
            incarnation: options.incarnation,
            region: options.region,
            remote: Vec::new(),
            remote_counter: TrafficCounter::default(),
            spans: options.spans,
            probe: options.probe,
            probe_interval: PROBE_INTERVAL,
            reports_unreachable: false,
            list: Arc::new(NoInstanceList),
        };
        let source = Arc::new(FleetSource::new(options.mirror.clone(), options.subset));
        let host = Arc::new(ShardHost::new(host, source));
        FleetDispatcher { host, mirror: options.mirror, stopping: Arc::default() }
    }

    /// Serves routers at an address and returns the bound address.
    pub async fn serve(
        &self,
        address: SocketAddr,
        counter: &TrafficCounter,
    ) -> Result<SocketAddr, StartError> {
        serve_wire(address, &self.host, &self.stopping, counter).await
    }

    /// Opens a session for a router in this process. The first message from the channel must be its hello.
    pub async fn open(&self, messages: Receiver<RouterMessage>) -> Result<SessionReplies, Status> {
        open_session(&self.host, messages.map(Ok)).await
    }

    /// Returns the source of the dispatcher's status page and metrics.
    pub fn status_source(&self) -> Arc<dyn StatusSource> {
        let mut registry = Registry::default();
        let gauges = ShardGauges::register(&mut registry);
        Arc::new(FleetStatusSource { host: self.host.clone(), mirror: self.mirror.clone(), registry, gauges })
    }

    /// Refuses new sessions over the network and asks all routers to rejoin at another dispatcher.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.host.stop();
    }
}
