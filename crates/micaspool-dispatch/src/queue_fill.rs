//! How full the queue of a customer is.

use std::time::Duration;

/// A queue below this fill leaves room for the requests that a router may send until it hears of the next
/// change, so none of them needs to be refused before the dispatcher has seen it.
const SHORT_PERCENT: u32 = 50;

/// The expected wait behind a customer's queue, in percent of what its least patient first attempts can wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueFill(pub u32);

impl QueueFill {
    /// A queue that takes no further requests.
    pub const FULL: QueueFill = QueueFill(100);

    /// The fill of a queue with this expected wait, if first attempts can wait for `tolerated`.
    pub fn of(expected: Duration, tolerated: Duration) -> QueueFill {
        let percent = expected.as_micros().saturating_mul(100) / tolerated.as_micros().max(1);
        QueueFill(u32::try_from(percent).unwrap_or(u32::MAX))
    }

    /// True if the queue is less than half full.
    pub fn is_short(self) -> bool {
        self.0 < SHORT_PERCENT
    }
}
