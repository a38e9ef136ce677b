//! Replays a trace through one shard core in virtual time.
//!
//! The core is the one that dispatchers run. Around it are small fakes: routers that hold what
//! real ones hold, endpoints with slots and a prefix cache, and a wire with a fixed delay whose
//! messages are counted at their encoded size.

mod endpoints;
mod faults;
mod measure;
mod queue;
mod routers;
mod setup;
mod wire;

pub use faults::{FaultKind, ReplayFault};
pub use measure::ReplayReport;

use crate::trace::RecordedTrace;
use endpoints::FakeEndpoints;
use measure::Measures;
use micaspool_dispatch::{GrantOutcome, LoadReport, ShardAction, ShardCore, ShardEvent};
use micaspool_types::{Cost, EndpointName, HallMask, Moment, RequestId};
use queue::{QueuedEvent, ReplayEvent};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routers::FakeRouters;
use setup::{endpoint_name, endpoint_number};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use wire::WireCounter;

/// How a trace is replayed.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// The policy, by name.
    pub policy: String,
    /// What goes wrong and when.
    pub faults: Vec<ReplayFault>,
    /// False for choosing endpoints by load alone.
    pub use_prefixes: bool,
    /// How many in a hundred cache events are lost.
    pub cache_loss_percent: u32,
    /// By how much cache events and load reports lag.
    pub report_lag: Duration,
    /// The most waiting requests of one customer.
    pub max_waiting: u32,
}

impl Default for ReplayOptions {
    fn default() -> Self {
        ReplayOptions {
            policy: "progress".to_owned(),
            faults: Vec::new(),
            use_prefixes: true,
            cache_loss_percent: 20,
            report_lag: Duration::from_secs(1),
            max_waiting: 100_000,
        }
    }
}

/// How often the core looks at the time.
const TICK: Duration = Duration::from_millis(50);
/// How often endpoints are asked for their load.
const PROBE: Duration = Duration::from_secs(1);
/// Cost is delivered and measured in steps of this size.
const CHUNK: u64 = 32;
/// A router tells of progress after this much more.
const PROGRESS_STEP: u64 = 128;
/// How often a router says that it is alive, as real ones do.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// How long routers take to notice that a dispatcher is gone and to reach the next.
const DETECTION: Duration = Duration::from_millis(100);
/// A replay ends this long after the last arrival, also when requests have no answer.
const LONGEST_TAIL: Duration = Duration::from_secs(3_600);
/// How often one request is sent at most.
const MAX_ATTEMPTS: u32 = 3;

/// A replay under way.
struct ReplayRun<'a> {
    trace: &'a RecordedTrace,
    options: ReplayOptions,
    now: Moment,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    next_number: u64,
    core: Option<ShardCore>,
    routers: FakeRouters,
    endpoints: FakeEndpoints,
    measures: Measures,
    wire: WireCounter,
    rng: ChaCha8Rng,
    attempts: HashMap<RequestId, u32>,
    actions: Vec<ShardAction>,
    open: usize,
}

/// Replays a trace and measures it.
pub fn replay(trace: &RecordedTrace, options: ReplayOptions) -> ReplayReport {
    let mut run = ReplayRun {
        now: Moment(1),
        queue: BinaryHeap::new(),
        next_number: 0,
        core: None,
        routers: FakeRouters::new(trace),
        endpoints: FakeEndpoints::new(&trace.header),
        measures: Measures::new(trace),
        wire: WireCounter::default(),
        rng: ChaCha8Rng::seed_from_u64(trace.requests.len() as u64),
        attempts: HashMap::new(),
        actions: Vec::new(),
        open: trace.requests.len(),
        trace,
        options,
    };
    run.prepare();
    run.work();
    run.measures.unfinished = run.open as u64;
    run.measures.report(&run.options, trace, &run.wire)
}

impl ReplayRun<'_> {
    fn work(&mut self) {
        let last = self.trace.requests.last().map_or(0, |request| request.at_millis);
        let end = Moment::from_millis(last) + LONGEST_TAIL;
        while self.open > 0 && self.now < end {
            let Some(Reverse(next)) = self.queue.pop() else { return };
            let halls = self.core.as_ref().map_or(HallMask::EMPTY, ShardCore::waiting_halls);
            self.measures.pass(self.now, next.at, halls, &self.endpoints);
            self.now = next.at;
            self.take(next.event);
        }
    }

    fn at(&mut self, at: Moment, event: ReplayEvent) {
        self.next_number += 1;
        self.queue.push(Reverse(QueuedEvent { at, number: self.next_number, event }));
    }

    fn after(&mut self, delay: Duration, event: ReplayEvent) {
        self.at(self.now + delay, event);
    }

    fn wire_delay(&self) -> Duration {
        Duration::from_micros(self.trace.header.wire_micros)
    }

    fn post_to_shard(&mut self, event: ShardEvent) {
        self.wire.count_event(&event);
        self.after(self.wire_delay(), ReplayEvent::ToShard(event));
    }

    fn take(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(index) => self.arrive(index),
            ReplayEvent::ToShard(event) => self.step(event),
            ReplayEvent::ToRouter(action) => self.hear(action),
            ReplayEvent::Deliver { request, run } => self.deliver(request, run),
            ReplayEvent::Cache(news) => self.step(ShardEvent::Cache(news)),
            ReplayEvent::Tick => {
                self.step(ShardEvent::Tick);
                self.measures.sample();
                self.after(TICK, ReplayEvent::Tick);
            }
            ReplayEvent::Probe => self.probe(),
            ReplayEvent::Beat => {
                for router in 0..self.trace.header.routers {
                    let session = self.routers.session(router);
                    self.post_to_shard(ShardEvent::Heartbeat(session, 1));
                }
                self.after(HEARTBEAT, ReplayEvent::Beat);
            }
            ReplayEvent::Fault(kind) => self.fail(kind),
            ReplayEvent::NewDispatcher { held } => self.start_dispatcher(held),
        }
    }

    fn step(&mut self, event: ShardEvent) {
        let Some(core) = &mut self.core else { return };
        let mut actions = std::mem::take(&mut self.actions);
        core.step(self.now, event, &mut actions);
        assert!(!core.has_idle_slot(self.now), "a free slot was left to an eligible ticket");
        for action in actions.drain(..) {
            self.wire.count_action(&action);
            self.after(self.wire_delay(), ReplayEvent::ToRouter(action));
        }
        self.actions = actions;
    }

    fn arrive(&mut self, index: usize) {
        let (session, ticket) = self.routers.arrive(self.trace, index);
        self.measures.waiting(self.trace.requests[index].customer, 1);
        self.post_to_shard(ShardEvent::Submit(session, ticket));
    }

    fn hear(&mut self, action: ShardAction) {
        match action {
            ShardAction::Accepted { request, order, .. } => self.routers.accepted(request, order),
            ShardAction::Grant { session, request, endpoint, estimate, level, order, .. } => {
                if self.routers.granted(session, request, &endpoint, estimate, level, order) {
                    self.send(request, &endpoint);
                }
            }
            ShardAction::Refuse { request, .. } => {
                if let Some(index) = self.routers.refused(request) {
                    self.measures.waiting(self.trace.requests[index].customer, -1);
                    self.measures.refused += 1;
                    self.open -= 1;
                }
            }
            ShardAction::Rejoin { session } => {
                if let Some(router) = self.routers.router_of(session) {
                    let (session, hello) = self.routers.join(router);
                    self.after(self.wire_delay(), ReplayEvent::ToShard(ShardEvent::Joined(session, hello)));
                }
            }
            // Requests of a trace are told apart by their ids alone, so none is ever in doubt.
            ShardAction::Pulse { .. }
            | ShardAction::SendRecord { .. }
            | ShardAction::ProbeEndpoint { .. }
            | ShardAction::ReportStanding { .. } => {}
        }
    }

    /// A router sends a granted request to an endpoint.
    fn send(&mut self, request: RequestId, endpoint: &EndpointName) {
        let index = self.routers.index_of(request);
        let customer = self.trace.requests[index].customer;
        self.measures.waiting(customer, -1);
        self.measures.granted(self.now);
        let number = endpoint_number(endpoint);
        if !self.endpoints.is_up(number) {
            self.retry(request, GrantOutcome::Unreachable);
            return;
        }
        self.measures.sent += 1;
        if self.endpoints.is_full(number) {
            self.retry(request, GrantOutcome::Refused);
            return;
        }
        let prefixes = self.routers.prefixes_of(self.trace, index);
        let (hit, news) = self.endpoints.start(number, request, self.trace.requests[index].cost, &prefixes);
        self.measures.prefix(hit);
        if self.rng.random_range(0..100) >= self.options.cache_loss_percent {
            self.after(self.options.report_lag, ReplayEvent::Cache(news));
        }
        let run = self.endpoints.run_of(request);
        self.deliver_later(request, run);
    }

    fn deliver_later(&mut self, request: RequestId, run: u64) {
        let left = self.endpoints.left(request);
        let micros = left.min(CHUNK) * self.trace.header.unit_micros;
        self.after(Duration::from_micros(micros), ReplayEvent::Deliver { request, run });
    }

    fn deliver(&mut self, request: RequestId, run: u64) {
        if self.endpoints.run_of(request) != run {
            return;
        }
        let index = self.routers.index_of(request);
        let step = self.endpoints.deliver(request, CHUNK);
        self.measures.serve(self.trace.requests[index].customer, Cost(step));
        let session = self.routers.session_of(request);
        if self.endpoints.left(request) == 0 {
            let cost = self.endpoints.end(request);
            self.routers.ended(request);
            self.post_to_shard(ShardEvent::Settle(session, request, Cost(cost), GrantOutcome::Done));
            self.measures.done += 1;
            self.open -= 1;
            return;
        }
        let delivered = self.endpoints.delivered(request);
        if self.routers.progress_is_due(request, delivered, PROGRESS_STEP) {
            self.post_to_shard(ShardEvent::Progress(session, request, Cost(delivered)));
        }
        self.deliver_later(request, run);
    }

    /// A request that did not end well waits again, or is given up after its last attempt.
    fn retry(&mut self, request: RequestId, fate: GrantOutcome) {
        let session = self.routers.session_of(request);
        self.post_to_shard(ShardEvent::Settle(session, request, Cost(0), fate));
        let attempt = self.attempts.entry(request).or_insert(0);
        *attempt += 1;
        let attempt = *attempt;
        let index = self.routers.index_of(request);
        if attempt >= MAX_ATTEMPTS {
            self.routers.ended(request);
            self.measures.refused += 1;
            self.open -= 1;
            return;
        }
        self.measures.retries += 1;
        self.measures.waiting(self.trace.requests[index].customer, 1);
        let ticket = self.routers.again(self.trace, request, attempt);
        self.post_to_shard(ShardEvent::Submit(session, ticket));
    }

    fn probe(&mut self) {
        for number in 0..self.trace.header.endpoints {
            let endpoint = endpoint_name(number);
            let event = if self.endpoints.is_up(number) {
                let running = self.endpoints.running(number);
                ShardEvent::Load(LoadReport {
                    endpoint,
                    running,
                    waiting: 0,
                    draining: false,
                    requested_at: self.now,
                })
            } else {
                ShardEvent::Unreachable(endpoint)
            };
            self.after(self.options.report_lag, ReplayEvent::ToShard(event));
        }
        self.after(PROBE, ReplayEvent::Probe);
    }

    fn fail(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::DispatcherLost { held } => {
                self.core = None;
                self.measures.lose_dispatcher(self.now);
                self.after(DETECTION, ReplayEvent::NewDispatcher { held });
            }
            FaultKind::EndpointsLost { from, count } => {
                for number in from..(from + count).min(self.trace.header.endpoints) {
                    for request in self.endpoints.lose(number) {
                        self.retry(request, GrantOutcome::Broken);
                    }
                }
            }
            FaultKind::EndpointsBack => self.endpoints.restore(),
        }
    }
}
