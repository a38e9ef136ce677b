//! The rate of grants, from which the retry times of refused callers follow.

use micaspool_types::Moment;
use std::time::Duration;

/// The window over which grants are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Divisor for the weight of the latest window in the average.
const SMOOTHING: u64 = 4;
/// Rates are stored in units of 1/1,000 grant per second.
const RATE_SCALE: u64 = 1_000;
const MIN_WAIT: Duration = Duration::from_secs(1);
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A moving average of grants per second.
#[derive(Debug)]
pub(super) struct GrantThroughput {
    window_start: Moment,
    counted: u64,
    rate: u64,
}

impl GrantThroughput {
    pub fn new(now: Moment) -> GrantThroughput {
        GrantThroughput { window_start: now, counted: 0, rate: 0 }
    }

    /// Counts a grant.
    pub fn count(&mut self) {
        self.counted += 1;
    }

    /// Updates the average when a window has ended.
    pub fn advance(&mut self, now: Moment) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let newest = self.counted * RATE_SCALE * 1_000 / elapsed.as_millis().max(1) as u64;
        self.rate =
            if self.rate == 0 { newest } else { self.rate - self.rate / SMOOTHING + newest / SMOOTHING };
        self.window_start = now;
        self.counted = 0;
    }

    /// The time that this many grants take at the current rate.
    pub fn wait_for(&self, grants: usize) -> Duration {
        if self.rate == 0 {
            return MIN_WAIT;
        }
        let millis = grants as u64 * RATE_SCALE * 1_000 / self.rate;
        Duration::from_millis(millis).clamp(MIN_WAIT, MAX_WAIT)
    }
}
