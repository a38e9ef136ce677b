//! Control traffic, counted at the sockets.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The bytes of the control connections between this process and one kind of peer.
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
    /// Counts bytes that came in.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes that went out.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// All bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// All bytes sent so far.
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

    /// Registers `micaspool_control_bytes`.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Bytes of control traffic, counted at the sockets";
        registry.register("micaspool_control_bytes", help, self.family.clone());
    }

    /// Brings the series up to date before they are read.
    pub fn refresh(&self) {
        for (role, peer, counter) in &self.counters {
            self.raise(role, peer, "received", counter.received());
            self.raise(role, peer, "sent", counter.sent());
        }
    }

    fn raise(&self, role: &'static str, peer: &'static str, direction: &'static str, total: u64) {
        let series = self.family.get_or_create(&TrafficLabels { role, peer, direction });
        series.inc_by(total.saturating_sub(series.get()));
    }
}
