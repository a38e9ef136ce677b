//! The tickets that the dispatcher of the current stream has not answered yet.

use micaspool_types::{CustomerName, Moment, RequestId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Answered tickets are removed from the order once it is this many times as long as what is unanswered, and longer than
/// [`MIN_COMPACTED`].
const COMPACTION_FACTOR: usize = 2;
const MIN_COMPACTED: usize = 64;

/// The tickets without an answer, and when each was sent. A dispatcher answers a ticket as soon as it handles it, by
/// accepting, granting or refusing it.
#[derive(Debug, Default)]
pub(super) struct UnansweredTickets {
    sent: HashMap<RequestId, (Moment, CustomerName)>,
    /// In the order in which they were sent, with some that are answered.
    order: VecDeque<SentTicket>,
    /// When the newest answered ticket of each customer was sent.
    answered: HashMap<CustomerName, Moment>,
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
        self.sent.clear();
        self.order.clear();
        self.answered.clear();
        for (request, customer) in tickets {
            self.note_sent(now, request, customer);
        }
    }

    pub fn note_sent(&mut self, now: Moment, request: RequestId, customer: CustomerName) {
        self.sent.insert(request, (now, customer.clone()));
        self.order.push_back(SentTicket { request, customer, at: now });
    }

    /// Records that a ticket was answered.
    pub fn note_answered(&mut self, request: RequestId) {
        if let Some((at, customer)) = self.sent.get(&request) {
            let newest = self.answered.entry(customer.clone()).or_insert(*at);
            *newest = (*newest).max(*at);
        }
        self.forget(request);
    }

    /// Records that an answer to a ticket is no longer wanted.
    pub fn forget(&mut self, request: RequestId) {
        self.sent.remove(&request);
        while self.order.front().is_some_and(|first| !self.is_unanswered(first)) {
            self.order.pop_front();
        }
        if self.order.len() > self.sent.len() * COMPACTION_FACTOR + MIN_COMPACTED {
            let sent = &self.sent;
            self.order.retain(|ticket| sent.get(&ticket.request).is_some_and(|(at, _)| *at == ticket.at));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns how long the oldest ticket has been unanswered; zero if there is none.
    pub fn oldest_age(&self, now: Moment) -> Duration {
        self.order.front().map_or(Duration::ZERO, |first| now.since(first.at))
    }

    /// Returns how long the oldest ticket of a customer has been unanswered; zero if there is none. One that was sent before a
    /// ticket that is answered tells nothing of how late the dispatcher is: it was passed over.
    pub fn oldest_age_of(&self, now: Moment, customer: &CustomerName) -> Duration {
        let answered = self.answered.get(customer).copied();
        let is_behind = |sent: &&SentTicket| answered.is_none_or(|answered| sent.at > answered);
        let mut own = self.order.iter().filter(|sent| sent.customer == *customer && self.is_unanswered(sent));
        own.find(is_behind).map_or(Duration::ZERO, |first| now.since(first.at))
    }

    fn is_unanswered(&self, sent: &SentTicket) -> bool {
        self.sent.get(&sent.request).is_some_and(|(at, _)| *at == sent.at)
    }
}
