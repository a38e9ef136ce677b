//! Roll-outs of software versions beside crashes of endpoints, routers and the shard: no stream holds events of two
//! versions, and callers that take their streams up are served about as often as others.

use crate::harness::{customer, endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    EndpointSpec, GrantOutcome, RequestTicket, RouterHello, RunStart, SessionId, ShardAction, ShardEvent,
    ShardOptions,
};
use micaspool_types::{
    Cost, EndpointName, Moment, RequestId, SoftwareVersion, StreamKey, StreamOrigin, VersionLimit,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of roll-outs that are drawn.
const ROLL_OUTS: u64 = 200;
/// The length of one, in milliseconds, and of its steps.
const LENGTH: u64 = 12_000;
const STEP: u64 = 10;
/// Endpoints and their slots. A stream takes a second: the endpoints serve 32 a second.
const ENDPOINTS: usize = 8;
const SLOTS: u32 = 4;
const RUN_TIME: Duration = Duration::from_millis(1_000);
/// The time from a grant to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(100);
const ROUTERS: u64 = 4;
const PATIENCE: Duration = Duration::from_millis(6_000);
const OBJECTIVE: Duration = Duration::from_millis(800);
/// How long a router that crashed is away, and how soon its callers come to another.
const ROUTER_DOWN: Duration = Duration::from_millis(500);
const COME_BACK: Duration = Duration::from_millis(100);
/// For how long after the loss of the shard refusals of streams that are taken up don't count.
const AFTER_SHARD_LOSS: Duration = Duration::from_secs(3);

/// A caller and the events that it has.
#[derive(Debug, Clone, Default)]
struct Caller {
    /// The versions of the events that it has.
    versions: BTreeSet<SoftwareVersion>,
    deadline: Moment,
}

/// One attempt of a caller at a router.
#[derive(Debug, Clone)]
struct Attempt {
    caller: u128,
    router: u64,
    ticket: RequestTicket,
    /// Where it runs, and since when.
    running: Option<(EndpointName, Moment)>,
    has_event: bool,
    /// True if the caller takes up its stream.
    is_taken_up: bool,
}

#[derive(Debug, Default)]
struct Shares {
    begun: usize,
    new: usize,
    gone_on: usize,
    taken_up: usize,
}

struct RollOut {
    harness: ShardHarness,
    random: ChaCha8Rng,
    callers: BTreeMap<u128, Caller>,
    attempts: BTreeMap<RequestId, Attempt>,
    /// What each router remembers of streams, with when it forgets.
    remembered: BTreeMap<u64, Vec<(StreamOrigin, Moment)>>,
    sessions: BTreeMap<u64, u64>,
    returning: Vec<(Moment, u64)>,
    coming_back: Vec<(Moment, u128)>,
    shard_lost_at: Option<Moment>,
    next: u128,
    next_session: u64,
    shares: Shares,
}

fn version(number: u64) -> SoftwareVersion {
    SoftwareVersion::new(&format!("v{number}"))
}

fn spec(number: usize, software: u64) -> EndpointSpec {
    EndpointSpec {
        name: endpoint(number),
        hall: number % 3,
        version: version(software),
        slots: SLOTS,
        leaving: false,
        evacuated: false,
        cold: Duration::ZERO,
        memory_tokens: 0,
    }
}

fn stream(caller: u128) -> StreamKey {
    StreamKey::of(&customer("a"), &caller.to_string())
}

impl RollOut {
    fn new(seed: u64) -> RollOut {
        let mut roll_out = RollOut {
            harness: ShardHarness::new(ENDPOINTS, SLOTS, &["a"]),
            random: ChaCha8Rng::seed_from_u64(seed),
            callers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            remembered: BTreeMap::new(),
            sessions: BTreeMap::new(),
            returning: Vec::new(),
            coming_back: Vec::new(),
            shard_lost_at: None,
            next: 1,
            next_session: 1,
            shares: Shares::default(),
        };
        roll_out.harness.update_policy(|policy| {
            policy.endpoints = (0..ENDPOINTS).map(|number| spec(number, 0)).collect();
        });
        (1..=ROUTERS).for_each(|router| roll_out.join(router));
        roll_out
    }

    fn play(mut self) -> Shares {
        let mut next_replaced = 0;
        let start = self.harness.now;
        let shard_lost_at = start + Duration::from_millis(self.random.random_range(0..2 * LENGTH));
        for millis in (0..LENGTH).step_by(STEP as usize) {
            self.harness.now = start + Duration::from_millis(millis);
            let is_shard_lost = self.shard_lost_at.is_none() && self.harness.now >= shard_lost_at;
            if is_shard_lost {
                self.lose_shard();
            }
            if millis % 700 == 0 && next_replaced < 2 * ENDPOINTS {
                self.replace_endpoint(next_replaced);
                next_replaced += 1;
            }
            if self.random.random_bool(0.003) {
                self.crash_endpoint();
            }
            if self.random.random_bool(0.002) {
                self.crash_router();
            }
            if self.random.random_bool(0.25) {
                self.call();
            }
            self.advance();
        }
        self.shares
    }

    /// Lets what is due happen.
    fn advance(&mut self) {
        let now = self.harness.now;
        for router in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.harness.step(ShardEvent::Heartbeat(SessionId(self.sessions[&router]), 1));
        }
        self.harness.step(ShardEvent::Tick);
        self.harness.step(ShardEvent::Wake);
        self.take_actions();
        for index in (0..self.returning.len()).rev() {
            if self.returning[index].0 <= now {
                let (_, router) = self.returning.swap_remove(index);
                self.join(router);
            }
        }
        for index in (0..self.coming_back.len()).rev() {
            if self.coming_back[index].0 <= now {
                let (_, caller) = self.coming_back.swap_remove(index);
                self.try_again(caller);
            }
        }
        self.run_streams();
    }

    /// Lets first events arrive and ends streams.
    fn run_streams(&mut self) {
        let now = self.harness.now;
        let running: Vec<RequestId> = self.attempts.keys().copied().collect();
        for request in running {
            let Some(attempt) = self.attempts.get(&request).cloned() else { continue };
            let Some((at, since)) = attempt.running.clone() else { continue };
            if !attempt.has_event && now >= since + FIRST_EVENT {
                self.pass_first_event(request, &attempt, &at);
            }
            if now >= since + RUN_TIME {
                self.settle(request, GrantOutcome::Done);
                self.attempts.remove(&request);
            }
        }
    }

    fn pass_first_event(&mut self, request: RequestId, attempt: &Attempt, at: &EndpointName) {
        let software = self.version_of(at);
        self.attempts.get_mut(&request).expect("it runs").has_event = true;
        let caller = self.callers.get_mut(&attempt.caller).expect("it waits");
        let begins = caller.versions.is_empty();
        caller.versions.insert(software.clone());
        assert_eq!(caller.versions.len(), 1, "a stream holds events of {:?}", caller.versions);
        let session = SessionId(self.sessions[&attempt.router]);
        let origin = StreamOrigin { stream: stream(attempt.caller), version: software, keep: PATIENCE };
        if begins {
            let until = self.harness.now + PATIENCE;
            self.remembered.entry(attempt.router).or_default().push((origin.clone(), until));
            let start = RunStart { origin: Some(origin), ..RunStart::default() };
            self.harness.step(ShardEvent::Began(session, request, Cost(3), start));
        } else {
            self.harness.step(ShardEvent::Progress(session, request, Cost(3)));
        }
    }

    fn version_of(&self, at: &EndpointName) -> SoftwareVersion {
        let specs = &self.harness.policy.endpoints;
        specs.iter().find(|spec| spec.name == *at).expect("a known endpoint").version.clone()
    }

    fn call(&mut self) {
        self.next += 1;
        let deadline = self.harness.now + PATIENCE;
        self.callers.insert(self.next, Caller { deadline, ..Caller::default() });
        self.try_again(self.next);
    }

    /// Lets a caller send an attempt to a router, from the beginning or to take up its stream.
    fn try_again(&mut self, caller: u128) {
        let now = self.harness.now;
        let state = &self.callers[&caller];
        let routers: Vec<u64> = self.sessions.keys().copied().collect();
        if state.deadline <= now || routers.is_empty() {
            return;
        }
        let is_taken_up = !state.versions.is_empty();
        let router = routers[self.random.random_range(0..routers.len())];
        let versions = if is_taken_up { VersionLimit::OfStream(stream(caller)) } else { VersionLimit::Any };
        if is_taken_up && self.counts(caller) {
            self.shares.taken_up += 1;
        } else if !is_taken_up {
            self.shares.new += 1;
        }
        self.submit(caller, router, versions, is_taken_up);
    }

    /// True unless the shard has just been lost, or fewer than two endpoints serve the version of the caller's stream.
    fn counts(&self, caller: u128) -> bool {
        let now = self.harness.now;
        let is_calm = self.shard_lost_at.is_none_or(|lost_at| now > lost_at + AFTER_SHARD_LOSS);
        let versions = &self.callers[&caller].versions;
        let serving = self.harness.policy.endpoints.iter().filter(|spec| !spec.leaving);
        is_calm && serving.filter(|spec| versions.contains(&spec.version)).count() >= 2
    }

    fn submit(&mut self, caller: u128, router: u64, versions: VersionLimit, is_taken_up: bool) {
        self.next += 1;
        let request = request_id(self.next);
        let objective = Some(OBJECTIVE);
        let ticket = RequestTicket { versions, objective, ..ticket(self.next, "a", 10) };
        let attempt =
            Attempt { caller, router, ticket: ticket.clone(), running: None, has_event: false, is_taken_up };
        self.attempts.insert(request, attempt);
        self.harness.step(ShardEvent::Submit(SessionId(self.sessions[&router]), ticket));
        self.take_actions();
    }

    fn take_actions(&mut self) {
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                ShardAction::Grant { request, endpoint, .. } => self.begin(request, endpoint),
                ShardAction::Refuse { request, .. } => drop(self.attempts.remove(&request)),
                _ => {}
            }
        }
    }

    fn begin(&mut self, request: RequestId, endpoint: EndpointName) {
        let now = self.harness.now;
        let Some(attempt) = self.attempts.get_mut(&request) else { return };
        attempt.running = Some((endpoint, now));
        let (caller, is_taken_up) = (attempt.caller, attempt.is_taken_up);
        if is_taken_up && self.counts(caller) {
            self.shares.gone_on += 1;
        } else if !is_taken_up {
            self.shares.begun += 1;
        }
    }

    fn settle(&mut self, request: RequestId, outcome: GrantOutcome) {
        let Some(session) = self.sessions.get(&self.attempts[&request].router) else { return };
        self.harness.step(ShardEvent::Settle(SessionId(*session), request, Cost(3), outcome));
        self.take_actions();
    }

    /// Adds an endpoint of the next version and lets one of the version before leave.
    fn replace_endpoint(&mut self, number: usize) {
        let software = 1 + (number / ENDPOINTS) as u64;
        let added = ENDPOINTS + number;
        self.harness.update_policy(|policy| {
            policy.endpoints.push(spec(added, software));
            policy.endpoints[number].leaving = true;
        });
        self.take_actions();
    }

    /// Breaks the streams of an endpoint. Their routers resume them.
    fn crash_endpoint(&mut self) {
        let serving: Vec<EndpointName> =
            self.harness.policy.endpoints.iter().map(|spec| spec.name.clone()).collect();
        let crashed = serving[self.random.random_range(0..serving.len())].clone();
        let is_there = |attempt: &Attempt| attempt.running.as_ref().is_some_and(|(at, _)| *at == crashed);
        let broken: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_there(attempt))
            .map(|(request, _)| *request)
            .collect();
        for request in broken {
            self.settle(request, GrantOutcome::Severed);
            let attempt = self.attempts.remove(&request).expect("it runs");
            if attempt.has_event {
                let software =
                    self.callers[&attempt.caller].versions.first().expect("it has an event").clone();
                self.submit(attempt.caller, attempt.router, VersionLimit::Only(software), false);
            }
        }
    }

    /// Ends a router. Its callers come back to others.
    fn crash_router(&mut self) {
        let routers: Vec<u64> = self.sessions.keys().copied().collect();
        if routers.len() < 2 {
            return;
        }
        let router = routers[self.random.random_range(0..routers.len())];
        let session = self.sessions.remove(&router).expect("it is listed");
        self.remembered.remove(&router);
        self.harness.step(ShardEvent::Left(SessionId(session)));
        self.take_actions();
        let now = self.harness.now;
        let lost: Vec<RequestId> =
            self.attempts.iter().filter(|(_, a)| a.router == router).map(|(r, _)| *r).collect();
        for request in lost {
            let attempt = self.attempts.remove(&request).expect("it is listed");
            self.coming_back.push((now + COME_BACK, attempt.caller));
        }
        self.returning.push((now + ROUTER_DOWN, router));
    }

    /// Opens a session for a router, with everything that it holds.
    fn join(&mut self, router: u64) {
        self.next_session += 1;
        self.sessions.insert(router, self.next_session);
        let now = self.harness.now;
        let own = |attempt: &&Attempt| attempt.router == router && attempt.running.is_none();
        let waiting = self.attempts.values().filter(own).map(|attempt| attempt.ticket.clone()).collect();
        let remembered = self.remembered.get(&router).into_iter().flatten();
        let streams = remembered.filter(|(_, until)| *until > now);
        let streams =
            streams.map(|(origin, until)| StreamOrigin { keep: until.since(now), ..origin.clone() });
        let hello = RouterHello {
            waiting,
            streams: streams.collect(),
            ..hello(&format!("r{router}"), self.next_session)
        };
        self.harness.join(self.next_session, hello);
        self.take_actions();
    }

    /// Replaces the shard by an empty one, which all routers join. What runs goes on.
    fn lose_shard(&mut self) {
        let now = self.harness.now;
        self.shard_lost_at = Some(now);
        let policy = self.harness.policy.clone();
        self.harness = ShardHarness::recovering(ENDPOINTS, SLOTS, &["a"], ShardOptions::default());
        self.harness.now = now;
        self.harness.core = micaspool_dispatch::ShardCore::new(now, ShardOptions::default());
        self.harness.actions.clear();
        self.harness.policy = policy;
        self.harness.update_policy(|_| ());
        for router in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.join(router);
        }
    }
}

/// Guards against streams with events of two versions, and against callers that can't take their streams up.
#[test]
fn roll_outs_beside_crashes_mix_no_versions() {
    let mut all = Shares::default();
    for seed in 0..ROLL_OUTS {
        let shares = RollOut::new(seed).play();
        all.begun += shares.begun;
        all.new += shares.new;
        all.gone_on += shares.gone_on;
        all.taken_up += shares.taken_up;
    }
    let begun = all.begun as f64 / all.new as f64;
    let gone_on = all.gone_on as f64 / all.taken_up as f64;
    println!("{all:?}: {begun:.3} of new streams begin, {gone_on:.3} of those taken up go on");
    assert!(all.taken_up > 1_000, "{all:?}");
    assert!(gone_on >= begun / 2.0, "{gone_on:.3} go on, {begun:.3} begin: {all:?}");
}
