//! The first group, and an operator's order to form one alone.
//!
//! A first group forms only when every configured keeper is reachable and has an empty data
//! folder; the one with the lowest name then names the members. Anything else is left to the
//! leader of an existing group or to an operator.

use super::{QuorumCore, RoleState};
use crate::message::PeerBody;
use crate::types::{EntryPayload, GroupMember, GroupMembership, KeeperIdentity, LogIndex, LogSnapshot};
use micaspool_types::{InstanceName, Moment, Term};
use std::collections::{BTreeSet, HashMap};

/// How many announcements may be missed before a keeper no longer counts as reachable.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// What a keeper without a group has heard.
#[derive(Debug, Default)]
pub(super) struct FormingState {
    announcements: HashMap<InstanceName, ReceivedAnnouncement>,
    last_announced: Option<Moment>,
    /// Keepers that others named, besides the configured ones.
    discovered: BTreeSet<InstanceName>,
}

#[derive(Debug, Clone)]
struct ReceivedAnnouncement {
    identity: KeeperIdentity,
    empty: bool,
    at: Moment,
}

impl QuorumCore {
    /// Tells the others that this life of the keeper is in no group, or is no voter as far as it
    /// knows: an operator may have formed a new group without it.
    pub(super) fn announce(&mut self, now: Moment) {
        let interval = self.options.announce_interval;
        if self.forming.last_announced.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        self.forming.last_announced = Some(now);
        let empty = !self.is_formed();
        for name in self.known_keepers() {
            self.send(&name, PeerBody::Announce { empty, members: self.member_names() });
        }
        self.form_if_possible(now);
    }

    /// A keeper without a group remembers whoever speaks to it: the leader still speaks to the earlier
    /// life of one that lost its disk, also when all its seeds are gone.
    pub(super) fn remember_sender(&mut self, from: &KeeperIdentity) {
        if self.options.open_group.is_some() && !self.is_formed() {
            self.forming.discovered.insert(from.name.clone());
        }
    }

    /// Every other keeper that may lead or know who does.
    fn known_keepers(&self) -> BTreeSet<InstanceName> {
        let mut known: BTreeSet<InstanceName> = self.other_keepers().into_iter().collect();
        known.extend(self.forming.discovered.iter().cloned());
        known.extend(self.member_names());
        known.remove(&self.identity.name);
        known
    }

    fn member_names(&self) -> Vec<InstanceName> {
        self.log.membership().members.iter().map(|member| member.identity.name.clone()).collect()
    }

    fn other_keepers(&self) -> Vec<InstanceName> {
        self.options.configured.iter().filter(|name| **name != self.identity.name).cloned().collect()
    }

    pub(super) fn handle_announce(
        &mut self,
        now: Moment,
        from: KeeperIdentity,
        empty: bool,
        members: Vec<InstanceName>,
    ) {
        if self.is_formed() && empty {
            self.answer_unformed(now, from);
            return;
        }
        if self.is_formed() {
            self.admit_learner(now, from);
            return;
        }
        let name = from.name.clone();
        self.forming.discovered.extend(members);
        self.forming.announcements.insert(name, ReceivedAnnouncement { identity: from, empty, at: now });
    }

    /// A member of a group hears a keeper that is in none.
    fn answer_unformed(&mut self, now: Moment, from: KeeperIdentity) {
        let snapshot = self.log.snapshot();
        if snapshot.index == LogIndex(0) && snapshot.membership.contains(&from) {
            let membership = snapshot.membership.clone();
            self.send(&from.name, PeerBody::Form { membership });
            return;
        }
        let members = self.member_names();
        self.send(&from.name, PeerBody::Announce { empty: false, members });
        self.admit_learner(now, from);
    }

    fn form_if_possible(&mut self, now: Moment) {
        let lowest = self.options.configured.iter().min();
        if self.is_formed() || !self.options.may_form || lowest != Some(&self.identity.name) {
            return;
        }
        let limit = self.options.announce_interval * MAX_MISSED_ANNOUNCEMENTS;
        let mut identities = vec![self.identity.clone()];
        for name in self.other_keepers() {
            match self.forming.announcements.get(&name) {
                Some(announcement) if announcement.empty && now.since(announcement.at) < limit => {
                    identities.push(announcement.identity.clone())
                }
                _ => return,
            }
        }
        identities.sort();
        let members = identities.into_iter().map(|identity| GroupMember { identity, voter: true }).collect();
        let membership = GroupMembership { members };
        self.adopt_group(now, membership.clone());
        for name in self.other_keepers() {
            self.send(&name, PeerBody::Form { membership: membership.clone() });
        }
    }

    /// Takes the first group over, when it has exactly this life of the keeper and there is none.
    pub(super) fn adopt_group(&mut self, now: Moment, membership: GroupMembership) {
        if self.is_formed() || !membership.contains(&self.identity) {
            return;
        }
        let snapshot = LogSnapshot { membership, ..LogSnapshot::default() };
        self.log.replace(snapshot.clone());
        self.output.save.snapshot = Some(snapshot);
        self.become_follower(now, None);
    }

    /// An operator's order: this keeper alone becomes the group, with everything in its log.
    pub(super) fn recover_alone(&mut self, now: Moment) {
        let alone = GroupMember { identity: self.identity.clone(), voter: true };
        let membership = GroupMembership { members: vec![alone] };
        self.hard.term = Term(self.hard.term.0 + 1);
        self.hard.vote = Some(self.identity.clone());
        self.hard_dirty = true;
        self.role = RoleState::Follower;
        self.append_entry(EntryPayload::Members(membership));
        self.become_leader(now);
    }
}
