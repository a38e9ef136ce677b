//! Elections. A pre-vote prevents a keeper that was partitioned from disrupting a leader.

use super::{QuorumCore, RoleState};
use crate::message::PeerBody;
use crate::types::{EntryPayload, KeeperIdentity, LogIndex};
use micaspool_types::{Moment, Term};
use std::collections::HashSet;

/// The votes received in one election or pre-vote.
#[derive(Debug, Default)]
pub(super) struct ElectionState {
    /// Whether this is a pre-vote, which does not start a term yet.
    is_pre_vote: bool,
    granted: HashSet<KeeperIdentity>,
}

impl QuorumCore {
    /// Asks the other voters whether they would vote for this keeper.
    pub(super) fn begin_pre_vote(&mut self, now: Moment) {
        self.reset_election_deadline(now);
        self.hold_startup(now);
        self.leader = None;
        let own = HashSet::from([self.identity.clone()]);
        self.role = RoleState::Candidate(ElectionState { is_pre_vote: true, granted: own });
        let next = Term(self.hard.term.0 + 1);
        let (last_term, last) = self.last_entry();
        self.send_to_voters(&PeerBody::PreVote { next, last, last_term });
        self.check_majority(now);
    }

    pub(super) fn begin_election(&mut self, now: Moment) {
        self.hard.term = Term(self.hard.term.0 + 1);
        self.hard.vote = Some(self.identity.clone());
        self.hard_dirty = true;
        self.reset_election_deadline(now);
        self.note_term_at_startup(now);
        let own = HashSet::from([self.identity.clone()]);
        self.role = RoleState::Candidate(ElectionState { is_pre_vote: false, granted: own });
        let (last_term, last) = self.last_entry();
        self.send_to_voters(&PeerBody::Vote { last, last_term });
        self.check_majority(now);
    }

    pub(super) fn send_to_voters(&mut self, request: &PeerBody) {
        let others = self.log.membership().voters().filter(|voter| **voter != self.identity);
        let others: Vec<KeeperIdentity> = others.cloned().collect();
        for voter in others {
            self.send(&voter.name, request.clone());
        }
    }

    pub(super) fn last_entry(&self) -> (Term, LogIndex) {
        (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether this keeper may vote at all: its own incarnation must be a member of the group.
    pub(super) fn may_vote(&self) -> bool {
        self.log.membership().has_member(&self.identity)
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Moment,
        from: &KeeperIdentity,
        next: Term,
        last: (Term, LogIndex),
    ) {
        let has_leader = self.hears_leader(now);
        let granted = self.may_vote() && !has_leader && next > self.hard.term && last >= self.last_entry();
        self.send(&from.name, PeerBody::PreVoteReply { next, granted });
        if granted {
            self.yield_at_startup(now, from, last);
        }
    }

    /// Ends a pre-vote of this keeper. Does not affect an election.
    pub(super) fn abandon_pre_vote(&mut self) {
        if matches!(&self.role, RoleState::Candidate(state) if state.is_pre_vote) {
            self.role = RoleState::Follower;
        }
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        now: Moment,
        from: KeeperIdentity,
        next: Term,
        granted: bool,
    ) {
        let is_next_term = next.0 == self.hard.term.0 + 1;
        if let RoleState::Candidate(state) = &mut self.role {
            if state.is_pre_vote && granted && is_next_term {
                state.granted.insert(from);
                self.check_majority(now);
            }
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        now: Moment,
        from: &KeeperIdentity,
        term: Term,
        last: (Term, LogIndex),
    ) {
        let can_grant = match &self.hard.vote {
            None => true,
            Some(vote) => vote == from,
        };
        let is_current_term = term == self.hard.term;
        let granted = is_current_term && can_grant && self.may_vote() && last >= self.last_entry();
        if granted {
            self.hard.vote = Some(from.clone());
            self.hard_dirty = true;
            self.reset_election_deadline(now);
            self.note_term_at_startup(now);
            self.abandon_pre_vote();
        }
        self.send(&from.name, PeerBody::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, now: Moment, from: KeeperIdentity, term: Term, granted: bool) {
        let is_current_term = term == self.hard.term;
        if let RoleState::Candidate(state) = &mut self.role {
            if !state.is_pre_vote && granted && is_current_term {
                state.granted.insert(from);
                self.check_majority(now);
            }
        }
    }

    /// Starts the election or becomes leader once a majority of the voters has agreed.
    fn check_majority(&mut self, now: Moment) {
        let RoleState::Candidate(state) = &self.role else { return };
        let membership = self.log.membership();
        let agreed_count = membership.voters().filter(|voter| state.granted.contains(*voter)).count();
        if agreed_count < membership.majority() {
            return;
        }
        if state.is_pre_vote {
            self.begin_election(now);
        } else {
            self.become_leader(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: Moment) {
        self.startup.finish();
        self.leader = Some(self.identity.clone());
        self.role = RoleState::Leader(super::progress::LeaderState::new(now));
        self.append_entry(EntryPayload::Blank);
        self.tick_leader(now);
    }
}
