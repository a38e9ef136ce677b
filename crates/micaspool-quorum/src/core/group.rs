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
        let allowed = self.options.open_group.is_some() || self.options.configured.contains(&newcomer.name);
        if !allowed || membership.has(&newcomer) || !self.group_is_settled() {
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

    /// A member of the group that was dropped while it was silent, and knows nothing of it, asks
    /// for votes: an open group lets it in again.
    pub(super) fn readmit_dropped(&mut self, now: Moment, from: &KeeperIdentity) {
        if self.options.open_group.is_some() && self.is_formed() {
            self.admit_newcomer(now, from.clone());
        }
    }

    /// Changes the group by one member when something is due.
    pub(super) fn tend_group(&mut self, now: Moment) {
        if !self.group_is_settled() {
            return;
        }
        let newcomer = self.caught_up_newcomer();
        let changed = match (self.silent_voter(now, newcomer.is_some()), newcomer) {
            (Some(silent), _) => self.log.membership().without(&silent),
            (None, Some(identity)) if self.hears_every_voter(now) => {
                self.log.membership().with(GroupMember { identity, voter: true })
            }
            _ => return,
        };
        self.append_own(EntryPayload::Members(changed));
        self.replicate_idle(now);
    }

    /// The first member that does not count yet and has everything committed durable.
    fn caught_up_newcomer(&self) -> Option<KeeperIdentity> {
        let RoleState::Leader(state) = &self.role else { return None };
        let caught_up = |member: &&GroupMember| {
            let progress = state.progress.get(&member.identity);
            !member.voter && progress.is_some_and(|progress| progress.matched >= self.commit)
        };
        self.log.membership().members.iter().find(caught_up).map(|member| member.identity.clone())
    }

    /// False while a voter is silent that a newcomer may have to replace: made a voter beside it, the
    /// newcomer would raise the majority and the group could not bear another loss. A closed group
    /// replaces lives of the same keeper only and need not wait.
    fn hears_every_voter(&self, now: Moment) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        let heard = |voter: &KeeperIdentity| {
            *voter == self.identity || state.silence(now, voter) < self.options.election_timeout
        };
        self.options.open_group.is_none() || self.log.membership().voters().all(heard)
    }

    /// The voter that has been silent longest, when an open group may do without it: a newcomer
    /// stands ready for its place, or there are more voters than needed.
    fn silent_voter(&self, now: Moment, newcomer: bool) -> Option<KeeperIdentity> {
        let options = self.options.open_group?;
        let RoleState::Leader(state) = &self.role else { return None };
        let membership = self.log.membership();
        let spare = membership.voters().count() > options.target_voters;
        let limit = match (newcomer, spare) {
            (true, _) => options.replace_after,
            (false, true) => options.drop_after,
            (false, false) => return None,
        };
        let others = membership.voters().filter(|voter| **voter != self.identity);
        let silent = others.map(|voter| (state.silence(now, voter), voter));
        let (silence, voter) = silent.max_by_key(|(silence, _)| *silence)?;
        (silence > limit).then(|| voter.clone())
    }
}
