//! Engines that prefill at a constant rate, while reports of their first events reach the shard late.

use crate::harness::{endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    FirstEventTime, GrantOutcome, RequestTicket, RunStart, SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use test_case::test_case;

const ENGINES: usize = 4;
const ROUTERS: u64 = 6;
const SLOTS: u32 = 64;
const PROMPT_TOKENS: u64 = 3_000;
/// The true rate of an engine, in tokens per millisecond.
const RATE: u64 = 30;
/// Time from the end of prefill to the first event.
const LATENCY: Duration = Duration::from_millis(40);
/// Time from the first event to the end of a run.
const DECODE_TIME: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(20);
/// Tickets that always wait.
const BACKLOG: usize = 24;
const LENGTH: Duration = Duration::from_secs(10);
/// The part of the true rate that is learnt and granted at least, in percent. The shard aims at 90.
const LEAST_PERCENT: u64 = 75;

#[derive(Debug)]
enum Step {
    Tick,
    Submit,
    Report(Box<ShardEvent>),
}

/// Where reports are delayed on their way.
#[derive(Clone, Copy, Debug)]
enum Delay {
    /// At the shard: routers know when the events came.
    AtShard,
    /// At the router, before it sends a granted request.
    BeforeSend,
}

/// What the shard learnt and granted, in percent of what the engines could prefill.
#[derive(Debug)]
struct DelayedOutcome {
    granted_percent: u64,
    /// The rate of the engine that it takes for the slowest.
    learnt_percent: u64,
}

struct DelayedFleet {
    harness: ShardHarness,
    start: Moment,
    due: BTreeMap<(Duration, u64), Step>,
    steps: u64,
    requests: u128,
    now: Duration,
    most: Duration,
    delay: Delay,
    /// When each engine has prefilled what it got.
    busy_until: HashMap<EndpointName, Duration>,
    granted_tokens: u64,
    random: ChaCha8Rng,
}

impl DelayedFleet {
    fn new(delay: Delay, most: Duration) -> DelayedFleet {
        let mut harness = ShardHarness::new(ENGINES, SLOTS, &["a"]);
        harness.update_policy(|policy| {
            policy.endpoints.iter_mut().for_each(|spec| spec.memory_tokens = 1_000_000);
            policy.planned_pace = RATE as f64;
        });
        (1..=ROUTERS).for_each(|router| harness.join(router, hello(&format!("r{router}"), 1)));
        let mut fleet = DelayedFleet {
            start: harness.now,
            harness,
            due: BTreeMap::new(),
            steps: 0,
            requests: 0,
            now: Duration::ZERO,
            most,
            delay,
            busy_until: (0..ENGINES).map(|number| (endpoint(number), Duration::ZERO)).collect(),
            granted_tokens: 0,
            random: ChaCha8Rng::seed_from_u64(11),
        };
        fleet.schedule(Duration::ZERO, Step::Tick);
        (0..BACKLOG).for_each(|_| fleet.schedule(Duration::ZERO, Step::Submit));
        fleet
    }

    /// Plays the day.
    fn play(mut self) -> DelayedOutcome {
        while self.now < LENGTH {
            let ((at, _), step) = self.due.pop_first().expect("a tick is always scheduled");
            self.set_time(at);
            match step {
                Step::Tick => {
                    self.schedule(at + TICK, Step::Tick);
                    (1..=ROUTERS)
                        .for_each(|router| self.harness.step(ShardEvent::Heartbeat(SessionId(router), 1)));
                    self.harness.step(ShardEvent::Tick);
                }
                Step::Submit => self.submit(),
                Step::Report(event) => self.harness.step(*event),
            }
            self.send_granted();
        }
        let possible = ENGINES as u64 * RATE * LENGTH.as_millis() as u64;
        let status = self.harness.core.status(self.harness.now);
        let rates = status.endpoints.iter().filter_map(|engine| engine.prefill.as_ref());
        let slowest = rates.map(|rate| rate.tokens_per_milli).fold(f64::INFINITY, f64::min);
        DelayedOutcome {
            granted_percent: self.granted_tokens * 100 / possible,
            learnt_percent: (slowest * 100.0 / RATE as f64) as u64,
        }
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.steps += 1;
        self.due.insert((at, self.steps), step);
    }

    fn set_time(&mut self, now: Duration) {
        self.now = now;
        self.harness.now = self.start + now;
    }

    fn submit(&mut self) {
        self.requests += 1;
        let prompt = RequestTicket {
            prefixes: vec![self.requests as u64],
            prefix_tokens: vec![PROMPT_TOKENS as u32],
            prompt_tokens: Cost(PROMPT_TOKENS),
            ..ticket(self.requests, "a", PROMPT_TOKENS)
        };
        let router = self.requests as u64 % ROUTERS + 1;
        self.harness.submit(router, prompt);
    }

    fn random_delay(&mut self) -> Duration {
        self.most.mul_f64(self.random.random())
    }

    fn send_granted(&mut self) {
        for action in std::mem::take(&mut self.harness.actions) {
            let ShardAction::Grant { session, request, endpoint, .. } = action else { continue };
            self.granted_tokens += PROMPT_TOKENS;
            self.schedule(self.now, Step::Submit);
            self.run(session, request.0, &endpoint);
        }
    }

    fn run(&mut self, session: SessionId, request: u128, engine: &EndpointName) {
        let (hold, lag) = match self.delay {
            Delay::AtShard => (Duration::ZERO, self.random_delay()),
            Delay::BeforeSend => (self.random_delay(), Duration::ZERO),
        };
        let sent_at = self.now + hold;
        let busy_until = self.busy_until.get_mut(engine).expect("a known engine");
        *busy_until = sent_at.max(*busy_until) + Duration::from_millis(PROMPT_TOKENS / RATE);
        let first_event_at = *busy_until + LATENCY;
        // Each router's clock started at another time.
        let router_clock = Moment(0) + Duration::from_secs(100 * session.0) + first_event_at;
        let first_event = FirstEventTime { router_clock, after: first_event_at - sent_at };
        let start = RunStart { origin: None, first_event: Some(first_event) };
        let began = ShardEvent::Began(session, request_id(request), Cost(PROMPT_TOKENS), start);
        self.schedule(first_event_at + lag, Step::Report(Box::new(began)));
        let ended = ShardEvent::Settle(session, request_id(request), Cost(PROMPT_TOKENS), GrantOutcome::Done);
        self.schedule(first_event_at + DECODE_TIME + lag, Step::Report(Box::new(ended)));
    }
}

#[test_case(Delay::AtShard, 0; "none")]
#[test_case(Delay::AtShard, 400; "at the shard, up to 400 ms")]
#[test_case(Delay::AtShard, 1_500; "at the shard, up to 1,500 ms")]
fn late_reports_are_not_taken_for_slow_engines(delay: Delay, most_millis: u64) {
    let outcome = DelayedFleet::new(delay, Duration::from_millis(most_millis)).play();
    assert!(outcome.granted_percent >= LEAST_PERCENT, "{outcome:?}");
    assert!(outcome.learnt_percent >= LEAST_PERCENT, "{outcome:?}");
}

#[test]
fn late_sends_are_not_taken_for_slow_engines() {
    let outcome = DelayedFleet::new(Delay::BeforeSend, Duration::from_millis(300)).play();
    assert!(outcome.learnt_percent >= LEAST_PERCENT, "{outcome:?}");
}

#[test]
fn engines_are_kept_busy_while_routers_send_late() {
    let outcome = DelayedFleet::new(Delay::BeforeSend, Duration::from_millis(300)).play();
    assert!(outcome.granted_percent >= LEAST_PERCENT, "{outcome:?}");
}
