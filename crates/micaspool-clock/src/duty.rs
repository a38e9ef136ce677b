//! Bounds the share of time that recurring work takes.

use std::time::Duration;

/// Paces work that is repeated at intervals and costs more the larger the fleet is. The pause grows with what the work
/// took last, so that its share of the time stays bounded.
#[derive(Clone, Copy, Debug)]
pub struct DutyCycle {
    /// The largest share of the time that the work may take, in percent.
    pub percent: u32,
    /// The shortest pause.
    pub min_pause: Duration,
    /// The longest pause, however long the work takes.
    pub max_pause: Duration,
}

impl DutyCycle {
    /// Returns the pause after work that took this long.
    pub fn pause_after(&self, took: Duration) -> Duration {
        let pause = took * (100 - self.percent.clamp(1, 99)) / self.percent.clamp(1, 99);
        pause.clamp(self.min_pause, self.max_pause)
    }
}
