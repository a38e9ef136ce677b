//! Metrics as text.

use prometheus_client::registry::Registry;

/// Every metric of a registry in the OpenMetrics text format.
pub fn encode_text(registry: &Registry) -> String {
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, registry).expect("writing to memory works");
    text
}
