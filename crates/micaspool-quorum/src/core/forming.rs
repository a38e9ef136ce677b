//! Formation of the first group, and recovery as a single member by an operator's order.
//!
//! The first group is formed only when every configured keeper is reachable and has an empty data
//! folder; the keeper with the lowest name then sends the membership to the others. All other
//! cases are left to the leader of an existing group or to an operator.

use super::{QuorumCore, RoleState};
use crate::message::PeerBody;
use crate::types::{EntryPayload, GroupMember, GroupMembership, KeeperIdentity, LogIndex, LogSnapshot};
use micaspool_types::{InstanceName, Moment, Term};
use std::collections::{BTreeSet, HashMap};

/// The number of announcement intervals without an announcement after which a keeper is considered
/// unreachable.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// The announcements that this keeper has sent and received, and the keepers discovered from messages.
#[derive(Debug, Default)]
pub(super) struct FormingState {
    /// The latest announcement of each keeper.
    announcements: HashMap<InstanceName, ReceivedAnnouncement>,
    /// When this keeper last announced itself.
    last_announced: Option<Moment>,
    /// Keepers learnt of from messages, besides the configured ones.
    discovered: BTreeSet<InstanceName>,
}

#[derive(Debug, Clone)]
struct ReceivedAnnouncement {
    identity: KeeperIdentity,
    /// Whether the keeper belongs to no group and has no log.
    empty: bool,
    /// When the announcement arrived.
    at: Moment,
}

impl QuorumCore {
    /// Announces this keeper to all known keepers, at most once per interval. Called while this
    /// incarnation is not a voter as far as it knows: it belongs to no group, or an operator may have
    /// formed a new group without it.
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

    /// Remembers the sender of a message while this keeper has no group. After a disk loss the leader
    /// still sends to the earlier incarnation of this keeper, so that it finds the group even when all
    /// seeds are gone. Applies to open groups only.
    pub(super) fn remember_sender(&mut self, from: &KeeperIdentity) {
        if self.options.open_group.is_some() && !self.is_formed() {
            self.forming.discovered.insert(from.name.clone());
        }
    }

    /// Returns every other known keeper: one of them may be the leader or know it.
    fn known_keepers(&self) -> BTreeSet<InstanceName> {
        let mut known: BTreeSet<InstanceName> = self.other_configured().into_iter().collect();
        known.extend(self.forming.discovered.iter().cloned());
        known.extend(self.member_names());
        known.remove(&self.identity.name);
        known
    }

    fn member_names(&self) -> Vec<InstanceName> {
        self.log.membership().members.iter().map(|member| member.identity.name.clone()).collect()
    }

    /// Returns the configured keepers other than this one.
    fn other_configured(&self) -> Vec<InstanceName> {
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

    /// Answers a keeper that belongs to no group. An initial member that missed the `Form` message gets
    /// it again; any other keeper gets the names of the members and may be admitted.
    fn answer_unformed(&mut self, now: Moment, from: KeeperIdentity) {
        let log_snapshot = self.log.snapshot();
        if log_snapshot.index == LogIndex(0) && log_snapshot.membership.has_member(&from) {
            let membership = log_snapshot.membership.clone();
            self.send(&from.name, PeerBody::Form { membership });
            return;
        }
        let members = self.member_names();
        self.send(&from.name, PeerBody::Announce { empty: false, members });
        self.admit_learner(now, from);
    }

    fn form_if_possible(&mut self, now: Moment) {
        let lowest_name = self.options.configured.iter().min();
        if self.is_formed() || !self.options.may_form_group || lowest_name != Some(&self.identity.name) {
            return;
        }
        let limit = self.options.announce_interval * MAX_MISSED_ANNOUNCEMENTS;
        let mut identities = vec![self.identity.clone()];
        for name in self.other_configured() {
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
        for name in self.other_configured() {
            self.send(&name, PeerBody::Form { membership: membership.clone() });
        }
    }

    /// Adopts the first group if this keeper has none and its own incarnation is a member.
    pub(super) fn adopt_group(&mut self, now: Moment, membership: GroupMembership) {
        if self.is_formed() || !membership.has_member(&self.identity) {
            return;
        }
        let snapshot = LogSnapshot { membership, ..LogSnapshot::default() };
        self.log.replace(snapshot.clone());
        self.output.save.snapshot = Some(snapshot);
        self.become_follower(now, None);
    }

    /// Makes this keeper the only member of the group, by an operator's order. All entries of its log are
    /// kept, committed or not.
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
