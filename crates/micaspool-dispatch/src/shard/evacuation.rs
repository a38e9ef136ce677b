//! Tickets during the evacuation of data halls.
//!
//! Closed endpoints don't count when waits are estimated, so most tickets that can't be served are
//! refused on arrival, as after any other loss of capacity. A ticket that can only run in evacuated
//! halls is refused at once, since it would otherwise wait until an operator reopens one.

use super::endpoints::EndpointTable;
use super::overdue::RefusalCause;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use micaspool_types::{HallMask, Moment, RequestId};

impl EndpointTable {
    /// True if there are endpoints in these halls and all of them are in evacuated ones.
    pub fn all_evacuated(&self, halls: HallMask) -> bool {
        let mut some = false;
        for state in self.iter() {
            let in_use = state.slots > 0 && halls.contains(state.hall) && !state.availability.is_leaving();
            if in_use && !state.availability.evacuated {
                return false;
            }
            some |= in_use;
        }
        some
    }
}

impl ShardCore {
    /// Refuses the waiting tickets that can only run in evacuated halls.
    pub(super) fn refuse_evacuated(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        if !self.endpoints.iter().any(|state| state.availability.evacuated) {
            return;
        }
        let closed = |request: &RequestId| {
            let customer = self.waiting[request].customer;
            self.endpoints.all_evacuated(self.customers.get(customer).halls)
        };
        let mut requests: Vec<RequestId> = self.waiting.keys().copied().filter(closed).collect();
        requests.sort();
        for request in requests {
            self.refuse_for(now, request, RefusalCause::of(RefusalReason::HallsEvacuated), actions);
        }
    }
}
