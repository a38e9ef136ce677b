//! Free engines that could begin a ticket in time.
//!
//! A shard keeps this property after each step: **no ticket is refused as overdue, and none is left waiting, while an
//! engine stands free that could begin it in time and whose use costs nobody who is owed more.**
//!
//! - *Free*: the engine is open, has a slot and room for prefill, is in a hall that the ticket may use, runs a version that
//!   it may use and is not excluded for it or its router. The prompt breaks no pause of a stream that runs there, and no
//!   earlier first event is overdue there.
//! - *In time*: the first event is expected there before it is due, counting what is queued and what other tickets
//!   wait for. A ticket without an objective is in time at any engine.
//! - *Owed more*: a waiting ticket of a customer of a lower level that could use the same engine in time. Such a ticket breaks
//!   the property itself unless it waits by choice, so that it needs no comparison of levels.
//! - *By choice*: a ticket may wait for a busy engine as long as its first event is expected there before it is due. A
//!   choice holds for one pass.

use super::choice::{ChosenEngine, EngineQuery};
use super::endpoints::EndpointIndex;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::event::{RequestTicket, SessionId};
use micaspool_types::{EndpointName, Moment, RequestId};
use std::time::Duration;

/// A ticket that an engine could begin in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleEngine {
    /// The ticket.
    pub request: RequestId,
    /// The engine that stands free.
    pub endpoint: EndpointName,
}

impl ShardCore {
    /// A waiting ticket that breaks the property of this module, with the engine that it could use. It examines all
    /// tickets and all free engines, which no step does.
    pub fn idle_engine(&self, now: Moment) -> Option<IdleEngine> {
        if self.recovering_until.is_some() || self.endpoints.free_halls().is_empty() {
            return None;
        }
        let mut open = self.waiting.iter().filter(|(_, ticket)| !self.waits_in_time(now, ticket));
        open.find_map(|(request, ticket)| {
            let endpoint = self.endpoints.name(self.idle_engine_for(now, ticket)?.engine).clone();
            Some(IdleEngine { request: *request, endpoint })
        })
    }

    /// The engine that stood free for a ticket which has been refused as overdue, and which may begin within
    /// `remaining` from now.
    pub fn idle_engine_of_refused(
        &self,
        now: Moment,
        session: SessionId,
        ticket: &RequestTicket,
        remaining: Option<Duration>,
    ) -> Option<IdleEngine> {
        let router = self.routers.by_session(session).filter(|_| self.recovering_until.is_none())?;
        let customer = self.customers.by_name(&ticket.customer)?;
        let ticket = RequestTicket { objective: remaining, ..ticket.clone() };
        let waiting = self.waiting_ticket(now, router, customer, &ticket);
        let endpoint = self.endpoints.name(self.idle_engine_for(now, &waiting)?.engine).clone();
        Some(IdleEngine { request: ticket.request, endpoint })
    }

    /// A free engine that could begin the ticket in time.
    fn idle_engine_for(&self, now: Moment, ticket: &WaitingTicket) -> Option<ChosenEngine> {
        self.routers.session(ticket.router)?;
        let excluded = self.isolation_exclusions(now, ticket)?;
        let is_excluded = |endpoint| self.is_excluded_for(now, ticket, &excluded, endpoint);
        let query = self.engine_query(ticket, &is_excluded);
        self.endpoints.free_engine_in_time(now, &query, |engine| {
            self.engine_queues.ahead_of(engine, ticket.place.request)
        })
    }

    /// True if the ticket waits by choice for a busy engine that is expected to begin it in time.
    fn waits_in_time(&self, now: Moment, ticket: &WaitingTicket) -> bool {
        let Some(choice) = ticket.waits_for.get() else { return false };
        let is_busy = !self.endpoints.is_free(choice.engine, self.halls_of(ticket));
        let query = self.engine_query(ticket, &|_: EndpointIndex| false);
        let ahead = self.engine_queues.ahead_of(choice.engine, ticket.place.request);
        let is_current = choice.pass == self.pass_number && now < self.next_pass_due;
        is_busy && (is_current || self.endpoints.is_in_time(now, &query, ahead, choice.engine))
    }

    /// The requirements of a ticket on its engine.
    pub(super) fn engine_query<'a>(
        &self,
        ticket: &'a WaitingTicket,
        is_excluded: &'a dyn Fn(EndpointIndex) -> bool,
    ) -> EngineQuery<'a> {
        EngineQuery {
            prompt: &ticket.prompt,
            halls: self.halls_of(ticket),
            is_excluded,
            first_event_due: ticket.first_event_due,
        }
    }
}
