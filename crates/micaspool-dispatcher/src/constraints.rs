//! Samples what keeps endpoints from taking more requests while tickets wait or are refused.

use micaspool_dispatch::{EndpointClosure, EndpointStatus, ShardStatus};
use micaspool_telemetry::events::{field, EventField};

/// What keeps an endpoint from taking another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointConstraint {
    /// Nothing: it is free, and the waiting tickets may not run there or wait for another endpoint.
    Nothing,
    /// All slots are in use.
    Slots,
    /// Its engine has too much queued prefill work for another prompt.
    Prefill,
    /// It is cold, and its next request is not due yet.
    Cold,
    /// Its data hall is evacuated.
    Evacuated,
    /// It is paused after failures.
    Paused,
    /// It is leaving or is not in the settings.
    Leaving,
}

/// Every constraint with the name of its log field, in the order of `ConstraintTally::counts`.
const CONSTRAINTS: [(EndpointConstraint, &str); 7] = [
    (EndpointConstraint::Nothing, "bound_by_nothing"),
    (EndpointConstraint::Slots, "bound_by_slots"),
    (EndpointConstraint::Prefill, "bound_by_reading"),
    (EndpointConstraint::Cold, "bound_by_cold"),
    (EndpointConstraint::Evacuated, "bound_by_evacuation"),
    (EndpointConstraint::Paused, "bound_by_pause"),
    (EndpointConstraint::Leaving, "bound_by_leaving"),
];

impl EndpointConstraint {
    /// Returns the constraint of an endpoint according to its status.
    pub fn of(endpoint: &EndpointStatus) -> EndpointConstraint {
        match endpoint.closure {
            Some(EndpointClosure::Evacuated) => EndpointConstraint::Evacuated,
            Some(EndpointClosure::Paused) => EndpointConstraint::Paused,
            Some(_) => EndpointConstraint::Leaving,
            None if endpoint.free => EndpointConstraint::Nothing,
            None if endpoint.cold_limited => EndpointConstraint::Cold,
            None if endpoint.prefill_limited => EndpointConstraint::Prefill,
            None => EndpointConstraint::Slots,
        }
    }
}

/// Counts constraints over samples taken while tickets waited or were refused.
#[derive(Debug, Default)]
pub(crate) struct ConstraintTally {
    counts: [u64; CONSTRAINTS.len()],
}

impl ConstraintTally {
    /// Counts the current constraint of every endpoint that has slots.
    pub fn sample(&mut self, status: &ShardStatus) {
        for endpoint in status.endpoints.iter().filter(|endpoint| endpoint.slots > 0) {
            let constraint = EndpointConstraint::of(endpoint);
            let index = CONSTRAINTS.iter().position(|(listed, _)| *listed == constraint);
            self.counts[index.expect("every constraint is listed")] += 1;
        }
    }

    /// Returns the share of each constraint among all counted ones, in percent, and resets the counts. Without
    /// samples there are no fields.
    pub fn take_fields(&mut self) -> Vec<EventField> {
        let counts = std::mem::take(&mut self.counts);
        let total: u64 = counts.iter().sum();
        if total == 0 {
            return Vec::new();
        }
        let named = CONSTRAINTS.iter().zip(counts).filter(|(_, count)| *count > 0);
        named.map(|((_, name), count)| field(name, count * 100 / total)).collect()
    }
}
