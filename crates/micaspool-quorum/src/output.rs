//! Input events and outputs of the state machine.

use crate::message::{PeerBody, PeerMessage};
use crate::types::{HardState, KeeperIdentity, LogEntry, LogIndex, LogSnapshot};
use micaspool_types::InstanceName;

/// An input event of [`QuorumCore::step`](crate::QuorumCore::step).
#[derive(Clone, Debug)]
pub enum QuorumEvent {
    /// Time has passed; due timers run.
    Tick,
    /// A message from another keeper has arrived.
    Message(PeerMessage),
    /// The save batches of all earlier outputs are durable.
    Saved,
    /// The encoded state machines as of an applied entry. The log may drop entries up to it.
    Compact(LogIndex, Vec<u8>),
    /// An operator's order to continue as the only member of the group.
    RecoverAlone,
    /// The keeper is about to stop and leaves the group first, if the group can spare it. See
    /// [`QuorumCore::leave_outcome`](crate::QuorumCore::leave_outcome).
    Leave,
    /// The address of another keeper has refused connections more than once in a row: its process has ended.
    Refused(InstanceName),
}

/// A message and its receiver.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Envelope {
    /// The receiver.
    pub to: InstanceName,
    /// The message.
    pub message: PeerMessage,
}

/// Changes that must be durable before the rest of an output is processed. They apply in this
/// order: the snapshot replaces everything up to its index, entries from `truncate_from` on are
/// dropped, `append` is added, and the hard state is replaced.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct SaveBatch {
    /// A snapshot that replaces the previous one.
    pub snapshot: Option<LogSnapshot>,
    /// The first of the entries to drop.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub append: Vec<LogEntry>,
    /// The new term and vote.
    pub hard: Option<HardState>,
}

impl SaveBatch {
    /// Returns whether there is nothing to save.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.truncate_from.is_none()
            && self.append.is_empty()
            && self.hard.is_none()
    }
}

/// A snapshot of the leader that has replaced the log of this keeper.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct InstalledSnapshot {
    /// The snapshot.
    pub snapshot: LogSnapshot,
    /// The number of entries that the log held after the snapshot and has lost.
    pub dropped_entries: u64,
}

/// Entries that a member had acknowledged as durable and no longer has. The leader sends them again.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LostEntries {
    /// The member.
    pub member: KeeperIdentity,
    /// The last entry that it had acknowledged.
    pub acknowledged: LogIndex,
    /// The last entry that it may still have.
    pub left: LogIndex,
}

/// The effects of events, in the order in which the caller must process them.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct QuorumOutput {
    /// First, changes to persist.
    pub save: SaveBatch,
    /// Second, messages to send. Some may be sent before: see [`QuorumOutput::take_early_messages`].
    pub send: Vec<Envelope>,
    /// Third, a snapshot to load into the state machines.
    pub install: Option<InstalledSnapshot>,
    /// Last, committed entries to apply in order.
    pub committed: Vec<LogEntry>,
    /// What members have lost, to be logged.
    pub lost_entries: Vec<LostEntries>,
}

impl QuorumOutput {
    /// Takes the messages that need not wait until `save` is durable: what a leader replicates. Members make entries durable
    /// while the leader does, which counts itself only afterwards. While a term or vote is to be saved, all messages wait.
    pub fn take_early_messages(&mut self) -> Vec<Envelope> {
        if self.save.hard.is_some() {
            return Vec::new();
        }
        let is_early = |envelope: &Envelope| {
            matches!(envelope.message.body, PeerBody::Append { .. } | PeerBody::Install { .. })
        };
        let (early, rest) = std::mem::take(&mut self.send).into_iter().partition(is_early);
        self.send = rest;
        early
    }

    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.save.is_empty()
            && self.send.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
            && self.lost_entries.is_empty()
    }
}
