//! Detection of machine suspension.

use crate::instant::{monotonic_now, BootInstant};
use std::time::Duration;

/// The smallest growth of the difference between the two clocks that counts as a suspension. The clocks are read one
/// after the other, about 100 ns apart. That the process is stopped in between is detected by reading the monotonic
/// clock twice.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(50);
/// The maximum time between the two readings of the monotonic clock for the pair to be usable.
const MAX_READING_GAP: Duration = Duration::from_millis(10);

/// Readings of both clocks at the same moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClockPair {
    /// The time since boot, including suspensions.
    pub boot: Duration,
    /// The time since boot, excluding suspensions.
    pub monotonic: Duration,
}

impl ClockPair {
    /// Reads both clocks. Returns `None` if the process was delayed between the readings.
    pub fn read() -> Option<ClockPair> {
        let before = monotonic_now();
        let boot = BootInstant::now().since_boot();
        let monotonic = monotonic_now();
        (monotonic.saturating_sub(before) <= MAX_READING_GAP).then_some(ClockPair { boot, monotonic })
    }

    fn suspended(&self) -> Duration {
        self.boot.saturating_sub(self.monotonic)
    }
}

/// Detects suspensions from successive readings of both clocks.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    last: ClockPair,
}

impl SuspensionWatch {
    /// Creates a watch that reports suspensions after the given reading.
    pub fn new(first: ClockPair) -> SuspensionWatch {
        SuspensionWatch { last: first }
    }

    /// Returns how long the machine was suspended since the last reported suspension, or since the first reading.
    /// Returns `None` while that is below `SUSPENSION_THRESHOLD`, so that short suspensions add up.
    pub fn observe(&mut self, now: ClockPair) -> Option<Duration> {
        let length = now.suspended().saturating_sub(self.last.suspended());
        if length < SUSPENSION_THRESHOLD {
            return None;
        }
        self.last = now;
        Some(length)
    }
}
