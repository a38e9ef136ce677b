//! What becomes of tickets while data halls are evacuated.
//!
//! The closed endpoints count for nothing where waits are estimated, so most that can't be served is refused on arrival
//! as at any other loss of capacity. A ticket that only closed endpoints could run would wait for an operator's word:
//! it is refused at once.

use super::endpoints::EndpointTable;
use super::overdue::RefusalCause;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use micaspool_types::{HallMask, Moment, RequestId};

impl EndpointTable {
    /// True when there are endpoints in these halls, and all of them stand in evacuated ones.
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
    /// Refuses the waiting tickets that only endpoints in evacuated halls could run.
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
