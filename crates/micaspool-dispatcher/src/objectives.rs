//! What a shard granted and refused lately, by the time within which answers are wanted.
//!
//! Kinds of request that share a service and a customer differ in little else here, and one may be served at the
//! price of another.

use micaspool_telemetry::events::{self, field, record};
use micaspool_types::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The most objectives that are told apart; further ones are counted with the longest of these.
const MOST_OBJECTIVES: usize = 8;

/// Decisions on tickets with about the same objective.
#[derive(Debug, Default)]
struct ObjectiveCounts {
    grants: u64,
    /// Refused on arrival.
    turned_away: u64,
    /// Refused after a wait.
    refused_late: u64,
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
    pub fn granted(&mut self, objective: Option<Duration>) {
        if let Some(counts) = self.counts_of(objective) {
            counts.grants += 1;
        }
    }

    /// Counts a refusal.
    pub fn refused(&mut self, objective: Option<Duration>, waited: Duration) {
        let Some(counts) = self.counts_of(objective) else { return };
        if waited.is_zero() {
            counts.turned_away += 1;
        } else {
            counts.refused_late += 1;
        }
    }

    /// Writes a line an objective, if anything was refused, and begins anew.
    pub fn tell(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        if counts.values().all(|counts| counts.turned_away + counts.refused_late == 0) {
            return;
        }
        for (objective, counts) in counts {
            let fields = [
                field("service", &self.service),
                field("objective_ms", objective),
                field("grants", counts.grants),
                field("refused_on_arrival", counts.turned_away),
                field("refused_after_wait", counts.refused_late),
            ];
            record(&events::OBJECTIVE_DECIDED, &fields);
        }
    }

    fn counts_of(&mut self, objective: Option<Duration>) -> Option<&mut ObjectiveCounts> {
        let mut key = rounded(objective?);
        if self.counts.len() >= MOST_OBJECTIVES && !self.counts.contains_key(&key) {
            key = *self.counts.last_key_value()?.0;
        }
        Some(self.counts.entry(key).or_default())
    }
}

/// Milliseconds, rounded up to two leading digits: routers tell what is left of an objective, which is some
/// milliseconds less than the whole.
fn rounded(objective: Duration) -> u64 {
    let millis = u64::try_from(objective.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
    let mut step = 1;
    while millis / step >= 100 {
        step *= 10;
    }
    millis.div_ceil(step) * step
}
