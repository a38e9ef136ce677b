//! Counts the bytes of control traffic at the sockets.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Counts the bytes of the control connections between this process and one kind of peer. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounter {
    received: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

/// Labels of a control traffic series.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    role: &'static str,
    peer: &'static str,
    direction: &'static str,
}

impl TrafficCounter {
    /// Counts received bytes.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts sent bytes.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// The control traffic series of a process.
#[derive(Clone, Debug, Default)]
pub struct TrafficMetrics {
    family: Family<TrafficLabels, Counter>,
    counters: Vec<(&'static str, &'static str, TrafficCounter)>,
}

impl TrafficMetrics {
    /// Adds a counter for the connections to one kind of peer.
    pub fn with(mut self, role: &'static str, peer: &'static str, counter: TrafficCounter) -> Self {
        self.counters.push((role, peer, counter));
        self
    }

    /// Registers the metric `micaspool_control_bytes`.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Bytes of control traffic, counted at the sockets";
        registry.register("micaspool_control_bytes", help, self.family.clone());
    }

    /// Updates the metrics from the counters. To be called before they are read.
    pub fn refresh(&self) {
        for (role, peer, counter) in &self.counters {
            self.advance_to(role, peer, "received", counter.received());
            self.advance_to(role, peer, "sent", counter.sent());
        }
    }

    fn advance_to(&self, role: &'static str, peer: &'static str, direction: &'static str, total: u64) {
        let series = self.family.get_or_create(&TrafficLabels { role, peer, direction });
        series.inc_by(total.saturating_sub(series.get()));
    }
}
