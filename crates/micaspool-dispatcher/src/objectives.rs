//! Logs grants and refusals by the tickets' objectives for the first event of the response.
//!
//! Kinds of requests that share a service and a customer differ in little else that a shard knows, and one kind may
//! be served at the expense of another.

use micaspool_telemetry::events::{self, field, record};
use micaspool_types::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of distinct objectives; others are counted with the longest of them.
const MAX_OBJECTIVES: usize = 8;

/// Counts decisions on tickets with about the same objective.
#[derive(Debug, Default)]
struct ObjectiveCounts {
    grants: u64,
    refused_on_arrival: u64,
    refused_after_wait: u64,
}

/// Counts decisions by objective since the last report.
#[derive(Debug)]
pub(crate) struct ObjectiveTally {
    service: ServiceName,
    /// Keys are objectives in milliseconds, rounded up to two significant digits.
    counts: BTreeMap<u64, ObjectiveCounts>,
}

impl ObjectiveTally {
    pub fn new(service: ServiceName) -> ObjectiveTally {
        ObjectiveTally { service, counts: BTreeMap::new() }
    }

    /// Counts a grant of a ticket that has an objective.
    pub fn count_grant(&mut self, objective: Option<Duration>) {
        if let Some(counts) = self.counts_of(objective) {
            counts.grants += 1;
        }
    }

    /// Counts the refusal of a ticket that has an objective.
    pub fn count_refusal(&mut self, objective: Option<Duration>, waited: Duration) {
        let Some(counts) = self.counts_of(objective) else { return };
        if waited.is_zero() {
            counts.refused_on_arrival += 1;
        } else {
            counts.refused_after_wait += 1;
        }
    }

    /// Logs one line for each objective if any ticket was refused, and resets the counts.
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

/// Returns the objective in milliseconds, rounded up to two significant digits. Routers send how much of an
/// objective remains, which is some milliseconds less than the whole.
fn rounded_millis(objective: Duration) -> u64 {
    let millis = u64::try_from(objective.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
    let mut step = 1;
    while millis / step >= 100 {
        step *= 10;
    }
    millis.div_ceil(step) * step
}
