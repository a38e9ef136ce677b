//! Counters of a customer's tickets and of changes of its level.

use micaspool_fair::ServiceLevel;
use std::time::Duration;

/// Counters of a customer's tickets and of changes of its level since the shard started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerCounters {
    /// Tickets that were granted.
    pub granted: u64,
    /// The load of the granted tickets: prompt tokens, or requests without any.
    pub granted_load: u64,
    /// The load of the granted tickets whose response has begun.
    pub begun_load: u64,
    /// The load of the granted tickets that ended before a response began.
    pub lost_load: u64,
    /// How far the level was raised towards those of other customers.
    pub lifted: ServiceLevel,
    /// Tickets that were refused on arrival.
    pub refused_on_arrival: u64,
    /// Tickets that were refused after waiting.
    pub refused_after_wait: u64,
    /// Tickets among them that were refused without a decision.
    pub refused_unread: u64,
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
            begun_load: self.begun_load - before.begun_load,
            lost_load: self.lost_load - before.lost_load,
            lifted: ServiceLevel(self.lifted.0 - before.lifted.0),
            refused_on_arrival: self.refused_on_arrival - before.refused_on_arrival,
            refused_after_wait: self.refused_after_wait - before.refused_after_wait,
            refused_unread: self.refused_unread - before.refused_unread,
        }
    }

    pub(super) fn note_grant(&mut self, load: u64) {
        self.granted += 1;
        self.granted_load += load;
    }

    pub(super) fn note_begun(&mut self, load: u64) {
        self.begun_load += load;
    }

    pub(super) fn note_lost(&mut self, load: u64) {
        self.lost_load += load;
    }

    pub(super) fn note_lift(&mut self, lift: ServiceLevel) {
        self.lifted = self.lifted.saturating_add(lift);
    }

    pub(super) fn note_unread(&mut self, waited: Duration) {
        self.refused_unread += 1;
        self.note_refusal(waited);
    }

    pub(super) fn note_refusal(&mut self, waited: Duration) {
        if waited.is_zero() {
            self.refused_on_arrival += 1;
        } else {
            self.refused_after_wait += 1;
        }
    }
}
