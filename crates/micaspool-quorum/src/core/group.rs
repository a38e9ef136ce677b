//! Membership changes. The leader changes one member at a time.
//!
//! A keeper with a new data folder may have voted and acknowledged entries in an earlier
//! incarnation, and has lost all record of it. The leader therefore first replaces the earlier
//! incarnation by the new one as a learner, and promotes it to voter only when it has made every
//! committed entry durable.

use super::{QuorumCore, RoleState};
use crate::types::{EntryPayload, GroupMember, GroupMembership, KeeperIdentity};
use micaspool_types::Moment;

impl QuorumCore {
    /// Returns whether the leader may change the membership: both the last change and an entry of the
    /// current term are committed.
    fn may_change_membership(&self) -> bool {
        let changed_at = self.log.membership_index();
        self.is_leader() && changed_at <= self.commit && self.log.term_at(self.commit) == Some(self.hard.term)
    }

    /// Adds a keeper as a learner, if the options allow it and no change is under way. An earlier
    /// incarnation that is still in contact with the leader is not replaced.
    pub(super) fn admit_learner(&mut self, now: Moment, learner: KeeperIdentity) {
        let membership = self.log.membership();
        let may_join = self.options.open_group.is_some() || self.options.configured.contains(&learner.name);
        if !may_join || membership.has_member(&learner) || !self.may_change_membership() {
            return;
        }
        let RoleState::Leader(state) = &self.role else { return };
        if state.is_leaving(now, &learner) {
            return;
        }
        if let Some(earlier) = membership.member_named(&learner.name) {
            if state.has_recent_contact(now, &earlier.identity, &self.options) {
                return;
            }
        }
        let changed_membership = membership.with_member(GroupMember { identity: learner, voter: false });
        self.append_entry(EntryPayload::Members(changed_membership));
        self.replicate_idle(now);
    }

    /// Admits a former member again when it sends a pre-vote: a member that was removed while it was
    /// unreachable does not know that and tries to start elections. Applies to open groups only.
    pub(super) fn readmit_removed(&mut self, now: Moment, from: &KeeperIdentity) {
        if self.options.open_group.is_some() && self.is_formed() {
            self.admit_learner(now, from.clone());
        }
    }

    /// Removes an unreachable voter or a member that leaves, or promotes a caught-up learner, one change at a time.
    pub(super) fn update_membership(&mut self, now: Moment) {
        if !self.may_change_membership() {
            return;
        }
        let learner = self.caught_up_learner(now);
        let changed_membership = self
            .removable_voter(now, learner.is_some())
            .or_else(|| self.refusing_voter(now))
            .map(|unreachable| self.log.membership().without_member(&unreachable))
            .or_else(|| self.membership_without_leaving(now))
            .or_else(|| self.membership_with_voter(now, learner?));
        if let Some(changed_membership) = changed_membership {
            self.append_entry(EntryPayload::Members(changed_membership));
            self.replicate_idle(now);
        }
    }

    /// Returns the membership with a learner promoted, if that is allowed now.
    fn membership_with_voter(&self, now: Moment, identity: KeeperIdentity) -> Option<GroupMembership> {
        let promoted = GroupMember { identity, voter: true };
        self.reaches_every_voter(now).then(|| self.log.membership().with_member(promoted))
    }

    /// Returns the first learner that has made every committed entry durable and does not leave.
    fn caught_up_learner(&self, now: Moment) -> Option<KeeperIdentity> {
        let RoleState::Leader(state) = &self.role else { return None };
        let caught_up = |member: &&GroupMember| {
            let progress = state.progress.get(&member.identity);
            !member.voter
                && progress.is_some_and(|progress| progress.matched >= self.commit)
                && !state.is_leaving(now, &member.identity)
        };
        self.log.membership().members.iter().find(caught_up).map(|member| member.identity.clone())
    }

    /// Returns whether the leader has recent contact with every voter. In an open group a learner is
    /// not promoted while a voter is unreachable: it may have to replace that voter, and as an
    /// additional voter it would raise the majority, so that the group could not tolerate another
    /// failure. A closed group only replaces incarnations of the same keeper and need not wait.
    fn reaches_every_voter(&self, now: Moment) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        let is_reachable = |voter: &KeeperIdentity| {
            *voter == self.identity || state.time_since_contact(now, voter) < self.options.election_timeout
        };
        self.options.open_group.is_none() || self.log.membership().voters().all(is_reachable)
    }

    /// Returns the voter that has been unreachable longest, if an open group may remove it: a caught-up
    /// learner can replace it, or there are more voters than the target.
    fn removable_voter(&self, now: Moment, has_replacement: bool) -> Option<KeeperIdentity> {
        let options = self.options.open_group?;
        let RoleState::Leader(state) = &self.role else { return None };
        let membership = self.log.membership();
        let limit = match (has_replacement, self.has_surplus()) {
            (true, _) => options.replace_after,
            (false, true) => options.drop_after,
            (false, false) => return None,
        };
        let others = membership.voters().filter(|voter| **voter != self.identity);
        let candidates = others.map(|voter| (state.time_since_contact(now, voter), voter));
        let (time_since_contact, voter) =
            candidates.max_by_key(|(time_since_contact, _)| *time_since_contact)?;
        (time_since_contact > limit).then(|| voter.clone())
    }
}
