//! A replicated log after Raft: terms, elections with pre-vote, majority commit, snapshots, and
//! membership changes that replace members whose disk was lost.
//!
//! [`QuorumCore`] is a deterministic state machine that performs no I/O and reads no clock. The
//! caller passes [`QuorumEvent`]s in, persists the [`SaveBatch`] of each [`QuorumOutput`], and only
//! then sends the messages and applies the entries of that output.
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
pub use message::{LeaveOutcome, PeerBody, PeerMessage};
pub use options::{OpenGroupOptions, QuorumOptions};
pub use output::{Envelope, InstalledSnapshot, LostEntries, QuorumEvent, QuorumOutput, SaveBatch};
pub use types::{
    EntryPayload, GroupMember, GroupMembership, HardState, KeeperIdentity, LogEntry, LogIndex, LogSnapshot,
    RestoredState,
};
