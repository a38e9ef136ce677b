//! How long the requests of one queue can wait.

use micaspool_types::Moment;
use std::time::Duration;

/// The length of a window. A value counts for the rest of its window and the next one: long enough to
/// see each kind of request that arrives several times a second, short enough for a queue to grow again
/// once impatient requests have ceased.
const WINDOW: Duration = Duration::from_secs(1);

/// The shortest tolerated wait among the requests of the last one to two windows.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WaitTolerance {
    /// The shortest one of the previous window.
    previous: Option<Duration>,
    /// The shortest one of the current window.
    current: Option<Duration>,
    /// The start of the current window.
    since: Moment,
}

impl WaitTolerance {
    /// Records the wait that a request tolerates.
    pub fn note(&mut self, now: Moment, wait: Duration) {
        self.rotate(now);
        self.current = Some(self.current.map_or(wait, |shortest| shortest.min(wait)));
    }

    /// The shortest tolerated wait; `Duration::MAX` without recent requests.
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
