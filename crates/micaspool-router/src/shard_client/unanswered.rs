//! The tickets that the dispatcher of the current stream has not answered yet.

use micaspool_types::{CustomerName, Moment, RequestId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The tickets without an answer, and when each was sent. A dispatcher answers a ticket as soon as it handles it, by
/// accepting, granting or refusing it.
#[derive(Debug, Default)]
pub(super) struct UnansweredTickets {
    sent_at: HashMap<RequestId, Moment>,
    /// In the order in which they were sent. Answered ones are removed once they are the first.
    order: VecDeque<SentTicket>,
}

/// A ticket that was sent.
#[derive(Debug)]
struct SentTicket {
    request: RequestId,
    customer: CustomerName,
    at: Moment,
}

impl UnansweredTickets {
    /// Replaces all tickets by those that a new stream begins with.
    pub fn replace(&mut self, now: Moment, tickets: impl Iterator<Item = (RequestId, CustomerName)>) {
        self.sent_at.clear();
        self.order.clear();
        for (request, customer) in tickets {
            self.note_sent(now, request, customer);
        }
    }

    pub fn note_sent(&mut self, now: Moment, request: RequestId, customer: CustomerName) {
        self.sent_at.insert(request, now);
        self.order.push_back(SentTicket { request, customer, at: now });
    }

    /// Records that a ticket was answered or is no longer wanted.
    pub fn note_answered(&mut self, request: RequestId) {
        self.sent_at.remove(&request);
        while self.order.front().is_some_and(|first| !self.is_unanswered(first)) {
            self.order.pop_front();
        }
    }

    pub fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    /// Returns how long the oldest ticket has been unanswered; zero if there is none.
    pub fn oldest_age(&self, now: Moment) -> Duration {
        self.order.front().map_or(Duration::ZERO, |first| now.since(first.at))
    }

    /// Returns how long the oldest ticket of a customer has been unanswered; zero if there is none.
    pub fn oldest_age_of(&self, now: Moment, customer: &CustomerName) -> Duration {
        let mut own = self.order.iter().filter(|sent| sent.customer == *customer && self.is_unanswered(sent));
        own.next().map_or(Duration::ZERO, |first| now.since(first.at))
    }

    fn is_unanswered(&self, sent: &SentTicket) -> bool {
        self.sent_at.get(&sent.request) == Some(&sent.at)
    }
}
