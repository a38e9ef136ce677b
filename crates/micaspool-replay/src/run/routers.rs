//! Simulated routers, with the state that real routers keep for their dispatcher.

use super::setup::session_number;
use crate::trace::RecordedTrace;
use micaspool_dispatch::{GenerationOutline, HeldGrant, HeldLevel, RequestTicket, RouterHello, SessionId};
use micaspool_fair::ServiceLevel;
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallLimit, Incarnation, InstanceName, OrderNumber, RequestId,
    VersionLimit,
};
use std::collections::{BTreeMap, BTreeSet};

/// The number of prefixes of a prompt, each longer than the one before.
const PREFIXES: u64 = 3;

#[derive(Debug, Default)]
struct FakeRouter {
    joins: u64,
    waiting: BTreeMap<RequestId, RequestTicket>,
    running: BTreeMap<RequestId, HeldGrant>,
    totals: BTreeMap<CustomerName, HeldLevel>,
}

/// All routers of a replay.
#[derive(Debug)]
pub(super) struct FakeRouters {
    routers: Vec<FakeRouter>,
    owners: BTreeMap<RequestId, usize>,
    reported: BTreeMap<RequestId, u64>,
}

impl FakeRouters {
    pub fn new(trace: &RecordedTrace) -> FakeRouters {
        let routers = (0..trace.header.routers).map(|_| FakeRouter::default()).collect();
        FakeRouters { routers, owners: BTreeMap::new(), reported: BTreeMap::new() }
    }

    pub fn names(&self) -> BTreeSet<InstanceName> {
        (0..self.routers.len()).map(router_name).collect()
    }

    pub fn session(&self, router: usize) -> SessionId {
        session_number(router, self.routers[router].joins, self.routers.len())
    }

    pub fn router_of(&self, session: SessionId) -> Option<usize> {
        (0..self.routers.len()).find(|router| self.session(*router) == session)
    }

    pub fn session_of(&self, request: RequestId) -> SessionId {
        self.session(self.owners[&request])
    }

    /// Opens a new session of a router. The hello message carries everything that the router holds.
    pub fn join(&mut self, router: usize) -> (SessionId, RouterHello) {
        self.routers[router].joins += 1;
        let held = &self.routers[router];
        let hello = RouterHello {
            router: router_name(router),
            incarnation: Incarnation(1),
            waiting: held.waiting.values().cloned().collect(),
            running: held.running.values().cloned().collect(),
            levels: held.totals.values().cloned().collect(),
            crashes: Vec::new(),
            streams: Vec::new(),
            advice: Vec::new(),
            heartbeat: 1,
        };
        (self.session(router), hello)
    }

    pub fn arrive(&mut self, trace: &RecordedTrace, index: usize) -> (SessionId, RequestTicket) {
        let request = &trace.requests[index];
        let id = RequestId(index as u128);
        self.owners.insert(id, request.router);
        let ticket = self.ticket(trace, id, 0, None);
        self.routers[request.router].waiting.insert(id, ticket.clone());
        (self.session(request.router), ticket)
    }

    fn ticket(
        &self,
        trace: &RecordedTrace,
        id: RequestId,
        attempt: u32,
        avoid: Option<EndpointName>,
    ) -> RequestTicket {
        let index = self.index_of(id);
        let request = &trace.requests[index];
        RequestTicket {
            request: id,
            customer: customer_name(trace, request.customer),
            digest: None,
            hint: Cost(request.hint),
            priority: 5,
            attempt,
            avoid,
            prefixes: self.prefixes_of(trace, index),
            prefix_tokens: Vec::new(),
            prompt_tokens: Cost(0),
            objective: None,
            patience: None,
            order: None,
            halls: HallLimit::Anywhere,
            versions: VersionLimit::Any,
            generation: GenerationOutline::default(),
        }
    }

    /// The hashes of the prompt prefixes of a request. The first is shared by all requests of the customer,
    /// the longer ones by those of the conversation.
    pub fn prefixes_of(&self, trace: &RecordedTrace, index: usize) -> Vec<u64> {
        let request = &trace.requests[index];
        let customer = request.customer as u64 + 1;
        let longer =
            (1..PREFIXES).map(|length| (customer << 32) | ((request.conversation + 1) << 8) | length);
        std::iter::once(customer << 32).chain(longer).collect()
    }

    pub fn index_of(&self, request: RequestId) -> usize {
        request.0 as usize
    }

    pub fn accepted(&mut self, request: RequestId, order: OrderNumber) {
        let router = self.owners[&request];
        if let Some(ticket) = self.routers[router].waiting.get_mut(&request) {
            ticket.order = Some(order);
        }
    }

    /// Takes a grant. Returns false if it belongs to an earlier session or the request is no longer waiting.
    pub fn granted(
        &mut self,
        session: SessionId,
        request: RequestId,
        endpoint: &EndpointName,
        estimate: Cost,
        level: ServiceLevel,
        order: OrderNumber,
    ) -> bool {
        let router = self.owners[&request];
        if self.session(router) != session {
            return false;
        }
        let held = &mut self.routers[router];
        let Some(ticket) = held.waiting.remove(&request) else { return false };
        let customer = ticket.customer;
        held.totals.insert(customer.clone(), HeldLevel { customer: customer.clone(), level, order });
        let endpoint = endpoint.clone();
        let grant =
            HeldGrant { request, customer, digest: None, endpoint, estimate, delivered: Cost(0), order };
        held.running.insert(request, grant);
        true
    }

    pub fn refused(&mut self, request: RequestId) -> Option<usize> {
        let router = self.owners[&request];
        self.routers[router].waiting.remove(&request).map(|_| self.index_of(request))
    }

    pub fn ended(&mut self, request: RequestId) {
        let router = self.owners[&request];
        self.routers[router].running.remove(&request);
        self.reported.remove(&request);
    }

    /// Queues a failed request again, with a new ticket that avoids the endpoint where it failed.
    pub fn requeue(&mut self, trace: &RecordedTrace, request: RequestId, attempt: u32) -> RequestTicket {
        let router = self.owners[&request];
        let failed = self.routers[router].running.remove(&request).map(|grant| grant.endpoint);
        self.reported.remove(&request);
        let ticket = self.ticket(trace, request, attempt, failed);
        self.routers[router].waiting.insert(request, ticket.clone());
        ticket
    }

    /// Records the delivered cost. Returns true if it has grown by `step` units since the last progress report.
    pub fn progress_is_due(&mut self, request: RequestId, delivered: u64, step: u64) -> bool {
        let router = self.owners[&request];
        if let Some(grant) = self.routers[router].running.get_mut(&request) {
            grant.delivered = Cost(delivered);
        }
        let reported = self.reported.entry(request).or_insert(0);
        let is_due = delivered - *reported >= step;
        if is_due {
            *reported = delivered;
        }
        is_due
    }
}

fn router_name(router: usize) -> InstanceName {
    InstanceName::parse(&format!("router-{router}")).expect("the name is well-formed")
}

fn customer_name(trace: &RecordedTrace, customer: usize) -> CustomerName {
    CustomerName::parse(&trace.header.customers[customer].name).expect("the trace has well-formed names")
}
