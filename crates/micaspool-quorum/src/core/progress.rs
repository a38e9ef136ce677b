//! What a leader knows of the members of its group: what they hold, when they were reached, and which of them leave.

use super::leaving::REQUEST_VALIDITY;
use crate::options::QuorumOptions;
use crate::types::{GroupMembership, KeeperIdentity, LogIndex};
use micaspool_types::Moment;
use std::collections::HashMap;
use std::time::Duration;

/// The leader's view of one member.
#[derive(Debug, Clone)]
pub(super) struct MemberProgress {
    /// The last entry known to be durable at the member.
    pub matched: LogIndex,
    /// The send time of the latest message that was accepted.
    accepted_at: Option<Moment>,
    /// The send time of the latest message that was rejected.
    rejected_at: Option<Moment>,
    /// The next entry to send.
    pub next: LogIndex,
    /// The send time of the message that awaits a reply, if any.
    in_flight: Option<Moment>,
    /// The send time of the latest message that was answered. The leader lease counts from it.
    pub last_contact: Option<Moment>,
    /// The send time of the latest message, answered or not.
    last_sent: Option<Moment>,
}

impl MemberProgress {
    /// Creates the view of a member of which nothing is known yet. `next` is the entry to send first.
    pub fn new(next: LogIndex) -> MemberProgress {
        MemberProgress {
            matched: LogIndex(0),
            accepted_at: None,
            rejected_at: None,
            next,
            in_flight: None,
            last_contact: None,
            last_sent: None,
        }
    }

    /// Returns whether a message awaits its reply.
    pub fn is_awaiting(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether the latest message was sent an interval ago or earlier.
    pub fn is_due(&self, now: Moment, interval: Duration) -> bool {
        self.last_sent.is_none_or(|sent| now.since(sent) >= interval)
    }

    pub fn note_sent(&mut self, now: Moment) {
        self.in_flight = Some(now);
        self.last_sent = Some(now);
    }

    /// Notes a reply to the message that was sent at `sent_at`.
    pub fn note_reply(&mut self, sent_at: Moment) {
        self.last_contact = self.last_contact.max(Some(sent_at));
        if self.in_flight.is_some_and(|sent| sent <= sent_at) {
            self.in_flight = None;
        }
    }

    /// Notes that the member has made the entries up to `matched` durable, unless it has rejected a later message since:
    /// it may have lost them.
    pub fn accept(&mut self, matched: LogIndex, sent_at: Moment) {
        if self.rejected_at.is_some_and(|at| at > sent_at) {
            return;
        }
        self.accepted_at = self.accepted_at.max(Some(sent_at));
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
    }

    /// Goes back to the position that the member names, unless the rejection answers a message older than one that was
    /// accepted. If the member has acknowledged more than that, it no longer has those entries: they are sent again and
    /// don't count until then. Returns what it had acknowledged.
    pub fn reject(&mut self, position: LogIndex, last: LogIndex, sent_at: Moment) -> Option<LogIndex> {
        if self.accepted_at.is_some_and(|at| at >= sent_at) {
            return None;
        }
        self.rejected_at = self.rejected_at.max(Some(sent_at));
        let acknowledged = self.matched;
        self.matched = acknowledged.min(position);
        self.next = position.next().min(last.next());
        (acknowledged > position).then_some(acknowledged)
    }
}

/// The state that a keeper has while it leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub progress: HashMap<KeeperIdentity, MemberProgress>,
    elected_at: Moment,
    /// The members that are about to stop.
    leaving: HashMap<KeeperIdentity, LeaveRequest>,
}

/// The request of a member that is about to stop.
#[derive(Debug, Clone, Copy)]
struct LeaveRequest {
    first_at: Moment,
    /// When it was last repeated.
    last_at: Moment,
}

impl LeaderState {
    pub fn new(now: Moment) -> LeaderState {
        LeaderState { progress: HashMap::new(), elected_at: now, leaving: HashMap::new() }
    }

    /// Returns whether a majority of voters, including this keeper, was reachable within the election
    /// timeout. A voter that has not answered yet counts as contacted at the election of the leader.
    pub fn has_majority(
        &self,
        now: Moment,
        own: &KeeperIdentity,
        membership: &GroupMembership,
        options: &QuorumOptions,
    ) -> bool {
        let is_reachable = |voter: &KeeperIdentity| {
            let last_contact = self
                .progress
                .get(voter)
                .and_then(|progress| progress.last_contact)
                .unwrap_or(self.elected_at);
            voter == own || now.since(last_contact) < options.election_timeout
        };
        membership.voters().filter(|voter| is_reachable(voter)).count() >= membership.majority()
    }

    /// Returns the time since this keeper became the leader.
    pub fn time_since_election(&self, now: Moment) -> Duration {
        now.since(self.elected_at)
    }

    /// Notes that a member is about to stop.
    pub fn note_leaving(&mut self, now: Moment, member: KeeperIdentity) {
        self.leaving.retain(|_, request| now.since(request.last_at) < REQUEST_VALIDITY);
        let first = LeaveRequest { first_at: now, last_at: now };
        self.leaving.entry(member).or_insert(first).last_at = now;
    }

    /// Returns since when this incarnation of a keeper has said that it is about to stop, if it still does.
    pub fn leaving_since(&self, now: Moment, member: &KeeperIdentity) -> Option<Moment> {
        let request = self.leaving.get(member)?;
        (now.since(request.last_at) < REQUEST_VALIDITY).then_some(request.first_at)
    }

    /// Returns whether this incarnation of a keeper is about to stop.
    pub fn is_leaving(&self, now: Moment, member: &KeeperIdentity) -> bool {
        self.leaving_since(now, member).is_some()
    }

    /// Returns whether this keeper and those that answered a message sent since `since` are a majority of a membership.
    pub fn has_majority_since(
        &self,
        since: Moment,
        own: &KeeperIdentity,
        membership: &GroupMembership,
    ) -> bool {
        let has_answered = |voter: &KeeperIdentity| {
            let last_contact = self.progress.get(voter).and_then(|progress| progress.last_contact);
            voter == own || last_contact.is_some_and(|at| at >= since)
        };
        membership.voters().filter(|voter| has_answered(voter)).count() >= membership.majority()
    }

    /// Returns the time since the last contact with a member, at most the time since the election of
    /// this leader.
    pub fn time_since_contact(&self, now: Moment, member: &KeeperIdentity) -> Duration {
        let last_contact =
            self.progress.get(member).and_then(|progress| progress.last_contact).unwrap_or(self.elected_at);
        now.since(last_contact.max(self.elected_at))
    }

    /// Returns whether this incarnation of a keeper has answered within the election timeout.
    pub fn has_recent_contact(&self, now: Moment, member: &KeeperIdentity, options: &QuorumOptions) -> bool {
        let last_contact = self.progress.get(member).and_then(|progress| progress.last_contact);
        last_contact.is_some_and(|last_contact| now.since(last_contact) < options.election_timeout)
    }
}
