//! Converts moments of a router's clock to the shard's.
//!
//! A message is never handled before the router has sent it. The smallest difference between the two clocks
//! seen so far therefore belongs to the message with the shortest way, as in the clock filter of NTP, and all
//! other differences contain a delay on the way or in this process.

use micaspool_types::Moment;
use std::time::Duration;

/// How fast the smallest difference grows while no message confirms it, in parts per million: more than two
/// clocks drift apart.
const DRIFT_PPM: u64 = 500;
const MILLION: u64 = 1_000_000;

/// The difference between the clocks of a router and of the shard.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RouterClock {
    /// The smallest difference in microseconds, and when it was updated; `None` before the first message.
    least: Option<(i128, Moment)>,
}

impl RouterClock {
    /// Converts `router_clock`, a moment told in a message that is handled now. The result is not later than
    /// now.
    pub fn convert(&mut self, now: Moment, router_clock: Moment) -> Moment {
        let difference = i128::from(now.0) - i128::from(router_clock.0);
        let least = match self.least {
            Some((least, updated_at)) => difference.min(least + i128::from(drift(now.since(updated_at)))),
            None => difference,
        };
        self.least = Some((least, now));
        let converted = i128::from(router_clock.0) + least;
        Moment(u64::try_from(converted).unwrap_or(0)).min(now)
    }
}

fn drift(passed: Duration) -> u64 {
    u64::try_from(passed.as_micros()).unwrap_or(u64::MAX / MILLION).saturating_mul(DRIFT_PPM) / MILLION
}
