//! Tickets that wait for too long.
//!
//! A ticket is refused once its patience ends, so that its caller can come back in time. One whose
//! customer is owed service is kept for a while longer: it is next for the engine that suits it, and
//! refusing it would give its turn to whoever sends most.

use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{ReleaseReason, ShardAction};
use micaspool_fair::CustomerIndex;
use micaspool_types::{Moment, RequestId};
use std::time::Duration;

/// How many times its patience a ticket of a customer that is owed service may wait. Patience is a
/// quarter of the objective, so this is the whole objective.
const OWED_PATIENCES: u32 = 4;

/// How long a ticket may wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct Patience {
    span: Duration,
    /// When it is refused unless its customer is owed service.
    pub ends: Moment,
    /// When it is refused in any case.
    last: Moment,
}

impl Patience {
    pub fn new(now: Moment, span: Duration) -> Patience {
        Patience { span, ends: now + span, last: now + span * OWED_PATIENCES }
    }

    /// The same ticket after it was kept once more; `None` when it waited for long enough.
    fn extended(self, now: Moment) -> Option<Patience> {
        let ends = (now + self.span).min(self.last);
        (now < self.last).then_some(Patience { ends, ..self })
    }
}

impl ShardCore {
    /// A ticket that no longer waits is not refused either.
    pub(super) fn forget_overdue(&mut self, request: RequestId, ticket: &WaitingTicket) {
        if let Some(patience) = ticket.patience {
            self.overdue.remove(&(patience.ends, request));
        }
    }

    /// Refuses the tickets that have waited as long as they may.
    pub(super) fn refuse_overdue(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        while let Some((_, request)) = self.overdue.first().copied().filter(|(at, _)| *at <= now) {
            self.overdue.pop_first();
            if !self.keep_owed(now, request) {
                self.refuse(now, request, actions);
            }
        }
    }

    /// Keeps a ticket whose customer is owed service, while that helps.
    fn keep_owed(&mut self, now: Moment, request: RequestId) -> bool {
        let Some(ticket) = self.waiting.get(&request) else { return true };
        if !self.is_owed(ticket.customer) {
            return false;
        }
        let extended = ticket.patience.and_then(|patience| patience.extended(now));
        let Some(patience) = extended else { return false };
        self.overdue.insert((patience.ends, request));
        self.waiting.get_mut(&request).expect("it was found above").patience = Some(patience);
        true
    }

    /// True when a customer with a higher level was served last where this one may be served.
    fn is_owed(&self, customer: CustomerIndex) -> bool {
        let state = self.customers.get(customer);
        let served = state.halls.indices().filter_map(|hall| self.floors.get(hall)).max();
        let rank = state.indexed.map(|(_, rank)| rank);
        rank.zip(served).is_some_and(|(rank, served)| rank < *served)
    }

    fn refuse(&mut self, now: Moment, request: RequestId, actions: &mut Vec<ShardAction>) {
        let Some(ticket) = self.drop_waiting(request) else { return };
        self.customers.get_mut(ticket.customer).refused_at = Some(now);
        if let Some(session) = self.routers.session(ticket.router) {
            let retry_after = self.retry_after(ticket.customer);
            actions.push(ShardAction::Refuse {
                session,
                request,
                reason: ReleaseReason::Overdue,
                retry_after,
            });
        }
    }
}
