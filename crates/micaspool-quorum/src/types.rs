//! Log entries, group members and persistent state.

use micaspool_types::{Incarnation, InstanceName, Term};
use serde::{Deserialize, Serialize};

/// The position of an entry in the log, counted from 1. Zero precedes the first entry.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the next position.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }
}

/// Identifies a keeper together with the incarnation of its data folder.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct KeeperIdentity {
    /// The name of the instance.
    pub name: InstanceName,
    /// A random number, generated when the data folder is created.
    pub incarnation: Incarnation,
}

/// A voter or learner of the group. A learner receives the log but does not count towards majorities.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct GroupMember {
    /// The keeper and its incarnation.
    pub identity: KeeperIdentity,
    /// Whether the member counts towards majorities. A member with a new data folder becomes a voter
    /// only after it has caught up.
    pub voter: bool,
}

/// The voters and learners of the group.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct GroupMembership {
    /// The members, sorted by name.
    pub members: Vec<GroupMember>,
}

impl GroupMembership {
    /// Returns the members that count towards majorities.
    pub fn voters(&self) -> impl Iterator<Item = &KeeperIdentity> {
        self.members.iter().filter(|member| member.voter).map(|member| &member.identity)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the keeper is a voter with this incarnation.
    pub fn is_voter(&self, identity: &KeeperIdentity) -> bool {
        self.voters().any(|voter| voter == identity)
    }

    /// Returns whether the keeper is a member with this incarnation.
    pub fn has_member(&self, identity: &KeeperIdentity) -> bool {
        self.members.iter().any(|member| member.identity == *identity)
    }

    /// Returns the member with this name, whatever its incarnation.
    pub fn member_named(&self, name: &InstanceName) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.identity.name == *name)
    }

    /// Returns the membership without this incarnation of a keeper.
    pub fn without_member(&self, identity: &KeeperIdentity) -> GroupMembership {
        let others = self.members.iter().filter(|member| member.identity != *identity);
        GroupMembership { members: others.cloned().collect() }
    }

    /// Returns the membership with `member` added, replacing any other incarnation of the same keeper.
    pub fn with_member(&self, member: GroupMember) -> GroupMembership {
        let others = self.members.iter().filter(|other| other.identity.name != member.identity.name);
        let mut members: Vec<GroupMember> = others.cloned().collect();
        members.push(member);
        members.sort_by(|a, b| a.identity.cmp(&b.identity));
        GroupMembership { members }
    }
}

/// The content of a log entry.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum EntryPayload {
    /// No content: the first entry of a leader's term, or a read barrier.
    Blank,
    /// An encoded command for the state machines.
    Command(Vec<u8>),
    /// A membership change, in effect from this entry on.
    Members(GroupMembership),
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LogEntry {
    /// The position in the log.
    pub index: LogIndex,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// The content.
    pub payload: EntryPayload,
}

/// The state of the state machines that replaces all log entries up to `index`.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LogSnapshot {
    /// The last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The membership as of that entry.
    pub membership: GroupMembership,
    /// The state of the state machines, encoded by the caller.
    pub data: Vec<u8>,
}

/// The current term and the vote cast in it.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct HardState {
    /// The latest term that this keeper has seen.
    pub term: Term,
    /// The candidate that this keeper voted for in that term.
    pub vote: Option<KeeperIdentity>,
}

/// The persistent state of a keeper, as read at startup.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RestoredState {
    /// The keeper and its incarnation.
    pub identity: KeeperIdentity,
    /// The current term and vote.
    pub hard: HardState,
    /// The latest snapshot.
    pub snapshot: LogSnapshot,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}
