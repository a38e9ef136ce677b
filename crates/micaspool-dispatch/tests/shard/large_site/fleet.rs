//! Simulates a shard, its routers with their throttles and the engines of a large site.

use super::load::{RequestKind, SitePlan, KINDS, LENGTH, LOSS_AT, PACE_PER_SECOND};
use crate::harness::{customer, endpoint, hello, ticket, ShardHarness};
use crate::scarcity::share::ShareRecord;
use micaspool_dispatch::{
    CacheUpdate, CachedPart, EngineTraits, GenerationOutline, GrantOutcome, QueueFill, RequestThrottle,
    RequestTicket, SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, Moment, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

const SLOTS: u32 = 12;
const MEMORY_TOKENS: u64 = 472_528;
/// The share of the memory that caches parts, in percent; running requests take the rest.
const CACHE_PERCENT: u64 = 70;
/// Time from the end of prefill to the first event.
const LATENCY: Duration = Duration::from_millis(47);
const TOKEN_BYTES: u64 = 163_840;
const LINK_BYTES_PER_SECOND: u64 = 68_750_000_000;
const COPY_START: Duration = Duration::from_micros(3_300);
const PAUSE: Duration = Duration::from_millis(800);
const REFUSED_CONNECT: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(50);
/// The interval at which each engine reports its cache.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The most attempts of a caller.
const ATTEMPTS: u32 = 2;
/// Prefill of a shared part counts as read again if an engine used the part within this time.
const REUSE_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    Retry(CallerAttempt),
    Begin(u128),
    End(u128, GrantOutcome),
    LoseEngine(usize),
    RestoreEngine(usize),
    Report(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct CallerAttempt {
    customer: usize,
    kind: usize,
    part: u64,
    shared_tokens: u32,
    own_tokens: u32,
    attempts: u32,
}

impl CallerAttempt {
    fn tokens(&self) -> u64 {
        u64::from(self.shared_tokens + self.own_tokens)
    }

    fn kind(&self) -> RequestKind {
        KINDS[self.kind]
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    caller: CallerAttempt,
    router: u64,
    since: Duration,
    engine: Option<usize>,
}

#[derive(Debug)]
struct CachedState {
    tokens: u32,
    since: Duration,
    used: Duration,
}

/// The true state of an engine.
#[derive(Debug, Default)]
struct EngineModel {
    is_lost: bool,
    busy_until: Duration,
    sent_by: Duration,
    received_by: Duration,
    parts: BTreeMap<u64, CachedState>,
    cached_tokens: u64,
    stored: Vec<CachedPart>,
    dropped: Vec<u64>,
}

impl EngineModel {
    fn has(&self, part: u64, at: Duration) -> bool {
        !self.is_lost && self.parts.get(&part).is_some_and(|state| state.since <= at)
    }

    fn store(&mut self, part: u64, tokens: u32, at: Duration) {
        if let Some(state) = self.parts.get_mut(&part) {
            state.used = at;
            return;
        }
        self.parts.insert(part, CachedState { tokens, since: at, used: at });
        self.cached_tokens += u64::from(tokens);
        self.stored.push(CachedPart { prefix: part, tokens });
        while self.cached_tokens > MEMORY_TOKENS * CACHE_PERCENT / 100 {
            let oldest = self.parts.iter().min_by_key(|(part, state)| (state.used, **part));
            let oldest = *oldest.expect("the cache is over its limit").0;
            let dropped = self.parts.remove(&oldest).expect("the part is cached");
            self.cached_tokens -= u64::from(dropped.tokens);
            self.dropped.push(oldest);
            self.stored.retain(|part| part.prefix != oldest);
        }
    }
}

/// What a run shows.
#[derive(Debug)]
pub struct SiteOutcome {
    pub shares: ShareRecord,
    pub harness: ShardHarness,
    pub submitted: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused_on_arrival: u32,
    pub refused_after_wait: u32,
    /// Tokens of shared parts that were prefilled though some engine had used them lately.
    pub read_again: u64,
    pub copied: u64,
    /// The time in which engines prefilled.
    prefill: Duration,
    engines: usize,
}

impl SiteOutcome {
    /// Describes the figures that a decision trades against each other.
    pub fn describe(&self) -> String {
        let percent = |part: u32| f64::from(part) * 100.0 / f64::from(self.submitted);
        let engine_use = 100.0 * self.prefill.div_duration_f64(LENGTH) / self.engines as f64;
        let idle = &self.harness.idle_engines;
        let refused = idle.iter().filter(|moment| moment.refused_after.is_some()).count();
        format!(
            "{} submitted, in time {:.1}%, late {:.1}%, refused on arrival {:.1}%, after a wait {:.1}%, use {engine_use:.1}%, \
             read again {:.1} M, copied {:.1} M, beside free engines {refused} refused and {} left waiting",
            self.submitted,
            percent(self.in_time),
            percent(self.late),
            percent(self.refused_on_arrival),
            percent(self.refused_after_wait),
            self.read_again as f64 / 1e6,
            self.copied as f64 / 1e6,
            idle.len() - refused,
        )
    }
}

/// A simulated run of a plan.
pub struct SiteFleet<'a> {
    plan: &'a SitePlan,
    start: Moment,
    now: Duration,
    throttles: Vec<RequestThrottle>,
    engines: Vec<EngineModel>,
    engine_numbers: HashMap<EndpointName, usize>,
    open: HashMap<u128, OpenRequest>,
    due: BTreeMap<(Duration, u64), Step>,
    steps: u64,
    requests: u128,
    last_used: HashMap<u64, Duration>,
    rng: ChaCha8Rng,
    outcome: SiteOutcome,
}

impl<'a> SiteFleet<'a> {
    pub fn new(plan: &'a SitePlan, seed: u64) -> SiteFleet<'a> {
        let names: Vec<String> = (0..plan.customers.len()).map(|number| format!("c{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut harness = ShardHarness::new(plan.engines, SLOTS, &names);
        let capacity = plan.engines as f64 * PACE_PER_SECOND;
        harness.update_policy(|policy| {
            policy.endpoints.iter_mut().for_each(|spec| spec.memory_tokens = MEMORY_TOKENS);
            policy.planned_pace = PACE_PER_SECOND / 1_000.0;
            policy.idle_credit = Cost((capacity / 10.0) as u64);
            policy.engine = EngineTraits {
                event_tokens: 8,
                token_bytes: TOKEN_BYTES,
                link_bytes_per_second: LINK_BYTES_PER_SECOND,
            };
        });
        (1..=plan.routers).for_each(|router| harness.join(router, hello(&format!("r{router}"), 1)));
        let outcome = SiteOutcome {
            shares: ShareRecord::new(plan.customers.len(), LENGTH),
            submitted: 0,
            in_time: 0,
            late: 0,
            refused_on_arrival: 0,
            refused_after_wait: 0,
            read_again: 0,
            copied: 0,
            prefill: Duration::ZERO,
            engines: plan.engines,
            harness,
        };
        let mut fleet = SiteFleet {
            plan,
            start: outcome.harness.now,
            outcome,
            now: Duration::ZERO,
            throttles: vec![RequestThrottle::default(); plan.routers as usize],
            engines: (0..plan.engines).map(|_| EngineModel::default()).collect(),
            engine_numbers: (0..plan.engines).map(|number| (endpoint(number), number)).collect(),
            open: HashMap::new(),
            due: BTreeMap::new(),
            steps: 0,
            requests: 0,
            last_used: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.schedule(TICK, Step::Tick);
        (0..plan.customers.len()).for_each(|customer| fleet.schedule_arrival(customer));
        (0..plan.lost)
            .for_each(|number| fleet.schedule(LOSS_AT + plan.gap * number as u32, Step::LoseEngine(number)));
        for engine in 0..plan.engines {
            let first = REPORT_INTERVAL.mul_f64(engine as f64 / plan.engines as f64);
            fleet.schedule(first, Step::Report(engine));
        }
        fleet
    }

    pub fn play(mut self) -> SiteOutcome {
        while self.now < LENGTH {
            let ((at, _), step) = self.due.pop_first().expect("a tick is always scheduled");
            self.wake_until(at);
            self.set_time(at);
            self.run_step(step);
            self.take_actions();
        }
        self.outcome
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.steps += 1;
        self.due.insert((at, self.steps), step);
    }

    fn set_time(&mut self, now: Duration) {
        self.now = now;
        self.outcome.harness.now = self.start + now;
    }

    /// Handles the shard's own wake-ups that are due before `at`.
    fn wake_until(&mut self, at: Duration) {
        while let Some(wake) = self.outcome.harness.core.next_wake().map(|wake| wake.since(self.start)) {
            if wake >= at {
                return;
            }
            self.set_time(wake.max(self.now));
            self.outcome.harness.step(ShardEvent::Wake);
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
            Step::RestoreEngine(engine) => {
                self.engines[engine] = EngineModel::default();
                self.report_cache(engine, true);
            }
            Step::Report(engine) => {
                self.schedule(self.now + REPORT_INTERVAL, Step::Report(engine));
                if !self.engines[engine].is_lost {
                    self.report_cache(engine, false);
                }
            }
            Step::Tick => {
                self.schedule(self.now + TICK, Step::Tick);
                for router in 1..=self.plan.routers {
                    self.outcome.harness.step(ShardEvent::Heartbeat(SessionId(router), 1));
                }
                self.outcome.harness.step(ShardEvent::Tick);
            }
        }
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let mean = 1.0 / self.plan.customers[customer].rate;
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() * mean;
        self.schedule(self.now + Duration::from_secs_f64(gap), Step::Arrive(customer));
    }

    fn draw_caller(&mut self, customer: usize) -> CallerAttempt {
        let mut rest = self.rng.random_range(0.0..1.0);
        let drawn = KINDS.iter().position(|kind| {
            rest -= kind.part;
            rest < 0.0
        });
        let kind = drawn.unwrap_or(KINDS.len() - 1);
        // A part with a low number is used more often.
        let drawn = self.rng.random_range(0.0..1.0_f64).powf(1.5);
        let number = (drawn * self.plan.customers[customer].parts as f64) as u64;
        let size = 0.5 + (number * 7 % 11) as f64 / 10.0;
        let own = KINDS[kind].own_tokens * -self.rng.random_range(0.01..1.0_f64).ln();
        CallerAttempt {
            customer,
            kind,
            part: (customer * KINDS.len() + kind) as u64 * 1_000 + number,
            shared_tokens: (KINDS[kind].shared_tokens * size) as u32,
            own_tokens: own as u32 + 1,
            attempts: 1,
        }
    }

    fn submit_request(&mut self, caller: CallerAttempt) {
        self.outcome.shares.record_demand(self.now, caller.customer, caller.tokens());
        self.outcome.submitted += 1;
        let router = self.rng.random_range(1..=self.plan.routers);
        let draw = self.rng.random();
        let name = customer(&format!("c{}", caller.customer));
        let now = self.outcome.harness.now;
        if let Err(retry_after) = self.throttles[router as usize - 1].admit(now, &name, draw) {
            self.outcome.refused_on_arrival += 1;
            self.refuse(caller, retry_after);
            return;
        }
        self.requests += 1;
        let number = self.requests;
        self.open.insert(number, OpenRequest { caller, router, since: self.now, engine: None });
        let prompt = RequestTicket {
            prefixes: vec![caller.part, 1_000_000 + number as u64],
            prefix_tokens: vec![caller.shared_tokens, caller.own_tokens],
            prompt_tokens: Cost(caller.tokens()),
            objective: Some(caller.kind().objective),
            generation: GenerationOutline { pause: Some(PAUSE), ..GenerationOutline::default() },
            ..ticket(number, name.as_str(), caller.tokens())
        };
        self.outcome.harness.submit(router, prompt);
    }

    /// A caller is refused and may retry.
    fn refuse(&mut self, caller: CallerAttempt, retry_after: Duration) {
        self.outcome.shares.mark_unserved(self.now, caller.customer);
        if caller.attempts < ATTEMPTS {
            let retry = CallerAttempt { attempts: caller.attempts + 1, ..caller };
            self.schedule(self.now + retry_after, Step::Retry(retry));
        }
    }

    fn take_actions(&mut self) {
        for action in std::mem::take(&mut self.outcome.harness.actions) {
            match action {
                ShardAction::Accepted { request, queue_fill, .. } => {
                    self.note_queue_fill(request.0, queue_fill)
                }
                ShardAction::Grant { request, endpoint, queue_fill, cache_source, .. } => {
                    self.note_queue_fill(request.0, queue_fill);
                    let source = cache_source.map(|name| self.engine_numbers[&name]);
                    self.send(request.0, self.engine_numbers[&endpoint], source);
                }
                ShardAction::Refuse { request, retry_after, queue_fill, waited, .. } => {
                    self.note_queue_fill(request.0, queue_fill);
                    let Some(open) = self.open.remove(&request.0) else { continue };
                    let name = customer(&format!("c{}", open.caller.customer));
                    let now = self.outcome.harness.now;
                    self.throttles[open.router as usize - 1].note_refused(now, &name, retry_after);
                    match waited.is_zero() {
                        true => self.outcome.refused_on_arrival += 1,
                        false => self.outcome.refused_after_wait += 1,
                    }
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

    /// A router sends a granted request to its engine, which copies and prefills its prompt.
    fn send(&mut self, number: u128, engine: usize, source: Option<usize>) {
        let open = self.open.get_mut(&number).expect("granted requests are open");
        open.engine = Some(engine);
        let OpenRequest { caller, router, .. } = *open;
        let name = customer(&format!("c{}", caller.customer));
        self.throttles[router as usize - 1].note_granted(self.outcome.harness.now, &name);
        if self.engines[engine].is_lost {
            self.schedule(self.now + REFUSED_CONNECT, Step::End(number, GrantOutcome::Unreachable));
            return;
        }
        let mut start = self.now.max(self.engines[engine].busy_until);
        let part = caller.part;
        let mut tokens = caller.own_tokens;
        if !self.engines[engine].has(part, start) {
            match source.filter(|source| self.engines[*source].has(part, self.now)) {
                Some(source) => {
                    let end = self.copy_end(engine, source, caller.shared_tokens);
                    start = start.max(end);
                    self.outcome.copied += u64::from(caller.shared_tokens);
                }
                None => {
                    tokens += caller.shared_tokens;
                    self.note_read(caller);
                }
            }
        }
        let prefill = Duration::from_secs_f64(f64::from(tokens) / PACE_PER_SECOND);
        self.outcome.prefill += prefill;
        let model = &mut self.engines[engine];
        model.busy_until = start + prefill;
        let done = model.busy_until;
        model.store(part, caller.shared_tokens, done);
        model.store(1_000_000 + number as u64, caller.own_tokens, done);
        self.last_used.insert(part, done);
        self.schedule(done + LATENCY, Step::Begin(number));
    }

    /// When a copy between two engines has ended.
    fn copy_end(&mut self, engine: usize, source: usize, tokens: u32) -> Duration {
        let bytes = f64::from(tokens) * TOKEN_BYTES as f64;
        let transfer = Duration::from_secs_f64(bytes / LINK_BYTES_PER_SECOND as f64);
        let factor = if source % 3 == engine % 3 { 1 } else { 2 };
        let begin = self.now.max(self.engines[source].sent_by).max(self.engines[engine].received_by);
        let end = begin + (COPY_START + transfer) * factor;
        self.engines[source].sent_by = end;
        self.engines[engine].received_by = end;
        end
    }

    fn note_read(&mut self, caller: CallerAttempt) {
        let used = self.last_used.get(&caller.part);
        if used.is_some_and(|used| self.now.saturating_sub(*used) < REUSE_TIME) {
            self.outcome.read_again += u64::from(caller.shared_tokens);
        }
    }

    fn begin(&mut self, number: u128) {
        let Some(open) = self.open.get(&number).copied() else { return };
        let engine = open.engine.expect("the request was granted");
        if self.engines[engine].is_lost {
            return;
        }
        let tokens = open.caller.tokens();
        self.outcome.shares.record_begun(self.now, open.caller.customer, tokens);
        if self.now - open.since > open.caller.kind().objective {
            self.outcome.late += 1;
            self.outcome.shares.mark_unserved(self.now, open.caller.customer);
        } else {
            self.outcome.in_time += 1;
        }
        let begun = ShardEvent::Progress(SessionId(open.router), RequestId(number), Cost(tokens));
        self.outcome.harness.step(begun);
        let run = open.caller.kind().run.mul_f64(self.rng.random());
        self.schedule(self.now + run, Step::End(number, GrantOutcome::Done));
    }

    fn end(&mut self, number: u128, outcome: GrantOutcome) {
        let Some(open) = self.open.get(&number).copied() else { return };
        let engine = open.engine.expect("the request was granted");
        if outcome == GrantOutcome::Done && self.engines[engine].is_lost {
            return;
        }
        self.open.remove(&number);
        let cost = if outcome == GrantOutcome::Done { open.caller.tokens() } else { 0 };
        self.outcome.harness.settle(open.router, number, cost, outcome);
        if outcome == GrantOutcome::Unreachable {
            self.refuse(open.caller, Duration::from_secs(1));
        }
    }

    fn lose_engine(&mut self, engine: usize) {
        self.engines[engine].is_lost = true;
        self.schedule(self.now + self.plan.absence, Step::RestoreEngine(engine));
        let running = self.open.iter().filter(|(_, open)| open.engine == Some(engine));
        let running: BTreeSet<u128> = running.map(|(number, _)| *number).collect();
        running
            .into_iter()
            .for_each(|number| self.schedule(self.now, Step::End(number, GrantOutcome::Severed)));
    }

    /// An engine reports its cache: all of it, or what has changed.
    fn report_cache(&mut self, number: usize, whole: bool) {
        let now = self.now;
        let engine = &mut self.engines[number];
        let stored = std::mem::take(&mut engine.stored);
        let is_present =
            |part: &CachedPart| engine.parts.get(&part.prefix).is_some_and(|state| state.since <= now);
        let (cached_parts, later) = stored.into_iter().partition(is_present);
        engine.stored = later;
        let dropped = std::mem::take(&mut engine.dropped);
        let update =
            CacheUpdate { endpoint: endpoint(number), stored: Vec::new(), dropped, cached_parts, whole };
        self.outcome.harness.step(ShardEvent::Cache(update));
    }
}
