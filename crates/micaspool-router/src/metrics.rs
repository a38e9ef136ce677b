//! The metrics of the router.

use micaspool_types::Refusal;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

/// The metrics of request handling.
#[derive(Clone, Debug)]
pub(crate) struct RouterMetrics {
    results: Family<ResultLabels, Counter>,
    pub wait_seconds: Histogram,
    pub cost: Counter,
    pub retries: Counter,
    pub revision: Gauge,
    pub waiting: Gauge,
    pub running: Gauge,
}

impl RouterMetrics {
    pub fn register(registry: &mut Registry) -> RouterMetrics {
        let metrics = RouterMetrics {
            results: Family::default(),
            wait_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 18)),
            cost: Counter::default(),
            retries: Counter::default(),
            revision: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
        };
        registry.register("micaspool_requests", "Requests by result", metrics.results.clone());
        let wait_help = "Seconds from arrival to grant";
        registry.register("micaspool_wait_seconds", wait_help, metrics.wait_seconds.clone());
        registry.register("micaspool_cost", "Cost delivered: tokens, or calls", metrics.cost.clone());
        registry.register("micaspool_retries", "Requests sent again", metrics.retries.clone());
        registry.register("micaspool_settings_revision", "Revision in force", metrics.revision.clone());
        registry.register("micaspool_waiting_requests", "Waiting requests", metrics.waiting.clone());
        registry.register("micaspool_running_requests", "Running requests", metrics.running.clone());
        metrics
    }

    pub fn count_refusal(&self, refusal: &Refusal) {
        self.results.get_or_create(&ResultLabels { result: refusal.kind.as_str() }).inc();
    }

    pub fn count_answer(&self) {
        self.results.get_or_create(&ResultLabels { result: "answered" }).inc();
    }
}
