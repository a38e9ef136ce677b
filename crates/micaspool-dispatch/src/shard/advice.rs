//! Advice that endpoints gave to single routers, and its effect on tickets.
//!
//! A router follows the advice itself and returns a grant that it may not use. Applying it here saves
//! that round trip, and lets the shard refuse a ticket that no endpoint will accept from its router in
//! time.

use super::endpoints::EndpointIndex;
use super::overdue::RefusalCause;
use super::routers::RouterIndex;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use crate::event::SessionId;
use micaspool_types::{AdviceRecord, HallMask, Moment, RequestId};

impl ShardCore {
    /// Records the advice that endpoints gave to a router, and refuses the router's tickets that can no
    /// longer be served in time.
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

    /// Records the advice that endpoints gave to a router. An endpoint that announces that it is leaving
    /// is closed for all routers; a rest applies to this router only.
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

    /// Refuses the router's waiting tickets whose time ends before the first endpoint accepts requests
    /// from it again.
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

    /// Refuses a waiting ticket whose time ends before the first endpoint accepts requests from its
    /// router again.
    pub(super) fn refuse_resting_ticket(
        &mut self,
        now: Moment,
        request: RequestId,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(ticket) = self.waiting.get(&request) else { return };
        let Some(rest_end_at) = self.rest_end(now, ticket.router, self.halls_of(ticket)) else { return };
        if ticket.latest_start().is_some_and(|latest_start| latest_start < rest_end_at) {
            self.refuse_for(
                now,
                request,
                RefusalCause::not_before(RefusalReason::EndpointsRest, rest_end_at),
                actions,
            );
        }
    }

    /// The earliest moment at which an endpoint in these halls accepts requests from the router again;
    /// `None` if one does now.
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
            let until = self.routers.rest_until(now, router, endpoint)?;
            soonest = Some(soonest.map_or(until, |before| before.min(until)));
        }
        soonest
    }

    /// True if the router may send nothing to the endpoint now, because it does not hold the endpoint
    /// or was asked to rest.
    pub(super) fn is_blocked_for(&self, now: Moment, router: RouterIndex, endpoint: EndpointIndex) -> bool {
        self.routers.lacks_endpoint(now, router, endpoint)
            || self.routers.rest_until(now, router, endpoint).is_some()
    }

    /// True while all endpoints that the ticket may use have asked its router to rest.
    pub(super) fn is_resting(&self, now: Moment, ticket: &WaitingTicket) -> bool {
        self.rest_end(now, ticket.router, self.halls_of(ticket)).is_some()
    }
}
