//! Noticing that the machine was suspended.

use crate::instant::{steady_now, BootInstant};
use std::time::Duration;

/// A difference between the two clocks that is taken for a suspension. They are read one after the other, some
/// 100 ns apart; a process that is stopped in between reads the steady clock twice.
const THRESHOLD: Duration = Duration::from_millis(50);
/// How far apart the two readings of the steady clock may lie for the pair to be of use.
const CLOSE: Duration = Duration::from_millis(10);

/// Both clocks at one moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClockPair {
    /// The time since boot, with all suspensions.
    pub boot: Duration,
    /// The time that the machine ran.
    pub steady: Duration,
}

impl ClockPair {
    /// Both clocks now; `None` when the process was held up between the readings.
    pub fn read() -> Option<ClockPair> {
        let before = steady_now();
        let boot = BootInstant::now().since_boot();
        let steady = steady_now();
        (steady.saturating_sub(before) <= CLOSE).then_some(ClockPair { boot, steady })
    }

    fn suspended(&self) -> Duration {
        self.boot.saturating_sub(self.steady)
    }
}

/// Tells suspensions from readings of both clocks.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    last: ClockPair,
}

impl SuspensionWatch {
    /// A watch that begins with this reading; suspensions before it don't count.
    pub fn new(first: ClockPair) -> SuspensionWatch {
        SuspensionWatch { last: first }
    }

    /// How long the machine was suspended since the last reading; `None` when it was not.
    pub fn observe(&mut self, now: ClockPair) -> Option<Duration> {
        let length = now.suspended().saturating_sub(self.last.suspended());
        if length < THRESHOLD {
            return None;
        }
        self.last = now;
        Some(length)
    }
}
