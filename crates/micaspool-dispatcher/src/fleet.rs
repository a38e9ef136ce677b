//! A dispatcher that follows the route plan and the registered endpoints.
//!
//! It serves the routers that reach it over the wire, or, inside a router, that router alone while
//! it reaches no other dispatcher.

use crate::daemon::serve_wire;
use crate::fleet_source::FleetSource;
use crate::host::{HostOptions, ShardHost};
use crate::platform::InstanceList;
use crate::probe::EndpointProbe;
use crate::service::open_session;
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
use micaspool_wire::v1::{DispatcherMessage, RouterMessage};
use prometheus_client::registry::Registry;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tonic::Status;

/// The most that one request can cost: the largest prompts have some 100,000 tokens.
const COST_CEILING: Cost = Cost(262_144);
/// How long a new shard collects what routers hold. Routers notice a lost dispatcher within some
/// hundred milliseconds when its process ended.
const RECOVERY_WINDOW: Duration = Duration::from_millis(300);

/// How many requests in a row may break at an endpoint before it is left alone. One that loses every
/// twentieth answer breaks three in a row once in 8,000; one that is gone breaks them at once.
const TOLERATED_BREAKS: u32 = 2;
/// The part of an engine's pace that a dispatcher inside a router uses until reports tell it more.
const SHARED_ENGINE_PERCENT: u64 = 20;
/// How often engines are asked for their load. Another dispatcher may use them at the same time, and
/// twice a second bounds how long both give an engine too much.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// What a fleet dispatcher is made with.
#[derive(Debug, Clone)]
pub struct FleetDispatcherOptions {
    /// The region that it serves.
    pub region: RegionName,
    /// Tells one life of the process from the next.
    pub incarnation: Incarnation,
    /// The fleet as this process knows it.
    pub mirror: Arc<FleetMirror>,
    /// Where spans go.
    pub spans: SpanSink,
    /// How engines are asked for their load.
    pub probe: Arc<dyn EndpointProbe>,
    /// Set for a dispatcher inside a router: the engines that it uses. Other dispatchers probably use
    /// them too, those of other routers that are cut off, and that of the core.
    pub subset: Option<EngineSubset>,
}

/// A dispatcher of a fleet without lists.
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

/// Endpoints say themselves that they leave.
struct NoInstanceList;

#[async_trait]
impl InstanceList for NoInstanceList {
    async fn leaving(&self) -> Option<BTreeSet<EndpointName>> {
        None
    }
}

impl FleetDispatcher {
    /// A dispatcher that is reached inside the process only.
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

    /// Serves routers at an address; gives the bound one.
    pub async fn serve(
        &self,
        address: SocketAddr,
        counter: &TrafficCounter,
    ) -> Result<SocketAddr, StartError> {
        serve_wire(address, &self.host, &self.stopping, counter).await
    }

    /// Opens a session for a router in this process; its messages come from the channel, the hello
    /// first.
    pub async fn open(
        &self,
        messages: Receiver<RouterMessage>,
    ) -> Result<Receiver<Result<DispatcherMessage, Status>>, Status> {
        open_session(&self.host, messages.map(Ok)).await
    }

    /// What it shows of itself.
    pub fn status_source(&self) -> Arc<dyn StatusSource> {
        let mut registry = Registry::default();
        let gauges = ShardGauges::register(&mut registry);
        Arc::new(FleetStatusSource { host: self.host.clone(), mirror: self.mirror.clone(), registry, gauges })
    }

    /// Takes no new session and asks routers to go elsewhere.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.host.stop();
    }
}
