//! Runs one shard core: passes it messages, timers, settings and load reports, and sends its messages to routers.

use crate::cache_follower::CacheFollower;
use crate::host::HostOptions;
use crate::inputs::{ArrivedInput, InputSender, ShardClock};
use crate::policy_source::PolicySource;
use crate::probe::ProbedEndpoint;
use crate::probe_selection::{ProbeSelection, UsedEngines};
use crate::sharing::share_totals;
use crate::sole_versions::SoleVersions;
use crate::tally::ShardTally;
use async_std::channel::{bounded, Receiver, Sender};
use micaspool_clock::{BootInstant, DutyCycle};
use micaspool_dispatch::{
    CacheUpdate, CustomerTotal, IntakeItem, LoadReport, SessionId, ShardAction, ShardCore, ShardEvent,
    ShardIntake, ShardStatus,
};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::spans::HopSpan;
use micaspool_types::{EndpointName, RequestId, ServiceName};
use micaspool_wire::convert::action_message;
use micaspool_wire::v1::DispatcherMessage;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::timeout;
use tonic::Status;

/// The interval of [`ShardEvent::Tick`].
const TICK: Duration = Duration::from_millis(50);
/// The same interval while no router uses the shard.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// The pace of status updates, which look at every endpoint and customer.
const STATUS_CYCLE: DutyCycle =
    DutyCycle { percent: 2, min_pause: Duration::ZERO, max_pause: Duration::from_secs(1) };
/// The pace of policies. Changes of the plan and endpoints in between are combined, since a policy contains every
/// endpoint and customer.
const POLICY_CYCLE: DutyCycle =
    DutyCycle { percent: 4, min_pause: Duration::from_millis(50), max_pause: Duration::from_secs(1) };
/// Added to wake-ups, since timers sometimes fire slightly early and would have to be set a second time.
const WAKE_MARGIN: Duration = Duration::from_micros(200);
/// The minimum probe interval per probed endpoint, which limits probes to 100 a second. Each takes this process
/// about 100 us, and endpoints count it as a health check.
const MIN_PROBE_SPACING: Duration = Duration::from_millis(10);
/// The maximum number of queued messages for one router. The stream of a slower router is closed.
const MAX_STREAM_QUEUE: usize = 65_536;
/// The maximum number of open spans of waiting requests; requests beyond it have none.
const MAX_SPANS: usize = 10_000;
/// The maximum number of inputs handled in a row. Then other tasks of the process run, which read from routers, write to
/// them and answer other processes.
const STEPS_PER_TURN: usize = 16;

/// An item of the response stream to a router.
pub(crate) type StreamItem = Result<DispatcherMessage, Status>;

/// An input of a shard.
#[derive(Debug)]
pub(crate) enum ShardInput {
    /// A session has opened; messages to its router go to this queue.
    Open(SessionId, Sender<StreamItem>),
    /// The `traceparent` of a request that is about to be submitted.
    Traced(RequestId, String),
    /// An event for the core.
    Event(Box<ShardEvent>),
}

/// Gives other tasks access to a shard.
#[derive(Debug, Clone)]
pub(crate) struct ShardHandle {
    pub inputs: InputSender,
    pub status: Arc<Mutex<ShardStatus>>,
    /// What the shard has delivered to each customer, for other regions.
    pub totals: Arc<Mutex<Vec<CustomerTotal>>>,
}

impl ShardHandle {
    /// True while routers use the shard.
    pub fn is_used(&self) -> bool {
        self.status.lock().expect("the lock of the status is not poisoned").routers > 0
    }

    /// Returns what the shard has delivered to each customer so far.
    pub fn totals(&self) -> Vec<CustomerTotal> {
        self.totals.lock().expect("the lock of the totals is not poisoned").clone()
    }
}

struct ShardDriver {
    clock: ShardClock,
    core: ShardCore,
    /// The inputs that wait to be handled.
    intake: ShardIntake,
    service: ServiceName,
    source: Arc<dyn PolicySource>,
    sole_versions: SoleVersions,
    /// The sender of the shard's own inputs, for the results of probes.
    inputs: InputSender,
    options: HostOptions,
    /// The spans of waiting requests that have a trace.
    spans: HashMap<RequestId, HopSpan>,
    streams: HashMap<SessionId, Sender<StreamItem>>,
    actions: Vec<ShardAction>,
    status: Arc<Mutex<ShardStatus>>,
    totals: Arc<Mutex<Vec<CustomerTotal>>>,
    tally: ShardTally,
    next_tick: BootInstant,
    status_due: BootInstant,
    /// Receives a message when a session opens.
    opened: Sender<()>,
    /// Receives a message when the status shows the first router.
    in_use: Sender<()>,
}

/// Starts a shard and the tasks that feed it with policies, load reports and totals of other regions.
pub(crate) fn start_shard(
    service: ServiceName,
    options: HostOptions,
    source: Arc<dyn PolicySource>,
) -> ShardHandle {
    let clock = ShardClock::start();
    let core = ShardCore::new(clock.now(), options.shard.clone());
    let status = Arc::new(Mutex::new(core.status(clock.now())));
    let totals: Arc<Mutex<Vec<CustomerTotal>>> = Arc::default();
    let (inputs, receiver) = InputSender::new(clock);
    let (opened, opened_receiver) = bounded(1);
    let (in_use, in_use_receiver) = bounded(1);
    let driver = ShardDriver {
        clock,
        core,
        intake: ShardIntake::default(),
        service: service.clone(),
        source: source.clone(),
        sole_versions: SoleVersions::new(source.clone(), service.clone()),
        inputs: inputs.clone(),
        options: options.clone(),
        spans: HashMap::new(),
        streams: HashMap::new(),
        actions: Vec::new(),
        status: status.clone(),
        totals: totals.clone(),
        tally: ShardTally::new(service.clone()),
        next_tick: BootInstant::now() + TICK,
        status_due: BootInstant::now(),
        opened,
        in_use,
    };
    record(&events::SHARD_STARTED, &[field("service", &service)]);
    let feed = PolicyFeed {
        service: service.clone(),
        source: source.clone(),
        changes: source.subscribe(),
        opened: opened_receiver,
        inputs: inputs.clone(),
        status: status.clone(),
    };
    tokio::spawn(feed.run());
    let handle = ShardHandle { inputs: inputs.clone(), status: status.clone(), totals };
    tokio::spawn(share_totals(service.clone(), options.clone(), handle.clone()));
    let poll = EndpointPoll {
        clock,
        service,
        changes: source.subscribe(),
        source,
        inputs,
        status,
        in_use: in_use_receiver,
        followers: HashMap::new(),
        used_engines: UsedEngines::default(),
        pause: options.probe_interval,
        options,
    };
    tokio::spawn(poll.run());
    tokio::spawn(driver.run(receiver));
    handle
}

impl ShardDriver {
    async fn run(mut self, inputs: Receiver<ArrivedInput>) {
        loop {
            self.admit_arrived(&inputs);
            if self.intake.is_empty() && !self.wait(&inputs).await {
                return;
            }
            self.handle_turn(&inputs);
            if BootInstant::now() >= self.next_tick {
                self.tick();
            }
            if !self.intake.is_empty() {
                yield_now().await;
            }
        }
    }

    /// Waits until an input arrives or something is due. Returns false once there are no more inputs.
    async fn wait(&mut self, inputs: &Receiver<ArrivedInput>) -> bool {
        match timeout(self.time_until_due(), inputs.recv()).await {
            Ok(Ok(arrived)) => self.admit(arrived),
            Ok(Err(_)) => return false,
            Err(_) if BootInstant::now() < self.next_tick => self.step(ShardEvent::Wake),
            Err(_) => {}
        }
        true
    }

    /// Handles what waits, up to [`STEPS_PER_TURN`] inputs.
    fn handle_turn(&mut self, inputs: &Receiver<ArrivedInput>) {
        for _ in 0..STEPS_PER_TURN {
            self.admit_arrived(inputs);
            let Some(item) = self.intake.take(self.clock.now()) else { return };
            self.handle(item);
        }
    }

    /// Orders everything that has arrived.
    fn admit_arrived(&mut self, inputs: &Receiver<ArrivedInput>) {
        while let Ok(arrived) = inputs.try_recv() {
            self.admit(arrived);
        }
    }

    fn tick(&mut self) {
        self.step(ShardEvent::Tick);
        let now = BootInstant::now();
        if now >= self.status_due {
            self.update_status();
            self.status_due = BootInstant::now() + STATUS_CYCLE.pause_after(now.elapsed());
        }
        let interval = if self.streams.is_empty() { IDLE_TICK } else { TICK };
        self.next_tick = BootInstant::now() + interval;
    }

    fn update_status(&mut self) {
        let now = self.clock.now();
        let status = ShardStatus { intake: self.intake.take_status(now), ..self.core.status(now) };
        self.tally.report(&status);
        let is_used = status.routers > 0;
        let before = std::mem::replace(
            &mut *self.status.lock().expect("the lock of the status is not poisoned"),
            status,
        );
        if is_used && before.routers == 0 {
            // A message that is still unread serves as well.
            let _ = self.in_use.try_send(());
        }
        *self.totals.lock().expect("the lock of the totals is not poisoned") = self.core.totals();
    }

    /// Returns the time until the next tick or the core's next wake-up, whichever is first.
    fn time_until_due(&self) -> Duration {
        let tick = self.next_tick.saturating_duration_since(BootInstant::now());
        let wake = self.core.next_wake().map(|at| at.since(self.clock.now()) + WAKE_MARGIN);
        wake.map_or(tick, |wake| wake.min(tick))
    }

    /// Passes an event to the intake and applies other inputs.
    fn admit(&mut self, arrived: ArrivedInput) {
        match arrived.input {
            ShardInput::Open(session, stream) => {
                self.streams.insert(session, stream);
                self.next_tick = self.next_tick.min(BootInstant::now() + TICK);
                self.status_due = self.next_tick;
                // A message that is still unread serves as well.
                let _ = self.opened.try_send(());
            }
            ShardInput::Traced(request, traceparent) => {
                if self.spans.len() < MAX_SPANS {
                    let span = self.options.spans.start("dispatch", Some(&traceparent));
                    self.spans.insert(request, span);
                }
            }
            ShardInput::Event(event) => {
                if let ShardEvent::Cancel(_, request) = &*event {
                    self.spans.remove(request);
                }
                self.intake.push(self.clock.now(), arrived.arrived_at, event);
            }
        }
    }

    fn handle(&mut self, item: IntakeItem) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.clock.now();
        let mut closed_session = None;
        match item {
            IntakeItem::Event(arrived_at, event) => {
                let mut event = *event;
                match &mut event {
                    ShardEvent::Left(session) => closed_session = Some(*session),
                    ShardEvent::Submit(_, ticket) => self.sole_versions.resolve(&mut ticket.versions),
                    _ => {}
                }
                self.core.step_arrived(now, arrived_at, event, &mut actions);
            }
            IntakeItem::Refusal(unread) => self.core.refuse_unread(now, unread, &mut actions),
        }
        self.carry_out(actions);
        if let Some(session) = closed_session {
            self.streams.remove(&session);
        }
    }

    /// Passes an event to the core and carries out the resulting actions.
    fn step(&mut self, event: ShardEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.step(self.clock.now(), event, &mut actions);
        self.carry_out(actions);
    }

    /// Carries out actions, and keeps their buffer. The stream of a router that cannot keep up is closed.
    fn carry_out(&mut self, mut actions: Vec<ShardAction>) {
        for action in actions.drain(..) {
            self.end_span(&action);
            self.tally.count(&action);
            if let ShardAction::ProbeEndpoint { endpoint } = &action {
                self.probe(endpoint);
            }
            let Some((session, message)) = action_message(action, self.options.incarnation) else { continue };
            let delivered = self.streams.get(&session).is_some_and(|stream| {
                stream.len() < MAX_STREAM_QUEUE && stream.try_send(Ok(message)).is_ok()
            });
            if !delivered {
                self.streams.remove(&session);
            }
        }
        self.actions = actions;
    }
}

impl ShardDriver {
    /// Starts a probe of an endpoint if it is among the probed ones. The result becomes an input of the shard.
    fn probe(&self, endpoint: &EndpointName) {
        let selection = ProbeSelection::Only([endpoint.clone()].into());
        let Some(probed) = self.source.probed_endpoints(&self.service, &selection).pop() else { return };
        let options = self.options.clone();
        tokio::spawn(probe_endpoint(self.clock, options, probed, self.inputs.clone()));
    }

    /// Ends the span of a request that was granted or refused.
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

/// Sends a shard its policy.
struct PolicyFeed {
    service: ServiceName,
    source: Arc<dyn PolicySource>,
    /// Receives a message after each change of the policy.
    changes: Receiver<()>,
    /// Receives a message when a session opens.
    opened: Receiver<()>,
    inputs: InputSender,
    status: Arc<Mutex<ShardStatus>>,
}

impl PolicyFeed {
    /// Sends the current policy, and again after each change. Changes while no router uses the shard are combined until
    /// one does: each gateway has a shard that it uses only while it reaches no other.
    async fn run(self) {
        loop {
            // The policy made next includes all changes notified so far.
            while self.changes.try_recv().is_ok() {}
            let started = BootInstant::now();
            let policy = self.source.policy(&self.service);
            let took = started.elapsed();
            if self.inputs.send(ShardInput::Event(Box::new(ShardEvent::Policy(policy)))).await.is_err() {
                return;
            }
            tokio::time::sleep(POLICY_CYCLE.pause_after(took)).await;
            if self.changes.recv().await.is_err() || !self.wait_for_use().await {
                return;
            }
        }
    }

    /// Waits until a router uses the shard. Returns false once the shard has ended.
    async fn wait_for_use(&self) -> bool {
        let is_used = || self.status.lock().expect("the lock of the status is not poisoned").routers > 0;
        is_used() || self.opened.recv().await.is_ok()
    }
}

/// Probes the selected endpoints and reads the platform's list at intervals, and runs a cache follower for each of them,
/// while routers use the shard.
struct EndpointPoll {
    clock: ShardClock,
    service: ServiceName,
    options: HostOptions,
    source: Arc<dyn PolicySource>,
    inputs: InputSender,
    status: Arc<Mutex<ShardStatus>>,
    /// Receives a message when the first router joins.
    in_use: Receiver<()>,
    /// Receives a message after each change of the endpoints.
    changes: Receiver<()>,
    followers: HashMap<EndpointName, JoinHandle<()>>,
    used_engines: UsedEngines,
    /// The pause after the latest round.
    pause: Duration,
}

impl EndpointPoll {
    async fn run(mut self) {
        while !self.inputs.is_closed() {
            // The round includes all changes notified so far.
            while self.changes.try_recv().is_ok() {}
            match self.selection() {
                Some(selection) => {
                    self.probe_selected(&selection).await;
                    self.follow_new_until(BootInstant::now() + self.pause).await;
                }
                None => {
                    stop_followers(&mut self.followers, &[]);
                    let _ = timeout(self.options.probe_interval, self.in_use.recv()).await;
                }
            }
        }
    }

    /// Returns the endpoints to probe; `None` while no router uses the shard.
    fn selection(&mut self) -> Option<ProbeSelection> {
        let status = self.status.lock().expect("the lock of the status is not poisoned");
        (status.routers > 0).then(|| self.used_engines.select(BootInstant::now(), &status.endpoints))
    }

    async fn probe_selected(&mut self, selection: &ProbeSelection) {
        let probed = self.source.probed_endpoints(&self.service, selection);
        let spaced = MIN_PROBE_SPACING * u32::try_from(probed.len()).unwrap_or(u32::MAX);
        self.pause = self.options.probe_interval.max(spaced);
        stop_followers(&mut self.followers, &probed);
        for endpoint in probed {
            self.follow(&endpoint);
            tokio::spawn(probe_endpoint(self.clock, self.options.clone(), endpoint, self.inputs.clone()));
        }
        if let Some(leaving) = self.options.list.leaving().await {
            let _ = self.inputs.send(ShardInput::Event(Box::new(ShardEvent::Listed(leaving)))).await;
        }
    }

    /// Starts the cache followers of endpoints that register before the next round. After a return of the fleet the
    /// first round finds only some of them, and prompts would be sent without regard to the caches of the others.
    async fn follow_new_until(&mut self, end: BootInstant) {
        let rest = || end.saturating_duration_since(BootInstant::now());
        while !rest().is_zero() && matches!(timeout(rest(), self.changes.recv()).await, Ok(Ok(()))) {
            let started = BootInstant::now();
            // Of many engines only those in use are asked, and a new one is not in use yet.
            let Some(ProbeSelection::All) = self.selection() else { break };
            for endpoint in self.source.probed_endpoints(&self.service, &ProbeSelection::All) {
                self.follow(&endpoint);
            }
            tokio::time::sleep(POLICY_CYCLE.pause_after(started.elapsed()).min(rest())).await;
        }
        tokio::time::sleep(rest()).await;
    }

    /// Starts a cache follower for an endpoint that has none.
    fn follow(&mut self, endpoint: &ProbedEndpoint) {
        if !self.followers.contains_key(&endpoint.name) {
            let follower = CacheFollower::new(&self.options, endpoint.clone(), self.inputs.clone());
            self.followers.insert(endpoint.name.clone(), tokio::spawn(follower.run(self.pause)));
        }
    }
}

/// Stops the cache followers of endpoints that are no longer probed.
fn stop_followers(followers: &mut HashMap<EndpointName, JoinHandle<()>>, probed: &[ProbedEndpoint]) {
    followers.retain(|name, follower| {
        let is_probed = probed.iter().any(|other| other.name == *name);
        if !is_probed {
            follower.abort();
        }
        is_probed
    });
}

/// Probes one endpoint and sends the shard its load report. A report of another incarnation at the same address is
/// discarded.
async fn probe_endpoint(
    clock: ShardClock,
    options: HostOptions,
    probed: ProbedEndpoint,
    inputs: InputSender,
) {
    let requested_at = clock.now();
    let endpoint = probed.name.clone();
    let Some(answer) = options.probe.load(&probed).await else {
        if !options.reports_unreachable {
            return;
        }
        let _ = inputs.send(ShardInput::Event(Box::new(ShardEvent::Unreachable(endpoint)))).await;
        return;
    };
    if !probed.matches_incarnation(&answer) {
        record(&events::REPORT_MISMATCH, &[field("endpoint", &endpoint), field("address", probed.address)]);
        return;
    }
    let report = LoadReport {
        endpoint: endpoint.clone(),
        running: answer.running,
        waiting: answer.waiting,
        draining: answer.draining,
        requested_at,
    };
    let _ = inputs.send(ShardInput::Event(Box::new(ShardEvent::Load(report)))).await;
    if !answer.stored.is_empty() || !answer.dropped.is_empty() {
        let update = CacheUpdate {
            endpoint,
            stored: answer.stored,
            dropped: answer.dropped,
            cached_parts: Vec::new(),
            whole: false,
        };
        let _ = inputs.send(ShardInput::Event(Box::new(ShardEvent::Cache(update)))).await;
    }
}
