//! Assembles and runs a gateway daemon.

use crate::dialect::GatewayDialect;
use crate::memory_watch::MemoryWatch;
use crate::metrics::GatewayMetrics;
use crate::native::NativeDialect;
use crate::proxy::{Gateway, GatewayParts};
use crate::stopping::StopNotice;
use async_std::task;
use micaspool_backpressure::SharedAdvice;
use micaspool_client::{
    AddressDirectory, FleetMirror, FleetMirrorOptions, PeerDirectory, MAX_ENDPOINT_SILENCE,
};
use micaspool_clock::BootInstant;
use micaspool_daemon::StartError;
use micaspool_dispatcher::{
    EndpointProbe, EngineSubset, FleetDispatcher, FleetDispatcherOptions, HttpEndpointProbe,
};
use micaspool_http::body::BodyBudget;
use micaspool_http::edge::{EdgeOptions, EdgeServer};
use micaspool_http::pool::{EndpointPool, PoolOptions};
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_memory::{resident_bytes, MemoryAccount, MemoryGauge};
use micaspool_routes::{JsonFormat, PlanFormat};
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::{TrafficCounter, TrafficMetrics};
use micaspool_types::{HallName, HallRegions, Incarnation, InstanceName, RegionName};
use prometheus_client::registry::Registry;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often idle connections are closed, endpoint rests are expired and the plan is checked for new services.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// How long load balancers may need to notice that a gateway is stopping: two health checks one second
/// apart, and the response. Requests that arrive later would have too little time to complete.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);

/// How long before the end of a stop the requests that still wait are refused.
const LAST_REFUSALS: Duration = Duration::from_millis(700);
/// How long before the end of a stop the requests that still run are ended.
const LAST_ENDS: Duration = Duration::from_millis(250);

/// The memory that a gateway uses without any callers, in bytes. 13 MB were measured on the users' small sites.
const BASELINE_BYTES: u64 = 30_000_000;
/// The part of the memory limit, in percent, that may be in use on the heap and promised together. The rest is for
/// code, stacks, what the allocator keeps unused, and bytes that have arrived and are not yet read.
const HEAP_PERCENT: u64 = 75;
/// The memory of an idle caller connection, in bytes. What it takes beyond that while a request runs is measured.
const CONNECTION_BYTES: u64 = 55_000;
/// One in this many connections is reserved for refusing callers immediately. A refusal occupies its
/// connection for a single round trip.
const REFUSED_DIVISOR: usize = 16;
/// One part in this many of the memory that callers may use is for their request bodies.
const BODY_DIVISOR: u64 = 2;
/// The memory for request bodies without a memory limit, in bytes.
const DEFAULT_BODY_BYTES: u64 = 256_000_000;
/// Descriptors that are neither callers' connections nor those to endpoints: files and what the platform keeps (200),
/// connections that are accepted and not yet admitted (256), and those to cores, load balancers and operators.
const RESERVED_DESCRIPTORS: u64 = 500;
/// The part of the other descriptors that callers get, in percent. Callers that wait need none to an endpoint.
const CALLER_DESCRIPTOR_PERCENT: usize = 60;
/// The minimum number of caller connections, regardless of the memory limit.
const MIN_CONNECTIONS: usize = 64;

/// The configuration of a gateway, created with [`GatewayOptions::builder`].
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    instance: InstanceName,
    hall: HallName,
    region: RegionName,
    hall_regions: HallRegions,
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
    body_bytes: u64,
    memory: Arc<MemoryAccount>,
    pool: PoolOptions,
}

/// Builds [`GatewayOptions`].
#[derive(Debug, Clone)]
pub struct GatewayOptionsBuilder {
    options: GatewayOptions,
}

impl GatewayOptions {
    /// Returns a builder for a gateway on this instance.
    ///
    /// By default the gateway listens on free loopback ports and uses [`NativeDialect`] and [`JsonFormat`].
    pub fn builder(instance: InstanceName, hall: HallName, region: RegionName) -> GatewayOptionsBuilder {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = GatewayOptions {
            instance,
            hall,
            region,
            hall_regions: HallRegions::default(),
            callers: loopback,
            status: vec![loopback],
            seeds: Vec::new(),
            keepers: Arc::new(AddressDirectory { port: 7_400 }),
            dispatchers: Arc::new(AddressDirectory { port: 7_401 }),
            dialect: Arc::new(NativeDialect),
            format: Arc::new(JsonFormat),
            probe: Arc::new(HttpEndpointProbe::default()),
            advice: SharedAdvice::new(),
            edge: EdgeOptions { sheds_load: true, ..EdgeOptions::default() },
            body_bytes: DEFAULT_BODY_BYTES,
            memory: MemoryAccount::unlimited(),
            pool: PoolOptions::default(),
        };
        GatewayOptionsBuilder { options }
    }
}

impl GatewayOptionsBuilder {
    /// Sets the region of each data hall, for requests that may run only in some regions.
    pub fn hall_regions(mut self, regions: HallRegions) -> Self {
        self.options.hall_regions = regions;
        self
    }

    /// Sets the address on which callers are served.
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.options.callers = address;
        self
    }

    /// Sets the addresses that serve readiness, metrics and state.
    pub fn status(mut self, addresses: Vec<SocketAddr>) -> Self {
        self.options.status = addresses;
        self
    }

    /// Sets the keepers to contact first.
    pub fn seeds(mut self, seeds: Vec<InstanceName>) -> Self {
        self.options.seeds = seeds;
        self
    }

    /// Sets how the addresses of keepers and dispatchers are looked up.
    pub fn directories(
        mut self,
        keepers: Arc<dyn PeerDirectory>,
        dispatchers: Arc<dyn PeerDirectory>,
    ) -> Self {
        self.options.keepers = keepers;
        self.options.dispatchers = dispatchers;
        self
    }

    /// Sets the dialect of callers and endpoints.
    pub fn dialect(mut self, dialect: Arc<dyn GatewayDialect>) -> Self {
        self.options.dialect = dialect;
        self
    }

    /// Sets the format in which plans are encoded.
    pub fn format(mut self, format: Arc<dyn PlanFormat>) -> Self {
        self.options.format = format;
        self
    }

    /// Sets the probe that asks engines for their load.
    pub fn probe(mut self, probe: Arc<dyn EndpointProbe>) -> Self {
        self.options.probe = probe;
        self
    }

    /// Sets the store of the advice that endpoints give. It is shared with the probe, because a resting endpoint must
    /// not be probed either.
    pub fn advice(mut self, advice: Arc<SharedAdvice>) -> Self {
        self.options.advice = advice;
        self
    }

    /// Limits the memory of the process, in bytes, by what the gauge measures. The number of caller connections and the
    /// size of all request bodies together are limited as well.
    pub fn memory(mut self, bytes: u64, gauge: Arc<dyn MemoryGauge>) -> Self {
        self.options.memory = MemoryAccount::new(bytes / 100 * HEAP_PERCENT, gauge);
        let available = bytes.saturating_sub(BASELINE_BYTES);
        self.options.body_bytes = available / BODY_DIVISOR;
        let affordable = usize::try_from(available / CONNECTION_BYTES);
        let maximum = EdgeOptions::default().max_connections;
        let total = affordable.unwrap_or(maximum).clamp(MIN_CONNECTIONS, maximum);
        self.options.edge.max_refused = total / REFUSED_DIVISOR;
        self.options.edge.max_connections = total - self.options.edge.max_refused;
        self
    }

    /// Limits the number of descriptors of the process. To be set after [`Self::memory`]. Those that are not needed
    /// otherwise are divided among callers and endpoints, since a request that runs takes a connection to each.
    pub fn descriptors(mut self, descriptors: u64) -> Self {
        let available =
            usize::try_from(descriptors.saturating_sub(RESERVED_DESCRIPTORS)).unwrap_or(usize::MAX);
        let edge = &mut self.options.edge;
        let callers = (available / 100 * CALLER_DESCRIPTOR_PERCENT)
            .max(MIN_CONNECTIONS)
            .min(edge.max_connections + edge.max_refused);
        edge.max_refused = callers / REFUSED_DIVISOR;
        edge.max_connections = callers - edge.max_refused;
        self.options.pool.max_open = available.saturating_sub(callers).max(MIN_CONNECTIONS);
        self
    }

    /// Returns the finished options.
    pub fn build(self) -> GatewayOptions {
        self.options
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct GatewayDaemon {
    /// The bound address on which callers are served.
    pub callers: SocketAddr,
    /// The bound addresses that serve readiness, metrics and state.
    pub status: Vec<SocketAddr>,
    server: EdgeServer,
    mirror: Arc<FleetMirror>,
    is_stopping: Arc<AtomicBool>,
    stop_notice: StopNotice,
    end_notice: StopNotice,
}

impl GatewayDaemon {
    /// Returns the local view of the fleet.
    pub fn mirror(&self) -> &Arc<FleetMirror> {
        &self.mirror
    }

    /// Stops the gateway gracefully.
    ///
    /// It reports not ready at once, keeps accepting requests until load balancers have noticed, and waits up
    /// to `limit` for open connections. Requests that still wait for an endpoint shortly before are refused, then those
    /// whose endpoint has not answered, and answers that still run are broken off. Returns true if all connections ended in
    /// time.
    pub async fn stop(self, limit: Duration) -> bool {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.server.drain();
        task::spawn(self.stop_notice.clone().give_after(limit.saturating_sub(LAST_REFUSALS)));
        task::spawn(self.end_notice.clone().give_after(limit.saturating_sub(LAST_ENDS)));
        let now = BootInstant::now();
        let latest = now + limit;
        self.server.drained(now + DRAIN_NOTICE.min(limit), latest).await
    }
}

/// Starts a gateway that serves until [`GatewayDaemon::stop`] is called.
pub async fn start_gateway(options: GatewayOptions) -> Result<GatewayDaemon, StartError> {
    let incarnation = Incarnation(rand::random());
    let counters = GatewayCounters::default();
    let mirror = FleetMirror::start(FleetMirrorOptions {
        follower: format!("gateway-{}", options.instance),
        seeds: options.seeds.clone(),
        directory: options.keepers.clone(),
        format: options.format.clone(),
        counter: counters.keepers.clone(),
        max_endpoint_silence: MAX_ENDPOINT_SILENCE,
    });
    let spans = SpanSink::default();
    let local_dispatcher = FleetDispatcher::new(FleetDispatcherOptions {
        region: options.region.clone(),
        incarnation,
        mirror: mirror.clone(),
        spans: spans.clone(),
        probe: options.probe.clone(),
        subset: Some(EngineSubset { instance: options.instance.clone(), hall: options.hall.clone() }),
    });
    let mut registry = Registry::default();
    let metrics = GatewayMetrics::register(&mut registry);
    let (stop_notice, end_notice) = (StopNotice::default(), StopNotice::default());
    let pool = EndpointPool::new(options.pool);
    let gateway = Gateway::new(GatewayParts {
        instance: options.instance.clone(),
        hall: options.hall.to_string(),
        hall_regions: options.hall_regions.clone(),
        incarnation,
        mirror: mirror.clone(),
        dispatchers: options.dispatchers.clone(),
        local_dispatcher,
        pool: pool.clone(),
        bodies: BodyBudget::within(options.body_bytes, options.memory.clone()),
        memory: options.memory.clone(),
        stop_notice: stop_notice.clone(),
        end_notice: end_notice.clone(),
        advice: options.advice.clone(),
        dialect: options.dialect.clone(),
        spans,
        counter: counters.dispatchers.clone(),
        metrics: metrics.clone(),
    });
    let server = EdgeServer::with_memory(Arc::new(gateway.clone()), options.edge, options.memory.clone());
    let callers = server.listen(options.callers).await.map_err(StartError::bind(options.callers))?;
    task::spawn(run_maintenance(gateway.clone(), mirror.clone(), pool.clone(), options.advice.clone()));
    let watch = MemoryWatch { memory: options.memory.clone(), server: server.clone(), pool: pool.clone() };
    task::spawn(watch.run());
    let is_stopping: Arc<AtomicBool> = Arc::default();
    let traffic = counters.register(&mut registry);
    let source = Arc::new(GatewayStatusSource {
        mirror: mirror.clone(),
        gateway,
        pool,
        advice: options.advice.clone(),
        server: server.clone(),
        memory: options.memory.clone(),
        registry,
        traffic,
        metrics,
        is_stopping: is_stopping.clone(),
    });
    let mut status = Vec::new();
    for address in &options.status {
        status.push(serve_status(*address, source.clone()).await.map_err(StartError::bind(*address))?);
    }
    Ok(GatewayDaemon { callers, status, server, mirror, is_stopping, stop_notice, end_notice })
}

/// Opens shards for the services of new plans, closes connections that were idle for too long and expires endpoint
/// rests.
async fn run_maintenance(
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
        pool.remove_expired();
        advice.expire();
        task::sleep(MAINTENANCE_INTERVAL).await;
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

/// Returns the names of the evacuated data halls, to which this process sends no requests.
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
    memory: Arc<MemoryAccount>,
    registry: Registry,
    traffic: TrafficMetrics,
    metrics: GatewayMetrics,
    is_stopping: Arc<AtomicBool>,
}

impl StatusSource for GatewayStatusSource {
    /// Returns true once there is a plan, even while no keeper is reachable, until the gateway stops.
    fn is_ready(&self) -> bool {
        self.mirror.has_plan() && !self.is_stopping.load(Ordering::SeqCst)
    }

    fn metrics(&self) -> String {
        self.metrics.connections_opened.set(i64::try_from(self.pool.opened()).unwrap_or(i64::MAX));
        self.metrics.callers_open.set(i64::try_from(self.server.open()).unwrap_or(i64::MAX));
        self.metrics.plan_number.set(i64::try_from(self.mirror.plan().number).unwrap_or(i64::MAX));
        let (resting, leaving) = self.advice.counts();
        self.metrics.endpoints_resting.set(i64::try_from(resting).unwrap_or(i64::MAX));
        self.metrics.endpoints_leaving.set(i64::try_from(leaving).unwrap_or(i64::MAX));
        let evacuated = self.mirror.hall_orders().evacuated_count();
        self.metrics.halls_evacuated.set(i64::try_from(evacuated).unwrap_or(i64::MAX));
        self.metrics.set_memory(self.memory.state(), resident_bytes());
        self.metrics.callers_idle.set(i64::try_from(self.server.idle()).unwrap_or(i64::MAX));
        self.traffic.refresh();
        encode_text(&self.registry)
    }

    fn state(&self) -> String {
        let shards = self.gateway.shards().into_iter().map(|shard| shard.state());
        let keepers = self.mirror.keepers().into_iter().map(|status| {
            json!({
                "name": status.peer.name.as_str(),
                "reached": status.is_connected(),
                "hears_majority": status.confirmed,
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
