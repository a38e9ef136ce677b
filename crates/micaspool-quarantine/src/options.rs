//! Limits and times.

use std::time::Duration;

/// Endpoints that may end under a request before it is shut out. One or two may have ended for reasons of their own.
const CRASHES: usize = 3;
/// How long it is shut out after the third. A trial afterwards may cost an endpoint.
const QUARANTINE: Duration = Duration::from_secs(3_600);
/// How much longer after each further one.
const GROWTH: u32 = 4;
/// The longest time that it is shut out.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(24 * 3_600);
/// How long one or two crashes are held against a request: longer than callers go on trying.
const SUSPICION: Duration = Duration::from_secs(1_800);
/// The most requests that a table remembers, some 200 bytes each.
const CAPACITY: usize = 4_096;
/// The most requests of one customer among them, so that a flood of different ones pushes out only its own.
const CUSTOMER_CAPACITY: usize = 512;

/// Limits and times of a table; made by [`QuarantineOptions::builder`].
#[derive(Clone, Copy, Debug)]
pub struct QuarantineOptions {
    pub(crate) crashes: usize,
    pub(crate) quarantine: Duration,
    pub(crate) suspicion: Duration,
    pub(crate) capacity: usize,
    pub(crate) customer_capacity: usize,
}

/// Builds [`QuarantineOptions`]; what is not set keeps its default.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineOptionsBuilder {
    options: QuarantineOptions,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        QuarantineOptions {
            crashes: CRASHES,
            quarantine: QUARANTINE,
            suspicion: SUSPICION,
            capacity: CAPACITY,
            customer_capacity: CUSTOMER_CAPACITY,
        }
    }
}

impl QuarantineOptions {
    /// Starts from the defaults.
    pub fn builder() -> QuarantineOptionsBuilder {
        QuarantineOptionsBuilder { options: QuarantineOptions::default() }
    }

    /// How long a request is shut out after so many crashes; `None` while it is not.
    pub(crate) fn quarantine_after(&self, crashes: usize) -> Option<Duration> {
        let further = u32::try_from(crashes.checked_sub(self.crashes)?).unwrap_or(u32::MAX);
        Some(self.quarantine.saturating_mul(GROWTH.saturating_pow(further)).min(LONGEST_QUARANTINE))
    }

    /// How long so many crashes are remembered. After a quarantine as long again, so that the trial that follows
    /// does not begin from nothing.
    pub(crate) fn memory_of(&self, crashes: usize) -> Duration {
        self.quarantine_after(crashes).map_or(self.suspicion, |quarantine| quarantine * 2)
    }
}

impl QuarantineOptionsBuilder {
    /// How long a request is shut out after the third crash.
    pub fn quarantine(mut self, quarantine: Duration) -> Self {
        self.options.quarantine = quarantine;
        self
    }

    /// How long one or two crashes are held against a request.
    pub fn suspicion(mut self, suspicion: Duration) -> Self {
        self.options.suspicion = suspicion;
        self
    }

    /// The most requests in all, and of one customer.
    pub fn capacity(mut self, capacity: usize, customer_capacity: usize) -> Self {
        self.options.capacity = capacity;
        self.options.customer_capacity = customer_capacity;
        self
    }

    /// The options.
    pub fn build(self) -> QuarantineOptions {
        self.options
    }
}
