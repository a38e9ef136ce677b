//! Leaving the group before a planned stop.
//!
//! A keeper that stops without a word counts as a voter until the leader has missed it for some time, so that further
//! losses in that time may leave no majority. A keeper that is about to stop therefore asks the leader to remove it, and
//! stops when that is committed. A leader first hands its role over to another voter, which then removes it.
//!
//! Nobody leaves a group that has no more voters than its target: keepers that are all stopped find the same group when
//! they start again.

use super::{QuorumCore, RoleState};
use crate::message::{LeaveOutcome, PeerBody};
use crate::types::{GroupMember, GroupMembership, KeeperIdentity};
use micaspool_types::{Moment, Term};
use std::time::Duration;

/// How long a request to leave counts without being repeated.
pub(super) const REQUEST_VALIDITY: Duration = Duration::from_secs(1);
/// A leader hands over only after this many heartbeat intervals, so that it has heard which other keepers are leaving.
const MIN_HEARTBEATS_AS_LEADER: u32 = 2;

/// How far this keeper has come with leaving its group.
#[derive(Debug, Default)]
pub(super) enum LeavingState {
    /// The keeper stays.
    #[default]
    Staying,
    /// The keeper asks to be removed. Contains when it last asked.
    Asking(Option<Moment>),
    /// The keeper may stop.
    Finished(LeaveOutcome),
}

impl QuorumCore {
    /// Returns what has become of [`QuorumEvent::Leave`](crate::QuorumEvent::Leave) once this keeper may stop.
    pub fn leave_outcome(&self) -> Option<LeaveOutcome> {
        match self.leaving {
            LeavingState::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Starts to leave the group. Closed groups change by an operator's order only, so that there is nothing to wait for.
    pub(super) fn begin_leaving(&mut self, now: Moment) {
        if self.options.open_group.is_none() || !self.is_formed() {
            self.leaving = LeavingState::Finished(LeaveOutcome::Needed);
        }
        if matches!(self.leaving, LeavingState::Staying) {
            self.leaving = LeavingState::Asking(None);
            self.tick_leaving(now);
        }
    }

    /// Hands over the role of the leader, or asks the leader to be removed.
    pub(super) fn tick_leaving(&mut self, now: Moment) {
        let LeavingState::Asking(asked_at) = self.leaving else { return };
        if self.is_leader() {
            self.hand_over(now);
        } else if asked_at.is_none_or(|at| now.since(at) >= self.options.heartbeat) {
            self.leaving = LeavingState::Asking(Some(now));
            self.send_to_voters(&PeerBody::Leave);
        }
    }

    /// Makes another voter with the same log begin an election, and steps down, since this keeper can't tell when that
    /// voter leads. Finishes if all other voters leave as well.
    fn hand_over(&mut self, now: Moment) {
        let RoleState::Leader(state) = &self.role else { return };
        if state.time_since_election(now) < self.options.heartbeat * MIN_HEARTBEATS_AS_LEADER {
            return;
        }
        let last = self.log.last_index();
        let others = self.log.membership().voters().filter(|voter| **voter != self.identity);
        let candidates: Vec<&KeeperIdentity> = others.filter(|voter| !state.is_leaving(now, voter)).collect();
        if candidates.is_empty() {
            self.leaving = LeavingState::Finished(LeaveOutcome::Needed);
            return;
        }
        let is_ready = |voter: &&&KeeperIdentity| {
            let matched = state.progress.get(**voter).map(|progress| progress.matched);
            matched == Some(last) && state.has_recent_contact(now, voter, &self.options)
        };
        let successor = candidates.iter().find(is_ready).map(|voter| voter.name.clone());
        let Some(successor) = successor else { return };
        self.send(&successor, PeerBody::TimeoutNow);
        self.become_follower(now, None);
    }

    /// Begins an election at once, as the leader of the current term asks for.
    pub(super) fn handle_timeout_now(&mut self, now: Moment, from: &KeeperIdentity, term: Term) {
        let is_from_leader = term == self.hard.term && self.leader.as_ref() == Some(from);
        if is_from_leader && self.log.membership().is_voter(&self.identity) && self.leave_outcome().is_none()
        {
            self.begin_election(now);
        }
    }

    /// Notes that a keeper is about to stop, and tells it whether it may.
    pub(super) fn handle_leave(&mut self, now: Moment, from: &KeeperIdentity) {
        let RoleState::Leader(state) = &mut self.role else { return };
        state.note_leaving(now, from.clone());
        self.update_membership(now);
        let outcome = self.decide_leave(now, from);
        self.send(&from.name, PeerBody::LeaveReply { outcome });
    }

    pub(super) fn handle_leave_reply(&mut self, term: Term, outcome: LeaveOutcome) {
        let is_decided = term == self.hard.term && outcome != LeaveOutcome::Pending;
        if is_decided && matches!(self.leaving, LeavingState::Asking(_)) {
            self.leaving = LeavingState::Finished(outcome);
        }
    }

    fn decide_leave(&self, now: Moment, leaving: &KeeperIdentity) -> LeaveOutcome {
        let membership = self.log.membership();
        let is_change_committed = self.log.membership_index() <= self.commit;
        match membership.member_named(&leaving.name).filter(|member| member.identity == *leaving) {
            None if is_change_committed => LeaveOutcome::Removed,
            Some(member) if member.voter && !self.has_surplus() && !self.has_live_learner(now) => {
                LeaveOutcome::Needed
            }
            _ => LeaveOutcome::Pending,
        }
    }

    /// Returns whether an open group has more voters than its target.
    pub(super) fn has_surplus(&self) -> bool {
        let voters = self.log.membership().voters().count();
        self.options.open_group.is_some_and(|options| voters > options.target_voters)
    }

    /// Returns whether a learner answers that does not leave itself, so that it is soon to be a voter.
    fn has_live_learner(&self, now: Moment) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        let is_live = |member: &GroupMember| {
            !member.voter
                && state.has_recent_contact(now, &member.identity, &self.options)
                && !state.is_leaving(now, &member.identity)
        };
        self.log.membership().members.iter().any(is_live)
    }

    /// Returns the membership without one of the members that leave: a learner, or a voter beyond the target if a majority
    /// of the others has answered since it asked.
    pub(super) fn membership_without_leaving(&self, now: Moment) -> Option<GroupMembership> {
        let RoleState::Leader(state) = &self.role else { return None };
        let membership = self.log.membership();
        let without = |member: &GroupMember| {
            let asked_at = state.leaving_since(now, &member.identity)?;
            let rest = membership.without_member(&member.identity);
            let may_go = !member.voter
                || (self.has_surplus() && state.has_majority_since(asked_at, &self.identity, &rest));
            (may_go && member.identity != self.identity).then_some(rest)
        };
        membership.members.iter().find_map(without)
    }
}
