//! Replays a trace through one shard core in virtual time.
//!
//! The core is the one that dispatchers run. Routers, endpoints and the network are simulated: routers keep
//! the state that real ones keep, endpoints have slots and a prefix cache, and messages take a fixed time and
//! are counted at their encoded size.

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

/// The parameters of a replay.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// The name of the scheduling policy.
    pub policy: String,
    /// The faults to inject.
    pub faults: Vec<ReplayFault>,
    /// Whether endpoints are chosen by cached prefixes too; if false, by load alone.
    pub use_prefixes: bool,
    /// The share of cache events that are lost, in percent.
    pub cache_loss_percent: u32,
    /// The delay of cache events and load reports.
    pub report_lag: Duration,
    /// The limit of waiting requests per customer.
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

/// The interval at which the core receives tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which endpoints are probed for their load.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The cost that an endpoint delivers at once, in units.
const DELIVERY_STEP: u64 = 32;
/// A router reports progress whenever this many more units were delivered.
const PROGRESS_STEP: u64 = 128;
/// The interval at which routers send heartbeats, the same as that of real routers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The time that routers take to detect the loss of a dispatcher and to connect to the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A replay ends at the latest this long after the last arrival, even if requests are unanswered.
const DRAIN_LIMIT: Duration = Duration::from_secs(3_600);
/// The largest number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;

/// The state of a running replay.
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
    unanswered: usize,
}

/// Replays a trace and returns its measurements.
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
        unanswered: trace.requests.len(),
        trace,
        options,
    };
    run.schedule_inputs();
    run.run_events();
    run.measures.unfinished = run.unanswered as u64;
    run.measures.report(&run.options, trace, &run.wire)
}

impl ReplayRun<'_> {
    /// Processes events in order until every request is answered or the replay ends.
    fn run_events(&mut self) {
        let last = self.trace.requests.last().map_or(0, |request| request.at_millis);
        let end = Moment::from_millis(last) + DRAIN_LIMIT;
        while self.unanswered > 0 && self.now < end {
            let Some(Reverse(next)) = self.queue.pop() else { return };
            let halls = self.core.as_ref().map_or(HallMask::EMPTY, ShardCore::waiting_halls);
            self.measures.record_interval(self.now, next.at, halls, &self.endpoints);
            self.now = next.at;
            self.handle_event(next.event);
        }
    }

    fn schedule_at(&mut self, at: Moment, event: ReplayEvent) {
        self.next_number += 1;
        self.queue.push(Reverse(QueuedEvent { at, number: self.next_number, event }));
    }

    fn schedule_after(&mut self, delay: Duration, event: ReplayEvent) {
        self.schedule_at(self.now + delay, event);
    }

    fn wire_delay(&self) -> Duration {
        Duration::from_micros(self.trace.header.wire_micros)
    }

    fn send_to_shard(&mut self, event: ShardEvent) {
        self.wire.count_event(&event);
        self.schedule_after(self.wire_delay(), ReplayEvent::ToShard(event));
    }

    fn handle_event(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(index) => self.arrive(index),
            ReplayEvent::ToShard(event) => self.step(event),
            ReplayEvent::ToRouter(action) => self.handle_action(action),
            ReplayEvent::Deliver { request, run } => self.deliver(request, run),
            ReplayEvent::Cache(update) => self.step(ShardEvent::Cache(update)),
            ReplayEvent::Tick => {
                self.step(ShardEvent::Tick);
                self.measures.sample();
                self.schedule_after(TICK_INTERVAL, ReplayEvent::Tick);
            }
            ReplayEvent::Probe => self.probe(),
            ReplayEvent::SendHeartbeats => {
                for router in 0..self.trace.header.routers {
                    let session = self.routers.session(router);
                    self.send_to_shard(ShardEvent::Heartbeat(session, 1));
                }
                self.schedule_after(HEARTBEAT_INTERVAL, ReplayEvent::SendHeartbeats);
            }
            ReplayEvent::Fault(kind) => self.inject_fault(kind),
            ReplayEvent::NewDispatcher { restore_state } => self.start_dispatcher(restore_state),
        }
    }

    /// Passes an event to the core and sends the resulting actions to the routers. Events are lost while there is
    /// no dispatcher.
    fn step(&mut self, event: ShardEvent) {
        let Some(core) = &mut self.core else { return };
        let mut actions = std::mem::take(&mut self.actions);
        core.step(self.now, event, &mut actions);
        assert!(
            !core.has_idle_slot(self.now),
            "the core left a slot idle although an eligible ticket is waiting"
        );
        for action in actions.drain(..) {
            self.wire.count_action(&action);
            self.schedule_after(self.wire_delay(), ReplayEvent::ToRouter(action));
        }
        self.actions = actions;
    }

    fn arrive(&mut self, index: usize) {
        let (session, ticket) = self.routers.arrive(self.trace, index);
        self.measures.change_waiting(self.trace.requests[index].customer, 1);
        self.send_to_shard(ShardEvent::Submit(session, ticket));
    }

    fn handle_action(&mut self, action: ShardAction) {
        match action {
            ShardAction::Accepted { request, order, .. } => self.routers.accepted(request, order),
            ShardAction::Grant { session, request, endpoint, estimate, level, order, .. } => {
                if self.routers.granted(session, request, &endpoint, estimate, level, order) {
                    self.send(request, &endpoint);
                }
            }
            ShardAction::Refuse { request, .. } => {
                if let Some(index) = self.routers.refused(request) {
                    self.measures.change_waiting(self.trace.requests[index].customer, -1);
                    self.measures.refused += 1;
                    self.unanswered -= 1;
                }
            }
            ShardAction::Rejoin { session } => {
                if let Some(router) = self.routers.router_of(session) {
                    let (session, hello) = self.routers.join(router);
                    self.schedule_after(
                        self.wire_delay(),
                        ReplayEvent::ToShard(ShardEvent::Joined(session, hello)),
                    );
                }
            }
            // Simulated routers don't wait for answers to heartbeats, and their tickets carry no digest, so no
            // request is ever suspected of crashing endpoints.
            ShardAction::Pulse { .. }
            | ShardAction::SendRecord { .. }
            | ShardAction::ProbeEndpoint { .. }
            | ShardAction::ReportStanding { .. } => {}
        }
    }

    /// Sends a granted request to its endpoint.
    fn send(&mut self, request: RequestId, endpoint: &EndpointName) {
        let index = self.routers.index_of(request);
        let customer = self.trace.requests[index].customer;
        self.measures.change_waiting(customer, -1);
        self.measures.record_grant(self.now);
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
        let (is_hit, update) =
            self.endpoints.start(number, request, self.trace.requests[index].cost, &prefixes);
        self.measures.record_prefix(is_hit);
        if self.rng.random_range(0..100) >= self.options.cache_loss_percent {
            self.schedule_after(self.options.report_lag, ReplayEvent::Cache(update));
        }
        let run = self.endpoints.run_number(request);
        self.schedule_delivery(request, run);
    }

    fn schedule_delivery(&mut self, request: RequestId, run: u64) {
        let remaining = self.endpoints.remaining(request);
        let micros = remaining.min(DELIVERY_STEP) * self.trace.header.unit_micros;
        self.schedule_after(Duration::from_micros(micros), ReplayEvent::Deliver { request, run });
    }

    /// Delivers the next step of a request, and settles the request after the last one.
    fn deliver(&mut self, request: RequestId, run: u64) {
        if self.endpoints.run_number(request) != run {
            return;
        }
        let index = self.routers.index_of(request);
        let step = self.endpoints.deliver(request, DELIVERY_STEP);
        self.measures.record_service(self.trace.requests[index].customer, Cost(step));
        let session = self.routers.session_of(request);
        if self.endpoints.remaining(request) == 0 {
            let cost = self.endpoints.finish(request);
            self.routers.ended(request);
            self.send_to_shard(ShardEvent::Settle(session, request, Cost(cost), GrantOutcome::Done));
            self.measures.done += 1;
            self.unanswered -= 1;
            return;
        }
        let delivered = self.endpoints.delivered(request);
        if self.routers.progress_is_due(request, delivered, PROGRESS_STEP) {
            self.send_to_shard(ShardEvent::Progress(session, request, Cost(delivered)));
        }
        self.schedule_delivery(request, run);
    }

    /// Settles a failed attempt, then queues the request again, or refuses it after [`MAX_ATTEMPTS`].
    fn retry(&mut self, request: RequestId, outcome: GrantOutcome) {
        let session = self.routers.session_of(request);
        self.send_to_shard(ShardEvent::Settle(session, request, Cost(0), outcome));
        let attempt = self.attempts.entry(request).or_insert(0);
        *attempt += 1;
        let attempt = *attempt;
        let index = self.routers.index_of(request);
        if attempt >= MAX_ATTEMPTS {
            self.routers.ended(request);
            self.measures.refused += 1;
            self.unanswered -= 1;
            return;
        }
        self.measures.retries += 1;
        self.measures.change_waiting(self.trace.requests[index].customer, 1);
        let ticket = self.routers.requeue(self.trace, request, attempt);
        self.send_to_shard(ShardEvent::Submit(session, ticket));
    }

    /// Reports the load of every endpoint to the core.
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
            self.schedule_after(self.options.report_lag, ReplayEvent::ToShard(event));
        }
        self.schedule_after(PROBE_INTERVAL, ReplayEvent::Probe);
    }

    fn inject_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::DispatcherLost { restore_state } => {
                self.core = None;
                self.measures.record_dispatcher_loss(self.now);
                self.schedule_after(RECONNECT_DELAY, ReplayEvent::NewDispatcher { restore_state });
            }
            FaultKind::EndpointsLost { from, count } => {
                for number in from..(from + count).min(self.trace.header.endpoints) {
                    for request in self.endpoints.fail_endpoint(number) {
                        self.retry(request, GrantOutcome::Broken);
                    }
                }
            }
            FaultKind::EndpointsRestored => self.endpoints.restore(),
        }
    }
}
