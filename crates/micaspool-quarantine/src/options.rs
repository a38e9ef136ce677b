//! Limits and durations of quarantine.

use micaspool_types::RequestDigest;
use std::time::Duration;

/// The number of crashes at which a request is quarantined. One or two endpoints may have crashed for other reasons.
const CRASH_LIMIT: usize = 3;
/// The quarantine after the crash that reaches the limit. Trying the request again afterwards may crash another
/// endpoint.
const BASE_QUARANTINE: Duration = Duration::from_secs(3_600);
/// The number of crashes at which a prompt part is quarantined. Runs with a sound part may end with three endpoints in
/// a row where many endpoints crash.
const PART_CRASH_LIMIT: usize = 4;
/// The quarantine of a prompt part at that limit. Many requests share a part, so a wrong quarantine must end soon.
const PART_QUARANTINE: Duration = Duration::from_secs(2);
/// The factor by which each further crash lengthens the quarantine.
const QUARANTINE_GROWTH: u32 = 4;
/// The same for a prompt part: three trials take four minutes.
const PART_QUARANTINE_GROWTH: u32 = 10;
/// The upper limit of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 3_600);
/// How long crashes below the limit are remembered: longer than callers keep retrying.
const SUSPICION_RETENTION: Duration = Duration::from_secs(1_800);
/// The maximum number of requests in a table, at about 200 bytes each.
const CAPACITY: usize = 4_096;
/// The maximum number of requests of one customer, so that a customer that sends many different requests evicts only
/// its own.
const CUSTOMER_CAPACITY: usize = 512;

/// Limits and durations of a [`CrashTable`](crate::CrashTable); built with [`QuarantineOptions::builder`].
#[derive(Clone, Copy, Debug)]
pub struct QuarantineOptions {
    /// The number of crashes at which a request is quarantined.
    pub(crate) crash_limit: usize,
    /// The quarantine after the crash that reaches `crash_limit`.
    pub(crate) quarantine: Duration,
    /// How long crashes below `crash_limit` are remembered.
    pub(crate) suspicion_retention: Duration,
    /// The maximum number of requests in a table.
    pub(crate) capacity: usize,
    /// The maximum number of requests of one customer.
    pub(crate) customer_capacity: usize,
}

/// Builds [`QuarantineOptions`]; options that are not set keep their defaults.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineOptionsBuilder {
    options: QuarantineOptions,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        QuarantineOptions {
            crash_limit: CRASH_LIMIT,
            quarantine: BASE_QUARANTINE,
            suspicion_retention: SUSPICION_RETENTION,
            capacity: CAPACITY,
            customer_capacity: CUSTOMER_CAPACITY,
        }
    }
}

impl QuarantineOptions {
    /// Returns a builder that starts from the defaults.
    pub fn builder() -> QuarantineOptionsBuilder {
        QuarantineOptionsBuilder { options: QuarantineOptions::default() }
    }

    /// Returns the length of the quarantine after `crashes` crashes, or `None` if they are fewer than the limit.
    pub(crate) fn quarantine_after(&self, digest: RequestDigest, crashes: usize) -> Option<Duration> {
        let (limit, base, growth) = match digest.part() {
            Some(_) => (PART_CRASH_LIMIT, PART_QUARANTINE, PART_QUARANTINE_GROWTH),
            None => (self.crash_limit, self.quarantine, QUARANTINE_GROWTH),
        };
        let excess = u32::try_from(crashes.checked_sub(limit)?).unwrap_or(u32::MAX);
        Some(base.saturating_mul(growth.saturating_pow(excess)).min(MAX_QUARANTINE))
    }

    /// Returns how long `crashes` crashes are remembered. For a quarantined request that is twice its quarantine, so
    /// that a crash in the trial that follows adds to the earlier ones.
    pub(crate) fn retention_after(&self, digest: RequestDigest, crashes: usize) -> Duration {
        let Some(quarantine) = self.quarantine_after(digest, crashes) else {
            return self.suspicion_retention;
        };
        match digest.part() {
            Some(_) => (quarantine * 2).max(self.suspicion_retention),
            None => quarantine * 2,
        }
    }
}

impl QuarantineOptionsBuilder {
    /// Sets the quarantine after the crash that reaches the limit.
    pub fn quarantine(mut self, quarantine: Duration) -> Self {
        self.options.quarantine = quarantine;
        self
    }

    /// Sets how long crashes below the limit are remembered.
    pub fn suspicion_retention(mut self, suspicion_retention: Duration) -> Self {
        self.options.suspicion_retention = suspicion_retention;
        self
    }

    /// Sets the maximum number of requests, in total and per customer.
    pub fn capacity(mut self, capacity: usize, customer_capacity: usize) -> Self {
        self.options.capacity = capacity;
        self.options.customer_capacity = customer_capacity;
        self
    }

    /// Returns the options.
    pub fn build(self) -> QuarantineOptions {
        self.options
    }
}
