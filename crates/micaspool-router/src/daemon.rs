//! Assembles and runs a router daemon.

use crate::claims::KeeperLedger;
use crate::endpoint::HttpEndpointClient;
use crate::metrics::RouterMetrics;
use crate::router::{RequestRouter, RouterParts};
use crate::shard_client::{ListedDispatchers, ShardClientOptions};
use async_std::net::TcpListener;
use async_std::task;
use micaspool_backpressure::SharedAdvice;
use micaspool_client::{KeeperClient, SettingsMirror};
use micaspool_daemon::{open_spans, StartError};
use micaspool_http::server::{HttpServer, ServerOptions};
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_settings::process::ProcessSettings;
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::traffic::{TrafficCounter, TrafficMetrics};
use micaspool_types::Incarnation;
use prometheus_client::registry::Registry;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// How often ended rests of endpoints are removed and logged. This delays only the log line: rests end on time.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// A running router.
#[derive(Debug)]
pub struct RouterDaemon {
    /// The bound address on which callers are served.
    pub callers: SocketAddr,
    /// The bound address of the status pages.
    pub status: SocketAddr,
    server: HttpServer,
    router: RequestRouter,
    mirror: Arc<SettingsMirror>,
}

impl RouterDaemon {
    /// Refuses new requests and waits up to `limit` for those in flight. Returns true if all of them ended in time.
    pub async fn stop(self, limit: Duration) -> bool {
        self.router.drain();
        self.server.stop();
        self.server.drained(limit).await
    }

    /// Returns the local copy of the settings.
    pub fn mirror(&self) -> &Arc<SettingsMirror> {
        &self.mirror
    }
}

/// Starts a router.
pub async fn run_router(
    settings: &ProcessSettings,
    incarnation: Incarnation,
) -> Result<RouterDaemon, StartError> {
    let keepers = TrafficCounter::default();
    let dispatchers = TrafficCounter::default();
    let client = Arc::new(KeeperClient::new(settings.keepers.clone(), keepers.clone()));
    let mirror = SettingsMirror::start(client.clone(), &format!("router-{}", settings.instance));
    let mut registry = Registry::default();
    let metrics = RouterMetrics::register(&mut registry);
    let traffic = TrafficMetrics::default().with("router", "keeper", keepers).with(
        "router",
        "dispatcher",
        dispatchers.clone(),
    );
    traffic.register(&mut registry);
    let advice = SharedAdvice::new();
    task::spawn(expire_advice(Arc::downgrade(&advice)));
    let parts = RouterParts {
        mirror: mirror.clone(),
        shards: ShardClientOptions {
            router: settings.instance.clone(),
            hall: settings.hall.to_string(),
            incarnation,
            dispatchers: Arc::new(ListedDispatchers(settings.dispatchers.clone())),
            advice: advice.clone(),
            counter: dispatchers,
        },
        endpoints: Arc::new(HttpEndpointClient),
        ledger: Arc::new(KeeperLedger::new(client)),
        spans: open_spans(settings)?,
    };
    let router = RequestRouter::new(parts, metrics.clone());
    let failed = StartError::bind(settings.callers_address);
    let listener = TcpListener::bind(settings.callers_address).await.map_err(&failed)?;
    let callers = listener.local_addr().map_err(&failed)?;
    let server = HttpServer::new(Arc::new(router.clone()), ServerOptions::default());
    let serving = server.clone();
    task::spawn(async move { serving.serve(listener).await });
    let source =
        RouterStatusSource { mirror: mirror.clone(), router: router.clone(), registry, traffic, metrics };
    let status = serve_status(settings.status_address, Arc::new(source))
        .await
        .map_err(StartError::bind(settings.status_address))?;
    Ok(RouterDaemon { callers, status, server, router, mirror })
}

/// Removes ended rests of endpoints periodically, until the router stops.
async fn expire_advice(advice: Weak<SharedAdvice>) {
    while let Some(advice) = advice.upgrade() {
        advice.expire();
        task::sleep(EXPIRY_INTERVAL).await;
    }
}

struct RouterStatusSource {
    mirror: Arc<SettingsMirror>,
    router: RequestRouter,
    registry: Registry,
    traffic: TrafficMetrics,
    metrics: RouterMetrics,
}

impl StatusSource for RouterStatusSource {
    fn is_ready(&self) -> bool {
        self.mirror.is_ready()
    }

    fn metrics(&self) -> String {
        let counts = self.router.shards().iter().map(|shard| shard.counts()).collect::<Vec<_>>();
        self.metrics.waiting.set(counts.iter().map(|(waiting, _)| *waiting as i64).sum());
        self.metrics.running.set(counts.iter().map(|(_, running)| *running as i64).sum());
        self.metrics.revision.set(self.mirror.policy().revision.0 as i64);
        self.traffic.refresh();
        encode_text(&self.registry)
    }

    fn state(&self) -> String {
        let mirror = self.mirror.state();
        let shards = self.router.shards().into_iter().map(|shard| shard.state());
        json!({
            "process": "router",
            "revision": mirror.policy.revision.0,
            "cut_off_seconds": mirror.unconfirmed_since.map(|since| since.elapsed().as_secs()),
            "shards": shards.collect::<Vec<_>>(),
        })
        .to_string()
    }
}
