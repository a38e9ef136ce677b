//! Measures what prompt parts that may crash endpoints cost a shard with many requests.
//!
//! Run with `cargo bench -p micaspool-dispatch --bench fatal_parts`. Each row is the mean time of the steps of the
//! core: of a ticket with a part on trial, of the crash of an endpoint with all its runs, and of a whole request
//! while no endpoint crashes.

use micaspool_dispatch::{
    ColdStartLimits, EndpointSpec, EngineTraits, GenerationOutline, GrantOutcome, RequestTicket, RouterHello,
    SessionId, ShardAction, ShardCore, ShardCustomer, ShardEvent, ShardOptions, ShardPolicy,
};
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallLimit, HallMask, HallName, Incarnation, InstanceName, Moment,
    RequestDigest, RequestId, Revision, SoftwareVersion, VersionLimit, Weight,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SESSION: SessionId = SessionId(1);
const ENDPOINTS: usize = 320;
/// Every second endpoint has one slot more.
const SLOTS: u32 = 12;
const WAITING: u128 = 1_000;
const CUSTOMERS: u64 = 30;
const KINDS: u64 = 4;
const SUBJECTS: u64 = 780;
const FATAL_PART: u64 = 0xdead;
/// Crashes with a part after which it is shut out.
const PART_CRASHES: u128 = 4;
const TICKETS: u32 = 2_000;
const SHARDS: u32 = 10;
/// Crashes of one shard: fewer than shut a part out.
const CRASHES: usize = 3;
const REQUESTS: u32 = 20_000;

fn endpoint(number: usize) -> EndpointName {
    EndpointName::parse(&format!("endpoint-{number}")).expect("a name")
}

fn customer(number: u64) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("a name")
}

fn policy() -> ShardPolicy {
    let specs = (0..ENDPOINTS).map(|number| EndpointSpec {
        name: endpoint(number),
        hall: number % 3,
        slots: SLOTS + (number % 2) as u32,
        version: SoftwareVersion::default(),
        leaving: false,
        evacuated: false,
        cold: Duration::ZERO,
        memory_tokens: 0,
    });
    let named = (0..CUSTOMERS).map(|number| ShardCustomer {
        name: customer(number),
        weight: Weight::ONE,
        halls: HallMask(0b111),
        max_waiting: WAITING as u32,
    });
    ShardPolicy {
        revision: Revision(1),
        idle_credit: Cost(100_000),
        planned_pace: 0.0,
        cold: ColdStartLimits::default(),
        engine: EngineTraits::default(),
        halls: (0..3).map(|number| HallName::parse(&format!("hall-{number}")).expect("a name")).collect(),
        endpoints: specs.collect(),
        customers: named.collect(),
    }
}

/// A deterministic pseudo-random number of 31 bits.
fn pseudo_random(number: u128, salt: u64) -> u64 {
    (number as u64 ^ salt.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}

struct PartLoad {
    core: ShardCore,
    now: Moment,
    actions: Vec<ShardAction>,
    submitted: u128,
    /// The endpoint of each running request.
    running: BTreeMap<u128, EndpointName>,
    refused: u64,
    step_time: Duration,
}

impl PartLoad {
    fn new() -> PartLoad {
        let options = ShardOptions::builder().recovery_window(Duration::ZERO).build();
        let now = Moment::from_millis(1_000);
        let mut load = PartLoad {
            core: ShardCore::new(now, options),
            now,
            actions: Vec::new(),
            submitted: 0,
            running: BTreeMap::new(),
            refused: 0,
            step_time: Duration::ZERO,
        };
        load.step(ShardEvent::Policy(policy()));
        let hello = RouterHello {
            router: InstanceName::parse("router").expect("a name"),
            incarnation: Incarnation(1),
            waiting: Vec::new(),
            running: Vec::new(),
            levels: Vec::new(),
            crashes: Vec::new(),
            streams: Vec::new(),
            advice: Vec::new(),
            heartbeat: 1,
        };
        load.step(ShardEvent::Joined(SESSION, hello));
        load
    }

    /// A shard in which all slots are taken and tickets wait.
    fn full() -> PartLoad {
        let mut load = PartLoad::new();
        load.fill();
        load
    }

    fn fill(&mut self) {
        self.take_all_slots();
        (0..WAITING).for_each(|_| {
            self.submit(None);
        });
    }

    /// Submits requests until one of them waits or is refused.
    fn take_all_slots(&mut self) {
        let mut request = self.submit(None);
        while self.running.contains_key(&request) {
            request = self.submit(None);
        }
    }

    fn step(&mut self, event: ShardEvent) {
        let started = Instant::now();
        self.core.step(self.now, event, &mut self.actions);
        self.step_time += started.elapsed();
        for action in self.actions.drain(..) {
            match action {
                ShardAction::Grant { request, endpoint, .. } => {
                    self.running.insert(request.0, endpoint);
                }
                ShardAction::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.step(ShardEvent::Heartbeat(SESSION, 1));
            self.step(ShardEvent::Tick);
        }
    }

    fn submit(&mut self, fatal_part: Option<u64>) -> u128 {
        self.submitted += 1;
        let number = self.submitted;
        let subject = 100 + pseudo_random(number, 1) % SUBJECTS;
        let ticket = RequestTicket {
            request: RequestId(number),
            customer: customer(pseudo_random(number, 2) % CUSTOMERS),
            digest: Some(RequestDigest(number)),
            hint: Cost(1_000),
            priority: 17,
            attempt: 0,
            avoid: None,
            prefixes: vec![
                1 + number as u64 % KINDS,
                fatal_part.unwrap_or(subject),
                1_000_000 + number as u64,
            ],
            prefix_tokens: vec![300, 300, 400],
            prompt_tokens: Cost(1_000),
            objective: None,
            patience: None,
            order: None,
            halls: HallLimit::Anywhere,
            versions: VersionLimit::Any,
            generation: GenerationOutline::default(),
        };
        self.step(ShardEvent::Submit(SESSION, ticket));
        number
    }

    fn progress(&mut self, request: u128, delivered: u64) {
        self.step(ShardEvent::Progress(SESSION, RequestId(request), Cost(delivered)));
    }

    fn settle(&mut self, request: u128, outcome: GrantOutcome) {
        self.running.remove(&request);
        self.step(ShardEvent::Settle(SESSION, RequestId(request), Cost(1_200), outcome));
    }

    /// Ends an endpoint with all its runs.
    fn crash(&mut self, crashed: &EndpointName) {
        let broken = self.running.iter().filter(|(_, endpoint)| *endpoint == crashed);
        let broken: Vec<u128> = broken.map(|(request, _)| *request).collect();
        broken.into_iter().for_each(|request| self.settle(request, GrantOutcome::Severed));
        self.step(ShardEvent::Unreachable(crashed.clone()));
    }

    /// Ends four endpoints that each run one request with the fatal part, and waits until it is tried again.
    fn put_part_on_trial(&mut self) {
        let sound = self.submit(None);
        self.settle(sound, GrantOutcome::Done);
        self.advance(1_000);
        for _ in 0..PART_CRASHES {
            let request = self.submit(Some(FATAL_PART));
            let crashed = self.running[&request].clone();
            self.crash(&crashed);
            self.advance(50);
        }
        self.advance(2_500);
    }

    /// Mean time in microseconds of the steps since `before`.
    fn micros_since(&self, before: Duration, count: u32) -> f64 {
        (self.step_time - before).as_secs_f64() * 1e6 / f64::from(count)
    }
}

fn print(name: &str, micros: f64, load: &PartLoad) {
    println!("{name:<66} {micros:>10.1} {:>9} {:>9}", load.running.len(), load.refused);
}

/// A ticket that is refused because another one with the part waits.
fn measure_refused_tickets() {
    let mut load = PartLoad::new();
    load.put_part_on_trial();
    load.fill();
    load.submit(Some(FATAL_PART));
    let before = load.step_time;
    (0..TICKETS).for_each(|_| {
        load.submit(Some(FATAL_PART));
    });
    print("ticket with a part on trial, refused, us", load.micros_since(before, TICKETS), &load);
}

/// A ticket that waits as the only one with the part and is cancelled.
fn measure_waiting_tickets() {
    let mut load = PartLoad::new();
    load.put_part_on_trial();
    load.fill();
    let before = load.step_time;
    for _ in 0..TICKETS {
        let request = load.submit(Some(FATAL_PART));
        load.step(ShardEvent::Cancel(SESSION, RequestId(request)));
    }
    print(
        "ticket with a part on trial, accepted and cancelled, us",
        load.micros_since(before, TICKETS),
        &load,
    );
}

/// The crash of an endpoint. With `begun`, all runs have had their first events for long enough to exonerate
/// their parts.
fn measure_crashes(name: &str, begun: bool) {
    let mut micros = 0.0;
    let mut load = PartLoad::new();
    for _ in 0..SHARDS {
        load = PartLoad::full();
        let running: Vec<u128> = load.running.keys().copied().collect();
        running.into_iter().filter(|_| begun).for_each(|request| load.progress(request, 1_001));
        load.advance(200);
        let before = load.step_time;
        (0..CRASHES).for_each(|number| load.crash(&endpoint(number)));
        micros += load.micros_since(before, CRASHES as u32) / f64::from(SHARDS);
    }
    print(name, micros, &load);
}

/// A request from its ticket to its end.
fn measure_requests() {
    let mut load = PartLoad::new();
    load.take_all_slots();
    let before = load.step_time;
    for _ in 0..REQUESTS {
        let oldest = *load.running.keys().next().expect("requests run");
        load.progress(oldest, 1_001);
        load.progress(oldest, 1_100);
        load.settle(oldest, GrantOutcome::Done);
        load.submit(None);
    }
    print("request without a crash, us", load.micros_since(before, REQUESTS), &load);
}

fn main() {
    println!("{:<66} {:>10} {:>9} {:>9}", "", "mean", "running", "refused");
    for _ in 0..2 {
        measure_refused_tickets();
        measure_waiting_tickets();
        measure_crashes("crash of an endpoint, no run has begun, us", false);
        measure_crashes("crash of an endpoint, all runs have begun, us", true);
        measure_requests();
    }
}
