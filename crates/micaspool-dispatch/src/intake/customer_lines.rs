//! Waiting submissions, in one line for each customer. Customers take turns.

use crate::event::{SessionId, ShardEvent};
use foldhash::HashMap;
use micaspool_types::{CustomerName, Moment, RequestId};
use std::collections::{BTreeSet, VecDeque};

/// A waiting submission.
#[derive(Debug)]
pub(super) struct Submission {
    pub session: SessionId,
    pub request: RequestId,
    pub customer: CustomerName,
    /// The event that submits it.
    pub event: Box<ShardEvent>,
    pub arrived_at: Moment,
    /// When it has waited too long for its turn.
    pub refuse_at: Moment,
    /// True if it was accepted before or goes on with a stream. It precedes the others of its customer.
    pub continues: bool,
}

/// The waiting submissions of a customer, those that continue first.
#[derive(Debug, Default)]
struct CustomerLine {
    requests: VecDeque<RequestId>,
    /// How many of them continue.
    continuing: usize,
}

impl CustomerLine {
    fn push(&mut self, request: RequestId, continues: bool) {
        if continues {
            self.requests.insert(self.continuing, request);
            self.continuing += 1;
        } else {
            self.requests.push_back(request);
        }
    }

    fn pop(&mut self) -> Option<RequestId> {
        self.continuing = self.continuing.saturating_sub(1);
        self.requests.pop_front()
    }

    fn remove(&mut self, request: RequestId) {
        if let Some(position) = self.requests.iter().position(|other| *other == request) {
            self.requests.remove(position);
            self.continuing -= usize::from(position < self.continuing);
        }
    }
}

/// The lines of all customers.
#[derive(Debug, Default)]
pub(super) struct CustomerLines {
    submissions: HashMap<RequestId, Submission>,
    lines: HashMap<CustomerName, CustomerLine>,
    /// The customers with waiting submissions, the one whose turn is next first.
    turns: VecDeque<CustomerName>,
    /// When submissions have waited too long.
    limits: BTreeSet<(Moment, RequestId)>,
}

impl CustomerLines {
    /// Adds a submission. One of the same request from an earlier session is replaced.
    pub fn push(&mut self, submission: Submission) {
        let request = submission.request;
        self.remove_request(request);
        let line = self.lines.entry(submission.customer.clone()).or_default();
        if line.requests.is_empty() {
            self.turns.push_back(submission.customer.clone());
        }
        line.push(request, submission.continues);
        self.limits.insert((submission.refuse_at, request));
        self.submissions.insert(request, submission);
    }

    /// Takes the first submission of the customer whose turn it is.
    pub fn pop(&mut self) -> Option<Submission> {
        let customer = self.turns.pop_front()?;
        let line = self.lines.get_mut(&customer)?;
        let request = line.pop()?;
        if !line.requests.is_empty() {
            self.turns.push_back(customer);
        }
        let submission = self.submissions.remove(&request)?;
        self.limits.remove(&(submission.refuse_at, request));
        Some(submission)
    }

    /// Takes a submission that has waited too long.
    pub fn pop_expired(&mut self, now: Moment) -> Option<Submission> {
        let (refuse_at, request) = *self.limits.first()?;
        if now < refuse_at {
            return None;
        }
        self.remove_request(request)
    }

    /// Removes a submission of a session. Returns false if it does not wait.
    pub fn remove(&mut self, session: SessionId, request: RequestId) -> bool {
        let is_waiting = self.submissions.get(&request).is_some_and(|held| held.session == session);
        is_waiting && self.remove_request(request).is_some()
    }

    /// Removes all submissions of a session.
    pub fn remove_session(&mut self, session: SessionId) {
        let held = self.submissions.values().filter(|submission| submission.session == session);
        let requests: Vec<RequestId> = held.map(|submission| submission.request).collect();
        for request in requests {
            self.remove_request(request);
        }
    }

    /// The number of waiting submissions.
    pub fn len(&self) -> usize {
        self.submissions.len()
    }

    /// True if no submission waits.
    pub fn is_empty(&self) -> bool {
        self.submissions.is_empty()
    }

    /// The number of a customer's waiting submissions.
    pub fn len_of(&self, customer: &CustomerName) -> usize {
        self.lines.get(customer).map_or(0, |line| line.requests.len())
    }

    /// The number of customers with waiting submissions.
    pub fn customers(&self) -> usize {
        self.turns.len()
    }

    /// The number of turns before a customer with `own` waiting submissions has had one more, if nothing else
    /// arrives.
    pub fn turns_before(&self, own: usize) -> usize {
        self.lines.values().map(|line| line.requests.len().min(own + 1)).sum()
    }

    /// When the oldest waiting submission arrived.
    pub fn oldest(&self) -> Option<Moment> {
        self.submissions.values().map(|submission| submission.arrived_at).min()
    }

    fn remove_request(&mut self, request: RequestId) -> Option<Submission> {
        let submission = self.submissions.remove(&request)?;
        self.limits.remove(&(submission.refuse_at, request));
        if let Some(line) = self.lines.get_mut(&submission.customer) {
            line.remove(request);
            if line.requests.is_empty() {
                self.turns.retain(|other| *other != submission.customer);
            }
        }
        Some(submission)
    }
}
