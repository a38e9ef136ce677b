//! The events of a replay in time order.

use super::faults::FaultKind;
use micaspool_dispatch::{CacheUpdate, ShardAction, ShardEvent};
use micaspool_types::{Moment, RequestId};

/// What happens next in a replay.
#[derive(Debug)]
pub(super) enum ReplayEvent {
    Arrive(usize),
    ToShard(ShardEvent),
    ToRouter(ShardAction),
    Deliver { request: RequestId, run: u64 },
    Cache(CacheUpdate),
    Tick,
    Probe,
    Heartbeat,
    Fault(FaultKind),
    NewDispatcher { restore_state: bool },
}

/// An event with its time; events of one time come in the order in which they were queued.
#[derive(Debug)]
pub(super) struct QueuedEvent {
    pub at: Moment,
    pub number: u64,
    pub event: ReplayEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
