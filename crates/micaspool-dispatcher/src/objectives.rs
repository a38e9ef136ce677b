//! What a shard granted and refused lately, by the time within which answers are wanted.
//!
//! Kinds of request that share a service and a customer differ in little else here, and one may be served at the
//! price of another.

use micaspool_telemetry::events::{self, field, record};
use micaspool_types::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The most objectives that are told apart; further ones are counted with the longest of these.
const MAX_OBJECTIVES: usize = 8;

/// Decisions on tickets with about the same objective.
#[derive(Debug, Default)]
struct ObjectiveCounts {
    grants: u64,
    /// Refused on arrival.
    refused_on_arrival: u64,
    /// Refused after a wait.
    refused_after_wait: u64,
}

/// Decisions since the last lines.
#[derive(Debug)]
pub(crate) struct ObjectiveTally {
    service: ServiceName,
    /// By objective in milliseconds, in two leading digits.
    counts: BTreeMap<u64, ObjectiveCounts>,
}

impl ObjectiveTally {
    pub fn new(service: ServiceName) -> ObjectiveTally {
        ObjectiveTally { service, counts: BTreeMap::new() }
    }

    /// Counts a grant.
    pub fn count_grant(&mut self, objective: Option<Duration>) {
        if let Some(counts) = self.counts_of(objective) {
            counts.grants += 1;
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&mut self, objective: Option<Duration>, waited: Duration) {
        let Some(counts) = self.counts_of(objective) else { return };
        if waited.is_zero() {
            counts.refused_on_arrival += 1;
        } else {
            counts.refused_after_wait += 1;
        }
    }

    /// Writes a line an objective, if anything was refused, and begins anew.
    pub fn report(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        if counts.values().all(|counts| counts.refused_on_arrival + counts.refused_after_wait == 0) {
            return;
        }
        for (objective, counts) in counts {
            let fields = [
                field("service", &self.service),
                field("objective_ms", objective),
                field("grants", counts.grants),
                field("refused_on_arrival", counts.refused_on_arrival),
                field("refused_after_wait", counts.refused_after_wait),
            ];
            record(&events::OBJECTIVE_DECIDED, &fields);
        }
    }

    fn counts_of(&mut self, objective: Option<Duration>) -> Option<&mut ObjectiveCounts> {
        let mut key = rounded_millis(objective?);
        if self.counts.len() >= MAX_OBJECTIVES && !self.counts.contains_key(&key) {
            key = *self.counts.last_key_value()?.0;
        }
        Some(self.counts.entry(key).or_default())
    }
}

/// Milliseconds, rounded up to two leading digits: routers tell what is left of an objective, which is some
/// milliseconds less than the whole.
fn rounded_millis(objective: Duration) -> u64 {
    let millis = u64::try_from(objective.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
    let mut step = 1;
    while millis / step >= 100 {
        step *= 10;
    }
    millis.div_ceil(step) * step
}
