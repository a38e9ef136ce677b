//! A router joins: what it holds and what the shard knows are brought together.
//!
//! A shard that starts empty is rebuilt from its routers: they keep their own tickets with the
//! order numbers that the earlier dispatcher returned, their running grants, and the newest level
//! that they heard of each customer. This follows sender-based message logging (Johnson and
//! Zwaenepoel), where messages and the order of their receipt are logged in the volatile memory
//! of the senders; `docs/design/002-recovery.md` has the measurement.

use super::engine::PromptShape;
use super::grants::RunningGrant;
use super::routers::RouterIndex;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::ShardAction;
use crate::event::{GrantFate, HeldGrant, HeldTotal, RequestTicket, RouterHello, SessionId};
use crate::shard::customers::QueuePlace;
use micaspool_fair::{CustomerIndex, Rank, ServiceLevel};
use micaspool_types::{Cost, Moment, RequestId};
use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

impl ShardCore {
    /// Takes a router in, with everything it holds.
    pub(super) fn join(
        &mut self,
        now: Moment,
        session: SessionId,
        hello: RouterHello,
        actions: &mut Vec<ShardAction>,
    ) {
        let router = self.routers.attach(now, session, &hello);
        self.join_suspects(now, router, &hello.crashes, actions);
        self.take_advice(now, router, &hello.advice);
        if self.options.use_held_state {
            for total in &hello.totals {
                self.recover_level(total);
            }
        }
        let mut waiting = by_request(hello.waiting, |ticket| ticket.request);
        let mut running = by_request(hello.running, |grant| grant.request);
        for request in self.routers.held(router) {
            self.reconcile(now, request, &mut waiting, &mut running);
        }
        let mut tickets: Vec<RequestTicket> = waiting.into_values().collect();
        tickets.sort_by_key(|ticket| ticket.order);
        for ticket in tickets {
            self.take_ticket(now, session, router, ticket, actions);
        }
        self.refuse_unwanted(now, router, actions);
        if self.options.use_held_state {
            let mut grants: Vec<HeldGrant> = running.into_values().collect();
            grants.sort_by_key(|grant| grant.order);
            for grant in grants {
                self.take_running(router, grant);
            }
        }
    }

    /// Settles one request that the shard knows of this router against what the router holds.
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
            None if held_waiting => self.take_grant_back(now, request),
            None => self.end_grant(now, request, None, GrantFate::Abandoned),
        }
    }

    /// The grant did not reach the router: the ticket waits again at its old place.
    fn take_grant_back(&mut self, now: Moment, request: RequestId) {
        let Some(grant) = self.running.get(&request).cloned() else { return };
        self.end_grant(now, request, None, GrantFate::Unsent);
        let ticket = WaitingTicket {
            customer: grant.customer,
            router: grant.router,
            digest: grant.digest,
            hint: grant.hint,
            place: QueuePlace { priority: grant.priority, order: grant.order, request },
            since: now,
            avoid: None,
            prompt: grant.prompt,
            objective: None,
            expected_wait: Duration::ZERO,
            wanted_by: None,
            ends: None,
            leaves: None,
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

    fn take_ticket(
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
        if let Some(refusal) = self.reason_to_keep_out(now, &ticket) {
            actions.push(refusal.action(session, &ticket));
            return;
        }
        let customer = self.customers.ensure(&ticket.customer);
        let numbered = ticket.order.is_some();
        let wait = self.wait_estimate(now, customer, &ticket, false);
        self.enqueue(now, router, customer, ticket, wait);
        let order = self.waiting[&request].place.order;
        if !numbered {
            actions.push(ShardAction::Accepted { session, request, order });
        }
    }

    fn take_running(&mut self, router: RouterIndex, held: HeldGrant) {
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
            prompt: PromptShape::default(),
            unread: false,
            since: None,
        };
        self.running.insert(held.request, grant);
    }

    /// Brings recovered levels within an idle credit of each other. Routers bring what they heard from
    /// different dispatchers, their own among them, whose levels began at different times; without this
    /// a customer with a level from a longer count would be served nothing until all others reached it.
    pub(super) fn narrow_levels(&mut self) {
        let levels = self.customers.iter().map(|state| state.level(self.options.policy.as_ref()));
        let Some(lowest) = levels.filter(|level| level.0 > 0).min() else { return };
        if self.idle_credit == Cost(0) {
            return;
        }
        for customer in self.customers.indices() {
            self.lower_to(customer, lowest);
        }
        for floor in &mut self.floors {
            *floor = (*floor).max(Rank(lowest.0));
        }
    }

    /// Lowers a level to at most an idle credit above another.
    fn lower_to(&mut self, customer: CustomerIndex, lowest: ServiceLevel) {
        let state = self.customers.get(customer);
        let weight = state.account.weight();
        let highest = lowest.plus(ServiceLevel::from_cost(self.idle_credit, weight));
        let running = self.options.policy.level(&state.account);
        if state.level(self.options.policy.as_ref()) > highest {
            let base = ServiceLevel(highest.0.saturating_sub(running.0));
            self.customers.get_mut(customer).account.rebase(base, weight);
            self.reindex(customer);
        }
    }

    /// Takes a level over when the shard has none of its own for the customer, or an older one
    /// of the same recovery.
    fn recover_level(&mut self, total: &HeldTotal) {
        let customer = self.customers.ensure(&total.customer);
        let recovering = self.recovering_until.is_some();
        let state = self.customers.get_mut(customer);
        let fresh = state.level_order.0 == 0;
        let comparable = recovering || self.idle_credit == Cost(0);
        if total.order <= state.level_order || !(recovering || fresh) || !comparable {
            return;
        }
        let weight = state.account.weight();
        state.level_order = total.order;
        state.account.rebase(total.level, weight);
        self.note_order(total.order);
        self.reindex(customer);
    }
}

fn by_request<T>(items: Vec<T>, request: impl Fn(&T) -> RequestId) -> HashMap<RequestId, T> {
    items.into_iter().map(|item| (request(&item), item)).collect()
}
