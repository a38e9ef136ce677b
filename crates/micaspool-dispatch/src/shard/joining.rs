//! Reconciles the state of a router that joins with that of the shard.
//!
//! A shard that starts empty is rebuilt from its routers. They keep their own tickets with the order
//! numbers from the previous dispatcher, their running grants, and the latest level of each customer
//! that they received. This follows sender-based message logging (Johnson and Zwaenepoel), where the
//! senders log messages and the order of their receipt in volatile memory;
//! `docs/design/002-recovery.md` has the measurement.

use super::engine::PromptShape;
use super::grants::RunningGrant;
use super::kind_queues::TicketKind;
use super::overdue::RefusalCause;
use super::routers::RouterIndex;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::ShardAction;
use crate::event::{GrantOutcome, HeldGrant, HeldLevel, RequestTicket, RouterHello, SessionId};
use crate::shard::customers::QueuePlace;
use micaspool_fair::{CustomerIndex, Rank, ServiceLevel};
use micaspool_types::{Cost, HallLimit, Moment, RequestId, VersionLimit};
use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

impl ShardCore {
    /// Adds a router with everything it holds.
    pub(super) fn join(
        &mut self,
        now: Moment,
        session: SessionId,
        hello: RouterHello,
        actions: &mut Vec<ShardAction>,
    ) {
        let router = self.routers.attach(now, session, &hello);
        self.merge_suspects(now, router, &hello.crashes, actions);
        self.record_advice(now, router, &hello.advice);
        self.record_origins(now, &hello.streams);
        if self.options.use_held_state {
            for held_level in &hello.levels {
                self.recover_level(held_level);
            }
        }
        let mut waiting = by_request(hello.waiting, |ticket| ticket.request);
        let mut running = by_request(hello.running, |grant| grant.request);
        for request in self.routers.held(router) {
            let held = waiting.get(&request).map(|ticket| ticket.order);
            self.reconcile(now, request, &mut waiting, &mut running);
            if held == Some(None) {
                actions.extend(self.accepted_action(session, request));
            }
        }
        let mut tickets: Vec<RequestTicket> = waiting.into_values().collect();
        tickets.sort_by_key(|ticket| ticket.order);
        for ticket in tickets {
            self.adopt_ticket(now, session, router, ticket, actions);
        }
        self.refuse_resting(now, router, actions);
        if self.options.use_held_state {
            let mut grants: Vec<HeldGrant> = running.into_values().collect();
            grants.sort_by_key(|grant| grant.order);
            for grant in grants {
                self.adopt_running(router, grant);
            }
        }
    }

    /// Tells a router again that a ticket waits, since it has not heard so.
    pub(super) fn accepted_action(&self, session: SessionId, request: RequestId) -> Option<ShardAction> {
        let ticket = self.waiting.get(&request)?;
        let (order, queue_fill) = (ticket.place.order, ticket.queue_fill);
        Some(ShardAction::Accepted { session, request, order, queue_fill })
    }

    /// Reconciles one request of this router that the shard knows with what the router holds.
    fn reconcile(
        &mut self,
        now: Moment,
        request: RequestId,
        waiting: &mut HashMap<RequestId, RequestTicket>,
        running: &mut HashMap<RequestId, HeldGrant>,
    ) {
        let held_waiting = waiting.remove(&request).is_some();
        if self.waiting.contains_key(&request) {
            if !held_waiting {
                self.drop_waiting(request);
            }
            return;
        }
        match running.remove(&request) {
            Some(held) => self.update_delivered(request, held.delivered),
            None if held_waiting => self.revert_grant(now, request),
            None => self.end_grant(now, request, None, GrantOutcome::Abandoned),
        }
    }

    /// Reverts a grant that did not reach the router: the ticket waits again at its previous place.
    fn revert_grant(&mut self, now: Moment, request: RequestId) {
        let Some(grant) = self.running.get(&request).cloned() else { return };
        self.end_grant(now, request, None, GrantOutcome::Unsent);
        let kind = self.resolve_kind(now, grant.customer, grant.kind);
        let ticket = WaitingTicket {
            customer: grant.customer,
            router: grant.router,
            digest: grant.digest,
            hint: grant.hint,
            place: QueuePlace { priority: grant.priority, order: grant.order, request, kind },
            since: now,
            avoid: None,
            prompt: grant.prompt,
            objective: None,
            expected_wait: Duration::ZERO,
            queue_fill: None,
            first_event_due: None,
            refuse_at: None,
            caller_leaves_at: None,
            halls: grant.halls,
            versions: grant.versions,
            waits_for: Cell::new(None),
        };
        self.insert_waiting(now, request, ticket);
    }

    fn update_delivered(&mut self, request: RequestId, delivered: Cost) {
        let Some(grant) = self.running.get_mut(&request) else { return };
        let (customer, estimate, before) = (grant.customer, grant.estimate, grant.delivered);
        if delivered > before {
            grant.delivered = delivered;
            self.customers.get_mut(customer).note_delivered(estimate, before, delivered);
            self.reindex(customer);
        }
    }

    fn adopt_ticket(
        &mut self,
        now: Moment,
        session: SessionId,
        router: RouterIndex,
        ticket: RequestTicket,
        actions: &mut Vec<ShardAction>,
    ) {
        let request = ticket.request;
        if self.waiting.contains_key(&request) || self.running.contains_key(&request) {
            return;
        }
        if let Some(refusal) = self.quarantine_refusal(now, &ticket) {
            actions.push(refusal.action(session, &ticket));
            return;
        }
        let ticket = RequestTicket { versions: self.resolve_versions(ticket.versions.clone()), ..ticket };
        let customer = self.customers.ensure(&ticket.customer);
        let had_order = ticket.order.is_some();
        self.endpoints.note_submitted(now, &ticket.generation);
        let kind = self.resolve_kind(now, customer, TicketKind::of(ticket.priority, ticket.objective));
        let wait = self.wait_estimate(now, customer, &ticket, kind, false);
        self.enqueue(now, router, customer, ticket, wait);
        let order = self.waiting[&request].place.order;
        if !had_order {
            let queue_fill = wait.queue_fill;
            actions.push(ShardAction::Accepted { session, request, order, queue_fill });
        }
        if let Some(reason) = self.stream_refusal(&self.waiting[&request].versions) {
            self.refuse_for(now, request, RefusalCause::of(reason), actions);
        }
    }

    fn adopt_running(&mut self, router: RouterIndex, held: HeldGrant) {
        if self.running.contains_key(&held.request) {
            return;
        }
        self.drop_waiting(held.request);
        let customer = self.customers.ensure(&held.customer);
        let endpoint = self.endpoints.ensure(&held.endpoint);
        self.note_order(held.order);
        let state = self.customers.get_mut(customer);
        state.account.charge_recovered(held.estimate, held.delivered);
        state.running += 1;
        self.reindex(customer);
        self.endpoints.occupy(endpoint);
        self.copies.begin_running(held.digest, endpoint);
        self.routers.hold(router, held.request);
        let grant = RunningGrant {
            customer,
            router,
            digest: held.digest,
            endpoint,
            hint: held.estimate,
            estimate: held.estimate,
            delivered: held.delivered,
            order: held.order,
            priority: 0,
            kind: TicketKind::SINGLE,
            prompt: PromptShape::default(),
            halls: HallLimit::Anywhere,
            versions: VersionLimit::Any,
            awaits_first_event: false,
            begun_at: None,
            is_past_beginning: false,
            since: None,
        };
        self.part_requests.begin_running(&grant.prompt);
        self.running.insert(held.request, grant);
    }

    /// Limits recovered levels to one idle credit above the lowest. Routers report levels from
    /// different dispatchers, including their own, which began counting at different times. Otherwise a
    /// customer whose level was counted for longer would be served nothing until all others had reached
    /// it.
    pub(super) fn cap_recovered_levels(&mut self) {
        let levels = self.customers.iter().map(|state| state.level(self.options.policy.as_ref()));
        let Some(lowest) = levels.filter(|level| level.0 > 0).min() else { return };
        if self.idle_credit == Cost(0) {
            return;
        }
        for customer in self.customers.indices() {
            self.cap_level(customer, lowest);
        }
        for floor in &mut self.floors {
            *floor = (*floor).max(Rank(lowest.0));
        }
    }

    /// Lowers a level to at most one idle credit above `lowest`.
    fn cap_level(&mut self, customer: CustomerIndex, lowest: ServiceLevel) {
        let state = self.customers.get(customer);
        let weight = state.account.weight();
        let highest = lowest.saturating_add(ServiceLevel::from_cost(self.idle_credit, weight));
        let running = self.options.policy.level(&state.account);
        if state.level(self.options.policy.as_ref()) > highest {
            let base = ServiceLevel(highest.0.saturating_sub(running.0));
            self.customers.get_mut(customer).account.rebase(base, weight);
            self.reindex(customer);
        }
    }

    /// Adopts a customer's level if the shard has none, or, during recovery, if it is newer than the
    /// known one. After recovery, levels of other dispatchers are only comparable without an idle
    /// credit.
    fn recover_level(&mut self, held: &HeldLevel) {
        let customer = self.customers.ensure(&held.customer);
        let recovering = self.recovering_until.is_some();
        let state = self.customers.get_mut(customer);
        let has_no_level = state.level_order.0 == 0;
        let comparable = recovering || self.idle_credit == Cost(0);
        if held.order <= state.level_order || !(recovering || has_no_level) || !comparable {
            return;
        }
        let weight = state.account.weight();
        state.level_order = held.order;
        state.account.rebase(held.level, weight);
        self.note_order(held.order);
        self.reindex(customer);
    }
}

fn by_request<T>(items: Vec<T>, request: impl Fn(&T) -> RequestId) -> HashMap<RequestId, T> {
    items.into_iter().map(|item| (request(&item), item)).collect()
}
