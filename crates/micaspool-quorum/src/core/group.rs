//! Changes of the group, one member at a time, by the leader.
//!
//! A keeper whose data folder is new may have voted and acknowledged in its earlier life, and
//! remembers none of it. So the leader first replaces the earlier life by the new one as a member
//! that does not count, and makes it count only when everything committed is durable there.

use super::{QuorumCore, RoleState};
use crate::types::{EntryPayload, GroupMember, KeeperIdentity};
use micaspool_types::Moment;

impl QuorumCore {
    /// True when the group may change: the last change and an entry of this term are committed.
    fn may_change_membership(&self) -> bool {
        let changed = self.log.membership_index();
        self.is_leader() && changed <= self.commit && self.log.term_at(self.commit) == Some(self.hard.term)
    }

    /// A keeper with a new data folder asks to come in.
    pub(super) fn admit_learner(&mut self, now: Moment, learner: KeeperIdentity) {
        let membership = self.log.membership();
        let may_join = self.options.open_group.is_some() || self.options.configured.contains(&learner.name);
        if !may_join || membership.contains(&learner) || !self.may_change_membership() {
            return;
        }
        let RoleState::Leader(state) = &self.role else { return };
        if let Some(earlier) = membership.member_named(&learner.name) {
            if state.has_recent_contact(now, &earlier.identity, &self.options) {
                return;
            }
        }
        let changed = membership.with_member(GroupMember { identity: learner, voter: false });
        self.append_entry(EntryPayload::Members(changed));
        self.replicate_idle(now);
    }

    /// A member of the group that was dropped while it was silent, and knows nothing of it, asks
    /// for votes: an open group lets it in again.
    pub(super) fn readmit_removed(&mut self, now: Moment, from: &KeeperIdentity) {
        if self.options.open_group.is_some() && self.is_formed() {
            self.admit_learner(now, from.clone());
        }
    }

    /// Changes the group by one member when something is due.
    pub(super) fn update_membership(&mut self, now: Moment) {
        if !self.may_change_membership() {
            return;
        }
        let learner = self.caught_up_learner();
        let changed = match (self.removable_voter(now, learner.is_some()), learner) {
            (Some(silent), _) => self.log.membership().without_member(&silent),
            (None, Some(identity)) if self.reaches_every_voter(now) => {
                self.log.membership().with_member(GroupMember { identity, voter: true })
            }
            _ => return,
        };
        self.append_entry(EntryPayload::Members(changed));
        self.replicate_idle(now);
    }

    /// The first member that does not count yet and has everything committed durable.
    fn caught_up_learner(&self) -> Option<KeeperIdentity> {
        let RoleState::Leader(state) = &self.role else { return None };
        let caught_up = |member: &&GroupMember| {
            let progress = state.progress.get(&member.identity);
            !member.voter && progress.is_some_and(|progress| progress.matched >= self.commit)
        };
        self.log.membership().members.iter().find(caught_up).map(|member| member.identity.clone())
    }

    /// False while a voter is silent that a learner may have to replace: made a voter beside it, the
    /// learner would raise the majority and the group could not bear another loss. A closed group
    /// replaces lives of the same keeper only and need not wait.
    fn reaches_every_voter(&self, now: Moment) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        let is_reachable = |voter: &KeeperIdentity| {
            *voter == self.identity || state.time_since_contact(now, voter) < self.options.election_timeout
        };
        self.options.open_group.is_none() || self.log.membership().voters().all(is_reachable)
    }

    /// The voter that has been silent longest, when an open group may do without it: a learner
    /// stands ready for its place, or there are more voters than needed.
    fn removable_voter(&self, now: Moment, has_replacement: bool) -> Option<KeeperIdentity> {
        let options = self.options.open_group?;
        let RoleState::Leader(state) = &self.role else { return None };
        let membership = self.log.membership();
        let has_surplus = membership.voters().count() > options.target_voters;
        let limit = match (has_replacement, has_surplus) {
            (true, _) => options.replace_after,
            (false, true) => options.drop_after,
            (false, false) => return None,
        };
        let others = membership.voters().filter(|voter| **voter != self.identity);
        let silent = others.map(|voter| (state.time_since_contact(now, voter), voter));
        let (time_since_contact, voter) = silent.max_by_key(|(time_since_contact, _)| *time_since_contact)?;
        (time_since_contact > limit).then(|| voter.clone())
    }
}
