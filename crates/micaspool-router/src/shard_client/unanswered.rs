//! The tickets that the dispatcher of the current stream has not answered yet.

use micaspool_types::{Moment, RequestId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The tickets without an answer, and when each was sent. A dispatcher answers a ticket as soon as it handles it, by
/// accepting, granting or refusing it.
#[derive(Debug, Default)]
pub(super) struct UnansweredTickets {
    sent_at: HashMap<RequestId, Moment>,
    /// In the order in which they were sent. Answered ones are removed once they are the first.
    order: VecDeque<(RequestId, Moment)>,
}

impl UnansweredTickets {
    /// Replaces all tickets by those that a new stream begins with.
    pub fn replace(&mut self, now: Moment, tickets: impl Iterator<Item = RequestId>) {
        self.sent_at.clear();
        self.order.clear();
        for request in tickets {
            self.note_sent(now, request);
        }
    }

    pub fn note_sent(&mut self, now: Moment, request: RequestId) {
        self.sent_at.insert(request, now);
        self.order.push_back((request, now));
    }

    /// Records that a ticket was answered or is no longer wanted.
    pub fn note_answered(&mut self, request: RequestId) {
        self.sent_at.remove(&request);
        while let Some((first, at)) = self.order.front() {
            if self.sent_at.get(first) == Some(at) {
                break;
            }
            self.order.pop_front();
        }
    }

    pub fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    /// Returns how long the oldest ticket has been unanswered; zero if there is none.
    pub fn oldest_age(&self, now: Moment) -> Duration {
        self.order.front().map_or(Duration::ZERO, |(_, at)| now.since(*at))
    }
}
