//! Puts a dispatcher daemon together.

use crate::host::{HostOptions, ShardHost};
use crate::platform::{HttpInstanceList, InstanceList};
use crate::policy_source::TreeSource;
use crate::probe::HttpEndpointProbe;
use crate::service::DispatchService;
use async_std::task;
use async_trait::async_trait;
use micaspool_client::{KeeperClient, SettingsMirror};
use micaspool_daemon::{open_spans, StartError};
use micaspool_dispatch::{ShardOptions, ShardStatus};
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_settings::process::ProcessSettings;
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::traffic::{TrafficCounter, TrafficMetrics};
use micaspool_types::{EndpointName, Incarnation};
use micaspool_wire::socket::CountedListener;
use micaspool_wire::v1::dispatch_server::DispatchServer;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long routers get to go elsewhere when the dispatcher stops.
const STOP_GRACE: Duration = Duration::from_millis(500);
/// How often endpoints and the platform's list are asked.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The largest message, which holds everything that a router has.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;

/// A running dispatcher.
#[derive(Debug)]
pub struct DispatcherDaemon {
    /// Where it answers routers.
    pub wire: SocketAddr,
    /// Where it shows its status.
    pub status: SocketAddr,
    host: Arc<ShardHost>,
    stopping: Arc<AtomicBool>,
}

impl DispatcherDaemon {
    /// Asks routers to go elsewhere and gives them time to do so. Nothing in flight is cut: the
    /// routers hold their requests and take them to the next dispatcher.
    pub async fn stop(self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.host.stop();
        task::sleep(STOP_GRACE).await;
    }
}

/// The list of a deployment without one.
struct NoInstanceList;

#[async_trait]
impl InstanceList for NoInstanceList {
    async fn leaving(&self) -> Option<BTreeSet<EndpointName>> {
        None
    }
}

/// Starts a dispatcher.
pub async fn run_dispatcher(
    settings: &ProcessSettings,
    incarnation: Incarnation,
) -> Result<DispatcherDaemon, StartError> {
    let keepers = TrafficCounter::default();
    let routers = TrafficCounter::default();
    let remote = TrafficCounter::default();
    let client = Arc::new(KeeperClient::new(settings.keepers.clone(), keepers.clone()));
    let mirror = SettingsMirror::start(client, &format!("dispatcher-{}", settings.instance));
    let list: Arc<dyn InstanceList> = match settings.instance_list {
        Some(address) => Arc::new(HttpInstanceList::new(address)),
        None => Arc::new(NoInstanceList),
    };
    let options = HostOptions {
        shard: ShardOptions::default(),
        incarnation,
        region: settings.region.clone(),
        remote: settings.remote_dispatchers.clone(),
        remote_counter: remote.clone(),
        spans: open_spans(settings)?,
        probe: Arc::new(HttpEndpointProbe::default()),
        probe_interval: PROBE_INTERVAL,
        silence_counts: true,
        list,
    };
    let host = Arc::new(ShardHost::new(options, Arc::new(TreeSource(mirror.clone()))));
    let stopping = Arc::new(AtomicBool::new(false));
    let wire = serve_wire(settings.wire, &host, &stopping, &routers).await?;
    let source = Arc::new(DispatcherStatusSource::new(
        host.clone(),
        mirror,
        DispatcherCounters { keepers, routers, remote },
    ));
    let status = serve_status(settings.status, source).await.map_err(StartError::bind(settings.status))?;
    Ok(DispatcherDaemon { wire, status, host, stopping })
}

pub(crate) async fn serve_wire(
    address: SocketAddr,
    host: &Arc<ShardHost>,
    stopping: &Arc<AtomicBool>,
    counter: &TrafficCounter,
) -> Result<SocketAddr, StartError> {
    let failed = StartError::bind(address);
    let listener = CountedListener::bind(address, counter.clone()).await.map_err(&failed)?;
    let wire = listener.local_address().map_err(&failed)?;
    let service = DispatchService::new(host.clone(), stopping.clone());
    let server = DispatchServer::new(service).max_decoding_message_size(MAX_MESSAGE);
    task::spawn(async move {
        let _ = tonic::transport::Server::builder().add_service(server).serve_with_incoming(listener).await;
    });
    Ok(wire)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShardLabels {
    service: String,
}

/// Control bytes by kind of peer.
struct DispatcherCounters {
    keepers: TrafficCounter,
    routers: TrafficCounter,
    remote: TrafficCounter,
}

struct DispatcherStatusSource {
    host: Arc<ShardHost>,
    mirror: Arc<SettingsMirror>,
    registry: Registry,
    traffic: TrafficMetrics,
    gauges: ShardGauges,
}

#[derive(Default)]
struct ShardGauges {
    waiting: Family<ShardLabels, Gauge>,
    running: Family<ShardLabels, Gauge>,
    open_slots: Family<ShardLabels, Gauge>,
    gap: Family<ShardLabels, Gauge>,
    revision: Gauge,
}

impl DispatcherStatusSource {
    fn new(
        host: Arc<ShardHost>,
        mirror: Arc<SettingsMirror>,
        counters: DispatcherCounters,
    ) -> DispatcherStatusSource {
        let mut registry = Registry::default();
        let traffic = TrafficMetrics::default()
            .with("dispatcher", "keeper", counters.keepers)
            .with("dispatcher", "router", counters.routers)
            .with("dispatcher", "dispatcher", counters.remote);
        traffic.register(&mut registry);
        let gauges = ShardGauges::default();
        registry.register("micaspool_waiting_requests", "Waiting requests", gauges.waiting.clone());
        registry.register("micaspool_running_requests", "Running requests", gauges.running.clone());
        registry.register("micaspool_open_slots", "Slots that may take work", gauges.open_slots.clone());
        let gap_help = "Difference of service levels of waiting customers, in cost at weight 1";
        registry.register("micaspool_fairness_gap", gap_help, gauges.gap.clone());
        registry.register("micaspool_settings_revision", "Revision in force", gauges.revision.clone());
        DispatcherStatusSource { host, mirror, registry, traffic, gauges }
    }

    fn refresh(&self) {
        for (service, status) in self.host.statuses() {
            let labels = ShardLabels { service: service.to_string() };
            let open: u32 = status.endpoints.iter().filter(|e| e.open).map(|e| e.slots).sum();
            self.gauges.waiting.get_or_create(&labels).set(status.waiting as i64);
            self.gauges.running.get_or_create(&labels).set(status.running as i64);
            self.gauges.open_slots.get_or_create(&labels).set(i64::from(open));
            self.gauges.gap.get_or_create(&labels).set(level_gap(&status) as i64);
        }
        self.gauges.revision.set(self.mirror.policy().revision.0 as i64);
        self.traffic.refresh();
    }
}

/// The spread of levels among customers that wait, in cost at weight 1.
fn level_gap(status: &ShardStatus) -> u64 {
    let levels = || status.customers.iter().filter(|customer| customer.waiting > 0).map(|c| c.level.0);
    let spread = levels().max().unwrap_or(0) - levels().min().unwrap_or(0);
    spread / micaspool_fair::LEVEL_SCALE
}

impl StatusSource for DispatcherStatusSource {
    fn is_ready(&self) -> bool {
        self.mirror.is_ready()
    }

    fn metrics(&self) -> String {
        self.refresh();
        encode_text(&self.registry)
    }

    fn state(&self) -> String {
        let mirror = self.mirror.state();
        json!({
            "process": "dispatcher",
            "revision": mirror.policy.revision.0,
            "cut_off_seconds": mirror.cut_off_since.map(|since| since.elapsed().as_secs()),
            "shards": shards_json(&self.host),
        })
        .to_string()
    }
}

/// The state of every shard as JSON.
pub(crate) fn shards_json(host: &ShardHost) -> serde_json::Value {
    let shards = host.statuses().into_iter().map(|(service, status)| {
        let customers = status.customers.iter().map(|customer| {
            json!({
                "name": customer.name.as_str(),
                "waiting": customer.waiting,
                "running": customer.running,
                "level": customer.level.0 / micaspool_fair::LEVEL_SCALE,
            })
        });
        let endpoints = status.endpoints.iter().map(|endpoint| {
            json!({
                "name": endpoint.name.as_str(),
                "busy": endpoint.busy,
                "foreign": endpoint.foreign,
                "slots": endpoint.slots,
                "open": endpoint.open,
            })
        });
        json!({
            "service": service.as_str(),
            "revision": status.revision.0,
            "recovering": status.recovering,
            "routers": status.routers,
            "waiting": status.waiting,
            "running": status.running,
            "gap": level_gap(&status),
            "customers": customers.collect::<Vec<_>>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
        })
    });
    shards.collect()
}
