//! Which tickets wait for an engine that they chose though it is not free.
//!
//! Engines that keep a prompt's parts are worth a wait, but each of them reads for one ticket after the other.
//! A ticket therefore counts those that chose the same engine before it.

use super::endpoints::EndpointIndex;
use micaspool_types::RequestId;
use std::cell::RefCell;
use std::collections::HashMap;

/// What chose an engine before a ticket did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct WorkAhead {
    /// How many tickets.
    pub tickets: u32,
    /// What the engine has to read for them.
    pub tokens: u64,
}

/// A ticket in the queue of an engine.
#[derive(Debug, Clone, Copy)]
struct AwaitingTicket {
    request: RequestId,
    /// What the engine has to read for it.
    tokens: u64,
}

/// For each engine the tickets that wait for it, in the order in which they chose it. Choices are made while the
/// shard is searched for the next grant, so a queue changes behind a shared reference.
#[derive(Debug, Default)]
pub(super) struct EngineQueues {
    queues: RefCell<HashMap<EndpointIndex, Vec<AwaitingTicket>>>,
}

impl EngineQueues {
    /// The tickets that chose an engine before this one.
    pub fn ahead_of(&self, engine: EndpointIndex, request: RequestId) -> WorkAhead {
        let queues = self.queues.borrow();
        let Some(queue) = queues.get(&engine) else { return WorkAhead::default() };
        let earlier = queue.iter().take_while(|ticket| ticket.request != request);
        earlier.fold(WorkAhead::default(), |ahead, ticket| WorkAhead {
            tickets: ahead.tickets + 1,
            tokens: ahead.tokens + ticket.tokens,
        })
    }

    /// A ticket waits for an engine; it keeps its place if it did before.
    pub fn join(&self, engine: EndpointIndex, request: RequestId, tokens: u64) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(engine).or_default();
        match queue.iter_mut().find(|ticket| ticket.request == request) {
            Some(ticket) => ticket.tokens = tokens,
            None => queue.push(AwaitingTicket { request, tokens }),
        }
    }

    /// A ticket no longer waits for an engine.
    pub fn leave(&self, engine: EndpointIndex, request: RequestId) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(&engine) else { return };
        queue.retain(|ticket| ticket.request != request);
        if queue.is_empty() {
            queues.remove(&engine);
        }
    }
}
