//! Tickets that can't be served in time: refused on arrival where that is known, else as soon as it is.

use super::customers::CustomerState;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use crate::event::RequestTicket;
use crate::shard::engine::PromptShape;
use micaspool_fair::CustomerIndex;
use micaspool_types::{Moment, RequestId};
use std::time::Duration;

/// The shortest time that a ticket may wait, however long its reading takes: the longest prompts begin late
/// everywhere, and would otherwise never run.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// How many tickets of a customer may wait whatever the estimate says, so that one without any service
/// lately has a ticket ready.
const ALWAYS_ADMITTED_TICKETS: usize = 2;

/// What can be told of a ticket's wait when it comes.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEstimate {
    /// How long it may wait until it is refused; `None` for ever.
    pub max_wait: Option<Duration>,
    /// How long its customer's queue may be for it to be accepted; `None` for any length.
    pub queue_bound: Option<Duration>,
    /// How long it would wait.
    pub expected: Duration,
}

/// Why a waiting ticket is refused, and the first moment at which coming back may help, if that is known.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusalCause {
    reason: RefusalReason,
    earliest: Option<Moment>,
}

impl RefusalCause {
    /// A cause whose end nobody knows; callers come back as grants allow.
    pub fn of(reason: RefusalReason) -> RefusalCause {
        RefusalCause { reason, earliest: None }
    }

    /// A cause that ends at this moment.
    pub fn not_before(reason: RefusalReason, earliest: Moment) -> RefusalCause {
        RefusalCause { reason, earliest: Some(earliest) }
    }
}

impl ShardCore {
    /// How long a ticket would wait behind its customer's others, and how long it may. What a caller's first try
    /// bears counts for the others of its customer.
    pub(super) fn wait_estimate(
        &mut self,
        now: Moment,
        customer: CustomerIndex,
        ticket: &RequestTicket,
        is_first_attempt: bool,
    ) -> WaitEstimate {
        let first_event = self.endpoints.min_time_to_first_event(now, &PromptShape::of(ticket));
        let expected = self.queue_wait(now, self.customers.get(customer));
        let Some(objective) = ticket.objective else {
            return WaitEstimate { max_wait: None, queue_bound: None, expected };
        };
        let max_wait = objective.saturating_sub(first_event).max(MIN_WAIT);
        if !self.endpoints.has_no_engine() {
            return WaitEstimate { max_wait: Some(max_wait), queue_bound: Some(max_wait), expected };
        }
        if is_first_attempt {
            self.note_tolerance(now, customer, objective, first_event);
        }
        let tolerated = self.customers.get_mut(customer).tolerance.shortest(now);
        let queue_bound = engineless_bound(objective, first_event, tolerated);
        WaitEstimate { max_wait: Some(max_wait), queue_bound: Some(queue_bound), expected }
    }

    /// Takes in what requests of a plain service bear. The least patient set the length of a customer's queue: judged
    /// by each ticket's own objective, the queue grows as long as the most patient bear, and the others are all late.
    fn note_tolerance(
        &mut self,
        now: Moment,
        customer: CustomerIndex,
        objective: Duration,
        first_event: Duration,
    ) {
        let answer_allowance =
            self.endpoints.answer_time.upper_estimate().min(objective / 2).max(first_event);
        let tolerance = objective.saturating_sub(answer_allowance);
        if !tolerance.is_zero() {
            self.customers.get_mut(customer).tolerance.note(now, tolerance);
        }
    }

    /// True when the customer's tickets before this one will take longer than they may.
    pub(super) fn exceeds_wait_bound(
        &self,
        customer: CustomerIndex,
        ticket: &RequestTicket,
        wait: WaitEstimate,
    ) -> bool {
        if ticket.order.is_some() || self.customers.get(customer).queue.len() < ALWAYS_ADMITTED_TICKETS {
            return false;
        }
        wait.queue_bound.is_some_and(|queue_bound| wait.expected > queue_bound)
    }

    /// A ticket that no longer waits is not refused either.
    pub(super) fn forget_overdue(&mut self, request: RequestId, ticket: &WaitingTicket) {
        if let Some(refuse_at) = ticket.refuse_at {
            self.overdue.remove(&(refuse_at, request));
        }
    }

    /// Refuses the tickets that can't begin in time any more.
    pub(super) fn refuse_overdue(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        while let Some((_, request)) = self.overdue.first().copied().filter(|(at, _)| *at <= now) {
            self.overdue.pop_first();
            self.refuse_overdue_ticket(now, request, actions);
        }
    }

    /// How long the customer's waiting tickets will take.
    fn queue_wait(&self, now: Moment, state: &CustomerState) -> Duration {
        let rate = self.service_rate(now, state);
        Duration::try_from_secs_f64(state.queued_load as f64 / rate).unwrap_or(Duration::MAX)
    }

    /// The load a second at which a customer is served: as it was lately, or an even share of what all endpoints do, if
    /// that is more.
    pub(super) fn service_rate(&self, now: Moment, state: &CustomerState) -> f64 {
        let share = self.endpoints.load_per_second(now) / self.backlogged_customers().max(1) as f64;
        state.grant_rate.per_second(now).max(share)
    }

    /// How many customers have a ticket that waits.
    pub(super) fn backlogged_customers(&self) -> usize {
        self.customers.iter().filter(|state| !state.queue.is_empty()).count()
    }

    fn refuse_overdue_ticket(&mut self, now: Moment, request: RequestId, actions: &mut Vec<ShardAction>) {
        let Some(ticket) = self.waiting.get(&request) else { return };
        self.customers.get_mut(ticket.customer).refused_at = Some(now);
        self.refuse_for(now, request, RefusalCause::of(RefusalReason::Overdue), actions);
    }

    /// Refuses a waiting ticket.
    pub(super) fn refuse_for(
        &mut self,
        now: Moment,
        request: RequestId,
        cause: RefusalCause,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(ticket) = self.drop_waiting(request) else { return };
        self.first_attempts.note_refused(now);
        self.customers.get_mut(ticket.customer).counters.note_refusal(now.since(ticket.since));
        if let Some(session) = self.routers.session(ticket.router) {
            let earliest = cause.earliest.map_or(Duration::ZERO, |earliest| earliest.since(now));
            let retry_after = self.retry_after(now, ticket.customer).max(earliest);
            actions.push(ShardAction::Refuse {
                session,
                request,
                reason: cause.reason,
                retry_after,
                waited: now.since(ticket.since),
                awaited: ticket.waits_for.get().map(|choice| self.endpoints.name(choice.engine).clone()),
                objective: ticket.objective,
                expected_wait: ticket.expected_wait,
            });
        }
    }
}

/// How long a customer's queue at a plain service may be for a ticket, where answers take `answer_time`: as long as the
/// least patient bears, but never too short to keep every slot busy however the next requests arrive, for which one
/// service time is enough. A ticket that comes late whatever happens is taken only below that.
fn engineless_bound(objective: Duration, answer_time: Duration, tolerated: Duration) -> Duration {
    if objective <= answer_time {
        return answer_time / 2;
    }
    tolerated.max(answer_time).min(objective - answer_time)
}
