//! Grants: giving free slots to waiting tickets, charging, and ending grants.

use super::choice::EngineQuery;
use super::endpoints::EndpointIndex;
use super::engine::PromptShape;
use super::routers::RouterIndex;
use super::suspects::EndedRun;
use super::tickets::{EngineChoice, WaitingTicket};
use super::ShardCore;
use crate::action::ShardAction;
use crate::event::{CacheUpdate, GrantOutcome, SessionId};
use micaspool_fair::{CustomerIndex, Rank};
use micaspool_types::{Cost, Moment, OrderNumber, RequestDigest, RequestId};
use std::time::Duration;

/// How many tickets of a customer are looked at for one that a free endpoint suits. The first may wait
/// for an engine that keeps its prompt's parts.
const LOOK_AHEAD: usize = 16;

/// How often all tickets are looked at, even when no endpoint has become free, those that wait for an engine of
/// their choice among them. No more often than that either: engines tell of their caches hundreds of times a second.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// A request that runs, or is about to.
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
    pub prompt: PromptShape,
    /// True until its first event has come.
    pub awaits_first_event: bool,
    /// When it was granted here; `None` for one that another dispatcher granted.
    pub since: Option<Moment>,
}

impl ShardCore {
    /// Gives every free slot to the lowest-ranked customer that may use it.
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
        while let Some((request, endpoint)) = self.next_grant(now) {
            self.grant(now, request, endpoint, actions);
        }
    }

    /// Fills when an endpoint has become free, when tickets have moved up in a queue, or when it was not done for a
    /// while. Other steps leave no pair behind: a new ticket is looked at when it is taken.
    pub(super) fn grant_if_due(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        let queue_advanced = std::mem::take(&mut self.queue_advanced);
        if self.endpoints.take_became_free() || queue_advanced || now >= self.next_pass_due {
            self.grant_free_slots(now, actions);
        }
    }

    /// Grants a ticket that has just begun to wait, if a free endpoint suits it.
    pub(super) fn grant_new(&mut self, now: Moment, request: RequestId, actions: &mut Vec<ShardAction>) {
        if self.recovering_until.is_some() {
            return;
        }
        let Some(ticket) = self.waiting.get(&request) else { return };
        if !self.candidate_tickets(now, ticket.customer).any(|id| *id == request) {
            return;
        }
        if let Some(endpoint) = self.choose_endpoint(now, ticket) {
            self.grant(now, request, endpoint, actions);
        }
    }

    /// The next ticket to run and where; `None` when no free slot has an eligible ticket.
    pub(super) fn next_grant(&self, now: Moment) -> Option<(RequestId, EndpointIndex)> {
        let free = self.endpoints.free_halls();
        if free.is_empty() {
            return None;
        }
        self.index.find(free, |customer| self.choose_ticket(now, customer))
    }

    /// The tickets of a customer that are looked at for one that a free endpoint suits. Those of routers whose
    /// stream is lost are passed over, and don't count: they stay for the lease, and would stand before everyone
    /// else's. It is the same for those of routers from which no endpoint wants anything for now.
    fn candidate_tickets(&self, now: Moment, customer: CustomerIndex) -> impl Iterator<Item = &RequestId> {
        let queue = self.customers.get(customer).queue.values();
        let usable = queue.filter(move |request| {
            let ticket = &self.waiting[*request];
            self.routers.session(ticket.router).is_some() && !self.is_resting(now, ticket)
        });
        usable.take(LOOK_AHEAD)
    }

    fn choose_ticket(&self, now: Moment, customer: CustomerIndex) -> Option<(RequestId, EndpointIndex)> {
        self.candidate_tickets(now, customer).find_map(|request| {
            let ticket = &self.waiting[request];
            if self.awaits_busy_engine(ticket) {
                return None;
            }
            let endpoint = self.choose_endpoint(now, ticket)?;
            Some((*request, endpoint))
        })
    }

    /// True while the engine that a ticket chose in this round is not free yet. Looking again at every opening
    /// of an engine would cost more than it finds.
    fn awaits_busy_engine(&self, ticket: &WaitingTicket) -> bool {
        let Some(choice) = ticket.waits_for.get() else { return false };
        let halls = self.customers.get(ticket.customer).halls;
        choice.pass == self.pass_number && !self.endpoints.is_free(choice.engine, halls)
    }

    /// The engine that would begin first, once it is free; for others the free endpoint with the longest known
    /// prefix of the prompt, else the least loaded.
    fn choose_endpoint(&self, now: Moment, ticket: &WaitingTicket) -> Option<EndpointIndex> {
        let excluded = self.isolation_exclusions(now, ticket)?;
        let halls = self.customers.get(ticket.customer).halls;
        let is_excluded = |endpoint| {
            ticket.avoided(now) == Some(endpoint)
                || excluded.contains(&endpoint)
                || self.is_blocked_for(now, ticket.router, endpoint)
        };
        let before = |engine| self.engine_queues.ahead_of(engine, ticket.place.request);
        let query = EngineQuery {
            prompt: &ticket.prompt,
            halls,
            is_excluded: &is_excluded,
            wanted_by: ticket.wanted_by,
        };
        let soonest = self.endpoints.soonest_engine(now, &query, before);
        self.note_choice(ticket, soonest.filter(|engine| !self.endpoints.is_free(*engine, halls)));
        if let Some(engine) = soonest {
            return self.endpoints.is_free(engine, halls).then_some(engine);
        }
        let usable =
            |endpoint: &EndpointIndex| !is_excluded(*endpoint) && self.endpoints.is_free(*endpoint, halls);
        let known = ticket.prompt.prefixes.iter().rev().filter_map(|prefix| self.prefixes.holder(*prefix));
        let cached = known.filter(|_| self.options.use_prefixes).find(usable);
        cached.or_else(|| self.endpoints.least_loaded(halls, is_excluded))
    }

    /// Notes for which engine a ticket waits, if for any. Later tickets count it: else all prompts that begin
    /// alike crowd at the few engines that keep that beginning.
    fn note_choice(&self, ticket: &WaitingTicket, engine: Option<EndpointIndex>) {
        let request = ticket.place.request;
        let choice = engine.map(|engine| EngineChoice { engine, pass: self.pass_number });
        let before = ticket.waits_for.replace(choice);
        if let Some(left) = before.filter(|before| Some(before.engine) != engine) {
            self.engine_queues.leave(left.engine, request);
        }
        if let Some(engine) = engine {
            self.engine_queues.join(engine, request, self.endpoints.uncached_tokens(engine, &ticket.prompt));
        }
    }

    /// A ticket waits for no engine any more.
    pub(super) fn forget_choice(&self, ticket: &WaitingTicket) {
        if let Some(choice) = ticket.waits_for.get() {
            self.engine_queues.leave(choice.engine, ticket.place.request);
        }
    }

    fn grant(
        &mut self,
        now: Moment,
        request: RequestId,
        endpoint: EndpointIndex,
        actions: &mut Vec<ShardAction>,
    ) {
        let ticket = self.waiting.remove(&request).expect("the chosen ticket waits");
        self.copies.end_waiting(ticket.digest);
        self.copies.begin_running(ticket.digest, endpoint);
        self.forget_overdue(request, &ticket);
        self.forget_choice(&ticket);
        let state = self.customers.get_mut(ticket.customer);
        state.take_from_queue(&ticket);
        state.grant_rate.add(now, ticket.prompt.load());
        state.counters.note_grant(ticket.prompt.load());
        let served_rank = state.indexed.map(|(_, rank)| rank).unwrap_or_default();
        let estimate = state.estimator.predict(ticket.hint);
        state.account.charge_grant(estimate);
        state.running += 1;
        state.level_order = state.level_order.max(ticket.place.order);
        let level = state.level(self.options.policy.as_ref());
        self.reindex(ticket.customer);
        self.raise_floor(endpoint, served_rank);
        self.endpoints.admit(now, endpoint, request, &ticket.prompt);
        self.endpoints.occupy(endpoint);
        self.prefixes.remember(&ticket.prompt.prefixes, endpoint);
        self.throughput.count();
        if let Some(session) = self.routers.session(ticket.router) {
            actions.push(ShardAction::Grant {
                session,
                request,
                endpoint: self.endpoints.name(endpoint).clone(),
                estimate,
                level,
                order: ticket.place.order,
                heartbeat: self.routers.heartbeat(ticket.router),
                lease: self.options.lease,
                revision: self.revision,
                objective: ticket.objective,
            });
        }
        self.running.insert(request, RunningGrant::start(now, ticket, endpoint, estimate));
    }

    fn raise_floor(&mut self, endpoint: EndpointIndex, rank: Rank) {
        if let Some(floor) = self.floors.get_mut(self.endpoints.hall(endpoint)) {
            *floor = (*floor).max(rank);
        }
    }

    /// Charges what a running request has delivered so far.
    pub(super) fn progress(
        &mut self,
        now: Moment,
        session: SessionId,
        request: RequestId,
        delivered: Cost,
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
        let (endpoint, since) = (grant.endpoint, grant.since);
        let is_first_event = std::mem::take(&mut grant.awaits_first_event);
        if is_first_event {
            self.endpoints.begin(now, endpoint, request);
            since.into_iter().for_each(|since| self.endpoints.note_answer(endpoint, now.since(since)));
        }
        self.delivered.add(now, delivered.minus(before).0);
        self.customers.get_mut(customer).note_delivered(estimate, before, delivered);
        self.reindex(customer);
        self.note_endpoint_response(now, endpoint, actions);
    }

    /// Ends a grant as its router says.
    pub(super) fn settle(
        &mut self,
        now: Moment,
        session: SessionId,
        request: RequestId,
        cost: Cost,
        fate: GrantOutcome,
        actions: &mut Vec<ShardAction>,
    ) {
        let owner = self.routers.by_session(session);
        let own = self.running.get(&request).filter(|grant| Some(grant.router) == owner);
        let Some(ended) = own.map(EndedRun::of) else { return };
        self.end_grant(now, request, Some(cost), fate);
        self.record_outcome(now, &ended, fate, actions);
    }

    /// Ends a grant, if the request has one; without a cost, what was delivered counts.
    pub(super) fn end_grant(
        &mut self,
        now: Moment,
        request: RequestId,
        cost: Option<Cost>,
        fate: GrantOutcome,
    ) {
        let Some(grant) = self.running.remove(&request) else { return };
        self.copies.end_running(grant.digest, grant.endpoint);
        self.routers.release(grant.router, request);
        if grant.awaits_first_event {
            self.endpoints.withdraw(now, grant.endpoint, request);
        }
        self.endpoints.vacate(now, grant.endpoint, fate);
        if let Some(since) =
            grant.since.filter(|_| matches!(fate, GrantOutcome::Done | GrantOutcome::Abandoned))
        {
            let took = now.since(since);
            self.endpoints.note_service(grant.endpoint, took);
            if grant.awaits_first_event {
                self.endpoints.note_answer(grant.endpoint, took);
            }
        }
        if fate == GrantOutcome::NotHeld {
            self.routers.note_not_held(now, grant.router, grant.endpoint);
        }
        let state = self.customers.get_mut(grant.customer);
        state.running -= 1;
        match fate {
            GrantOutcome::Done | GrantOutcome::Abandoned | GrantOutcome::Broken | GrantOutcome::Severed => {
                let cost = cost.unwrap_or(grant.delivered);
                state.account.charge_end(grant.estimate, grant.delivered, cost);
                state.served = state.served.plus(cost.minus(grant.delivered));
                self.delivered.add(now, cost.minus(grant.delivered).0);
                if matches!(fate, GrantOutcome::Done | GrantOutcome::Abandoned) && cost > Cost(0) {
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

    pub(super) fn learn_cache(&mut self, news: &CacheUpdate) {
        let Some(endpoint) = self.endpoints.by_name(&news.endpoint) else { return };
        self.prefixes.remember(&news.stored, endpoint);
        self.prefixes.drop_from(&news.dropped, endpoint);
        self.endpoints.learn_kept(endpoint, news);
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
            prompt: ticket.prompt,
            awaits_first_event: true,
            since: Some(now),
        }
    }
}
