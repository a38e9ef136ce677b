//! Waiting events other than submissions, in the order of their arrival.

use crate::event::ShardEvent;
use foldhash::HashMap;
use micaspool_types::{Moment, RequestId};
use std::collections::VecDeque;

/// Waiting events. Progress reports of one request that wait together are joined, since each has the total cost.
#[derive(Debug, Default)]
pub(super) struct EventLane {
    events: VecDeque<(Moment, Box<ShardEvent>)>,
    /// The number of events taken so far, which is the place of the first waiting one.
    taken: u64,
    /// The places of the waiting progress reports.
    reports: HashMap<RequestId, u64>,
}

impl EventLane {
    /// Adds an event.
    pub fn push(&mut self, arrived_at: Moment, event: Box<ShardEvent>) {
        if self.join_report(&event) {
            return;
        }
        if let ShardEvent::Progress(_, request, _) = *event {
            self.reports.insert(request, self.taken + self.events.len() as u64);
        }
        self.events.push_back((arrived_at, event));
    }

    /// Takes the first event.
    pub fn pop(&mut self) -> Option<(Moment, Box<ShardEvent>)> {
        let (arrived_at, event) = self.events.pop_front()?;
        if let ShardEvent::Progress(_, request, _) = *event {
            if self.reports.get(&request) == Some(&self.taken) {
                self.reports.remove(&request);
            }
        }
        self.taken += 1;
        Some((arrived_at, event))
    }

    /// True if no event waits.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// When the first waiting event arrived.
    pub fn oldest(&self) -> Option<Moment> {
        self.events.front().map(|(arrived_at, _)| *arrived_at)
    }

    /// Adds a progress report to a waiting one of the same request and session. Returns false if there is none.
    fn join_report(&mut self, event: &ShardEvent) -> bool {
        let ShardEvent::Progress(session, request, delivered) = event else { return false };
        let Some(place) = self.reports.get(request) else { return false };
        let position = usize::try_from(place - self.taken).unwrap_or(usize::MAX);
        let Some((_, waiting)) = self.events.get_mut(position) else { return false };
        match &mut **waiting {
            ShardEvent::Progress(owner, _, total) if owner == session => {
                *total = (*total).max(*delivered);
                true
            }
            _ => false,
        }
    }
}
