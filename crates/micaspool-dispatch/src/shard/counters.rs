//! Counters of a customer's granted and refused tickets.

use std::time::Duration;

/// Counters of a customer's tickets since the shard started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerCounters {
    /// Tickets that were granted.
    pub granted: u64,
    /// The load of the granted tickets: prompt tokens, or requests without any.
    pub granted_load: u64,
    /// Tickets that were refused on arrival.
    pub refused_on_arrival: u64,
    /// Tickets that were refused after waiting.
    pub refused_after_wait: u64,
}

impl CustomerCounters {
    /// All refused tickets.
    pub fn refused(&self) -> u64 {
        self.refused_on_arrival + self.refused_after_wait
    }

    /// The increase since an earlier snapshot.
    pub fn since(&self, before: &CustomerCounters) -> CustomerCounters {
        CustomerCounters {
            granted: self.granted - before.granted,
            granted_load: self.granted_load - before.granted_load,
            refused_on_arrival: self.refused_on_arrival - before.refused_on_arrival,
            refused_after_wait: self.refused_after_wait - before.refused_after_wait,
        }
    }

    pub(super) fn note_grant(&mut self, load: u64) {
        self.granted += 1;
        self.granted_load += load;
    }

    pub(super) fn note_refusal(&mut self, waited: Duration) {
        if waited.is_zero() {
            self.refused_on_arrival += 1;
        } else {
            self.refused_after_wait += 1;
        }
    }
}
