//! A shard whose handling of each event takes time.

use crate::fixtures::{customer, hello, policy, ticket};
use micaspool_dispatch::{
    GrantOutcome, IntakeItem, QueueFill, RequestThrottle, RequestTicket, RunStart, SessionId, ShardAction,
    ShardCore, ShardEvent, ShardIntake, ShardOptions,
};
use micaspool_types::{Cost, Moment, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

pub const ROUTERS: u64 = 8;
pub const SMALL_CUSTOMERS: usize = 10;
/// The requests that each small customer sends in a second.
pub const SMALL_RATE: f64 = 20.0;
/// The requests that the shard can handle in a second, from submission to settlement, while it is never stalled.
pub const CAPACITY: f64 = 1_000.0;
pub const OBJECTIVE: Duration = Duration::from_secs(1);
pub const LENGTH: Duration = Duration::from_secs(20);
pub const FLOODER: &str = "flooder";
/// The part of its objective after which a submission that was not handled is refused.
const UNREAD_LIMIT: Duration = Duration::from_millis(250);
/// How late an event other than a submission may be, and an answer beyond its limit.
const TOLERANCE: Duration = Duration::from_millis(10);
/// The time after which lines are as long as the shard has learnt.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// The time within which a submission is accepted, granted or refused.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// How long a send takes to fail.
const FAILED_SEND_TIME: Duration = Duration::from_millis(20);
const SUBMIT_TIME: Duration = Duration::from_micros(600);
const BEGAN_TIME: Duration = Duration::from_micros(100);
const PROGRESS_TIME: Duration = Duration::from_micros(60);
const SETTLE_TIME: Duration = Duration::from_micros(180);
const REFUSAL_TIME: Duration = Duration::from_micros(15);
const OTHER_TIME: Duration = Duration::from_micros(20);
const TICK: Duration = Duration::from_millis(50);
const HEARTBEAT: Duration = Duration::from_millis(500);
/// The number of answers under way exceeds what the shard can grant, so that its own time is all that is scarce.
const ENDPOINTS: usize = 20;
const SLOTS: u32 = 64;

/// The processor time that the shard gets.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// The time without processor time in each period.
    pub stall: Duration,
    pub period: Duration,
}

impl Share {
    pub const WHOLE: Share = Share { stall: Duration::ZERO, period: Duration::from_millis(300) };
    pub const THIRDS: Share = Share { stall: Duration::from_millis(100), period: Duration::from_millis(300) };

    /// The requests that the shard can handle in a second.
    pub fn capacity(self) -> f64 {
        CAPACITY * (1.0 - self.stall.as_secs_f64() / self.period.as_secs_f64())
    }

    /// The next moment with processor time.
    fn resume(self, now: Duration) -> Duration {
        let periods = now.as_micros() / self.period.as_micros();
        let start = self.period * u32::try_from(periods).expect("a short test");
        now.max(start + self.stall)
    }
}

/// What the callers of a customer send.
#[derive(Clone, Copy, Debug)]
pub struct CustomerLoad {
    /// Requests per second.
    pub rate: f64,
    /// The prompt tokens of each request; zero if it states none.
    pub tokens: u64,
    /// The number of routers that its callers use, beginning with the first one.
    pub routers: u64,
    /// True if these routers throttle.
    pub is_throttled: bool,
    /// What its routers leave of the objective.
    pub objective: Duration,
    /// The part of its sends that fail and are tried again at once.
    pub failing: f64,
}

impl CustomerLoad {
    /// Requests without a size through all routers, which don't throttle.
    pub fn plain(rate: f64) -> CustomerLoad {
        CustomerLoad {
            rate,
            tokens: 0,
            routers: ROUTERS,
            is_throttled: false,
            objective: OBJECTIVE,
            failing: 0.0,
        }
    }
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Request {
    pub customer: usize,
    pub tokens: u64,
    pub asked_at: Duration,
    session: SessionId,
    /// When it was granted, if that was in time.
    pub served_at: Option<Duration>,
    answered: bool,
    /// True once the shard has said anything about its newest submission.
    heard: bool,
    /// When that came.
    submitted_at: Duration,
}

/// What a run of the shard showed.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: HashMap<RequestId, Request>,
    /// Refusals of submissions that were not looked at, and how many of these had waited.
    pub refused_unread: usize,
    pub refused_unread_after_wait: usize,
    /// The first breach of each rule that is checked at each step.
    pub breaches: BTreeMap<&'static str, String>,
}

/// A shard, its routers and their customers. Customer 0 floods.
pub struct LateShard {
    core: ShardCore,
    intake: ShardIntake,
    share: Share,
    now: Duration,
    next_tick: Duration,
    due: BTreeMap<(Duration, u64), Box<ShardEvent>>,
    scheduled: u64,
    loads: Vec<CustomerLoad>,
    throttles: BTreeMap<SessionId, RequestThrottle>,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl LateShard {
    /// Schedules requests at `load` times the capacity of the shard.
    pub fn new(load: f64, share: Share, seed: u64) -> LateShard {
        let flood = load * share.capacity() - SMALL_CUSTOMERS as f64 * SMALL_RATE;
        let small = std::iter::repeat_n(CustomerLoad::plain(SMALL_RATE), SMALL_CUSTOMERS);
        let loads = std::iter::once(CustomerLoad::plain(flood)).chain(small).collect();
        LateShard::with_loads(loads, share, seed)
    }

    /// Schedules the requests of these customers.
    pub fn with_loads(loads: Vec<CustomerLoad>, share: Share, seed: u64) -> LateShard {
        let names: Vec<String> = (0..loads.len()).map(customer_name).collect();
        let options = ShardOptions::builder().recovery_window(Duration::ZERO).build();
        let mut core = ShardCore::new(Moment(0), options);
        let settings = ShardEvent::Policy(policy(ENDPOINTS, SLOTS, &names));
        core.step(Moment(0), settings, &mut Vec::new());
        let mut shard = LateShard {
            core,
            intake: ShardIntake::default(),
            share,
            now: Duration::ZERO,
            next_tick: TICK,
            due: BTreeMap::new(),
            scheduled: 0,
            loads,
            throttles: (1..=ROUTERS).map(|router| (SessionId(router), RequestThrottle::default())).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
        };
        shard.schedule_routers();
        (0..shard.loads.len()).for_each(|customer| shard.schedule_requests(customer));
        shard
    }

    fn schedule_routers(&mut self) {
        for router in 1..=ROUTERS {
            let session = SessionId(router);
            self.schedule(Duration::ZERO, ShardEvent::Joined(session, hello(router)));
            let mut at = HEARTBEAT * u32::try_from(router).expect("few routers") / ROUTERS as u32;
            while at < LENGTH {
                self.schedule(at, ShardEvent::Heartbeat(session, 1));
                at += HEARTBEAT;
            }
        }
    }

    fn schedule_requests(&mut self, customer: usize) {
        let load = self.loads[customer];
        let mut at = Duration::from_millis(1);
        loop {
            let gap = -(1.0 - self.random.random::<f64>()).ln() / load.rate;
            at += Duration::from_secs_f64(gap);
            if at >= LENGTH {
                return;
            }
            let session = SessionId(self.random.random_range(1..=load.routers));
            let request = RequestId(self.outcome.requests.len() as u128 + 1);
            let asked = Request {
                customer,
                tokens: load.tokens,
                asked_at: at,
                session,
                served_at: None,
                answered: false,
                heard: false,
                submitted_at: at,
            };
            self.outcome.requests.insert(request, asked);
            let submitted = ticket(request.0, &customer_name(customer), Some(load.objective));
            let submitted = RequestTicket { prompt_tokens: Cost(load.tokens), ..submitted };
            self.schedule(at, ShardEvent::Submit(session, submitted));
        }
    }

    fn schedule(&mut self, at: Duration, event: ShardEvent) {
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), Box::new(event));
    }

    /// Runs the shard and checks the properties of each step.
    pub fn run(mut self) -> Outcome {
        while self.now < LENGTH {
            self.now = self.share.resume(self.now);
            self.admit();
            if self.now >= self.next_tick {
                self.step(Moment(0), ShardEvent::Tick);
                self.next_tick = self.now + TICK;
            }
            match self.intake.take(moment(self.now)) {
                Some(item) => self.handle(item),
                None => self.sleep(),
            }
            self.check_lines();
        }
        self.outcome
    }

    /// Adds what has arrived to the intake. The routers of callers that left cancel their requests.
    fn admit(&mut self) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let ((at, _), event) = entry.remove_entry();
            if self.is_throttled(at, &event) {
                continue;
            }
            if let ShardEvent::Cancel(_, request) = &*event {
                self.check_heard(*request);
            }
            if let ShardEvent::Submit(session, ticket) = &*event {
                let cancel = ShardEvent::Cancel(*session, ticket.request);
                self.schedule(at + OBJECTIVE, cancel);
            }
            let is_answered = |request: &RequestId| self.outcome.requests[request].answered;
            if !matches!(&*event, ShardEvent::Cancel(_, request) if is_answered(request)) {
                self.intake.push(moment(self.now), moment(at), event);
            }
        }
    }

    /// True if the router of a submission refuses it.
    fn is_throttled(&mut self, at: Duration, event: &ShardEvent) -> bool {
        let ShardEvent::Submit(session, ticket) = event else { return false };
        if !self.loads[self.outcome.requests[&ticket.request].customer].is_throttled {
            return false;
        }
        let draw = self.random.random();
        let throttle = self.throttles.get_mut(session).expect("a known router");
        let is_refused = throttle.admit(moment(at), &ticket.customer, draw).is_err();
        if is_refused {
            self.answer(ticket.request);
        }
        is_refused
    }

    /// The router of a request hears of a decision about it.
    fn tell_throttle(
        &mut self,
        request: RequestId,
        queue_fill: Option<QueueFill>,
        refusal: Option<Duration>,
    ) {
        let asked = &self.outcome.requests[&request];
        let name = customer(&customer_name(asked.customer));
        let throttle = self.throttles.get_mut(&asked.session).expect("a known router");
        if let Some(fill) = queue_fill {
            throttle.note_queue_fill(moment(asked.asked_at), &name, fill);
        }
        match refusal {
            Some(retry_after) => throttle.note_refused(moment(self.now), &name, retry_after),
            None => throttle.note_granted(moment(self.now), &name),
        }
    }

    fn sleep(&mut self) {
        let arrival = self.due.first_key_value().map_or(LENGTH, |((at, _), _)| *at);
        self.now = arrival.min(self.next_tick).max(self.now + Duration::from_micros(1));
    }

    fn handle(&mut self, item: IntakeItem) {
        match item {
            IntakeItem::Event(arrived_at, event) => {
                if !matches!(*event, ShardEvent::Submit(..)) {
                    self.check_late(arrived_at, Duration::ZERO, "events that free engines");
                }
                self.step(arrived_at, *event);
            }
            IntakeItem::Refusal(unread) => {
                self.check_late(unread.arrived_at, UNREAD_LIMIT, "refusals without a decision");
                self.outcome.refused_unread += 1;
                let waited = moment(self.now).since(unread.arrived_at);
                self.outcome.refused_unread_after_wait += usize::from(waited > TOLERANCE + self.share.stall);
                let mut actions = Vec::new();
                self.core.refuse_unread(moment(self.now), unread, &mut actions);
                self.now += REFUSAL_TIME;
                actions.into_iter().for_each(|action| self.follow(action));
            }
        }
    }

    fn step(&mut self, arrived_at: Moment, event: ShardEvent) {
        let took = match &event {
            ShardEvent::Submit(..) => SUBMIT_TIME,
            ShardEvent::Began(..) => BEGAN_TIME,
            ShardEvent::Progress(..) => PROGRESS_TIME,
            ShardEvent::Settle(..) => SETTLE_TIME,
            _ => OTHER_TIME,
        };
        let mut actions = Vec::new();
        self.core.step_arrived(moment(self.now), arrived_at, event, &mut actions);
        self.now += took;
        actions.into_iter().for_each(|action| self.follow(action));
    }

    /// Carries out an action as the router does.
    fn follow(&mut self, action: ShardAction) {
        match action {
            ShardAction::Grant { request, queue_fill, .. } => {
                self.tell_throttle(request, queue_fill, None);
                self.answer(request);
                let failing = self.loads[self.outcome.requests[&request].customer].failing;
                if failing > 0.0 && self.random.random_bool(failing) {
                    self.try_again(request);
                } else {
                    self.run_request(request);
                }
            }
            ShardAction::Refuse { request, queue_fill, retry_after, .. } => {
                self.tell_throttle(request, queue_fill, Some(retry_after));
                self.answer(request);
            }
            ShardAction::Accepted { request, .. } => self.hear(request),
            _ => {}
        }
    }

    fn answer(&mut self, request: RequestId) {
        self.hear(request);
        self.outcome.requests.get_mut(&request).expect("a known request").answered = true;
    }

    fn hear(&mut self, request: RequestId) {
        self.outcome.requests.get_mut(&request).expect("a known request").heard = true;
    }

    /// Checks that the shard has said something about a submission by the time its caller leaves.
    fn check_heard(&mut self, request: RequestId) {
        let asked = &self.outcome.requests[&request];
        if !asked.heard && self.now.saturating_sub(asked.submitted_at) > ANSWER_LIMIT {
            let breach = format!("{request:?} at {:?}", self.now);
            self.outcome.breaches.entry("submissions without an answer").or_insert(breach);
        }
    }

    /// The send of a granted request fails, and its router tries again.
    fn try_again(&mut self, request: RequestId) {
        let asked = self.outcome.requests.get_mut(&request).expect("a known request");
        (asked.answered, asked.heard) = (false, false);
        let (customer, session, at) = (asked.customer, asked.session, self.now + FAILED_SEND_TIME);
        asked.submitted_at = at;
        let load = self.loads[customer];
        let submitted = ticket(request.0, &customer_name(customer), Some(load.objective));
        let submitted = RequestTicket { prompt_tokens: Cost(load.tokens), attempt: 1, ..submitted };
        let failed = ShardEvent::Settle(session, request, Cost(0), GrantOutcome::Unreachable);
        self.schedule(at, failed);
        self.schedule(at, ShardEvent::Submit(session, submitted));
    }

    fn run_request(&mut self, request: RequestId) {
        let now = self.now;
        let granted = self.outcome.requests.get_mut(&request).expect("a known request");
        let session = granted.session;
        let after = |millis: u64| now + Duration::from_millis(millis);
        if now - granted.asked_at > OBJECTIVE {
            let unsent = ShardEvent::Settle(session, request, Cost(0), GrantOutcome::Unsent);
            self.schedule(after(1), unsent);
            return;
        }
        granted.served_at = Some(now);
        self.schedule(after(50), ShardEvent::Began(session, request, Cost(1), RunStart::default()));
        self.schedule(after(150), ShardEvent::Progress(session, request, Cost(4)));
        self.schedule(after(250), ShardEvent::Progress(session, request, Cost(8)));
        self.schedule(after(300), ShardEvent::Settle(session, request, Cost(10), GrantOutcome::Done));
    }

    /// Checks that the shard handles something that arrived at a moment within a limit.
    fn check_late(&mut self, arrived_at: Moment, limit: Duration, what: &'static str) {
        let late = moment(self.now).since(arrived_at);
        let bound = limit + TOLERANCE + self.share.stall;
        if late > bound {
            let breach = format!("{late:?} late at {:?}, {bound:?} is the bound", self.now);
            self.outcome.breaches.entry(what).or_insert(breach);
        }
    }

    /// Checks that lines are no longer than what the shard handles before it refuses.
    fn check_lines(&mut self) {
        if self.now < LEARNING_TIME {
            return;
        }
        let waiting = self.intake.take_status(moment(self.now)).waiting_submissions;
        let handled = self.share.capacity() * (UNREAD_LIMIT + self.share.stall).as_secs_f64();
        if waiting > handled as usize {
            let breach = format!("{waiting} submissions wait at {:?}, {handled} is the bound", self.now);
            self.outcome.breaches.entry("lines").or_insert(breach);
        }
    }
}

pub fn customer_name(customer: usize) -> String {
    match customer {
        0 => FLOODER.to_owned(),
        _ => format!("small{customer}"),
    }
}

fn moment(at: Duration) -> Moment {
    Moment(0) + at
}
