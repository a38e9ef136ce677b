//! Grants: assigns free slots to waiting tickets, charges their cost and ends grants.

use super::choice::ChosenEngine;
use super::copy_link::PlannedCopy;
use super::endpoints::EndpointIndex;
use super::engine::{PromptShape, RunTiming};
use super::fatal_parts::BEGINNING;
use super::kind_queues::TicketKind;
use super::part_requests::BegunRun;
use super::routers::RouterIndex;
use super::service_model::StreamedPrompt;
use super::suspects::EndedRun;
use super::tickets::{EngineChoice, WaitingTicket};
use super::ShardCore;
use crate::action::ShardAction;
use crate::event::{CacheUpdate, FirstEventTime, GrantOutcome, SessionId};
use micaspool_fair::{CustomerIndex, Rank};
use micaspool_types::{Cost, HallLimit, Moment, OrderNumber, RequestDigest, RequestId, VersionLimit};
use std::collections::BTreeSet;
use std::time::Duration;

/// How many tickets of a customer are considered when looking for one that can run on a free endpoint,
/// besides those that wait for a busy engine that caches parts of their prompts.
const LOOK_AHEAD: usize = 16;

/// Interval between passes over all tickets, including those that wait for a busy engine. A pass runs
/// even if no endpoint has become free. Cache updates trigger no additional pass within the interval,
/// because engines send hundreds of them per second.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Where a ticket runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    endpoint: EndpointIndex,
    /// The copy of cached parts that an engine makes first, if any.
    copy: Option<PlannedCopy>,
}

/// A request that is running or has just been granted.
#[derive(Debug, Clone)]
pub(super) struct RunningGrant {
    pub customer: CustomerIndex,
    pub router: RouterIndex,
    pub digest: Option<RequestDigest>,
    pub endpoint: EndpointIndex,
    pub hint: Cost,
    pub estimate: Cost,
    pub delivered: Cost,
    pub order: OrderNumber,
    pub priority: u8,
    pub kind: TicketKind,
    pub prompt: PromptShape,
    /// The data halls in which it may run; without limit if another dispatcher granted it.
    pub halls: HallLimit,
    /// The software versions at which it may run; any if another dispatcher granted it.
    pub versions: VersionLimit,
    /// True until the first event of its response arrives.
    pub awaits_first_event: bool,
    /// When its first event was reported.
    pub begun_at: Option<Moment>,
    /// True once its response has gone on for a while.
    pub is_past_beginning: bool,
    /// When this shard granted it; `None` if another dispatcher did.
    pub since: Option<Moment>,
}

impl ShardCore {
    /// Assigns every free slot to the lowest-ranked customer that may use it.
    pub(super) fn grant_free_slots(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        if self.recovering_until.is_some() {
            return;
        }
        self.endpoints.take_became_free();
        if now >= self.next_pass_due {
            self.next_pass_due = now + PASS_INTERVAL;
            self.earliest_pass = self.next_pass_due;
            self.pass_number += 1;
        }
        while let Some((request, placement)) = self.next_grant(now) {
            self.grant(now, request, placement, actions);
        }
        self.queue_advanced = false;
    }

    /// True if a grant or a ticket that precedes others may bring a ticket of the customer into
    /// [`LOOK_AHEAD`] that was beyond it.
    pub(super) fn order_may_change(&self, customer: CustomerIndex) -> bool {
        let queue = &self.customers.get(customer).queue;
        queue.len() > LOOK_AHEAD && queue.is_mixed()
    }

    /// Assigns free slots if an endpoint has become free, a ticket has left a queue without a grant, or
    /// a pass is due. No other step leaves a free slot next to an eligible ticket, because a new ticket
    /// is tried as soon as it is accepted.
    pub(super) fn grant_if_due(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        let queue_advanced = std::mem::take(&mut self.queue_advanced);
        if self.endpoints.take_became_free() || queue_advanced || now >= self.next_pass_due {
            self.grant_free_slots(now, actions);
        }
    }

    /// Grants a newly queued ticket if a suitable endpoint is free.
    pub(super) fn grant_new(&mut self, now: Moment, request: RequestId, actions: &mut Vec<ShardAction>) {
        if self.recovering_until.is_some() {
            return;
        }
        let Some(ticket) = self.waiting.get(&request) else { return };
        if !self.candidate_tickets(now, ticket.customer).take(LOOK_AHEAD).any(|(id, _)| id == request) {
            return;
        }
        if let Some(placement) = self.choose_endpoint(now, ticket) {
            self.grant(now, request, placement, actions);
        }
    }

    /// The next ticket to run and where; `None` if no free slot has an eligible ticket.
    pub(super) fn next_grant(&self, now: Moment) -> Option<(RequestId, Placement)> {
        let free = self.endpoints.free_halls();
        if free.is_empty() {
            return None;
        }
        self.index.find(free, |customer| self.choose_ticket(now, customer))
    }

    /// The tickets of a customer that are considered for a free endpoint, in the order of service. Tickets of
    /// disconnected routers are skipped: they stay queued until the lease ends and would block the customer's other
    /// tickets. The same holds for routers that all usable endpoints have asked to rest, and for tickets that
    /// wait by choice.
    fn candidate_tickets(
        &self,
        now: Moment,
        customer: CustomerIndex,
    ) -> impl Iterator<Item = (RequestId, &WaitingTicket)> {
        let queue = self.customers.get(customer).queue.in_service_order();
        let tickets = queue.map(|request| (*request, &self.waiting[request]));
        tickets.filter(move |(_, ticket)| {
            !self.awaits_busy_engine(ticket)
                && self.routers.session(ticket.router).is_some()
                && !self.is_resting(now, ticket)
        })
    }

    /// The first ticket of the customer that can run now, and where. Each ticket chooses once a pass. Of those that find
    /// no engine to wait for either, [`LOOK_AHEAD`] are looked at.
    fn choose_ticket(&self, now: Moment, customer: CustomerIndex) -> Option<(RequestId, Placement)> {
        let mut unplaced = 0;
        for (request, ticket) in self.candidate_tickets(now, customer) {
            if let Some(placement) = self.choose_endpoint(now, ticket) {
                return Some((request, placement));
            }
            unplaced += usize::from(!self.awaits_busy_engine(ticket));
            if unplaced == LOOK_AHEAD {
                return None;
            }
        }
        None
    }

    /// True while the engine that the ticket chose in the current pass is still busy. Choosing again
    /// each time any engine becomes free would cost more than it gains.
    fn awaits_busy_engine(&self, ticket: &WaitingTicket) -> bool {
        let Some(choice) = ticket.waits_for.get() else { return false };
        let halls = self.halls_of(ticket);
        choice.pass == self.pass_number && !self.endpoints.is_free(choice.engine, halls)
    }

    /// The engine with the earliest expected first event, provided it is free. Without engines, the
    /// free endpoint that holds the longest known prefix of the prompt, otherwise the least loaded one.
    fn choose_endpoint(&self, now: Moment, ticket: &WaitingTicket) -> Option<Placement> {
        let excluded = self.isolation_exclusions(now, ticket)?;
        let halls = self.halls_of(ticket);
        let is_excluded = |endpoint| self.is_excluded_for(now, ticket, &excluded, endpoint);
        let before = |engine| self.engine_queues.ahead_of(engine, ticket.place.request);
        let query = self.engine_query(ticket, &is_excluded);
        let soonest = self.endpoints.soonest_engine(now, &query, before);
        let is_free = |chosen: &ChosenEngine| self.endpoints.is_free(chosen.engine, halls);
        self.note_choice(ticket, soonest.filter(|chosen| !is_free(chosen)));
        if let Some(chosen) = soonest {
            let placement = Placement { endpoint: chosen.engine, copy: chosen.copy };
            return is_free(&chosen).then_some(placement);
        }
        let usable =
            |endpoint: &EndpointIndex| !is_excluded(*endpoint) && self.endpoints.is_free(*endpoint, halls);
        let known = ticket.prompt.prefixes.iter().rev().filter_map(|prefix| self.prefixes.holder(*prefix));
        let cached = known.filter(|_| self.options.use_prefixes).find(usable);
        let endpoint = cached.or_else(|| self.endpoints.least_loaded(halls, is_excluded))?;
        Some(Placement { endpoint, copy: None })
    }

    /// Grants a waiting ticket that would be refused to a free engine that can begin it in time. No ticket that is owed more waits
    /// for that engine, since each step grants those first. Returns false if there is none.
    pub(super) fn grant_instead_of_refusal(
        &mut self,
        now: Moment,
        request: RequestId,
        actions: &mut Vec<ShardAction>,
    ) -> bool {
        let placement = self.waiting.get(&request).and_then(|ticket| self.free_placement(now, ticket));
        placement.is_some_and(|placement| {
            self.grant(now, request, placement, actions);
            true
        })
    }

    /// The free engine that could begin the ticket in time soonest, if any.
    pub(super) fn free_placement(&self, now: Moment, ticket: &WaitingTicket) -> Option<Placement> {
        let is_free_in = !self.endpoints.free_halls().intersect(self.halls_of(ticket)).is_empty();
        if !is_free_in || self.recovering_until.is_some() || self.is_resting(now, ticket) {
            return None;
        }
        self.routers.session(ticket.router)?;
        let excluded = self.isolation_exclusions(now, ticket)?;
        let is_excluded = |endpoint| self.is_excluded_for(now, ticket, &excluded, endpoint);
        let query = self.engine_query(ticket, &is_excluded);
        let before = |engine| self.engine_queues.ahead_of(engine, ticket.place.request);
        let chosen = self.endpoints.soonest_free_in_time(now, &query, before)?;
        Some(Placement { endpoint: chosen.engine, copy: chosen.copy })
    }

    /// True if the endpoint must not get the ticket now. `isolated` are the endpoints where it would run beside
    /// other suspected requests.
    pub(super) fn is_excluded_for(
        &self,
        now: Moment,
        ticket: &WaitingTicket,
        isolated: &BTreeSet<EndpointIndex>,
        endpoint: EndpointIndex,
    ) -> bool {
        ticket.avoided(now) == Some(endpoint)
            || !ticket.versions.allows(self.endpoints.version(endpoint))
            || isolated.contains(&endpoint)
            || self.is_blocked_for(now, ticket.router, endpoint)
    }

    /// Records which engine the ticket waits for, if any. Later tickets take it into account; otherwise
    /// all prompts with a common prefix would queue for the few engines that cache it.
    fn note_choice(&self, ticket: &WaitingTicket, chosen: Option<ChosenEngine>) {
        let request = ticket.place.request;
        let engine = chosen.map(|chosen| chosen.engine);
        let choice = engine.map(|engine| EngineChoice { engine, pass: self.pass_number });
        let before = ticket.waits_for.replace(choice);
        if let Some(left) = before.filter(|before| Some(before.engine) != engine) {
            self.engine_queues.leave(left.engine, request);
        }
        if let Some(chosen) = chosen {
            self.engine_queues.join(chosen.engine, request, chosen.prefill_tokens);
        }
    }

    /// Removes the ticket from the queue of the engine it waits for.
    pub(super) fn forget_choice(&self, ticket: &WaitingTicket) {
        if let Some(choice) = ticket.waits_for.get() {
            self.engine_queues.leave(choice.engine, ticket.place.request);
        }
    }

    fn grant(
        &mut self,
        now: Moment,
        request: RequestId,
        placement: Placement,
        actions: &mut Vec<ShardAction>,
    ) {
        let Placement { endpoint, copy } = placement;
        let ticket = self.waiting.remove(&request).expect("the chosen ticket waits");
        self.copies.end_waiting(ticket.digest);
        self.copies.begin_running(ticket.digest, endpoint);
        self.part_requests.begin_running(&ticket.prompt);
        self.part_requests.end_waiting(&ticket.prompt);
        self.forget_overdue(request, &ticket);
        self.forget_choice(&ticket);
        self.customers.take_from_queue(&ticket);
        let state = self.customers.get_mut(ticket.customer);
        state.grant_rate.add(now, ticket.prompt.load());
        state.queue.charge(now, ticket.place.kind, ticket.prompt.load());
        state.counters.note_grant(ticket.prompt.load());
        let served_rank = state.indexed.map(|(_, rank)| rank).unwrap_or_default();
        let estimate = state.estimator.predict(ticket.hint);
        state.account.charge_grant(estimate);
        state.running += 1;
        state.level_order = state.level_order.max(ticket.place.order);
        let level = state.level(self.options.policy.as_ref());
        self.queue_advanced |= self.order_may_change(ticket.customer);
        self.reindex(ticket.customer);
        self.raise_floor(endpoint, served_rank);
        self.endpoints.record_grant(now, endpoint, request, &ticket.prompt, copy);
        self.endpoints.occupy(endpoint);
        self.prefixes.remember(&ticket.prompt.prefixes, endpoint);
        self.throughput.count();
        if let Some(session) = self.routers.session(ticket.router) {
            actions.push(ShardAction::Grant {
                session,
                request,
                endpoint: self.endpoints.name(endpoint).clone(),
                version: ticket.versions.bound().cloned(),
                cache_source: copy.map(|copy| self.endpoints.name(copy.source).clone()),
                estimate,
                level,
                order: ticket.place.order,
                heartbeat: self.routers.heartbeat(ticket.router),
                lease: self.options.lease,
                revision: self.revision,
                objective: ticket.objective,
                queue_fill: ticket.queue_fill,
            });
        }
        self.running.insert(request, RunningGrant::start(now, ticket, endpoint, estimate));
    }

    fn raise_floor(&mut self, endpoint: EndpointIndex, rank: Rank) {
        if let Some(floor) = self.floors.get_mut(self.endpoints.hall(endpoint)) {
            *floor = (*floor).max(rank);
        }
    }

    /// When a run was sent and began, by the shard's clock.
    pub(super) fn run_timing(
        &mut self,
        now: Moment,
        session: SessionId,
        first: FirstEventTime,
    ) -> Option<RunTiming> {
        let first_event_at = self.routers.convert_clock(now, session, first.router_clock)?;
        Some(RunTiming { first_event_at, after_send: first.after })
    }

    /// Charges the cost that a running request has delivered so far. `timing` comes with the first event.
    pub(super) fn progress(
        &mut self,
        now: Moment,
        session: SessionId,
        request: RequestId,
        delivered: Cost,
        timing: Option<RunTiming>,
        actions: &mut Vec<ShardAction>,
    ) {
        let owner = self.routers.by_session(session);
        let Some(grant) = self.running.get_mut(&request).filter(|grant| Some(grant.router) == owner) else {
            return;
        };
        if delivered <= grant.delivered {
            return;
        }
        let (customer, estimate, before) = (grant.customer, grant.estimate, grant.delivered);
        grant.delivered = delivered;
        let (endpoint, since, load) = (grant.endpoint, grant.since, grant.prompt.load());
        let streamed = StreamedPrompt::of(grant);
        let is_first_event = std::mem::take(&mut grant.awaits_first_event);
        if grant.begun_at.is_none() {
            grant.begun_at = Some(now);
            self.part_requests.begin_answer(BegunRun { request, begun_at: now }, &grant.prompt);
        }
        let begun_at = *grant.begun_at.get_or_insert(now);
        let passes = !grant.is_past_beginning && now.since(begun_at) >= BEGINNING;
        grant.is_past_beginning |= passes;
        let passed_parts: Box<[u64]> =
            if passes { grant.prompt.shared_parts().into() } else { Box::default() };
        if is_first_event {
            self.customers.get_mut(customer).counters.note_begun(load);
            self.endpoints.note_first_event(now, endpoint, request, &grant.prompt, timing);
            since.into_iter().for_each(|since| self.endpoints.note_answer(endpoint, now.since(since)));
        }
        self.endpoints.note_progress(now, endpoint, request, delivered);
        self.endpoints.note_stream(now, endpoint, request, &streamed, delivered);
        self.delivered.add(now, delivered.saturating_sub(before).0);
        self.customers.get_mut(customer).note_delivered(estimate, before, delivered);
        self.reindex(customer);
        self.note_endpoint_response(now, endpoint, actions);
        self.exonerate_parts(now, &passed_parts, actions);
    }

    /// Ends a grant with the outcome that its router reports.
    pub(super) fn settle(
        &mut self,
        now: Moment,
        session: SessionId,
        request: RequestId,
        cost: Cost,
        outcome: GrantOutcome,
        actions: &mut Vec<ShardAction>,
    ) {
        let owner = self.routers.by_session(session);
        let own = self.running.get(&request).filter(|grant| Some(grant.router) == owner);
        let Some(ended) = own.map(EndedRun::of) else { return };
        self.end_grant(now, request, Some(cost), outcome);
        self.record_outcome(now, &ended, outcome, actions);
    }

    /// Ends the request's grant, if it has one, and charges its final `cost`, at least the cost
    /// delivered so far. Otherwise a customer would be served again for what it has received.
    pub(super) fn end_grant(
        &mut self,
        now: Moment,
        request: RequestId,
        cost: Option<Cost>,
        outcome: GrantOutcome,
    ) {
        let Some(grant) = self.running.remove(&request) else { return };
        self.copies.end_running(grant.digest, grant.endpoint);
        self.part_requests.end_running(&grant.prompt, &self.running);
        self.routers.release(grant.router, request);
        self.endpoints.end_generation(now, request, &grant, cost, outcome);
        if grant.awaits_first_event {
            self.endpoints.withdraw(now, grant.endpoint, request);
        }
        self.endpoints.end_stream(now, grant.endpoint, request);
        self.endpoints.vacate(now, grant.endpoint, outcome);
        if let Some(since) =
            grant.since.filter(|_| matches!(outcome, GrantOutcome::Done | GrantOutcome::Abandoned))
        {
            let took = now.since(since);
            self.endpoints.note_service(grant.endpoint, took);
            if grant.awaits_first_event {
                self.endpoints.note_answer(grant.endpoint, took);
            }
        }
        if outcome == GrantOutcome::NotHeld {
            self.routers.note_not_held(now, grant.router, grant.endpoint);
        }
        let state = self.customers.get_mut(grant.customer);
        state.running -= 1;
        let load = grant.prompt.load();
        match outcome {
            _ if !grant.awaits_first_event => {}
            GrantOutcome::Done => state.counters.note_begun(load),
            _ => state.counters.note_lost(load),
        }
        match outcome {
            GrantOutcome::Done | GrantOutcome::Abandoned | GrantOutcome::Broken | GrantOutcome::Severed => {
                let cost = cost.unwrap_or_default().max(grant.delivered);
                state.account.charge_end(grant.estimate, grant.delivered, cost);
                state.served = state.served.saturating_add(cost.saturating_sub(grant.delivered));
                self.delivered.add(now, cost.saturating_sub(grant.delivered).0);
                if matches!(outcome, GrantOutcome::Done | GrantOutcome::Abandoned) && cost > Cost(0) {
                    state.estimator.learn(grant.hint, cost);
                }
            }
            GrantOutcome::Refused
            | GrantOutcome::Unreachable
            | GrantOutcome::Draining
            | GrantOutcome::Unsent
            | GrantOutcome::NotHeld => {
                state.account.revoke_grant(grant.estimate, grant.delivered);
            }
        }
        self.reindex(grant.customer);
    }

    pub(super) fn apply_cache_update(&mut self, update: &CacheUpdate) {
        let Some(endpoint) = self.endpoints.by_name(&update.endpoint) else { return };
        self.prefixes.remember(&update.stored, endpoint);
        self.prefixes.drop_from(&update.dropped, endpoint);
        self.endpoints.update_cache(endpoint, update);
    }
}

impl RunningGrant {
    fn start(now: Moment, ticket: WaitingTicket, endpoint: EndpointIndex, estimate: Cost) -> RunningGrant {
        RunningGrant {
            customer: ticket.customer,
            router: ticket.router,
            digest: ticket.digest,
            endpoint,
            hint: ticket.hint,
            estimate,
            delivered: Cost(0),
            order: ticket.place.order,
            priority: ticket.place.priority,
            kind: ticket.place.kind,
            prompt: ticket.prompt,
            halls: ticket.halls,
            versions: ticket.versions,
            awaits_first_event: true,
            begun_at: None,
            is_past_beginning: false,
            since: Some(now),
        }
    }
}
