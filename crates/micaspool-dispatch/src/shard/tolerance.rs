//! How long the requests of one queue bear to wait.

use micaspool_types::Moment;
use std::time::Duration;

/// The span after which what a request bore begins to be forgotten; it is gone after two. Long enough to see each
/// kind of request that comes some times a second, short enough for a queue to grow again when the impatient have
/// left.
const WINDOW: Duration = Duration::from_secs(1);

/// The shortest wait that any request of the last one to two seconds bore.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WaitTolerance {
    /// Of the span before.
    previous: Option<Duration>,
    /// Of this span.
    current: Option<Duration>,
    /// When this span began.
    since: Moment,
}

impl WaitTolerance {
    /// Takes in what a request bears.
    pub fn note(&mut self, now: Moment, wait: Duration) {
        self.rotate(now);
        self.current = Some(self.current.map_or(wait, |shortest| shortest.min(wait)));
    }

    /// What the least patient bears; without a limit when none came.
    pub fn shortest(&mut self, now: Moment) -> Duration {
        self.rotate(now);
        self.previous.into_iter().chain(self.current).min().unwrap_or(Duration::MAX)
    }

    fn rotate(&mut self, now: Moment) {
        let elapsed = now.since(self.since);
        if elapsed < WINDOW {
            return;
        }
        self.previous = self.current.take().filter(|_| elapsed < WINDOW * 2);
        self.since = now;
    }
}
