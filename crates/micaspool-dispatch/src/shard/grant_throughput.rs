//! How fast the shard grants, to tell refused callers when to come back.

use micaspool_types::Moment;
use std::time::Duration;

/// The span over which grants are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The share of the newest span in the average, as a divisor.
const SMOOTHING: u64 = 4;
/// Rates are kept in thousandths of a grant a second.
const RATE_SCALE: u64 = 1_000;
const MIN_WAIT: Duration = Duration::from_secs(1);
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A moving average of grants a second.
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

    /// Moves the average on when a span has passed.
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

    /// How long this many grants take at the present pace.
    pub fn wait_for(&self, grants: usize) -> Duration {
        if self.rate == 0 {
            return MIN_WAIT;
        }
        let millis = grants as u64 * RATE_SCALE * 1_000 / self.rate;
        Duration::from_millis(millis).clamp(MIN_WAIT, MAX_WAIT)
    }
}
