//! A replicated log: terms, elections with a pre-vote, majority commit, snapshots, and the
//! replacement of members that lost their disk.
//!
//! [`QuorumCore`] is a state machine without I/O or clock. Its driver feeds it [`QuorumEvent`]s,
//! makes the [`SaveBatch`] of each [`QuorumOutput`] durable, and only then sends the messages and
//! applies the entries of that output.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod core;
mod log;
mod message;
mod options;
mod output;
mod types;

pub use crate::core::{ProposeError, QuorumCore, QuorumRole, QuorumStatus};
pub use log::EntryLog;
pub use message::{PeerBody, PeerMessage};
pub use options::{OpenGroupOptions, QuorumOptions};
pub use output::{Envelope, QuorumEvent, QuorumOutput, SaveBatch};
pub use types::{
    EntryPayload, GroupMember, GroupMembership, HardState, KeeperIdentity, LogEntry, LogIndex, LogSnapshot,
    RestoredState,
};
