//! Waiting submissions, in one line for each customer.
//!
//! A shard that is late grants most of what it reads at once, so what is read next decides who is served. Lines are read
//! as in start-time fair queueing (Goyal, Vin and Cheng): the tag of a customer is the load that was read for it, and the
//! customer with the lowest tag is next. One that had no line begins at the tag that was read last.

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
    /// Its prompt tokens, or one if unknown.
    pub load: u64,
    /// When it has waited too long for its turn.
    pub refuse_at: Moment,
    /// True if it was accepted before or goes on with a stream. It precedes the others of its customer.
    pub continues: bool,
}

/// The place of a customer among those with a line; the lowest is next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LineTurn {
    /// The load read for the customer.
    tag: u64,
    /// The number of turns taken before this one, so that customers with equal tags alternate.
    number: u64,
}

/// The waiting submissions of a customer, those that continue first.
#[derive(Debug, Default)]
struct CustomerLine {
    requests: VecDeque<RequestId>,
    /// How many of them continue.
    continuing: usize,
    /// Their load.
    load: u64,
    turn: LineTurn,
}

impl CustomerLine {
    fn push(&mut self, submission: &Submission) {
        if submission.continues {
            self.requests.insert(self.continuing, submission.request);
            self.continuing += 1;
        } else {
            self.requests.push_back(submission.request);
        }
        self.load += submission.load;
    }

    fn remove(&mut self, submission: &Submission) {
        if let Some(position) = self.requests.iter().position(|other| *other == submission.request) {
            self.requests.remove(position);
            self.continuing -= usize::from(position < self.continuing);
            self.load -= submission.load;
        }
    }

    /// The number of its submissions that are read before the tag of the customer exceeds `tag`.
    fn read_until(&self, tag: u64) -> usize {
        if self.requests.is_empty() || tag < self.turn.tag {
            return 0;
        }
        let mean_load = self.load.div_ceil(self.requests.len() as u64).max(1);
        let turns = (tag - self.turn.tag) / mean_load + 1;
        usize::try_from(turns).unwrap_or(usize::MAX).min(self.requests.len())
    }
}

/// The lines of all customers.
#[derive(Debug, Default)]
pub(super) struct CustomerLines {
    submissions: HashMap<RequestId, Submission>,
    lines: HashMap<CustomerName, CustomerLine>,
    /// The customers with waiting submissions, the one whose turn is next first.
    turns: BTreeSet<(LineTurn, CustomerName)>,
    /// The tag of the customer that was read last.
    read_tag: u64,
    /// The number of turns given so far.
    turn_count: u64,
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
            let tag = line.turn.tag.max(self.read_tag);
            self.turn_count += 1;
            line.turn = LineTurn { tag, number: self.turn_count };
            self.turns.insert((line.turn, submission.customer.clone()));
        }
        line.push(&submission);
        self.limits.insert((submission.refuse_at, request));
        self.submissions.insert(request, submission);
    }

    /// Takes the first submission of the customer whose turn it is.
    pub fn pop(&mut self) -> Option<Submission> {
        let (turn, customer) = self.turns.pop_first()?;
        let line = self.lines.get_mut(&customer)?;
        let request = *line.requests.front()?;
        let submission = self.submissions.remove(&request)?;
        line.remove(&submission);
        self.read_tag = turn.tag;
        self.turn_count += 1;
        line.turn = LineTurn { tag: turn.tag + submission.load, number: self.turn_count };
        if !line.requests.is_empty() {
            self.turns.insert((line.turn, customer));
        }
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

    /// The number of submissions that are read before a further one of the customer, if nothing else arrives.
    pub fn read_before(&self, customer: &CustomerName) -> usize {
        let Some(own) = self.lines.get(customer) else { return self.customers() };
        let tag = own.turn.tag.max(self.read_tag) + own.load;
        let waiting = self.turns.iter().filter_map(|(_, name)| self.lines.get(name));
        waiting.map(|line| line.read_until(tag)).sum()
    }

    /// When the oldest waiting submission arrived.
    pub fn oldest(&self) -> Option<Moment> {
        self.submissions.values().map(|submission| submission.arrived_at).min()
    }

    fn remove_request(&mut self, request: RequestId) -> Option<Submission> {
        let submission = self.submissions.remove(&request)?;
        self.limits.remove(&(submission.refuse_at, request));
        if let Some(line) = self.lines.get_mut(&submission.customer) {
            line.remove(&submission);
            if line.requests.is_empty() {
                self.turns.remove(&(line.turn, submission.customer.clone()));
            }
        }
        Some(submission)
    }
}
