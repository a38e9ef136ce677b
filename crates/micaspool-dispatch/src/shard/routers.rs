//! The routers of a shard, their sessions and the requests they hold.

use super::endpoints::EndpointIndex;
use super::router_clock::RouterClock;
use crate::event::{RouterHello, SessionId};
use foldhash::{HashMap, HashSet};
use micaspool_types::{Incarnation, InstanceName, Moment, RequestId};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a router gets no grants for an endpoint that it does not hold. A router that has just
/// started learns of all endpoints within some 100 ms; one that is cut off from a keeper may go on
/// without it.
const NOT_HELD_PERIOD: Duration = Duration::from_millis(100);

/// The key of a router in the router table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub(super) struct RouterIndex(u32);

#[derive(Debug)]
struct RouterState {
    name: InstanceName,
    incarnation: Incarnation,
    session: Option<SessionId>,
    last_contact: Moment,
    heartbeat: u64,
    clock: RouterClock,
    requests: HashSet<RequestId>,
    /// Endpoints that it reported as not held, and until when this is assumed.
    not_held: HashMap<EndpointIndex, Moment>,
    /// Endpoints that asked it to rest, and until when.
    rests: HashMap<EndpointIndex, Moment>,
}

/// All routers that have joined and whose lease has not ended.
#[derive(Debug, Default)]
pub(super) struct RouterTable {
    states: HashMap<RouterIndex, RouterState>,
    sessions: HashMap<SessionId, RouterIndex>,
    next: u32,
    /// When rests end.
    rest_ends: BTreeSet<Moment>,
}

impl RouterTable {
    /// Records that a router is alive; false if the session is unknown.
    pub fn note_contact(&mut self, session: SessionId, now: Moment) -> bool {
        let Some(router) = self.sessions.get(&session) else { return false };
        if let Some(state) = self.states.get_mut(router) {
            state.last_contact = now;
        }
        true
    }

    /// Records the number of a heartbeat.
    pub fn note_heartbeat(&mut self, session: SessionId, number: u64) {
        if let Some(state) = self.sessions.get(&session).and_then(|router| self.states.get_mut(router)) {
            state.heartbeat = state.heartbeat.max(number);
        }
    }

    /// Converts a moment of a router's clock, told in a message that is handled now; `None` if the session is
    /// unknown.
    pub fn convert_clock(&mut self, now: Moment, session: SessionId, router_clock: Moment) -> Option<Moment> {
        let router = self.sessions.get(&session)?;
        self.states.get_mut(router).map(|state| state.clock.convert(now, router_clock))
    }

    /// Binds a session to a router. The same incarnation keeps its requests; an earlier incarnation
    /// loses its session and is dropped when its lease ends.
    pub fn attach(&mut self, now: Moment, session: SessionId, hello: &RouterHello) -> RouterIndex {
        self.detach_earlier_incarnations(hello);
        let router = self.find(hello).unwrap_or_else(|| self.add(hello, now));
        let state = self.states.get_mut(&router).expect("the router was found or added above");
        if let Some(old) = state.session.replace(session) {
            self.sessions.remove(&old);
        }
        state.last_contact = now;
        state.heartbeat = hello.heartbeat;
        self.sessions.insert(session, router);
        router
    }

    fn find(&self, hello: &RouterHello) -> Option<RouterIndex> {
        let same = |state: &RouterState| state.name == hello.router && state.incarnation == hello.incarnation;
        self.states.iter().find(|(_, state)| same(state)).map(|(router, _)| *router)
    }

    fn detach_earlier_incarnations(&mut self, hello: &RouterHello) {
        for state in self.states.values_mut() {
            if state.name == hello.router && state.incarnation != hello.incarnation {
                if let Some(old) = state.session.take() {
                    self.sessions.remove(&old);
                }
            }
        }
    }

    fn add(&mut self, hello: &RouterHello, now: Moment) -> RouterIndex {
        let router = RouterIndex(self.next);
        self.next += 1;
        let state = RouterState {
            name: hello.router.clone(),
            incarnation: hello.incarnation,
            session: None,
            last_contact: now,
            heartbeat: 0,
            clock: RouterClock::default(),
            requests: HashSet::default(),
            not_held: HashMap::default(),
            rests: HashMap::default(),
        };
        self.states.insert(router, state);
        router
    }

    /// Ends a session; the router's requests stay until its lease ends.
    pub fn detach(&mut self, session: SessionId) {
        if let Some(state) = self.sessions.remove(&session).and_then(|router| self.states.get_mut(&router)) {
            state.session = None;
        }
    }

    pub fn by_session(&self, session: SessionId) -> Option<RouterIndex> {
        self.sessions.get(&session).copied()
    }

    pub fn session(&self, router: RouterIndex) -> Option<SessionId> {
        self.states.get(&router)?.session
    }

    pub fn sessions(&self) -> impl Iterator<Item = SessionId> + '_ {
        self.sessions.keys().copied()
    }

    pub fn heartbeat(&self, router: RouterIndex) -> u64 {
        self.states.get(&router).map_or(0, |state| state.heartbeat)
    }

    pub fn hold(&mut self, router: RouterIndex, request: RequestId) {
        if let Some(state) = self.states.get_mut(&router) {
            state.requests.insert(request);
        }
    }

    pub fn release(&mut self, router: RouterIndex, request: RequestId) {
        if let Some(state) = self.states.get_mut(&router) {
            state.requests.remove(&request);
        }
    }

    /// Records that a router does not hold an endpoint. Only this router gets no grants for it.
    pub fn note_not_held(&mut self, now: Moment, router: RouterIndex, endpoint: EndpointIndex) {
        if let Some(state) = self.states.get_mut(&router) {
            state.not_held.retain(|_, until| now < *until);
            state.not_held.insert(endpoint, now + NOT_HELD_PERIOD);
        }
    }

    /// True while the router is assumed not to hold the endpoint.
    pub fn lacks_endpoint(&self, now: Moment, router: RouterIndex, endpoint: EndpointIndex) -> bool {
        let until = self.states.get(&router).and_then(|state| state.not_held.get(&endpoint));
        until.is_some_and(|until| now < *until)
    }

    /// Records that an endpoint asked a router to rest until a moment. An existing rest is extended but
    /// never shortened.
    pub fn note_rest(&mut self, router: RouterIndex, endpoint: EndpointIndex, until: Moment) {
        if let Some(state) = self.states.get_mut(&router) {
            let noted = state.rests.entry(endpoint).or_insert(until);
            *noted = until.max(*noted);
            self.rest_ends.insert(*noted);
        }
    }

    /// Removes rests that have ended; true if any ended, so that waiting tickets may become eligible.
    pub fn end_rests(&mut self, now: Moment) -> bool {
        if self.rest_ends.first().is_none_or(|end| now < *end) {
            return false;
        }
        self.rest_ends = self.rest_ends.split_off(&(now + Duration::from_micros(1)));
        for state in self.states.values_mut() {
            state.rests.retain(|_, until| now < *until);
        }
        true
    }

    /// When the next rest ends.
    pub fn next_rest_end(&self) -> Option<Moment> {
        self.rest_ends.first().copied()
    }

    /// True if any endpoint asked the router to rest.
    pub fn has_rests(&self, router: RouterIndex) -> bool {
        self.states.get(&router).is_some_and(|state| !state.rests.is_empty())
    }

    /// Until when a router may send nothing to an endpoint; `None` if it may.
    pub fn rest_until(&self, now: Moment, router: RouterIndex, endpoint: EndpointIndex) -> Option<Moment> {
        let until = self.states.get(&router).and_then(|state| state.rests.get(&endpoint)).copied();
        until.filter(|until| now < *until)
    }

    /// The endpoints that asked for rest, once for each router asked.
    pub fn resting(&self, now: Moment) -> impl Iterator<Item = EndpointIndex> + '_ {
        let rests = self.states.values().flat_map(|state| &state.rests);
        rests.filter(move |(_, until)| now < **until).map(|(endpoint, _)| *endpoint)
    }

    /// The requests of a router in a fixed order.
    pub fn held(&self, router: RouterIndex) -> Vec<RequestId> {
        let mut requests: Vec<RequestId> = self
            .states
            .get(&router)
            .map(|state| state.requests.iter().copied().collect())
            .unwrap_or_default();
        requests.sort();
        requests
    }

    /// The routers that were silent for longer than the lease, in a fixed order.
    pub fn expired(&self, now: Moment, lease: Duration) -> Vec<RouterIndex> {
        let silent = self.states.iter().filter(|(_, state)| now.since(state.last_contact) > lease);
        let mut routers: Vec<RouterIndex> = silent.map(|(router, _)| *router).collect();
        routers.sort();
        routers
    }

    /// Removes a router and returns its requests.
    pub fn forget(&mut self, router: RouterIndex) -> Vec<RequestId> {
        let requests = self.held(router);
        if let Some(session) = self.states.remove(&router).and_then(|state| state.session) {
            self.sessions.remove(&session);
        }
        requests
    }

    /// True if each of these routers has a session.
    pub fn all_joined(&self, names: &BTreeSet<InstanceName>) -> bool {
        let joined = |name: &InstanceName| {
            self.states.values().any(|state| state.name == *name && state.session.is_some())
        };
        names.iter().all(joined)
    }

    pub fn count(&self) -> usize {
        self.states.len()
    }
}
