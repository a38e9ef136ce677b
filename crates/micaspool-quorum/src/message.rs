//! Messages between keepers.

use crate::types::{GroupMembership, KeeperIdentity, LogEntry, LogIndex, LogSnapshot};
use micaspool_types::{InstanceName, Moment, Term};
use serde::{Deserialize, Serialize};

/// A message with its sender and the sender's term.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct PeerMessage {
    /// Who sent it.
    pub from: KeeperIdentity,
    /// The sender's term.
    pub term: Term,
    /// What it says.
    pub body: PeerBody,
}

/// What a message says.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum PeerBody {
    /// The sender belongs to no group yet or is no voter, or answers such a keeper.
    Announce {
        /// True when the sender has no log.
        empty: bool,
        /// The members that the sender knows, so that a newcomer finds the leader.
        members: Vec<InstanceName>,
    },
    /// The first group.
    Form {
        /// Its members.
        membership: GroupMembership,
    },
    /// Would you vote for me in this term?
    PreVote {
        /// The term that the sender would begin.
        next: Term,
        /// The sender's last entry.
        last: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// The answer to `PreVote`.
    PreVoteReply {
        /// The term that was asked about.
        next: Term,
        /// True for yes.
        granted: bool,
    },
    /// Vote for me in my term.
    Vote {
        /// The sender's last entry.
        last: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// The answer to `Vote`.
    VoteReply {
        /// True for yes.
        granted: bool,
    },
    /// Entries of the leader; none for a heartbeat.
    Append {
        /// The entry before the first one sent.
        prev: LogIndex,
        /// The term of that entry.
        prev_term: Term,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The newest entry known to be committed.
        commit: LogIndex,
        /// The leader's clock, for its lease.
        sent_at: Moment,
    },
    /// The answer to `Append` and `Install`, sent once what it acknowledges is durable.
    AppendReply {
        /// False when the entry before the first one was missing.
        accepted: bool,
        /// The last entry that agrees with the leader, or where to try next.
        matched: LogIndex,
        /// The clock of the message that is answered.
        sent_at: Moment,
    },
    /// A whole snapshot for a keeper that is far behind.
    Install {
        /// The snapshot.
        snapshot: LogSnapshot,
        /// The leader's clock, for its lease.
        sent_at: Moment,
    },
}
