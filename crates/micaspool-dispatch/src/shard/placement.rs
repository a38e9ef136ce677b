//! Tickets whose data halls, or software version, have no endpoint that could run them.
//!
//! Closed endpoints don't count when waits are estimated, so most tickets that can't be served are
//! refused on arrival, as after any other loss of capacity. A ticket that can only run in evacuated
//! halls is refused at once, since it would otherwise wait until an operator reopens one; so is a ticket
//! that is limited to halls without endpoints, or to a version that none of them runs.

use super::endpoints::EndpointTable;
use super::overdue::RefusalCause;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use micaspool_types::{HallLimit, HallMask, Moment, RequestId, VersionLimit};

/// Whether the endpoints in a set of data halls may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HallUsability {
    /// No endpoint is in the halls.
    Vacant,
    /// All endpoints are in evacuated halls.
    Evacuated,
    /// Some endpoint is not in an evacuated hall.
    Usable,
}

impl EndpointTable {
    fn usability(&self, halls: HallMask, versions: &VersionLimit) -> HallUsability {
        let mut usability = HallUsability::Vacant;
        for state in self.iter() {
            let is_present = state.slots > 0 && !state.availability.is_leaving();
            if !is_present || !halls.contains(state.hall) || !versions.allows(&state.version) {
                continue;
            }
            if !state.availability.evacuated {
                return HallUsability::Usable;
            }
            usability = HallUsability::Evacuated;
        }
        usability
    }
}

impl ShardCore {
    /// Why a ticket with these limits that may run in `halls` can't be placed; `None` if it can. Without a limit a ticket
    /// waits for endpoints that are not registered yet.
    pub(super) fn placement_refusal(
        &self,
        halls: HallMask,
        limit: &HallLimit,
        versions: &VersionLimit,
    ) -> Option<RefusalReason> {
        match self.endpoints.usability(halls, versions) {
            _ if versions.is_unresolved() => None,
            HallUsability::Usable => None,
            HallUsability::Evacuated => Some(RefusalReason::HallsEvacuated),
            // A shard that has just started has not heard of all endpoints.
            HallUsability::Vacant if *versions != VersionLimit::Any => {
                self.recovering_until.is_none().then_some(RefusalReason::VersionGone)
            }
            HallUsability::Vacant if *limit == HallLimit::Anywhere => None,
            HallUsability::Vacant => Some(RefusalReason::NoEndpoint),
        }
    }

    /// Refuses the waiting tickets that can't be placed any more.
    pub(super) fn refuse_unplaceable(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        let has_evacuations = self.endpoints.totals().evacuated > 0;
        let may_be_affected = |ticket: &WaitingTicket| {
            let is_limited = ticket.halls != HallLimit::Anywhere || ticket.versions != VersionLimit::Any;
            has_evacuations || is_limited
        };
        let affected = self.waiting.iter().filter(|(_, ticket)| may_be_affected(ticket));
        let refusals = affected.filter_map(|(request, ticket)| {
            let reason = self.placement_refusal(self.halls_of(ticket), &ticket.halls, &ticket.versions)?;
            Some((*request, reason))
        });
        let mut refusals: Vec<(RequestId, RefusalReason)> = refusals.collect();
        refusals.sort_by_key(|(request, _)| *request);
        for (request, reason) in refusals {
            self.refuse_for(now, request, RefusalCause::of(reason), actions);
        }
    }
}
