//! Metrics in the OpenMetrics text format.

use prometheus_client::registry::Registry;

/// Returns all metrics of a registry in the OpenMetrics text format.
pub fn encode_text(registry: &Registry) -> String {
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, registry)
        .expect("writing to a string does not fail");
    text
}
