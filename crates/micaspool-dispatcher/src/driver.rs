//! Drives one shard core: streams, time, settings and probes in, messages out.

use crate::cache_follower::CacheFollower;
use crate::host::HostOptions;
use crate::policy_source::PolicySource;
use crate::probe::ProbedEndpoint;
use crate::sharing::share_totals;
use crate::tally::ShardTally;
use async_std::channel::{unbounded, Receiver, Sender};
use micaspool_clock::BootInstant;
use micaspool_dispatch::{
    CacheUpdate, CustomerTotal, LoadReport, SessionId, ShardAction, ShardCore, ShardEvent, ShardStatus,
};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::spans::HopSpan;
use micaspool_types::{EndpointName, Moment, RequestId, ServiceName};
use micaspool_wire::convert::action_message;
use micaspool_wire::v1::DispatcherMessage;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tonic::Status;

/// How often the core looks at the time.
const TICK: Duration = Duration::from_millis(50);
/// The least time between two policies, in which changes of plan and endpoints are gathered: a policy names every
/// endpoint and customer.
const POLICY_GATHERING: Duration = Duration::from_millis(50);
/// Timers go off a little early at times; this keeps a wake-up from coming twice.
const WAKE_MARGIN: Duration = Duration::from_micros(200);
/// The least time an endpoint that is asked for its load adds to the interval: at most a hundred
/// are asked a second. Each costs this process some 100 us, and endpoints count it as a health check.
const SHORTEST_PROBE_GAP: Duration = Duration::from_millis(10);
/// How many messages may wait for one router; a router that reads more slowly loses its stream.
const STREAM_QUEUE: usize = 65_536;
/// The most spans of waiting requests; further ones are left out.
const MAX_SPANS: usize = 10_000;

/// What goes to a router's stream.
pub(crate) type StreamItem = Result<DispatcherMessage, Status>;

/// What goes into a shard.
#[derive(Debug)]
pub(crate) enum ShardInput {
    /// A stream has opened; its messages go to this queue.
    Open(SessionId, Sender<StreamItem>),
    /// A request that is about to be submitted belongs to this trace.
    Traced(RequestId, String),
    /// An event of the core.
    Event(ShardEvent),
}

/// How the rest of the process reaches a shard.
#[derive(Debug, Clone)]
pub(crate) struct ShardHandle {
    pub inputs: Sender<ShardInput>,
    pub status: Arc<Mutex<ShardStatus>>,
    /// What the shard has delivered, for other regions.
    pub totals: Arc<Mutex<Vec<CustomerTotal>>>,
}

impl ShardHandle {
    /// True while routers use the shard.
    pub fn is_used(&self) -> bool {
        self.status.lock().expect("no holder of the status panics").routers > 0
    }

    /// What the shard has delivered so far.
    pub fn totals(&self) -> Vec<CustomerTotal> {
        self.totals.lock().expect("no holder of the totals panics").clone()
    }
}

/// A monotonic clock as moments since the start of the shard.
#[derive(Debug, Clone, Copy)]
struct ShardClock(BootInstant);

impl ShardClock {
    fn now(&self) -> Moment {
        Moment(0) + self.0.elapsed()
    }
}

struct ShardDriver {
    clock: ShardClock,
    core: ShardCore,
    service: ServiceName,
    source: Arc<dyn PolicySource>,
    /// Where what the driver asks for comes back.
    inputs: Sender<ShardInput>,
    options: HostOptions,
    /// The spans of waiting requests that belong to a trace.
    spans: HashMap<RequestId, HopSpan>,
    streams: HashMap<SessionId, Sender<StreamItem>>,
    actions: Vec<ShardAction>,
    status: Arc<Mutex<ShardStatus>>,
    totals: Arc<Mutex<Vec<CustomerTotal>>>,
    tally: ShardTally,
}

/// Starts a shard; it runs until its handle is gone.
pub(crate) fn start_shard(
    service: ServiceName,
    options: HostOptions,
    source: Arc<dyn PolicySource>,
) -> ShardHandle {
    let clock = ShardClock(BootInstant::now());
    let core = ShardCore::new(clock.now(), options.shard.clone());
    let status = Arc::new(Mutex::new(core.status(clock.now())));
    let totals: Arc<Mutex<Vec<CustomerTotal>>> = Arc::default();
    let (inputs, receiver) = unbounded();
    let driver = ShardDriver {
        clock,
        core,
        service: service.clone(),
        source: source.clone(),
        inputs: inputs.clone(),
        options: options.clone(),
        spans: HashMap::new(),
        streams: HashMap::new(),
        actions: Vec::new(),
        status: status.clone(),
        totals: totals.clone(),
        tally: ShardTally::new(service.clone()),
    };
    record(&events::SHARD_STARTED, &[field("service", &service)]);
    let changes = source.listen();
    tokio::spawn(feed_policy(service.clone(), source.clone(), changes, inputs.clone()));
    let handle = ShardHandle { inputs: inputs.clone(), status: status.clone(), totals };
    tokio::spawn(share_totals(service.clone(), options.clone(), handle.clone()));
    tokio::spawn(feed_probes(clock, service, options, source, inputs, status));
    tokio::spawn(driver.run(receiver));
    handle
}

impl ShardDriver {
    async fn run(mut self, inputs: Receiver<ShardInput>) {
        let mut next_tick = BootInstant::now() + TICK;
        loop {
            match timeout(self.wait_before(next_tick), inputs.recv()).await {
                Ok(Ok(input)) => self.take(input),
                Ok(Err(_)) => return,
                Err(_) if BootInstant::now() < next_tick => self.step(ShardEvent::Wake),
                Err(_) => {}
            }
            if BootInstant::now() >= next_tick {
                self.step(ShardEvent::Tick);
                let status = self.core.status(self.clock.now());
                self.tally.tell(&status);
                *self.status.lock().expect("no holder of the status panics") = status;
                *self.totals.lock().expect("no holder of the totals panics") = self.core.totals();
                next_tick = BootInstant::now() + TICK;
            }
        }
    }

    /// How long nothing is due.
    fn wait_before(&self, next_tick: BootInstant) -> Duration {
        let tick = next_tick.saturating_duration_since(BootInstant::now());
        let wake = self.core.next_wake().map(|at| at.since(self.clock.now()) + WAKE_MARGIN);
        wake.map_or(tick, |wake| wake.min(tick))
    }

    fn take(&mut self, input: ShardInput) {
        match input {
            ShardInput::Open(session, stream) => {
                self.streams.insert(session, stream);
            }
            ShardInput::Traced(request, traceparent) => {
                if self.spans.len() < MAX_SPANS {
                    let span = self.options.spans.start("dispatch", Some(&traceparent));
                    self.spans.insert(request, span);
                }
            }
            ShardInput::Event(event) => {
                if let ShardEvent::Cancel(_, request) = &event {
                    self.spans.remove(request);
                }
                let ended = match &event {
                    ShardEvent::Left(session) => Some(*session),
                    _ => None,
                };
                self.step(event);
                if let Some(session) = ended {
                    self.streams.remove(&session);
                }
            }
        }
    }

    fn step(&mut self, event: ShardEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.step(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.end_span(&action);
            self.tally.count(&action);
            if let ShardAction::ProbeEndpoint { endpoint } = &action {
                self.ask(endpoint);
            }
            let Some((session, message)) = action_message(action, self.options.incarnation) else { continue };
            let delivered = self
                .streams
                .get(&session)
                .is_some_and(|stream| stream.len() < STREAM_QUEUE && stream.try_send(Ok(message)).is_ok());
            if !delivered {
                self.streams.remove(&session);
            }
        }
        self.actions = actions;
    }
}

impl ShardDriver {
    /// Asks an endpoint for its load now, if it is one that is asked at all. The shard hears of an answer.
    fn ask(&self, endpoint: &EndpointName) {
        let probed = self.source.probed(&self.service);
        let Some(probed) = probed.into_iter().find(|probed| probed.name == *endpoint) else { return };
        let options = self.options.clone();
        tokio::spawn(probe_endpoint(self.clock, options, probed, self.inputs.clone()));
    }

    /// Ends the span of a request whose wait is over.
    fn end_span(&mut self, action: &ShardAction) {
        match action {
            ShardAction::Grant { request, endpoint, .. } => {
                if let Some(mut span) = self.spans.remove(request) {
                    span.set("endpoint", endpoint);
                }
            }
            ShardAction::Refuse { request, .. } => {
                self.spans.remove(request);
            }
            _ => {}
        }
    }
}

async fn feed_policy(
    service: ServiceName,
    source: Arc<dyn PolicySource>,
    changes: Receiver<()>,
    inputs: Sender<ShardInput>,
) {
    loop {
        // What changed while the last policy was made is in this one.
        while changes.try_recv().is_ok() {}
        let policy = source.policy(&service);
        if inputs.send(ShardInput::Event(ShardEvent::Policy(policy))).await.is_err() {
            return;
        }
        tokio::time::sleep(POLICY_GATHERING).await;
        if changes.recv().await.is_err() {
            return;
        }
    }
}

/// Asks endpoints and the platform while routers use the shard.
async fn feed_probes(
    clock: ShardClock,
    service: ServiceName,
    options: HostOptions,
    source: Arc<dyn PolicySource>,
    inputs: Sender<ShardInput>,
    status: Arc<Mutex<ShardStatus>>,
) {
    let mut followers: HashMap<EndpointName, JoinHandle<()>> = HashMap::new();
    loop {
        let used = status.lock().expect("no holder of the status panics").routers > 0;
        let mut pause = options.probe_interval;
        if used {
            let probed = source.probed(&service);
            pause = pause.max(SHORTEST_PROBE_GAP * u32::try_from(probed.len()).unwrap_or(u32::MAX));
            forget_followers(&mut followers, &probed);
            for endpoint in probed {
                let follow = || {
                    let follower = CacheFollower::new(&options, endpoint.clone(), inputs.clone());
                    tokio::spawn(follower.run(pause))
                };
                followers.entry(endpoint.name.clone()).or_insert_with(follow);
                tokio::spawn(probe_endpoint(clock, options.clone(), endpoint, inputs.clone()));
            }
            if let Some(leaving) = options.list.leaving().await {
                let _ = inputs.send(ShardInput::Event(ShardEvent::Listed(leaving))).await;
            }
        } else {
            forget_followers(&mut followers, &[]);
        }
        tokio::time::sleep(pause).await;
        if inputs.is_closed() {
            return;
        }
    }
}

/// Ends the followers of engines that are not asked any more.
fn forget_followers(followers: &mut HashMap<EndpointName, JoinHandle<()>>, probed: &[ProbedEndpoint]) {
    followers.retain(|name, follower| {
        let stays = probed.iter().any(|other| other.name == *name);
        if !stays {
            follower.abort();
        }
        stays
    });
}

async fn probe_endpoint(
    clock: ShardClock,
    options: HostOptions,
    probed: ProbedEndpoint,
    inputs: Sender<ShardInput>,
) {
    let requested_at = clock.now();
    let endpoint = probed.name.clone();
    let Some(answer) = options.probe.ask(&probed).await else {
        if !options.silence_counts {
            return;
        }
        let _ = inputs.send(ShardInput::Event(ShardEvent::Unreachable(endpoint))).await;
        return;
    };
    if !probed.may_have_said(&answer) {
        record(&events::REPORT_OF_ANOTHER, &[field("endpoint", &endpoint), field("address", probed.address)]);
        return;
    }
    let report = LoadReport {
        endpoint: endpoint.clone(),
        running: answer.running,
        waiting: answer.waiting,
        draining: answer.draining,
        requested_at,
    };
    let _ = inputs.send(ShardInput::Event(ShardEvent::Load(report))).await;
    if !answer.stored.is_empty() || !answer.dropped.is_empty() {
        let news = CacheUpdate {
            endpoint,
            stored: answer.stored,
            dropped: answer.dropped,
            cached_parts: Vec::new(),
            whole: false,
        };
        let _ = inputs.send(ShardInput::Event(ShardEvent::Cache(news))).await;
    }
}
