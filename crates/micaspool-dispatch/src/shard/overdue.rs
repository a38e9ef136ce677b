//! Refuses tickets that can't be served in time: on arrival if that is already known, otherwise as soon
//! as it is.

use super::customers::CustomerState;
use super::kind_queues::TicketKind;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use crate::event::RequestTicket;
use crate::queue_fill::QueueFill;
use crate::shard::engine::{PromptShape, RATE_PERCENT};
use micaspool_fair::CustomerIndex;
use micaspool_types::{Moment, RequestId, VersionLimit};
use std::time::Duration;

/// The minimum time that a ticket may wait, however long its prefill takes. Without it the longest
/// prompts, which begin late on every engine, would never run.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// How many tickets of a customer are queued regardless of the estimate, so that a customer without
/// recent grants has a ticket ready.
const ALWAYS_ADMITTED_TICKETS: usize = 2;

/// Estimates and limits of a ticket's wait, computed on arrival.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEstimate {
    /// How long the ticket may wait before it is refused; `None` for no limit.
    pub max_wait: Option<Duration>,
    /// The longest expected wait at which the ticket is accepted; `None` for no limit.
    pub queue_bound: Option<Duration>,
    /// The kind whose queue the ticket joins.
    pub kind: TicketKind,
    /// The expected wait behind that queue.
    pub expected: Duration,
    /// The fill of the customer's queue; `None` while it is unknown how long first attempts can wait.
    pub queue_fill: Option<QueueFill>,
}

/// Why a waiting ticket is refused, and the earliest moment at which a retry may succeed, if known.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusalCause {
    reason: RefusalReason,
    earliest: Option<Moment>,
}

impl RefusalCause {
    /// A cause without a known end; the retry time follows from the rate of grants.
    pub fn of(reason: RefusalReason) -> RefusalCause {
        RefusalCause { reason, earliest: None }
    }

    /// A cause that lasts until `earliest`.
    pub fn not_before(reason: RefusalReason, earliest: Moment) -> RefusalCause {
        RefusalCause { reason, earliest: Some(earliest) }
    }
}

impl ShardCore {
    /// Estimates how long a ticket would wait behind the queue of its kind, and how long it may wait. In
    /// a service without engines, the tolerance of a first attempt also limits the customer's other
    /// tickets.
    pub(super) fn wait_estimate(
        &mut self,
        now: Moment,
        customer: CustomerIndex,
        ticket: &RequestTicket,
        kind: TicketKind,
        is_first_attempt: bool,
    ) -> WaitEstimate {
        let prompt = PromptShape::of(ticket);
        let first_event = self.endpoints.time_to_first_event(now, &prompt);
        let slot_load = self.endpoints.slot_load(now, &prompt);
        let state = self.customers.get(customer);
        let rate = self.service_rate(now, state);
        let time_for = |load: u64| Duration::try_from_secs_f64(load as f64 / rate).unwrap_or(Duration::MAX);
        let expected = state.queue.expected_wait(now, kind, rate).saturating_add(time_for(slot_load));
        let whole_queue = time_for(state.queue.load().saturating_add(slot_load));
        let Some(objective) = ticket.objective else {
            return WaitEstimate { max_wait: None, queue_bound: None, kind, expected, queue_fill: None };
        };
        if is_first_attempt {
            self.note_tolerance(now, customer, objective, first_event.shortest);
        }
        let tolerated = self.customers.get_mut(customer).tolerance.shortest(now);
        let max_wait = objective.saturating_sub(first_event.shortest).max(MIN_WAIT);
        let queue_bound = match self.endpoints.has_no_engine() {
            true => engineless_bound(objective, first_event.usual, tolerated),
            false => objective.saturating_sub(first_event.usual).max(MIN_WAIT),
        };
        let queue_fill = (tolerated < Duration::MAX).then(|| QueueFill::of(whole_queue, tolerated));
        WaitEstimate { max_wait: Some(max_wait), queue_bound: Some(queue_bound), kind, expected, queue_fill }
    }

    /// Records how long a first attempt can wait. In a service without engines, the least patient
    /// requests limit the queue of their customer: if each ticket were judged by its own objective, the
    /// queue would grow to the limit of the most patient ones and all others would be late.
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

    /// True if the expected wait behind the customer's queue exceeds the ticket's limit. A ticket that goes on with a stream
    /// precedes that queue.
    pub(super) fn exceeds_wait_bound(
        &self,
        customer: CustomerIndex,
        ticket: &RequestTicket,
        wait: WaitEstimate,
    ) -> bool {
        if ticket.order.is_some() || ticket.versions != VersionLimit::Any {
            return false;
        }
        if self.customers.get(customer).queue.len() < ALWAYS_ADMITTED_TICKETS {
            return false;
        }
        wait.queue_bound.is_some_and(|queue_bound| wait.expected > queue_bound)
    }

    /// Removes the ticket from the tickets to refuse when overdue.
    pub(super) fn forget_overdue(&mut self, request: RequestId, ticket: &WaitingTicket) {
        if let Some(refuse_at) = ticket.refuse_at {
            self.overdue.remove(&(refuse_at, request));
        }
    }

    /// Refuses the tickets that can no longer begin in time.
    pub(super) fn refuse_overdue(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        while let Some((_, request)) = self.overdue.first().copied().filter(|(at, _)| *at <= now) {
            self.overdue.pop_first();
            self.refuse_overdue_ticket(now, request, actions);
        }
    }

    /// The load per second at which the customer is served: its recent rate, or an even share of the
    /// endpoints' capacity if that is more. Engines are granted [`RATE_PERCENT`] of theirs. Slots that were
    /// free are granted faster than they are freed again, so the recent rate counts up to what slots sustain.
    pub(super) fn service_rate(&self, now: Moment, state: &CustomerState) -> f64 {
        let granted_percent = if self.endpoints.has_no_engine() { 100 } else { RATE_PERCENT };
        let capacity = self.endpoints.load_per_second(now) * f64::from(granted_percent) / 100.0;
        let share = capacity / self.backlogged_customers().max(1) as f64;
        state.grant_rate.per_second(now).min(self.endpoints.slot_bound_load()).max(share)
    }

    /// The number of customers with waiting tickets.
    pub(super) fn backlogged_customers(&self) -> usize {
        self.customers.backlogged()
    }

    fn refuse_overdue_ticket(&mut self, now: Moment, request: RequestId, actions: &mut Vec<ShardAction>) {
        if self.grant_instead_of_refusal(now, request, actions) {
            return;
        }
        let Some(ticket) = self.waiting.get(&request) else { return };
        self.customers.get_mut(ticket.customer).refused_at = Some(now);
        self.refuse_for(now, request, RefusalCause::of(RefusalReason::Overdue), actions);
    }

    /// Removes a waiting ticket and refuses it.
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
                queue_fill: ticket.queue_fill,
            });
        }
    }
}

/// The longest expected wait at which a ticket of a service without engines is accepted, where
/// `answer_time` is the time until a response begins. It is what the least patient requests tolerate,
/// but at least one `answer_time`, which keeps every slot busy however the next requests arrive, and at
/// most what the objective leaves. A ticket that is late in any case is accepted only up to half of
/// `answer_time`.
fn engineless_bound(objective: Duration, answer_time: Duration, tolerated: Duration) -> Duration {
    if objective <= answer_time {
        return answer_time / 2;
    }
    tolerated.max(answer_time).min(objective - answer_time)
}
