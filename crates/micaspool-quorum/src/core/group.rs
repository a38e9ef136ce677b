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
    fn group_is_settled(&self) -> bool {
        let changed = self.log.membership_index();
        self.is_leader() && changed <= self.commit && self.log.term_at(self.commit) == Some(self.hard.term)
    }

    /// A keeper with a new data folder asks to come in.
    pub(super) fn admit_newcomer(&mut self, now: Moment, newcomer: KeeperIdentity) {
        let membership = self.log.membership();
        let listed = self.options.configured.contains(&newcomer.name);
        if !listed || membership.has(&newcomer) || !self.group_is_settled() {
            return;
        }
        let RoleState::Leader(state) = &self.role else { return };
        if let Some(earlier) = membership.named(&newcomer.name) {
            if state.heard_lately(now, &earlier.identity, &self.options) {
                return;
            }
        }
        let changed = membership.with(GroupMember { identity: newcomer, voter: false });
        self.append_own(EntryPayload::Members(changed));
        self.replicate_idle(now);
    }

    /// Makes the first caught-up newcomer count.
    pub(super) fn tend_group(&mut self, now: Moment) {
        if !self.group_is_settled() {
            return;
        }
        let RoleState::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let caught_up = |member: &&GroupMember| {
            let progress = state.progress.get(&member.identity);
            !member.voter && progress.is_some_and(|progress| progress.matched >= self.commit)
        };
        let Some(member) = membership.members.iter().find(caught_up) else { return };
        let changed = membership.with(GroupMember { identity: member.identity.clone(), voter: true });
        self.append_own(EntryPayload::Members(changed));
        self.replicate_idle(now);
    }
}
