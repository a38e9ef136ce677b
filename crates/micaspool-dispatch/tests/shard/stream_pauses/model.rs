//! Simulates a shard and engines that prefill prompts chunk by chunk, with one step for all streams between
//! two chunks.

use crate::harness::{customer, endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{
    EngineTraits, GenerationOutline, GrantOutcome, RequestTicket, SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, Moment, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

const SLOTS: u32 = 12;
const MEMORY_TOKENS: u64 = 388_185;
const EVENT_TOKENS: u32 = 7;
const CHUNK_TOKENS: u64 = 2_048;
/// Prefill rate in tokens per millisecond and duration of a step in milliseconds, for an engine of speed one.
const PREFILL_RATE: f64 = 64.2;
const STEP_MILLIS: f64 = 4.23;
/// In each span of this many microseconds, an engine is slow for `SLOW_MICROS`, in which work takes `SLOW_FACTOR`
/// times as long.
const SLOW_SPAN: u64 = 4_000_000;
const SLOW_MICROS: u64 = 600_000;
const SLOW_FACTOR: f64 = 2.5;
/// Usual time of a message from shard to engine or back, in microseconds.
const TRANSIT: Range<u64> = 2_000..12_000;
/// A report of progress follows the one before after this time in microseconds, or after this cost.
const REPORT_MICROS: u64 = 500_000;
const REPORT_COST: u64 = 128;
/// The longest pause that keeps a stream in time.
pub const PAUSE: Duration = Duration::from_millis(400);
const CUSTOMERS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Shared prompt parts of each kind and customer.
const PARTS: u64 = 3;
/// Standard deviation of the logarithm of lengths.
const LENGTH_DEVIATION: f64 = 0.5;
const TICK_MICROS: u64 = 50_000;

/// Requests with the same lengths and objective. These are means.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub events: u64,
    pub objective: Duration,
    /// Requests per second.
    pub rate: f64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(usize),
    /// A granted request reaches its engine.
    Begin(usize, u128),
    /// An engine ends a chunk and a step.
    Turn(usize),
    Report(u128, u64),
    Settle(u128, u64),
    Tick,
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindOutcome {
    pub submitted: u32,
    pub refused: u32,
    pub finished: u32,
    /// Finished requests whose first event came after the objective.
    pub late_first: u32,
    /// Finished requests with a pause that was too long.
    pub late_pause: u32,
    /// Finished requests that were late for neither reason.
    pub in_time: u32,
}

impl KindOutcome {
    /// Adds the outcomes of another run.
    pub fn add(&mut self, other: KindOutcome) {
        self.submitted += other.submitted;
        self.refused += other.refused;
        self.finished += other.finished;
        self.late_first += other.late_first;
        self.late_pause += other.late_pause;
        self.in_time += other.in_time;
    }

    /// The part of the finished requests with a pause that was too long.
    pub fn late_by_pause(&self) -> f64 {
        f64::from(self.late_pause) / f64::from(self.finished.max(1))
    }
}

/// A request that has not been refused and is not complete. Times are in microseconds.
#[derive(Debug)]
struct OpenRequest {
    kind: usize,
    since: u64,
    part: u64,
    prompt_tokens: u64,
    own_tokens: u64,
    events: u64,
    tokens_out: u64,
    events_out: u64,
    last_event_at: u64,
    late_first: bool,
    late_pause: bool,
    reported_at: u64,
    reported_cost: u64,
}

#[derive(Debug)]
struct EngineModel {
    speed: f64,
    /// Requests whose prompts wait, with the tokens still to prefill.
    prompts: VecDeque<(u128, u64)>,
    streams: Vec<u128>,
    cached: BTreeSet<u64>,
    /// Tokens of the chunk in progress, if the engine works.
    turn: Option<u64>,
}

/// A shard and the engines that it grants to. Times are in microseconds from the start.
pub struct EngineFleet {
    harness: ShardHarness,
    kinds: Vec<RequestKind>,
    /// The pause of all tickets.
    pause: Option<Duration>,
    /// Time of a message from shard to engine or back, in microseconds.
    pub transit: Range<u64>,
    engines: Vec<EngineModel>,
    numbers: HashMap<EndpointName, usize>,
    open: HashMap<u128, OpenRequest>,
    due: BTreeMap<(u64, u64), Step>,
    steps: u64,
    requests: u128,
    start: Moment,
    now: u64,
    /// Arrivals and lengths are drawn apart from transit times, so that they are the same with and without pauses.
    arrivals: ChaCha8Rng,
    transits: ChaCha8Rng,
    /// Only requests that arrive from this time on are counted.
    pub counted_from: u64,
    pub outcomes: Vec<KindOutcome>,
    /// The number of grants to each engine.
    pub grants: Vec<u32>,
}

impl EngineFleet {
    /// Engines of these speeds; tickets have the pause.
    pub fn new(speeds: &[f64], kinds: &[RequestKind], pause: Option<Duration>, seed: u64) -> EngineFleet {
        let mut harness = ShardHarness::new(speeds.len(), SLOTS, &CUSTOMERS);
        harness.update_policy(|policy| {
            policy.endpoints.iter_mut().for_each(|spec| spec.memory_tokens = MEMORY_TOKENS);
            policy.planned_pace = PREFILL_RATE;
            policy.idle_credit = Cost(100_000);
            policy.engine = EngineTraits { event_tokens: EVENT_TOKENS, ..EngineTraits::default() };
        });
        harness.join(1, hello("r1", 1));
        let engines = speeds.iter().map(|speed| EngineModel {
            speed: *speed,
            prompts: VecDeque::new(),
            streams: Vec::new(),
            cached: BTreeSet::new(),
            turn: None,
        });
        let mut fleet = EngineFleet {
            start: harness.now,
            harness,
            kinds: kinds.to_vec(),
            pause,
            transit: TRANSIT,
            engines: engines.collect(),
            numbers: (0..speeds.len()).map(|number| (endpoint(number), number)).collect(),
            open: HashMap::new(),
            due: BTreeMap::new(),
            steps: 0,
            requests: 0,
            now: 0,
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            transits: ChaCha8Rng::seed_from_u64(seed),
            counted_from: 0,
            outcomes: vec![KindOutcome::default(); kinds.len()],
            grants: vec![0; speeds.len()],
        };
        fleet.schedule(TICK_MICROS, Step::Tick);
        (0..kinds.len()).for_each(|kind| fleet.schedule_arrival(kind));
        fleet
    }

    /// Sets the number of tokens in one event that the settings state.
    pub fn set_event_tokens(&mut self, event_tokens: u32) {
        self.harness.update_policy(|policy| policy.engine.event_tokens = event_tokens);
    }

    /// Plays until this moment.
    pub fn play(&mut self, until: Duration) {
        let until = until.as_micros() as u64;
        while let Some((&(at, _), _)) = self.due.first_key_value().filter(|((at, _), _)| *at < until) {
            self.wake_until(at);
            let (_, step) = self.due.pop_first().expect("a step is due");
            self.set_time(at);
            self.run_step(step);
            self.take_actions();
        }
    }

    fn schedule(&mut self, at: u64, step: Step) {
        self.steps += 1;
        self.due.insert((at, self.steps), step);
    }

    fn schedule_after_transit(&mut self, step: Step) {
        let at = self.now + self.transits.random_range(self.transit.clone());
        self.schedule(at, step);
    }

    fn set_time(&mut self, now: u64) {
        self.now = now;
        self.harness.now = self.start + Duration::from_micros(now);
    }

    fn wake_until(&mut self, at: u64) {
        while let Some(wake) = self.harness.core.next_wake() {
            let wake = wake.since(self.start).as_micros() as u64;
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
            Step::Arrive(kind) => {
                self.schedule_arrival(kind);
                self.submit(kind);
            }
            Step::Begin(engine, request) => self.begin(engine, request),
            Step::Turn(engine) => self.end_turn(engine),
            Step::Report(request, cost) => {
                self.harness.step(ShardEvent::Progress(SessionId(1), RequestId(request), Cost(cost)))
            }
            Step::Settle(request, cost) => self.harness.settle(1, request, cost, GrantOutcome::Done),
            Step::Tick => {
                self.schedule(self.now + TICK_MICROS, Step::Tick);
                self.harness.step(ShardEvent::Heartbeat(SessionId(1), 1));
                self.harness.step(ShardEvent::Tick);
            }
        }
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let gap = -self.arrivals.random_range(f64::MIN_POSITIVE..1.0).ln() / self.kinds[kind].rate;
        self.schedule(self.now + (gap * 1e6) as u64, Step::Arrive(kind));
    }

    /// A length around this mean: log-normal, as the sum of uniform numbers, with few far above the mean.
    fn vary(&mut self, mean: u64) -> u64 {
        let sum: f64 = (0..6).map(|_| self.arrivals.random_range(-1.0..1.0)).sum();
        let factor = (sum / 2.0_f64.sqrt() * LENGTH_DEVIATION - LENGTH_DEVIATION.powi(2) / 2.0).exp();
        (mean as f64 * factor) as u64 + 1
    }

    fn submit(&mut self, kind: usize) {
        let shape = self.kinds[kind];
        let number = self.arrivals.random_range(0..CUSTOMERS.len());
        let part = (kind as u64 + 1) * 1_000 + number as u64 * PARTS + self.arrivals.random_range(0..PARTS);
        let own_tokens = self.vary(u64::from(shape.own_tokens));
        let events = self.vary(shape.events).max(2);
        let prompt_tokens = u64::from(shape.shared_tokens) + own_tokens;
        self.requests += 1;
        let request = self.requests;
        let open = OpenRequest {
            kind,
            since: self.now,
            part,
            prompt_tokens,
            own_tokens,
            events,
            tokens_out: 0,
            events_out: 0,
            last_event_at: 0,
            late_first: false,
            late_pause: false,
            reported_at: 0,
            reported_cost: 0,
        };
        self.open.insert(request, open);
        self.count(kind, self.now, |outcome| outcome.submitted += 1);
        let ticket = RequestTicket {
            customer: customer(CUSTOMERS[number]),
            prefixes: vec![part],
            prefix_tokens: vec![shape.shared_tokens],
            prompt_tokens: Cost(prompt_tokens),
            objective: Some(shape.objective),
            generation: GenerationOutline { pause: self.pause, ..GenerationOutline::default() },
            ..ticket(request, "a", prompt_tokens)
        };
        self.harness.submit(1, ticket);
    }

    fn count(&mut self, kind: usize, since: u64, change: impl FnOnce(&mut KindOutcome)) {
        if since >= self.counted_from {
            change(&mut self.outcomes[kind]);
        }
    }

    fn take_actions(&mut self) {
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                ShardAction::Grant { request, endpoint, .. } => {
                    let engine = self.numbers[&endpoint];
                    self.grants[engine] += 1;
                    self.schedule_after_transit(Step::Begin(engine, request.0));
                }
                ShardAction::Refuse { request, .. } => {
                    let open = self.open.remove(&request.0).expect("a refused request is open");
                    self.count(open.kind, open.since, |outcome| outcome.refused += 1);
                }
                _ => {}
            }
        }
    }

    fn begin(&mut self, engine: usize, request: u128) {
        let open = &self.open[&request];
        let is_cached = !self.engines[engine].cached.insert(open.part);
        let tokens = if is_cached { open.own_tokens } else { open.prompt_tokens };
        self.engines[engine].prompts.push_back((request, tokens));
        self.begin_turn(engine);
    }

    /// Starts the next chunk and step of an engine that is not working already.
    fn begin_turn(&mut self, engine: usize) {
        let now = self.now;
        let state = &mut self.engines[engine];
        if state.turn.is_some() || (state.prompts.is_empty() && state.streams.is_empty()) {
            return;
        }
        let chunk = state.prompts.front().map_or(0, |(_, tokens)| (*tokens).min(CHUNK_TOKENS));
        let step = if state.streams.is_empty() { 0.0 } else { STEP_MILLIS };
        let millis = (chunk as f64 / PREFILL_RATE + step) / state.speed * slowdown(engine, now);
        state.turn = Some(chunk);
        self.schedule(now + (millis * 1_000.0) as u64 + 1, Step::Turn(engine));
    }

    fn end_turn(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let chunk = state.turn.take().expect("the engine works");
        let streams = state.streams.clone();
        if let Some((request, tokens)) = state.prompts.front_mut() {
            *tokens -= chunk.min(*tokens);
            if *tokens == 0 {
                state.streams.push(*request);
                state.prompts.pop_front();
            }
        }
        streams.into_iter().for_each(|request| self.make_token(engine, request));
        self.begin_turn(engine);
    }

    fn make_token(&mut self, engine: usize, request: u128) {
        let now = self.now;
        let open = self.open.get_mut(&request).expect("a stream is open");
        open.tokens_out += 1;
        if !open.tokens_out.is_multiple_of(u64::from(EVENT_TOKENS)) {
            return;
        }
        open.events_out += 1;
        if open.events_out == 1 {
            open.late_first = now - open.since > self.kinds[open.kind].objective.as_micros() as u64;
        } else {
            open.late_pause |= now - open.last_event_at > PAUSE.as_micros() as u64;
        }
        open.last_event_at = now;
        let cost = open.prompt_tokens + open.tokens_out * 2;
        if open.events_out == open.events {
            self.end_stream(engine, request, cost);
            return;
        }
        let is_due = now - open.reported_at >= REPORT_MICROS || cost - open.reported_cost >= REPORT_COST;
        if open.events_out == 1 || is_due {
            (open.reported_at, open.reported_cost) = (now, cost);
            self.schedule_after_transit(Step::Report(request, cost));
        }
    }

    fn end_stream(&mut self, engine: usize, request: u128, cost: u64) {
        self.engines[engine].streams.retain(|other| *other != request);
        let open = self.open.remove(&request).expect("a stream is open");
        self.count(open.kind, open.since, |outcome| {
            outcome.finished += 1;
            outcome.late_first += u32::from(open.late_first);
            outcome.late_pause += u32::from(open.late_pause);
            outcome.in_time += u32::from(!open.late_first && !open.late_pause);
        });
        self.schedule_after_transit(Step::Settle(request, cost));
    }
}

/// How many times longer an engine takes now: it is slow once in each span, at a time that differs from
/// engine to engine and from span to span.
fn slowdown(engine: usize, now: u64) -> f64 {
    let span = now / SLOW_SPAN;
    let mixed = (span * 31 + engine as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    let from = mixed % (SLOW_SPAN - SLOW_MICROS);
    let at = now % SLOW_SPAN;
    if (from..from + SLOW_MICROS).contains(&at) {
        SLOW_FACTOR
    } else {
        1.0
    }
}
