//! Messages between keepers.

use crate::types::{GroupMembership, KeeperIdentity, LogEntry, LogIndex, LogSnapshot};
use micaspool_types::{InstanceName, Moment, Term};
use serde::{Deserialize, Serialize};

/// A message between keepers, with its sender and the sender's term.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct PeerMessage {
    /// The sender.
    pub from: KeeperIdentity,
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub body: PeerBody,
}

/// The content of a message between keepers.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum PeerBody {
    /// Sent by a keeper that belongs to no group or is not a voter, and in reply to such a keeper.
    Announce {
        /// Whether the sender belongs to no group and has no log.
        empty: bool,
        /// The members of the sender's group, so that a joining keeper finds the leader.
        members: Vec<InstanceName>,
    },
    /// Forms the first group.
    Form {
        /// The members of the group.
        membership: GroupMembership,
    },
    /// Asks whether the receiver would vote for the sender, without starting a term.
    PreVote {
        /// The term that the sender would start.
        next: Term,
        /// The sender's last entry.
        last: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// The reply to `PreVote`.
    PreVoteReply {
        /// The `next` term of the request.
        next: Term,
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote for the sender in its term.
    Vote {
        /// The sender's last entry.
        last: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// The reply to `Vote`.
    VoteReply {
        /// Whether the sender voted for the candidate.
        granted: bool,
    },
    /// Entries from the leader. A heartbeat has none.
    Append {
        /// The position before the first entry of the message.
        prev: LogIndex,
        /// The term of the entry at that position.
        prev_term: Term,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's clock at sending. The reply echoes it for the leader lease.
        sent_at: Moment,
    },
    /// The reply to `Append` and `Install`, sent after the acknowledged entries are durable.
    AppendReply {
        /// False when the log has no matching entry at `prev`, or when the sender's term is stale.
        accepted: bool,
        /// The last entry that matches the leader's log or, if not accepted, the position after which
        /// the leader should retry.
        matched: LogIndex,
        /// The `sent_at` of the message that is answered.
        sent_at: Moment,
    },
    /// A complete snapshot, for a member that needs entries that the leader has compacted.
    Install {
        /// The snapshot.
        snapshot: LogSnapshot,
        /// The leader's clock at sending. The reply echoes it for the leader lease.
        sent_at: Moment,
    },
    /// Sent by a voter that has heard no leader since its start, to learn who else is reachable and has none. Starts no
    /// term. Keepers of earlier versions drop it as malformed.
    StartupProbe,
    /// The reply to `StartupProbe`.
    StartupReply {
        /// Whether the sender leads or has had contact with a leader within the election timeout.
        hears_leader: bool,
        /// The sender's last entry.
        last: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// Sent by a member that is about to stop, until the leader has decided. Keepers of earlier versions drop it as
    /// malformed, as they do the two kinds below.
    Leave,
    /// The leader's reply to `Leave`.
    LeaveReply {
        /// Whether the sender of `Leave` may stop.
        outcome: LeaveOutcome,
    },
    /// Sent by a leader that is about to stop: the receiver is to begin an election at once.
    TimeoutNow,
}

/// What has become of a member's request to leave the group.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum LeaveOutcome {
    /// The group without the member is committed.
    Removed,
    /// The group has no voter to spare, so that the member stays in it while it is stopped.
    Needed,
    /// The member can be removed soon.
    Pending,
}
