//! Counters, gauges and histograms of a gateway.

use micaspool_memory::MemoryState;
use micaspool_telemetry::limit::LineLimit;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::Arc;

/// The smallest bucket of the latency histograms, in seconds, and the number of buckets. Each bucket doubles the one
/// before, up to about 16 s.
const FIRST_BUCKET: f64 = 0.002;
const BUCKET_COUNT: u16 = 14;
/// The maximum number of log lines for throttled requests per second.
const MAX_THROTTLED_LINES: u32 = 20;
/// The maximum number of log lines for calls that were cut with their connections per second.
const MAX_CUT_LINES: u32 = 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemoryLabel {
    part: &'static str,
}

/// The metrics of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    /// Answers that were passed on completely.
    pub answered: Counter,
    refused: Family<KindLabel, Counter>,
    /// Refusals of all kinds; not exported.
    refused_total: Counter,
    failures: Family<KindLabel, Counter>,
    cut: Family<KindLabel, Counter>,
    /// Requests whose caller disconnected before the end.
    pub callers_left: Counter,
    /// Answers that broke off while being relayed.
    pub broken: Counter,
    /// Streams that were resumed at another endpoint.
    pub resumed: Counter,
    /// Seconds between a ticket and its grant or refusal.
    pub wait_seconds: Histogram,
    /// Seconds from the arrival of a request to the first byte of its answer.
    pub first_byte_seconds: Histogram,
    /// Seconds from the arrival of a request to the end of its answer.
    pub total_seconds: Histogram,
    /// Seconds by which tasks run late.
    pub lag_seconds: Histogram,
    /// Connections to endpoints opened so far.
    pub connections_opened: Gauge,
    /// Open connections of callers.
    pub callers_open: Gauge,
    /// The number of the plan in force.
    pub plan_number: Gauge,
    /// Endpoints that asked this process to rest.
    pub endpoints_resting: Gauge,
    /// Endpoints that announced that they are leaving.
    pub endpoints_leaving: Gauge,
    /// Evacuated data halls.
    pub halls_evacuated: Gauge,
    /// Open connections on which nothing runs.
    pub callers_idle: Gauge,
    memory: Family<MemoryLabel, Gauge>,
    /// Limits the log lines for throttled requests, of which a flood produces hundreds.
    pub throttled_log_limit: Arc<LineLimit>,
    /// Limits the log lines for calls that were cut with their connections.
    pub cut_log_limit: Arc<LineLimit>,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    pub fn register(registry: &mut Registry) -> GatewayMetrics {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKET_COUNT));
        let metrics = GatewayMetrics {
            answered: Counter::default(),
            refused: Family::default(),
            refused_total: Counter::default(),
            failures: Family::default(),
            cut: Family::default(),
            callers_left: Counter::default(),
            broken: Counter::default(),
            resumed: Counter::default(),
            wait_seconds: histogram(),
            first_byte_seconds: histogram(),
            total_seconds: histogram(),
            lag_seconds: histogram(),
            connections_opened: Gauge::default(),
            callers_open: Gauge::default(),
            plan_number: Gauge::default(),
            endpoints_resting: Gauge::default(),
            endpoints_leaving: Gauge::default(),
            halls_evacuated: Gauge::default(),
            callers_idle: Gauge::default(),
            memory: Family::default(),
            throttled_log_limit: Arc::new(LineLimit::new(MAX_THROTTLED_LINES)),
            cut_log_limit: Arc::new(LineLimit::new(MAX_CUT_LINES)),
        };
        metrics.register_counters(registry);
        metrics.register_histograms_and_gauges(registry);
        metrics
    }

    fn register_counters(&self, registry: &mut Registry) {
        registry.register("micaspool_gateway_answers", "Whole answers passed on", self.answered.clone());
        registry.register("micaspool_gateway_refusals", "Refused requests by kind", self.refused.clone());
        registry.register("micaspool_gateway_failures", "Failed sends by kind", self.failures.clone());
        let cut_help = "Calls cut with their connections, by kind";
        registry.register("micaspool_gateway_cut", cut_help, self.cut.clone());
        registry.register("micaspool_gateway_left", "Requests whose caller left", self.callers_left.clone());
        registry.register("micaspool_gateway_broken", "Answers that broke", self.broken.clone());
        registry.register("micaspool_gateway_resumed", "Streams resumed elsewhere", self.resumed.clone());
    }

    fn register_histograms_and_gauges(&self, registry: &mut Registry) {
        let wait_help = "Seconds from ticket to grant";
        registry.register("micaspool_gateway_wait_seconds", wait_help, self.wait_seconds.clone());
        let first_byte_help = "Seconds from arrival to the first byte of the answer";
        registry.register(
            "micaspool_gateway_first_byte_seconds",
            first_byte_help,
            self.first_byte_seconds.clone(),
        );
        let total_help = "Seconds from arrival to the end of the answer";
        registry.register("micaspool_gateway_total_seconds", total_help, self.total_seconds.clone());
        let lag_help = "Seconds by which tasks run late";
        registry.register("micaspool_gateway_lag_seconds", lag_help, self.lag_seconds.clone());
        let opened_help = "Connections to endpoints opened so far";
        registry.register("micaspool_gateway_opened", opened_help, self.connections_opened.clone());
        registry.register("micaspool_gateway_callers", "Open connections", self.callers_open.clone());
        registry.register("micaspool_gateway_plan", "Plan in force", self.plan_number.clone());
        let resting_help = "Endpoints that asked this gateway for rest";
        registry.register(
            "micaspool_gateway_resting_endpoints",
            resting_help,
            self.endpoints_resting.clone(),
        );
        let leaving_help = "Endpoints that said in an answer that they leave";
        registry.register(
            "micaspool_gateway_leaving_endpoints",
            leaving_help,
            self.endpoints_leaving.clone(),
        );
        let idle_help = "Open connections on which nothing runs";
        registry.register("micaspool_gateway_idle_callers", idle_help, self.callers_idle.clone());
        let memory_help = "Bytes in use, promised, allowed and resident";
        registry.register("micaspool_gateway_memory_bytes", memory_help, self.memory.clone());
        let evacuated_help = "Data halls that are evacuated by an operator's order";
        registry.register("micaspool_gateway_evacuated_halls", evacuated_help, self.halls_evacuated.clone());
    }

    /// Sets the memory of the process, and its resident part if it is known.
    pub fn set_memory(&self, state: MemoryState, resident: Option<u64>) {
        let parts = [
            ("in-use", state.in_use),
            ("promised", state.promised),
            ("limit", state.limit),
            ("resident", resident.unwrap_or_default()),
        ];
        for (part, bytes) in parts {
            let gauge = self.memory.get_or_create(&MemoryLabel { part });
            gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: &'static str) {
        self.refused_total.inc();
        self.refused.get_or_create(&KindLabel { kind }).inc();
    }

    /// Returns the number of refusals of all kinds so far.
    pub fn refusals(&self) -> u64 {
        self.refused_total.get()
    }

    /// Counts a failed send.
    pub fn count_failure(&self, kind: &'static str) {
        self.failures.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a call that was cut with its connection.
    pub fn count_cut(&self, kind: &'static str) {
        self.cut.get_or_create(&KindLabel { kind }).inc();
    }
}
