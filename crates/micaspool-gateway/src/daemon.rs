//! Puts a gateway together.

use crate::dialect::GatewayDialect;
use crate::metrics::GatewayMetrics;
use crate::native::NativeDialect;
use crate::path::{Gateway, GatewayParts};
use async_std::task;
use micaspool_backpressure::SharedAdvice;
use micaspool_client::{AddressNamed, FleetMirror, FleetMirrorOptions, PeerDirectory, ENDPOINT_LIFE};
use micaspool_clock::BootInstant;
use micaspool_daemon::StartError;
use micaspool_dispatcher::{
    EndpointProbe, EngineSubset, FleetDispatcher, FleetDispatcherOptions, HttpEndpointProbe,
};
use micaspool_http::edge::{EdgeOptions, EdgeServer};
use micaspool_http::pool::{EndpointPool, PoolOptions};
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_routes::{JsonFormat, PlanFormat};
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::{TrafficCounter, TrafficMetrics};
use micaspool_types::{HallName, Incarnation, InstanceName, RegionName};
use prometheus_client::registry::Registry;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often resting connections are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long balancers may need to notice that a gateway stops: two questions a second apart, and the
/// answer. What comes later would have too little time left.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// What a gateway uses without any caller, in bytes; 13 MB were measured on the users' small sites.
const BASE_BYTES: u64 = 30_000_000;
/// What a caller's connection takes with its request and the endpoint's connection, in bytes. A gateway
/// with 3,900 descriptors, so some 3,000 callers, was measured at 127 MB on the grown milk site, and one
/// over 160 MB; half of them may hold a long body that is not read yet.
const CONNECTION_BYTES: u64 = 55_000;
/// One connection of so many is kept for callers that are refused at once; it is free again after a round trip.
const REFUSED_PART: usize = 16;
/// The least number of callers that are accepted, however little memory there is.
const FEWEST_CONNECTIONS: usize = 64;

/// What a gateway runs with; made by [`GatewayOptions::builder`].
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    instance: InstanceName,
    hall: HallName,
    region: RegionName,
    callers: SocketAddr,
    status: Vec<SocketAddr>,
    seeds: Vec<InstanceName>,
    keepers: Arc<dyn PeerDirectory>,
    dispatchers: Arc<dyn PeerDirectory>,
    dialect: Arc<dyn GatewayDialect>,
    format: Arc<dyn PlanFormat>,
    probe: Arc<dyn EndpointProbe>,
    advice: Arc<SharedAdvice>,
    edge: EdgeOptions,
}

/// Builds [`GatewayOptions`].
#[derive(Debug, Clone)]
pub struct GatewayOptionsBuilder {
    options: GatewayOptions,
}

impl GatewayOptions {
    /// Options of a gateway on this instance.
    pub fn builder(instance: InstanceName, hall: HallName, region: RegionName) -> GatewayOptionsBuilder {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = GatewayOptions {
            instance,
            hall,
            region,
            callers: any,
            status: vec![any],
            seeds: Vec::new(),
            keepers: Arc::new(AddressNamed { port: 7_400 }),
            dispatchers: Arc::new(AddressNamed { port: 7_401 }),
            dialect: Arc::new(NativeDialect),
            format: Arc::new(JsonFormat),
            probe: Arc::new(HttpEndpointProbe::default()),
            advice: SharedAdvice::new(),
            edge: EdgeOptions { turns: true, ..EdgeOptions::default() },
        };
        GatewayOptionsBuilder { options }
    }
}

impl GatewayOptionsBuilder {
    /// Where it serves callers.
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.options.callers = address;
        self
    }

    /// Where it shows readiness, metrics and state; one or more addresses.
    pub fn status(mut self, addresses: Vec<SocketAddr>) -> Self {
        self.options.status = addresses;
        self
    }

    /// The keepers to begin with.
    pub fn seeds(mut self, seeds: Vec<InstanceName>) -> Self {
        self.options.seeds = seeds;
        self
    }

    /// Where keepers and dispatchers are found.
    pub fn directories(
        mut self,
        keepers: Arc<dyn PeerDirectory>,
        dispatchers: Arc<dyn PeerDirectory>,
    ) -> Self {
        self.options.keepers = keepers;
        self.options.dispatchers = dispatchers;
        self
    }

    /// How callers and endpoints speak.
    pub fn dialect(mut self, dialect: Arc<dyn GatewayDialect>) -> Self {
        self.options.dialect = dialect;
        self
    }

    /// How plans are written.
    pub fn format(mut self, format: Arc<dyn PlanFormat>) -> Self {
        self.options.format = format;
        self
    }

    /// How engines are asked for their load.
    pub fn probe(mut self, probe: Arc<dyn EndpointProbe>) -> Self {
        self.options.probe = probe;
        self
    }

    /// What endpoints asked of this process; shared with the probe, whose questions they count as well.
    pub fn advice(mut self, advice: Arc<SharedAdvice>) -> Self {
        self.options.advice = advice;
        self
    }

    /// How much memory the process may use, in bytes: as many callers are accepted as fit into it.
    pub fn memory(mut self, bytes: u64) -> Self {
        let fitting = usize::try_from(bytes.saturating_sub(BASE_BYTES) / CONNECTION_BYTES);
        let most = EdgeOptions::default().connections;
        let all = fitting.unwrap_or(most).clamp(FEWEST_CONNECTIONS, most);
        self.options.edge.refused = all / REFUSED_PART;
        self.options.edge.connections = all - self.options.edge.refused;
        self
    }

    /// The options.
    pub fn build(self) -> GatewayOptions {
        self.options
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct GatewayDaemon {
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it shows readiness, metrics and state.
    pub status: Vec<SocketAddr>,
    server: EdgeServer,
    mirror: Arc<FleetMirror>,
    stopping: Arc<AtomicBool>,
}

impl GatewayDaemon {
    /// The fleet as this process knows it.
    pub fn mirror(&self) -> &Arc<FleetMirror> {
        &self.mirror
    }

    /// Is no longer ready, serves what still comes, and waits for what runs, at most for `limit`;
    /// true when nothing was cut.
    pub async fn stop(self, limit: Duration) -> bool {
        self.stopping.store(true, Ordering::SeqCst);
        self.server.drain();
        let now = BootInstant::now();
        let latest = now + limit;
        self.server.drained(now + NOTICE_TIME.min(limit), latest).await
    }
}

/// Starts a gateway; it serves until it is stopped.
pub async fn start_gateway(options: GatewayOptions) -> Result<GatewayDaemon, StartError> {
    let incarnation = Incarnation(rand::random());
    let counters = GatewayCounters::default();
    let mirror = FleetMirror::start(FleetMirrorOptions {
        follower: format!("gateway-{}", options.instance),
        seeds: options.seeds.clone(),
        directory: options.keepers.clone(),
        format: options.format.clone(),
        counter: counters.keepers.clone(),
        endpoint_life: ENDPOINT_LIFE,
    });
    let spans = SpanSink::default();
    let own_dispatcher = FleetDispatcher::new(FleetDispatcherOptions {
        region: options.region.clone(),
        incarnation,
        mirror: mirror.clone(),
        spans: spans.clone(),
        probe: options.probe.clone(),
        subset: Some(EngineSubset { instance: options.instance.clone(), hall: options.hall.clone() }),
    });
    let mut registry = Registry::default();
    let metrics = GatewayMetrics::register(&mut registry);
    let pool = EndpointPool::new(PoolOptions::default());
    let gateway = Gateway::new(GatewayParts {
        instance: options.instance.clone(),
        hall: options.hall.to_string(),
        incarnation,
        mirror: mirror.clone(),
        dispatchers: options.dispatchers.clone(),
        own_dispatcher,
        pool: pool.clone(),
        advice: options.advice.clone(),
        dialect: options.dialect.clone(),
        spans,
        counter: counters.dispatchers.clone(),
        metrics: metrics.clone(),
    });
    let server = EdgeServer::new(Arc::new(gateway.clone()), options.edge);
    let callers = server.listen(options.callers).await.map_err(StartError::bind(options.callers))?;
    task::spawn(tend(gateway.clone(), mirror.clone(), pool.clone(), options.advice.clone()));
    let stopping: Arc<AtomicBool> = Arc::default();
    let traffic = counters.register(&mut registry);
    let source = Arc::new(GatewayStatusSource {
        mirror: mirror.clone(),
        gateway,
        pool,
        advice: options.advice.clone(),
        server: server.clone(),
        registry,
        traffic,
        metrics,
        stopping: stopping.clone(),
    });
    let mut status = Vec::new();
    for address in &options.status {
        status.push(serve_status(*address, source.clone()).await.map_err(StartError::bind(*address))?);
    }
    Ok(GatewayDaemon { callers, status, server, mirror, stopping })
}

/// Opens shards as plans name them, closes connections that rested for too long and ends the rests of endpoints.
async fn tend(
    gateway: Gateway,
    mirror: Arc<FleetMirror>,
    pool: Arc<EndpointPool>,
    advice: Arc<SharedAdvice>,
) {
    let mut prepared = 0;
    loop {
        let number = mirror.plan().number;
        if number != prepared {
            prepared = number;
            gateway.prepare_shards();
        }
        pool.sweep();
        advice.expire();
        task::sleep(SWEEP_INTERVAL).await;
    }
}

#[derive(Debug, Clone, Default)]
struct GatewayCounters {
    keepers: TrafficCounter,
    dispatchers: TrafficCounter,
}

impl GatewayCounters {
    fn register(self, registry: &mut Registry) -> TrafficMetrics {
        let traffic = TrafficMetrics::default().with("gateway", "keeper", self.keepers).with(
            "gateway",
            "dispatcher",
            self.dispatchers,
        );
        traffic.register(registry);
        traffic
    }
}

/// The names of the data halls that this process sends nothing into.
fn evacuated_halls(mirror: &FleetMirror) -> Vec<String> {
    let orders = mirror.hall_orders();
    let evacuated = orders.iter().filter(|(hall, _)| orders.is_evacuated(hall));
    evacuated.map(|(hall, _)| hall.to_string()).collect()
}

struct GatewayStatusSource {
    mirror: Arc<FleetMirror>,
    gateway: Gateway,
    pool: Arc<EndpointPool>,
    advice: Arc<SharedAdvice>,
    server: EdgeServer,
    registry: Registry,
    traffic: TrafficMetrics,
    metrics: GatewayMetrics,
    stopping: Arc<AtomicBool>,
}

impl StatusSource for GatewayStatusSource {
    /// True while requests can be served: with a plan, also while no keeper is reached.
    fn is_ready(&self) -> bool {
        self.mirror.has_plan() && !self.stopping.load(Ordering::SeqCst)
    }

    fn metrics(&self) -> String {
        self.metrics.connections_opened.set(i64::try_from(self.pool.opened()).unwrap_or(i64::MAX));
        self.metrics.callers_open.set(i64::try_from(self.server.open()).unwrap_or(i64::MAX));
        self.metrics.plan_number.set(i64::try_from(self.mirror.plan().number).unwrap_or(i64::MAX));
        let (resting, leaving) = self.advice.counts();
        self.metrics.endpoints_resting.set(i64::try_from(resting).unwrap_or(i64::MAX));
        self.metrics.endpoints_leaving.set(i64::try_from(leaving).unwrap_or(i64::MAX));
        let evacuated = self.mirror.hall_orders().evacuated();
        self.metrics.halls_evacuated.set(i64::try_from(evacuated).unwrap_or(i64::MAX));
        self.traffic.refresh();
        encode_text(&self.registry)
    }

    fn state(&self) -> String {
        let shards = self.gateway.shards().into_iter().map(|shard| shard.state());
        let keepers = self.mirror.keepers().into_iter().map(|sight| {
            json!({
                "name": sight.peer.name.as_str(),
                "reached": sight.is_reached(),
                "hears_majority": sight.confirmed,
            })
        });
        json!({
            "process": "gateway",
            "plan": self.mirror.plan().number,
            "evacuated_halls": evacuated_halls(&self.mirror),
            "keepers": keepers.collect::<Vec<_>>(),
            "shards": shards.collect::<Vec<_>>(),
        })
        .to_string()
    }
}
