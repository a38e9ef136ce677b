//! The events of a replay, and the order in which the event queue returns them.

use super::faults::FaultKind;
use micaspool_dispatch::{CacheUpdate, ShardAction, ShardEvent};
use micaspool_types::{Moment, RequestId};

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum ReplayEvent {
    /// The request with this index arrives at its router.
    Arrive(usize),
    /// A message reaches the dispatcher.
    ToShard(ShardEvent),
    /// A message reaches a router.
    ToRouter(ShardAction),
    /// An endpoint delivers the next step of a request; ignored if `run` is no longer its current run.
    Deliver {
        request: RequestId,
        run: u64,
    },
    /// A cache update of an endpoint reaches the dispatcher.
    Cache(CacheUpdate),
    Tick,
    /// Endpoints are probed for their load.
    Probe,
    /// Every router sends a heartbeat.
    SendHeartbeats,
    Fault(FaultKind),
    /// A dispatcher starts in place of the failed one.
    NewDispatcher {
        restore_state: bool,
    },
}

/// A scheduled event. Events with equal times are processed in the order in which they were scheduled.
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
