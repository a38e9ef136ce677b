//! Elections, with a pre-vote so that a keeper that was cut off does not disturb a leader.

use super::{QuorumCore, RoleState};
use crate::message::PeerBody;
use crate::types::{EntryPayload, KeeperIdentity, LogIndex};
use micaspool_types::{Moment, Term};
use std::collections::HashSet;

/// The votes of one election or pre-vote.
#[derive(Debug, Default)]
pub(super) struct ElectionState {
    /// True while only a pre-vote is going on; the term is not begun yet.
    pre: bool,
    granted: HashSet<KeeperIdentity>,
}

impl QuorumCore {
    /// Asks the others whether they would vote for this keeper.
    pub(super) fn begin_pre_vote(&mut self, now: Moment) {
        self.reset_election(now);
        self.leader = None;
        let own = HashSet::from([self.identity.clone()]);
        self.role = RoleState::Candidate(ElectionState { pre: true, granted: own });
        let next = Term(self.hard.term.0 + 1);
        let (last_term, last) = self.last_entry();
        self.ask_voters(&PeerBody::PreVote { next, last, last_term });
        self.conclude(now);
    }

    fn begin_election(&mut self, now: Moment) {
        self.hard.term = Term(self.hard.term.0 + 1);
        self.hard.vote = Some(self.identity.clone());
        self.hard_dirty = true;
        self.reset_election(now);
        let own = HashSet::from([self.identity.clone()]);
        self.role = RoleState::Candidate(ElectionState { pre: false, granted: own });
        let (last_term, last) = self.last_entry();
        self.ask_voters(&PeerBody::Vote { last, last_term });
        self.conclude(now);
    }

    fn ask_voters(&mut self, question: &PeerBody) {
        let others = self.log.membership().voters().filter(|voter| **voter != self.identity);
        let others: Vec<KeeperIdentity> = others.cloned().collect();
        for voter in others {
            self.send(&voter.name, question.clone());
        }
    }

    fn last_entry(&self) -> (Term, LogIndex) {
        (self.log.last_term(), self.log.last_index())
    }

    /// True when this keeper may vote at all: its own life of the data folder is in the group.
    fn may_vote(&self) -> bool {
        self.log.membership().has(&self.identity)
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: Moment,
        from: &KeeperIdentity,
        next: Term,
        last: (Term, LogIndex),
    ) {
        let led = self.is_leader()
            || self.leader_heard.is_some_and(|heard| now.since(heard) < self.options.election_timeout);
        let granted = self.may_vote() && !led && next > self.hard.term && last >= self.last_entry();
        self.send(&from.name, PeerBody::PreVoteReply { next, granted });
    }

    pub(super) fn count_pre_vote(&mut self, now: Moment, from: KeeperIdentity, next: Term, granted: bool) {
        let current = next.0 == self.hard.term.0 + 1;
        if let RoleState::Candidate(state) = &mut self.role {
            if state.pre && granted && current {
                state.granted.insert(from);
                self.conclude(now);
            }
        }
    }

    pub(super) fn answer_vote(
        &mut self,
        now: Moment,
        from: &KeeperIdentity,
        term: Term,
        last: (Term, LogIndex),
    ) {
        let free = match &self.hard.vote {
            None => true,
            Some(vote) => vote == from,
        };
        let current = term == self.hard.term;
        let granted = current && free && self.may_vote() && last >= self.last_entry();
        if granted {
            self.hard.vote = Some(from.clone());
            self.hard_dirty = true;
            self.reset_election(now);
        }
        self.send(&from.name, PeerBody::VoteReply { granted });
    }

    pub(super) fn count_vote(&mut self, now: Moment, from: KeeperIdentity, term: Term, granted: bool) {
        let current = term == self.hard.term;
        if let RoleState::Candidate(state) = &mut self.role {
            if !state.pre && granted && current {
                state.granted.insert(from);
                self.conclude(now);
            }
        }
    }

    /// Goes on when a majority of the voters has agreed.
    fn conclude(&mut self, now: Moment) {
        let RoleState::Candidate(state) = &self.role else { return };
        let membership = self.log.membership();
        let agreed = membership.voters().filter(|voter| state.granted.contains(*voter)).count();
        if agreed < membership.majority() {
            return;
        }
        if state.pre {
            self.begin_election(now);
        } else {
            self.become_leader(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: Moment) {
        self.leader = Some(self.identity.clone());
        self.role = RoleState::Leader(super::replication::LeaderState::new(now));
        self.append_own(EntryPayload::Blank);
        self.lead(now);
    }
}
