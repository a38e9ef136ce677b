//! What goes into the core and what comes out of it.

use crate::message::PeerMessage;
use crate::types::{HardState, LogEntry, LogIndex, LogSnapshot};
use micaspool_types::InstanceName;

/// One thing that happens to a keeper.
#[derive(Clone, Debug)]
pub enum QuorumEvent {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message(PeerMessage),
    /// Everything of the earlier outputs is durable.
    Saved,
    /// The state machines as of an applied entry; entries up to it may be dropped.
    Compact(LogIndex, Vec<u8>),
    /// An operator orders this keeper to form a group alone.
    RecoverAlone,
}

/// A message and the instance that it goes to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Envelope {
    /// The receiver.
    pub to: InstanceName,
    /// The message.
    pub message: PeerMessage,
}

/// What must be durable before the rest of an output is acted on. In this order: the snapshot
/// replaces everything up to its index, entries from `truncate_from` on are dropped, `append`
/// follows, and the hard state is replaced.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct SaveBatch {
    /// A snapshot that replaces the one before.
    pub snapshot: Option<LogSnapshot>,
    /// Drop this entry and those after it.
    pub truncate_from: Option<LogIndex>,
    /// Entries to add.
    pub append: Vec<LogEntry>,
    /// The new term and vote.
    pub hard: Option<HardState>,
}

impl SaveBatch {
    /// True when there is nothing to save.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.truncate_from.is_none()
            && self.append.is_empty()
            && self.hard.is_none()
    }
}

/// What follows from events, in the order in which the driver acts on it.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct QuorumOutput {
    /// First: make this durable.
    pub save: SaveBatch,
    /// Then: send these.
    pub send: Vec<Envelope>,
    /// Then: replace the state machines by this snapshot.
    pub install: Option<LogSnapshot>,
    /// Then: apply these entries in order.
    pub committed: Vec<LogEntry>,
}

impl QuorumOutput {
    /// True when there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.save.is_empty() && self.send.is_empty() && self.install.is_none() && self.committed.is_empty()
    }
}
