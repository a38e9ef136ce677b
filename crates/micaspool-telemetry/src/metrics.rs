//! Metrics in the OpenMetrics text format.

use crate::panics;
use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Returns all metrics of a registry and those of the process in the OpenMetrics text format.
pub fn encode_text(registry: &Registry) -> String {
    let mut text = String::new();
    let encoded = encode_registry(&mut text, registry)
        .and_then(|()| encode_registry(&mut text, &process_registry()))
        .and_then(|()| encode_eof(&mut text));
    encoded.expect("writing to a string does not fail");
    text
}

/// Returns the metrics that every process has.
fn process_registry() -> Registry {
    let mut registry = Registry::default();
    let panic_count = Counter::<u64>::default();
    panic_count.inc_by(panics::count());
    registry.register("micaspool_panics", "Panics since the start", panic_count);
    registry
}
