//! Starts the dispatcher daemon.

use crate::host::{HostOptions, ShardHost};
use crate::platform::{HttpInstanceList, InstanceList};
use crate::policy_source::TreeSource;
use crate::probe::HttpEndpointProbe;
use crate::service::DispatchService;
use crate::shard_view::{shards_json, ShardGauges};
use async_std::task;
use async_trait::async_trait;
use micaspool_client::{KeeperClient, SettingsMirror};
use micaspool_daemon::{open_spans, StartError};
use micaspool_dispatch::ShardOptions;
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_settings::process::ProcessSettings;
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::traffic::{TrafficCounter, TrafficMetrics};
use micaspool_types::{EndpointName, Incarnation};
use micaspool_wire::socket::CountedListener;
use micaspool_wire::v1::dispatch_server::DispatchServer;
use prometheus_client::registry::Registry;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long routers have to rejoin elsewhere before the dispatcher stops.
const STOP_GRACE: Duration = Duration::from_millis(500);
/// The interval of load probes and of reads of the platform's list.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum size of a message in bytes. The largest is a hello with all requests of a router.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;

/// A running dispatcher.
#[derive(Debug)]
pub struct DispatcherDaemon {
    /// The address for routers.
    pub wire: SocketAddr,
    /// The address of its status page.
    pub status: SocketAddr,
    host: Arc<ShardHost>,
    stopping: Arc<AtomicBool>,
}

impl DispatcherDaemon {
    /// Asks routers to rejoin elsewhere and gives them time to do so. No request in flight is interrupted, since the
    /// routers hold the requests and submit them to the next dispatcher.
    pub async fn stop(self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.host.stop();
        task::sleep(STOP_GRACE).await;
    }
}

/// Stands in for the platform's list in a deployment without one.
struct NoInstanceList;

#[async_trait]
impl InstanceList for NoInstanceList {
    async fn leaving(&self) -> Option<BTreeSet<EndpointName>> {
        None
    }
}

/// Starts a dispatcher that is configured by the settings tree.
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
        reports_unreachable: true,
        list,
    };
    let host = Arc::new(ShardHost::new(options, Arc::new(TreeSource(mirror.clone()))));
    let stopping = Arc::new(AtomicBool::new(false));
    let wire = serve_wire(settings.wire_address, &host, &stopping, &routers).await?;
    let source = Arc::new(DispatcherStatusSource::new(
        host.clone(),
        mirror,
        DispatcherCounters { keepers, routers, remote },
    ));
    let status = serve_status(settings.status_address, source)
        .await
        .map_err(StartError::bind(settings.status_address))?;
    Ok(DispatcherDaemon { wire, status, host, stopping })
}

/// Serves the sessions of routers at an address and returns the bound address.
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

/// Counters of control traffic by kind of peer.
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
        let gauges = ShardGauges::register(&mut registry);
        DispatcherStatusSource { host, mirror, registry, traffic, gauges }
    }

    fn refresh(&self) {
        self.gauges.refresh(&self.host);
        self.gauges.revision.set(self.mirror.policy().revision.0 as i64);
        self.traffic.refresh();
    }
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
            "cut_off_seconds": mirror.unconfirmed_since.map(|since| since.elapsed().as_secs()),
            "shards": shards_json(&self.host),
        })
        .to_string()
    }
}
