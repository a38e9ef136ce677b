//! Simulates a shard, its routers with their throttles, and engines of which some are lost.

use super::load::{LoadPlan, LossKind, RetryHabit, LOSS_AT, PACE_PER_SECOND};
use super::share::ShareRecord;
use crate::harness::{customer, endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{
    GrantOutcome, QueueFill, RequestThrottle, RequestTicket, SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, Moment, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

const SLOTS: u32 = 16;
const MEMORY_TOKENS: u64 = 500_000;
/// Time from the end of prefill to the first event.
const LATENCY: Duration = Duration::from_millis(50);
/// The longest time that a request runs after its first event.
const MAX_RUN: Duration = Duration::from_millis(2_000);
/// Time until a refused connection, an unanswered connection and a silent run fail.
const REFUSED_CONNECT: Duration = Duration::from_millis(1);
const SILENT_CONNECT: Duration = Duration::from_millis(500);
const SILENT_RUN: Duration = Duration::from_millis(3_000);
/// How many times longer prefill takes at a slow engine.
const SLOW_FACTOR: f64 = 4.0;
const TICK: Duration = Duration::from_millis(50);
/// The retry delay of callers that retry at once.
const IMMEDIATE_RETRY: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
enum Step {
    /// A caller of this customer sends its first attempt.
    Arrive(usize),
    /// A caller retries.
    Retry(CallerAttempt),
    Begin(u128),
    End(u128, GrantOutcome),
    /// The engine with this number is lost.
    LoseEngine(usize),
    /// It returns, with an empty cache.
    RestoreEngine(usize),
    Tick,
}

/// One attempt of a caller.
#[derive(Clone, Copy, Debug)]
struct CallerAttempt {
    customer: usize,
    part: u64,
    own_tokens: u32,
    attempts: u32,
    /// When its caller sent the first one.
    first_at: Duration,
}

/// A waiting or running request.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    caller: CallerAttempt,
    router: u64,
    since: Duration,
    engine: Option<usize>,
}

/// The true state of an engine.
#[derive(Debug, Default)]
struct EngineModel {
    loss: Option<LossKind>,
    busy_until: Duration,
    cached: BTreeSet<u64>,
}

/// A simulated run of a load plan.
pub struct ScarceFleet<'a> {
    plan: &'a LoadPlan,
    harness: ShardHarness,
    start: Moment,
    now: Duration,
    throttles: Vec<RequestThrottle>,
    engines: Vec<EngineModel>,
    engine_numbers: HashMap<EndpointName, usize>,
    open: HashMap<u128, OpenRequest>,
    due: BTreeMap<(Duration, u64), Step>,
    steps: u64,
    requests: u128,
    rng: ChaCha8Rng,
    record: ShareRecord,
}

impl<'a> ScarceFleet<'a> {
    pub fn new(plan: &'a LoadPlan, seed: u64) -> ScarceFleet<'a> {
        let names: Vec<String> = (0..plan.customers.len()).map(|number| format!("c{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut harness = ShardHarness::new(plan.engines, SLOTS, &names);
        let capacity = plan.engines as f64 * PACE_PER_SECOND;
        harness.update_policy(|policy| {
            policy.endpoints.iter_mut().for_each(|spec| spec.memory_tokens = MEMORY_TOKENS);
            policy.planned_pace = PACE_PER_SECOND / 1_000.0;
            policy.idle_credit = Cost((capacity / 10.0) as u64);
        });
        (1..=plan.routers).for_each(|router| harness.join(router, hello(&format!("r{router}"), 1)));
        let mut fleet = ScarceFleet {
            plan,
            start: harness.now,
            harness,
            now: Duration::ZERO,
            throttles: vec![RequestThrottle::default(); plan.routers as usize],
            engines: (0..plan.engines).map(|_| EngineModel::default()).collect(),
            engine_numbers: (0..plan.engines).map(|number| (endpoint(number), number)).collect(),
            open: HashMap::new(),
            due: BTreeMap::new(),
            steps: 0,
            requests: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            record: ShareRecord::new(plan.customers.len(), plan.length),
        };
        fleet.schedule(TICK, Step::Tick);
        (0..plan.customers.len()).for_each(|customer| fleet.schedule_arrival(customer));
        (0..plan.lost)
            .for_each(|number| fleet.schedule(LOSS_AT + plan.gap * number as u32, Step::LoseEngine(number)));
        fleet
    }

    pub fn play(self) -> ShareRecord {
        self.play_with_harness().0
    }

    /// Plays the run and returns the harness, too.
    pub fn play_with_harness(mut self) -> (ShareRecord, ShardHarness) {
        while self.now < self.plan.length {
            let ((at, _), step) = self.due.pop_first().expect("a tick is always scheduled");
            self.wake_until(at);
            self.set_time(at);
            self.run_step(step);
            self.take_actions();
        }
        (self.record, self.harness)
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.steps += 1;
        self.due.insert((at, self.steps), step);
    }

    fn set_time(&mut self, now: Duration) {
        self.now = now;
        self.harness.now = self.start + now;
    }

    /// Handles the shard's own wake-ups that are due before `at`.
    fn wake_until(&mut self, at: Duration) {
        while let Some(wake) = self.harness.core.next_wake().map(|wake| wake.since(self.start)) {
            if wake >= at {
                return;
            }
            self.set_time(wake.max(self.now));
            self.harness.step(ShardEvent::Wake);
            self.take_actions();
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Arrive(customer) => {
                self.schedule_arrival(customer);
                let caller = self.draw_caller(customer);
                self.submit_request(caller);
            }
            Step::Retry(caller) => self.submit_request(caller),
            Step::Begin(number) => self.begin(number),
            Step::End(number, outcome) => self.end(number, outcome),
            Step::LoseEngine(engine) => self.lose_engine(engine),
            Step::RestoreEngine(engine) => self.engines[engine] = EngineModel::default(),
            Step::Tick => {
                self.schedule(self.now + TICK, Step::Tick);
                (1..=self.plan.routers)
                    .for_each(|router| self.harness.step(ShardEvent::Heartbeat(SessionId(router), 1)));
                self.harness.step(ShardEvent::Tick);
            }
        }
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let mean = 1.0 / self.plan.customers[customer].rate;
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() * mean;
        self.schedule(self.now + Duration::from_secs_f64(gap), Step::Arrive(customer));
    }

    fn draw_caller(&mut self, customer: usize) -> CallerAttempt {
        let load = &self.plan.customers[customer];
        let own = f64::from(load.own_tokens) * -self.rng.random_range(0.01..1.0_f64).ln();
        CallerAttempt {
            customer,
            part: customer as u64 * 100 + self.rng.random_range(0..load.parts),
            own_tokens: own as u32 + 1,
            attempts: 1,
            first_at: self.now,
        }
    }

    fn submit_request(&mut self, caller: CallerAttempt) {
        let load = self.plan.customers[caller.customer];
        let tokens = load.part_tokens + caller.own_tokens;
        self.record.record_demand(self.now, caller.customer, u64::from(tokens));
        let draw = self.rng.random_range(1..=load.routers.count);
        let router = (load.routers.first + draw - 1) % self.plan.routers + 1;
        let draw = self.rng.random();
        let name = customer(&format!("c{}", caller.customer));
        let throttle = &mut self.throttles[router as usize - 1];
        if let Err(retry_after) = throttle.admit(self.harness.now, &name, draw) {
            self.refuse(caller, retry_after);
            return;
        }
        self.requests += 1;
        let number = self.requests;
        self.open.insert(number, OpenRequest { caller, router, since: self.now, engine: None });
        let prompt = RequestTicket {
            prefixes: vec![caller.part, 1_000_000 + number as u64],
            prefix_tokens: vec![load.part_tokens, caller.own_tokens],
            prompt_tokens: Cost(u64::from(tokens)),
            objective: Some(load.objective),
            patience: self.plan.patience.map(|patience| patience.saturating_sub(self.now - caller.first_at)),
            ..ticket(number, name.as_str(), u64::from(tokens))
        };
        self.harness.submit(router, prompt);
    }

    /// A caller is refused and may retry.
    fn refuse(&mut self, caller: CallerAttempt, retry_after: Duration) {
        self.record.mark_unserved(self.now, caller.customer);
        self.record.record_retry_delay(self.now, retry_after);
        if caller.attempts >= self.plan.attempts {
            return;
        }
        let wait = match self.plan.habit {
            RetryHabit::Immediate => IMMEDIATE_RETRY,
            RetryHabit::AsStated => retry_after,
        };
        self.schedule(
            self.now + wait,
            Step::Retry(CallerAttempt { attempts: caller.attempts + 1, ..caller }),
        );
    }

    fn take_actions(&mut self) {
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                ShardAction::Accepted { request, queue_fill, .. } => {
                    self.note_queue_fill(request.0, queue_fill)
                }
                ShardAction::Grant { request, endpoint, queue_fill, .. } => {
                    self.note_queue_fill(request.0, queue_fill);
                    self.send(request.0, &endpoint);
                }
                ShardAction::Refuse { request, retry_after, queue_fill, .. } => {
                    self.note_queue_fill(request.0, queue_fill);
                    let Some(open) = self.open.remove(&request.0) else { continue };
                    let name = customer(&format!("c{}", open.caller.customer));
                    let now = self.harness.now;
                    self.throttles[open.router as usize - 1].note_refused(now, &name, retry_after);
                    self.refuse(open.caller, retry_after);
                }
                _ => {}
            }
        }
    }

    /// A router hears how full the customer's queue was when its request arrived.
    fn note_queue_fill(&mut self, number: u128, fill: Option<QueueFill>) {
        let (Some(open), Some(fill)) = (self.open.get(&number), fill) else { return };
        let name = customer(&format!("c{}", open.caller.customer));
        let sent_at = self.start + open.since;
        self.throttles[open.router as usize - 1].note_queue_fill(sent_at, &name, fill);
    }

    /// A router sends a granted request to its engine.
    fn send(&mut self, number: u128, endpoint: &EndpointName) {
        let engine = self.engine_numbers[endpoint];
        let open = self.open.get_mut(&number).expect("granted requests are open");
        open.engine = Some(engine);
        let OpenRequest { caller, router, .. } = *open;
        let name = customer(&format!("c{}", caller.customer));
        self.throttles[router as usize - 1].note_granted(self.harness.now, &name);
        let model = &mut self.engines[engine];
        let slowness = match model.loss {
            Some(LossKind::Gone) => {
                self.schedule(self.now + REFUSED_CONNECT, Step::End(number, GrantOutcome::Unreachable));
                return;
            }
            Some(LossKind::Silent) => {
                self.schedule(self.now + SILENT_CONNECT, Step::End(number, GrantOutcome::Unreachable));
                return;
            }
            Some(LossKind::Slow) => SLOW_FACTOR,
            None => 1.0,
        };
        let load = &self.plan.customers[caller.customer];
        let is_new = model.cached.insert(caller.part);
        let tokens = caller.own_tokens + if is_new { load.part_tokens } else { 0 };
        let prefill_time = Duration::from_secs_f64(f64::from(tokens) / PACE_PER_SECOND * slowness);
        model.busy_until = self.now.max(model.busy_until) + prefill_time;
        let begins = model.busy_until + LATENCY;
        self.schedule(begins, Step::Begin(number));
    }

    fn begin(&mut self, number: u128) {
        let Some(open) = self.open.get(&number).copied() else { return };
        let engine = open.engine.expect("the request was granted");
        if matches!(self.engines[engine].loss, Some(LossKind::Gone | LossKind::Silent)) {
            return;
        }
        let load = self.plan.customers[open.caller.customer];
        let tokens = u64::from(load.part_tokens + open.caller.own_tokens);
        self.record.record_begun(self.now, open.caller.customer, tokens);
        if self.now - open.since > load.objective {
            self.record.mark_unserved(self.now, open.caller.customer);
        }
        let begun = ShardEvent::Progress(SessionId(open.router), RequestId(number), Cost(tokens));
        self.harness.step(begun);
        let run = MAX_RUN.mul_f64(self.rng.random());
        self.schedule(self.now + run, Step::End(number, GrantOutcome::Done));
    }

    fn end(&mut self, number: u128, outcome: GrantOutcome) {
        let Some(open) = self.open.get(&number).copied() else { return };
        let engine = open.engine.expect("the request was granted");
        let is_lost = matches!(self.engines[engine].loss, Some(LossKind::Gone | LossKind::Silent));
        if outcome == GrantOutcome::Done && is_lost {
            return;
        }
        self.open.remove(&number);
        let load = &self.plan.customers[open.caller.customer];
        let cost = match outcome {
            GrantOutcome::Done => u64::from(load.part_tokens + open.caller.own_tokens),
            _ => 0,
        };
        self.harness.settle(open.router, number, cost, outcome);
        if outcome == GrantOutcome::Unreachable {
            self.refuse(open.caller, Duration::from_secs(1));
        }
    }

    fn lose_engine(&mut self, engine: usize) {
        self.engines[engine].loss = Some(self.plan.loss);
        if let Some(absence) = self.plan.absence {
            self.schedule(self.now + absence, Step::RestoreEngine(engine));
        }
        let (outcome, after) = match self.plan.loss {
            LossKind::Gone => (GrantOutcome::Severed, Duration::ZERO),
            LossKind::Silent => (GrantOutcome::Broken, SILENT_RUN),
            LossKind::Slow => return,
        };
        let running = self.open.iter().filter(|(_, open)| open.engine == Some(engine));
        let running: BTreeSet<u128> = running.map(|(number, _)| *number).collect();
        running.into_iter().for_each(|number| self.schedule(self.now + after, Step::End(number, outcome)));
    }
}
