//! What keeps endpoints from getting more while something waits or is refused.

use micaspool_dispatch::{EndpointClosure, EndpointStatus, ShardStatus};
use micaspool_telemetry::events::{field, EventField};

/// What binds an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointConstraint {
    /// Nothing: it is free, and what waits does not suit it or waits for another.
    Nothing,
    /// All its slots are taken.
    Slots,
    /// It has enough to read.
    Prefill,
    /// It is cold, and its next request is not due.
    Cold,
    /// Its data hall is evacuated.
    Evacuated,
    /// It is left alone for a while after failures.
    Paused,
    /// It leaves.
    Leaving,
}

/// Every cause, in the order of the counts.
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
    /// What binds an endpoint at this moment.
    pub fn of(endpoint: &EndpointStatus) -> EndpointConstraint {
        match endpoint.closure {
            Some(EndpointClosure::Evacuated) => EndpointConstraint::Evacuated,
            Some(EndpointClosure::Paused) => EndpointConstraint::Paused,
            Some(_) => EndpointConstraint::Leaving,
            None if endpoint.free => EndpointConstraint::Nothing,
            None if endpoint.spaced => EndpointConstraint::Cold,
            None if endpoint.reading => EndpointConstraint::Prefill,
            None => EndpointConstraint::Slots,
        }
    }
}

/// Counts causes over the moments in which something waited or was refused.
#[derive(Debug, Default)]
pub(crate) struct ConstraintTally {
    counts: [u64; CONSTRAINTS.len()],
}

impl ConstraintTally {
    /// Looks at the endpoints once.
    pub fn sample(&mut self, status: &ShardStatus) {
        for endpoint in status.endpoints.iter().filter(|endpoint| endpoint.slots > 0) {
            let constraint = EndpointConstraint::of(endpoint);
            let position = CONSTRAINTS.iter().position(|(listed, _)| *listed == constraint);
            self.counts[position.expect("every cause is listed")] += 1;
        }
    }

    /// The part of endpoints and moments that each cause bound, in percent; none when nothing waited or was refused.
    /// Begins anew.
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
