//! What keeps endpoints from getting more while something waits or is refused.

use micaspool_dispatch::{EndpointClosure, EndpointStatus, ShardStatus};
use micaspool_telemetry::events::{field, EventField};

/// What binds an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointBound {
    /// Nothing: it is free, and what waits does not suit it or waits for another.
    Nothing,
    /// All its slots are taken.
    Slots,
    /// It has enough to read.
    Reading,
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
const BOUNDS: [(EndpointBound, &str); 7] = [
    (EndpointBound::Nothing, "bound_by_nothing"),
    (EndpointBound::Slots, "bound_by_slots"),
    (EndpointBound::Reading, "bound_by_reading"),
    (EndpointBound::Cold, "bound_by_cold"),
    (EndpointBound::Evacuated, "bound_by_evacuation"),
    (EndpointBound::Paused, "bound_by_pause"),
    (EndpointBound::Leaving, "bound_by_leaving"),
];

impl EndpointBound {
    /// What binds an endpoint at this moment.
    pub fn of(endpoint: &EndpointStatus) -> EndpointBound {
        match endpoint.closure {
            Some(EndpointClosure::Evacuated) => EndpointBound::Evacuated,
            Some(EndpointClosure::Paused) => EndpointBound::Paused,
            Some(_) => EndpointBound::Leaving,
            None if endpoint.free => EndpointBound::Nothing,
            None if endpoint.cold_limited => EndpointBound::Cold,
            None if endpoint.prefill_limited => EndpointBound::Reading,
            None => EndpointBound::Slots,
        }
    }
}

/// Counts causes over the moments in which something waited or was refused.
#[derive(Debug, Default)]
pub(crate) struct BindingTally {
    counts: [u64; BOUNDS.len()],
}

impl BindingTally {
    /// Looks at the endpoints once.
    pub fn sample(&mut self, status: &ShardStatus) {
        for endpoint in status.endpoints.iter().filter(|endpoint| endpoint.slots > 0) {
            let bound = EndpointBound::of(endpoint);
            let place = BOUNDS.iter().position(|(cause, _)| *cause == bound);
            self.counts[place.expect("every cause is listed")] += 1;
        }
    }

    /// The part of endpoints and moments that each cause bound, in percent; none when nothing waited or was refused.
    /// Begins anew.
    pub fn take_fields(&mut self) -> Vec<EventField> {
        let counts = std::mem::take(&mut self.counts);
        let all: u64 = counts.iter().sum();
        if all == 0 {
            return Vec::new();
        }
        let named = BOUNDS.iter().zip(counts).filter(|(_, count)| *count > 0);
        named.map(|((_, name), count)| field(name, count * 100 / all)).collect()
    }
}
