//! Tickets that wait for a busy engine of their choice.
//!
//! Waiting for an engine can pay off if it caches parts of the prompt, but each engine prefills one
//! prompt after the other. A ticket therefore accounts for the tickets that chose the same engine
//! earlier.

use super::endpoints::EndpointIndex;
use foldhash::HashMap;
use micaspool_types::RequestId;
use std::cell::RefCell;

/// The work queued for an engine ahead of a ticket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct WorkAhead {
    /// The number of tickets.
    pub tickets: u32,
    /// The tokens that the engine has to prefill for them.
    pub tokens: u64,
}

/// A ticket in the queue of an engine.
#[derive(Debug, Clone, Copy)]
struct AwaitingTicket {
    request: RequestId,
    /// The tokens that the engine has to prefill for it.
    tokens: u64,
}

/// The tickets waiting for each engine, in the order of their choices. Choices are made during the
/// search for the next grant, which borrows the shard immutably; hence the `RefCell`.
#[derive(Debug, Default)]
pub(super) struct EngineQueues {
    queues: RefCell<HashMap<EndpointIndex, Vec<AwaitingTicket>>>,
}

impl EngineQueues {
    /// The work queued for an engine ahead of this ticket.
    pub fn ahead_of(&self, engine: EndpointIndex, request: RequestId) -> WorkAhead {
        let queues = self.queues.borrow();
        let Some(queue) = queues.get(&engine) else { return WorkAhead::default() };
        let earlier = queue.iter().take_while(|ticket| ticket.request != request);
        earlier.fold(WorkAhead::default(), |ahead, ticket| WorkAhead {
            tickets: ahead.tickets + 1,
            tokens: ahead.tokens + ticket.tokens,
        })
    }

    /// Adds a ticket to an engine's queue, or updates it in its place.
    pub fn join(&self, engine: EndpointIndex, request: RequestId, tokens: u64) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(engine).or_default();
        match queue.iter_mut().find(|ticket| ticket.request == request) {
            Some(ticket) => ticket.tokens = tokens,
            None => queue.push(AwaitingTicket { request, tokens }),
        }
    }

    /// Removes a ticket from an engine's queue.
    pub fn leave(&self, engine: EndpointIndex, request: RequestId) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(&engine) else { return };
        queue.retain(|ticket| ticket.request != request);
        if queue.is_empty() {
            queues.remove(&engine);
        }
    }
}
