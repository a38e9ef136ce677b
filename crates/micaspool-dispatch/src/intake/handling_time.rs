//! How long a shard needs for a submission and the events that come with it.

use micaspool_types::Moment;
use std::time::Duration;

/// Time constant of the mean in seconds, and the time after which it is forgotten once nothing waits: long enough to cover several periods in which a process has used up its processor
/// time and stands still.
const MEMORY_SECONDS: f64 = 1.0;

/// The mean time between two submissions taken while others waited. It includes the time that the shard spends on
/// other events, and the time in which its process does not run.
#[derive(Debug, Default)]
pub(super) struct HandlingTime {
    /// The observed time in seconds, decaying.
    seconds: f64,
    /// The submissions taken in that time.
    submissions: f64,
    /// When a submission was taken; `None` if the lines were empty since.
    taken_at: Option<Moment>,
    /// When one was last taken.
    last_taken_at: Moment,
}

impl HandlingTime {
    /// Records that a submission is taken now.
    pub fn note_taken(&mut self, now: Moment) {
        self.last_taken_at = now;
        if let Some(taken_at) = self.taken_at.replace(now) {
            let seconds = now.since(taken_at).as_secs_f64();
            let kept = (-seconds / MEMORY_SECONDS).exp();
            self.seconds = self.seconds * kept + seconds;
            self.submissions = self.submissions * kept + 1.0;
        }
    }

    /// Records that nothing waits now, so the time until the next submission is taken says nothing. What was observed
    /// is forgotten if that was long ago.
    pub fn pause(&mut self, now: Moment) {
        self.taken_at = None;
        if now.since(self.last_taken_at).as_secs_f64() >= MEMORY_SECONDS {
            *self = HandlingTime::default();
        }
    }

    /// The time for this many submissions; zero before any observation.
    pub fn time_for(&self, submissions: usize) -> Duration {
        let mean = self.seconds / self.submissions.max(1.0);
        Duration::try_from_secs_f64(mean * submissions as f64).unwrap_or(Duration::MAX)
    }
}
