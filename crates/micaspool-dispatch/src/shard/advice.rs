//! What endpoints asked of single routers, and what becomes of tickets by it.
//!
//! The router itself keeps the promise and gives a grant back that it may not use. What is known of it here spares that
//! round trip, and refuses a ticket that no endpoint wants in time from its router.

use super::endpoints::EndpointIndex;
use super::overdue::RefusalCause;
use super::routers::RouterIndex;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use crate::event::SessionId;
use micaspool_types::{AdviceRecord, HallMask, Moment, RequestId};

impl ShardCore {
    /// Takes in what endpoints asked of a router, and refuses its tickets that can't be served in time by that.
    pub(super) fn apply_advice(
        &mut self,
        now: Moment,
        session: SessionId,
        advice: &[AdviceRecord],
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(router) = self.routers.by_session(session) else { return };
        self.record_advice(now, router, advice);
        self.refuse_resting(now, router, actions);
    }

    /// Takes in what endpoints asked of a router. One that leaves says so to whoever asks, and is closed for all routers;
    /// a rest was asked of this one alone.
    pub(super) fn record_advice(&mut self, now: Moment, router: RouterIndex, advice: &[AdviceRecord]) {
        for record in advice {
            let endpoint = self.endpoints.ensure(&record.endpoint);
            if record.advice.leaving {
                self.endpoints.note_leaving(endpoint);
            }
            if !record.advice.rest.is_zero() {
                self.routers.note_rest(router, endpoint, now + record.advice.rest);
            }
        }
    }

    /// Refuses the waiting tickets of a router whose time is over before the first endpoint wants them again.
    pub(super) fn refuse_resting(
        &mut self,
        now: Moment,
        router: RouterIndex,
        actions: &mut Vec<ShardAction>,
    ) {
        if !self.routers.has_rests(router) {
            return;
        }
        for request in self.routers.held(router) {
            self.refuse_resting_ticket(now, request, actions);
        }
    }

    /// Refuses a waiting ticket whose time is over before the first endpoint wants it again.
    pub(super) fn refuse_resting_ticket(
        &mut self,
        now: Moment,
        request: RequestId,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(ticket) = self.waiting.get(&request) else { return };
        let halls = self.customers.get(ticket.customer).halls;
        let Some(rest_end_at) = self.rest_end(now, ticket.router, halls) else { return };
        if ticket.latest_start().is_some_and(|latest_start| latest_start < rest_end_at) {
            self.refuse_for(
                now,
                request,
                RefusalCause::not_before(RefusalReason::EndpointsRest, rest_end_at),
                actions,
            );
        }
    }

    /// The soonest moment at which any endpoint in these halls wants something from a router again; `None` while one of
    /// them wants it now.
    pub(super) fn rest_end(&self, now: Moment, router: RouterIndex, halls: HallMask) -> Option<Moment> {
        if !self.routers.has_rests(router) {
            return None;
        }
        let in_use = self.endpoints.indices().filter(|endpoint| {
            let state = self.endpoints.state(*endpoint);
            state.slots > 0 && halls.contains(state.hall) && !self.endpoints.is_leaving(*endpoint)
        });
        let mut soonest: Option<Moment> = None;
        for endpoint in in_use {
            let until = self.routers.rests_until(now, router, endpoint)?;
            soonest = Some(soonest.map_or(until, |before| before.min(until)));
        }
        soonest
    }

    /// True when a router may send nothing to an endpoint now: it does not hold it, or was asked for rest.
    pub(super) fn is_blocked_for(&self, now: Moment, router: RouterIndex, endpoint: EndpointIndex) -> bool {
        self.routers.lacks_endpoint(now, router, endpoint)
            || self.routers.rests_until(now, router, endpoint).is_some()
    }

    /// True while no endpoint that a ticket may use wants anything from its router.
    pub(super) fn is_resting(&self, now: Moment, ticket: &WaitingTicket) -> bool {
        let halls = self.customers.get(ticket.customer).halls;
        self.rest_end(now, ticket.router, halls).is_some()
    }
}
