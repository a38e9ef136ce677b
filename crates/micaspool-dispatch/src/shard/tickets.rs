//! Waiting tickets: admission, queueing and cancellation, and the index of waiting customers by rank.

use super::customers::QueuePlace;
use super::kind_queues::TicketKind;
use super::overdue::WaitEstimate;
use super::routers::RouterIndex;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use crate::event::{RequestTicket, SessionId};
use crate::queue_fill::QueueFill;
use crate::shard::endpoints::EndpointIndex;
use crate::shard::engine::PromptShape;
use micaspool_fair::{CustomerIndex, HeadTicket};
use micaspool_types::{
    Cost, HallLimit, HallMask, Moment, OrderNumber, RequestDigest, RequestId, VersionLimit,
};
use std::cell::Cell;
use std::time::Duration;

/// How long a ticket avoids the endpoint that failed it.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(5);

/// The priority, within its kind, of a ticket that goes on with a stream. Others can run at any version, and its caller
/// has a part of the answer already.
const BOUND_PRIORITY: u8 = 0;

/// Remaining objective of a ticket whose objective has already passed.
const MIN_OBJECTIVE: Duration = Duration::from_millis(1);

/// A ticket in the queue.
#[derive(Debug, Clone)]
pub(super) struct WaitingTicket {
    pub customer: CustomerIndex,
    pub router: RouterIndex,
    pub digest: Option<RequestDigest>,
    pub hint: Cost,
    pub place: QueuePlace,
    /// When it was queued here.
    pub since: Moment,
    pub avoid: Option<Avoidance>,
    pub prompt: PromptShape,
    /// The time within which the first event was due when the ticket arrived.
    pub objective: Option<Duration>,
    /// The wait that was expected when the ticket arrived.
    pub expected_wait: Duration,
    /// The fill of its customer's queue when it arrived, if known.
    pub queue_fill: Option<QueueFill>,
    /// When the first event is due; `None` without an objective.
    pub first_event_due: Option<Moment>,
    /// When the ticket is refused because it can no longer begin in time; `None` for never.
    pub refuse_at: Option<Moment>,
    /// When its caller gives up; `None` if unknown.
    pub caller_leaves_at: Option<Moment>,
    /// The data halls in which it may run, in addition to the limits of its customer.
    pub halls: HallLimit,
    /// The software versions at which it may run.
    pub versions: VersionLimit,
    /// The busy engine that the ticket waits for, if any.
    pub waits_for: Cell<Option<EngineChoice>>,
}

/// The engine that a ticket waits for, and the number of the pass that chose it.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineChoice {
    pub engine: EndpointIndex,
    pub pass: u64,
}

/// The endpoint that a ticket avoids, and until when.
#[derive(Debug, Clone, Copy)]
pub(super) struct Avoidance {
    pub endpoint: EndpointIndex,
    pub until: Moment,
}

impl WaitingTicket {
    /// The endpoint that the ticket avoids at this moment.
    pub fn avoided(&self, now: Moment) -> Option<EndpointIndex> {
        self.avoid.filter(|avoid| now < avoid.until).map(|avoid| avoid.endpoint)
    }
}

impl WaitingTicket {
    /// The latest moment at which the request may begin to run; `None` if unknown.
    pub fn latest_start(&self) -> Option<Moment> {
        self.refuse_at.or(self.caller_leaves_at)
    }
}

impl ShardCore {
    /// Queues a ticket or refuses it at once.
    pub(super) fn submit(
        &mut self,
        now: Moment,
        session: SessionId,
        ticket: RequestTicket,
        actions: &mut Vec<ShardAction>,
    ) {
        let request = ticket.request;
        let Some(router) = self.routers.by_session(session) else { return };
        if self.waiting.contains_key(&request) {
            actions.extend(self.accepted_action(session, request));
            return;
        }
        if self.running.contains_key(&request) {
            return;
        }
        let customer = self.customers.ensure(&ticket.customer);
        if let Some(refusal) = self.quarantine_refusal(now, &ticket) {
            actions.push(refusal.action(session, &ticket));
            return;
        }
        let load = PromptShape::load_of(&ticket);
        self.customers.get_mut(customer).demand_rate.add(now, load);
        self.endpoints.scarcity.note_demand(now, load);
        let kind = self.resolve_kind(now, customer, TicketKind::of(ticket.priority, ticket.objective));
        self.customers.get_mut(customer).queue.note_demand(now, kind, load);
        self.endpoints.note_submitted(now, &ticket.generation);
        let age = self.caller_age(now, &ticket);
        let is_first_attempt = age.is_zero() && ticket.attempt == 0;
        let objective = ticket.objective.map(|objective| objective.saturating_sub(age).max(MIN_OBJECTIVE));
        let versions = self.resolve_versions(ticket.versions);
        let ticket = RequestTicket { objective, versions, ..ticket };
        let wait = self.wait_estimate(now, customer, &ticket, kind, is_first_attempt);
        let exceeds_bound = self.exceeds_wait_bound(customer, &ticket, wait);
        let begins_now = exceeds_bound && self.can_begin_now(now, router, customer, &ticket);
        let is_overdue = exceeds_bound && !begins_now;
        if let Some(reason) = self.reason_to_refuse(now, customer, &ticket, is_overdue) {
            self.first_attempts.note_refused(now);
            self.customers.get_mut(customer).counters.note_refusal(Duration::ZERO);
            actions.push(ShardAction::Refuse {
                session,
                request,
                reason,
                retry_after: self.retry_after(now, customer),
                waited: Duration::ZERO,
                awaited: None,
                objective: ticket.objective,
                expected_wait: wait.expected,
                queue_fill: match reason {
                    RefusalReason::CustomerFull => Some(QueueFill::FULL),
                    _ => wait.queue_fill,
                },
            });
            return;
        }
        self.enqueue(now, router, customer, ticket, wait);
        self.refuse_resting_ticket(now, request, actions);
        if begins_now {
            self.grant_instead_of_refusal(now, request, actions);
        }
        self.grant_new(now, request, actions);
        if let Some(ticket) = self.waiting.get(&request) {
            let (order, queue_fill) = (ticket.place.order, ticket.queue_fill);
            actions.push(ShardAction::Accepted { session, request, order, queue_fill });
        }
    }

    /// True if a free engine could begin a new ticket in time.
    fn can_begin_now(
        &self,
        now: Moment,
        router: RouterIndex,
        customer: CustomerIndex,
        ticket: &RequestTicket,
    ) -> bool {
        let waiting = self.waiting_ticket(now, router, customer, ticket);
        self.free_placement(now, &waiting).is_some()
    }

    /// How long ago the caller made its first attempt. The objective is reduced by this age because the
    /// caller wants a response within the objective of its first attempt. Otherwise retrying callers
    /// would displace others and still be late.
    fn caller_age(&mut self, now: Moment, ticket: &RequestTicket) -> Duration {
        match (ticket.objective, ticket.patience) {
            (Some(objective), Some(patience)) if ticket.attempt == 0 => {
                self.first_attempts.estimate_age(now, objective, patience)
            }
            _ => Duration::ZERO,
        }
    }

    fn reason_to_refuse(
        &mut self,
        now: Moment,
        customer: CustomerIndex,
        ticket: &RequestTicket,
        is_overdue: bool,
    ) -> Option<RefusalReason> {
        let halls = self.allowed_halls(customer, &ticket.halls);
        if let Some(reason) = self.placement_refusal(halls, &ticket.halls, &ticket.versions) {
            return Some(reason);
        }
        if let Some(reason) = self.stream_refusal(&ticket.versions) {
            return Some(reason);
        }
        let state = self.customers.get(customer);
        if self.waiting.len() >= self.options.max_waiting {
            return Some(RefusalReason::ShardFull);
        }
        if state.queue.len() >= state.max_waiting as usize {
            return Some(RefusalReason::CustomerFull);
        }
        if is_overdue {
            self.customers.get_mut(customer).refused_at = Some(now);
            return Some(RefusalReason::Overdue);
        }
        let allowed = self.retries.admit(customer, ticket.attempt);
        (!allowed).then_some(RefusalReason::RetryBudget)
    }

    /// Puts a ticket into its customer's queue, at its previous place if it already has an order
    /// number.
    pub(super) fn enqueue(
        &mut self,
        now: Moment,
        router: RouterIndex,
        customer: CustomerIndex,
        ticket: RequestTicket,
        wait: WaitEstimate,
    ) {
        let waiting = self.waiting_ticket(now, router, customer, &ticket);
        self.note_order(waiting.place.order);
        let waiting = WaitingTicket {
            place: QueuePlace { kind: wait.kind, ..waiting.place },
            expected_wait: wait.expected,
            queue_fill: wait.queue_fill,
            refuse_at: wait.max_wait.map(|max_wait| now + max_wait),
            ..waiting
        };
        self.insert_waiting(now, ticket.request, waiting);
    }

    /// A ticket as it would wait, before its wait is estimated.
    pub(super) fn waiting_ticket(
        &self,
        now: Moment,
        router: RouterIndex,
        customer: CustomerIndex,
        ticket: &RequestTicket,
    ) -> WaitingTicket {
        let order = ticket.order.unwrap_or(self.next_order);
        let is_bound = ticket.versions != VersionLimit::Any;
        let priority = if is_bound { BOUND_PRIORITY } else { ticket.priority };
        let avoid = ticket.avoid.as_ref().and_then(|name| self.endpoints.by_name(name));
        WaitingTicket {
            customer,
            router,
            digest: ticket.digest,
            hint: ticket.hint,
            place: QueuePlace { priority, order, request: ticket.request, kind: TicketKind::SINGLE },
            since: now,
            avoid: avoid.map(|endpoint| Avoidance { endpoint, until: now + AVOIDANCE_PERIOD }),
            objective: ticket.objective,
            expected_wait: Duration::ZERO,
            queue_fill: None,
            first_event_due: ticket.objective.map(|objective| now + objective),
            refuse_at: None,
            caller_leaves_at: ticket.patience.map(|patience| now + patience),
            prompt: PromptShape::of(ticket),
            halls: ticket.halls.clone(),
            versions: ticket.versions.clone(),
            waits_for: Cell::new(None),
        }
    }

    /// The kind whose queue takes a ticket of this kind. Without engines all tickets of a customer are of one
    /// kind: they tolerate what the least patient ones do.
    pub(super) fn resolve_kind(
        &mut self,
        now: Moment,
        customer: CustomerIndex,
        kind: TicketKind,
    ) -> TicketKind {
        let kind = if self.endpoints.has_no_engine() { TicketKind::SINGLE } else { kind };
        self.customers.get_mut(customer).queue.resolve(now, kind)
    }

    /// The halls in which a ticket of the customer with this limit may run.
    pub(super) fn allowed_halls(&self, customer: CustomerIndex, limit: &HallLimit) -> HallMask {
        let halls = self.customers.get(customer).halls;
        let HallLimit::Only(names) = limit else { return halls };
        let positions = names.iter().filter_map(|name| self.halls.iter().position(|hall| hall == name));
        let named = positions.fold(HallMask::EMPTY, |mask, hall| mask.union(HallMask::single(hall)));
        halls.intersect(named)
    }

    /// The halls in which a waiting ticket may run.
    pub(super) fn halls_of(&self, ticket: &WaitingTicket) -> HallMask {
        self.allowed_halls(ticket.customer, &ticket.halls)
    }

    pub(super) fn insert_waiting(&mut self, now: Moment, request: RequestId, ticket: WaitingTicket) {
        let customer = ticket.customer;
        self.raise_to_floor(now, customer);
        self.routers.hold(ticket.router, request);
        let precedes_others = self.customers.add_to_queue(now, &ticket);
        self.queue_advanced |= precedes_others && self.order_may_change(customer);
        self.copies.begin_waiting(ticket.digest);
        self.part_requests.begin_waiting(&ticket.prompt);
        self.overdue.extend(ticket.refuse_at.map(|refuse_at| (refuse_at, request)));
        self.waiting.insert(request, ticket);
        self.reindex(customer);
    }

    /// Makes sure that later order numbers are higher than this one.
    pub(super) fn note_order(&mut self, order: OrderNumber) {
        self.next_order = self.next_order.max(OrderNumber(order.0 + 1));
    }

    /// Cancels a waiting ticket. If it has been granted in the meantime, ends the grant as unsent.
    pub(super) fn cancel(&mut self, now: Moment, session: SessionId, request: RequestId) {
        let owner = self.routers.by_session(session);
        if self.waiting.get(&request).is_some_and(|ticket| Some(ticket.router) == owner) {
            self.drop_waiting(request);
            return;
        }
        let granted = self.running.get(&request).is_some_and(|grant| Some(grant.router) == owner);
        if granted {
            self.end_grant(now, request, None, crate::event::GrantOutcome::Unsent);
        }
    }

    /// Removes a ticket from its queue and returns it, if it is waiting.
    pub(super) fn drop_waiting(&mut self, request: RequestId) -> Option<WaitingTicket> {
        let ticket = self.waiting.remove(&request)?;
        self.copies.end_waiting(ticket.digest);
        self.part_requests.end_waiting(&ticket.prompt);
        self.forget_overdue(request, &ticket);
        self.forget_choice(&ticket);
        self.customers.take_from_queue(&ticket);
        self.queue_advanced = true;
        self.routers.release(ticket.router, request);
        self.reindex(ticket.customer);
        Some(ticket)
    }

    /// Removes a customer from the rank index.
    pub(super) fn unindex(&mut self, customer: CustomerIndex) {
        if let Some((halls, rank)) = self.customers.get_mut(customer).indexed.take() {
            self.index.remove(halls, rank, customer);
        }
    }

    /// Puts a customer into the rank index at its current rank if it has a waiting ticket and may use a
    /// hall.
    pub(super) fn reindex(&mut self, customer: CustomerIndex) {
        let state = self.customers.get(customer);
        let head = state.queue.first_place().filter(|_| !state.halls.is_empty());
        let entry = head.map(|place| {
            let head = HeadTicket { order: place.order };
            (state.halls, self.options.policy.rank(&state.account, head))
        });
        if entry == state.indexed {
            return;
        }
        self.unindex(customer);
        if let Some((halls, rank)) = entry {
            self.index.insert(halls, rank, customer);
        }
        self.customers.get_mut(customer).indexed = entry;
    }
}
