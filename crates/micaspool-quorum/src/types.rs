//! Entries, members and what survives a restart.

use micaspool_types::{Incarnation, InstanceName, Term};
use serde::{Deserialize, Serialize};

/// The position of an entry in the log; the first has 1.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The next position.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }
}

/// A keeper with one life of its data folder.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct KeeperIdentity {
    /// The instance.
    pub name: InstanceName,
    /// A random number that is new when the data folder is new.
    pub incarnation: Incarnation,
}

/// A member of the group.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct GroupMember {
    /// Who it is.
    pub identity: KeeperIdentity,
    /// True when it counts for majorities; a new data folder counts only once it is caught up.
    pub voter: bool,
}

/// All members of the group.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct GroupMembership {
    /// The members in name order.
    pub members: Vec<GroupMember>,
}

impl GroupMembership {
    /// The members that count for majorities.
    pub fn voters(&self) -> impl Iterator<Item = &KeeperIdentity> {
        self.members.iter().filter(|member| member.voter).map(|member| &member.identity)
    }

    /// The number of voters that makes a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// True when exactly this life of the keeper is a voter.
    pub fn is_voter(&self, identity: &KeeperIdentity) -> bool {
        self.voters().any(|voter| voter == identity)
    }

    /// True when exactly this life of the keeper is a member.
    pub fn contains(&self, identity: &KeeperIdentity) -> bool {
        self.members.iter().any(|member| member.identity == *identity)
    }

    /// The member with this name, whichever life of it.
    pub fn member_named(&self, name: &InstanceName) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.identity.name == *name)
    }

    /// The same group without this life of a keeper.
    pub fn without_member(&self, identity: &KeeperIdentity) -> GroupMembership {
        let others = self.members.iter().filter(|member| member.identity != *identity);
        GroupMembership { members: others.cloned().collect() }
    }

    /// The same group with this member in place of any other life of it.
    pub fn with_member(&self, member: GroupMember) -> GroupMembership {
        let others = self.members.iter().filter(|other| other.identity.name != member.identity.name);
        let mut members: Vec<GroupMember> = others.cloned().collect();
        members.push(member);
        members.sort_by(|a, b| a.identity.cmp(&b.identity));
        GroupMembership { members }
    }
}

/// What an entry carries.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum EntryPayload {
    /// Nothing: the first entry of a leader's term, or a read barrier.
    Blank,
    /// A command of the state machines.
    Command(Vec<u8>),
    /// The group from here on.
    Members(GroupMembership),
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LogEntry {
    /// Its position.
    pub index: LogIndex,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// What it carries.
    pub payload: EntryPayload,
}

/// The state that stands for all entries up to an index.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LogSnapshot {
    /// The last entry that it stands for.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The group as of that entry.
    pub membership: GroupMembership,
    /// The state machines, encoded by their owner.
    pub data: Vec<u8>,
}

/// The term and the vote in it.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct HardState {
    /// The newest term that this keeper knows.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<KeeperIdentity>,
}

/// What a keeper read back from its files.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RestoredState {
    /// Who it is.
    pub identity: KeeperIdentity,
    /// The term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: LogSnapshot,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}
