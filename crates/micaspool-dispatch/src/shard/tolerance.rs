//! How long the requests of one queue bear to wait.

use micaspool_types::Moment;
use std::time::Duration;

/// The span after which what a request bore begins to be forgotten; it is gone after two. Long enough to see each
/// kind of request that comes some times a second, short enough for a queue to grow again when the impatient have
/// left.
const SPAN: Duration = Duration::from_secs(1);

/// The shortest wait that any request of the last one to two seconds bore.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SharedTolerance {
    /// Of the span before.
    before: Option<Duration>,
    /// Of this span.
    newest: Option<Duration>,
    /// When this span began.
    since: Moment,
}

impl SharedTolerance {
    /// Takes in what a request bears.
    pub fn note(&mut self, now: Moment, wait: Duration) {
        self.pass(now);
        self.newest = Some(self.newest.map_or(wait, |shortest| shortest.min(wait)));
    }

    /// What the least patient bears; without a limit when none came.
    pub fn shortest(&mut self, now: Moment) -> Duration {
        self.pass(now);
        self.before.into_iter().chain(self.newest).min().unwrap_or(Duration::MAX)
    }

    fn pass(&mut self, now: Moment) {
        let passed = now.since(self.since);
        if passed < SPAN {
            return;
        }
        self.before = self.newest.take().filter(|_| passed < SPAN * 2);
        self.since = now;
    }
}
