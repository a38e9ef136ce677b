//! Measures the time that the shard core spends per request to a model, by numbers of engines and arrival rates.
//!
//! Run with `cargo bench -p micaspool --bench engines`. Engines have a fixed time to the first token and a fixed
//! time to completion. The result is the time of all steps of the core divided by the number of arrivals. The
//! rates are the usual ones of the users' grown site and up to five times those.

use micaspool::dispatch::{
    CacheUpdate, CachedPart, ColdStartLimits, EndpointSpec, EngineTraits, GenerationOutline, GrantOutcome,
    LoadReport, RequestTicket, RouterHello, SessionId, ShardAction, ShardCore, ShardCustomer, ShardEvent,
    ShardOptions, ShardPolicy,
};
use micaspool::types::{
    Cost, CustomerName, EndpointName, HallLimit, HallMask, HallName, Incarnation, InstanceName, Moment,
    RequestDigest, RequestId, Revision, SoftwareVersion, VersionLimit, Weight,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

const SESSION: SessionId = SessionId(1);
const CUSTOMERS: usize = 30;
/// The number of different middle prefixes of prompts.
const PROMPT_SUBJECTS: u64 = 780;
const SLOTS: u32 = 16;
/// The cache capacity of an engine.
const MEMORY_TOKENS: u64 = 501_020;
/// The measured virtual time in seconds.
const SECONDS: u64 = 10;
/// The interval of load reports, in microseconds like the other times below.
const LOAD_REPORT_INTERVAL: u64 = 500_000;
/// The interval at which each engine reports the parts that its cache stored.
const CACHE_UPDATE_INTERVAL: u64 = 640_000;
/// The number of parts in such a report.
const CACHE_UPDATE_PARTS: u64 = 4;
/// The number of engines up to which all are asked for their load and cache.
const MAX_ASKED_UNUSED: usize = 100;
const TICK_INTERVAL: u64 = 50_000;
/// Engines that copy cached parts from each other, in the last rows of the result.
const COPYING: EngineTraits =
    EngineTraits { event_tokens: 8, token_bytes: 18_432, link_bytes_per_second: 22_500_000_000 };
/// The time from the grant to the first token.
const FIRST_TOKEN_DELAY: u64 = 150_000;
/// The time from the grant to the end of the answer.
const COMPLETION_DELAY: u64 = 1_000_000;

/// A simulated event. Equal times are ordered by variant.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Arrival,
    FirstToken(u128),
    Completion(u128),
    LoadReports,
    /// The engine with this number reports what its cache stored.
    CacheUpdated(usize),
    Tick,
}

struct EngineLoad {
    core: ShardCore,
    queue: BinaryHeap<Reverse<(u64, SimulatedEvent)>>,
    actions: Vec<ShardAction>,
    engines: usize,
    arrival_gap: u64,
    arrived: u128,
    /// The engine of each running request.
    running: HashMap<u128, usize>,
    granted: u64,
    /// Grants that name an engine to copy cached parts from.
    copied: u64,
    refused: u64,
    step_time: Duration,
}

fn engine(number: usize) -> EndpointName {
    EndpointName::parse(&format!("engine-{number}")).expect("a name")
}

fn engine_number(name: &EndpointName) -> usize {
    let number = name.as_str().rsplit('-').next();
    number.and_then(|digits| digits.parse().ok()).expect("a name with a number")
}

fn customer(number: u64) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("a name")
}

fn policy(engines: usize, traits: EngineTraits) -> ShardPolicy {
    let specs = (0..engines).map(|number| EndpointSpec {
        name: engine(number),
        hall: number % 3,
        slots: SLOTS,
        version: SoftwareVersion::default(),
        leaving: false,
        evacuated: false,
        cold: Duration::ZERO,
        memory_tokens: MEMORY_TOKENS,
    });
    let named = (0..CUSTOMERS as u64).map(|number| ShardCustomer {
        name: customer(number),
        weight: Weight::ONE,
        halls: HallMask(0b111),
        max_waiting: 256,
    });
    ShardPolicy {
        revision: Revision(1),
        idle_credit: Cost(100_000),
        planned_pace: 0.0,
        cold: ColdStartLimits::default(),
        engine: traits,
        halls: (0..3).map(|number| HallName::parse(&format!("hall-{number}")).expect("a name")).collect(),
        endpoints: specs.collect(),
        customers: named.collect(),
    }
}

/// A deterministic pseudo-random number of 31 bits.
fn pseudo_random(number: u128, salt: u64) -> u64 {
    (number as u64 ^ salt.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}

impl EngineLoad {
    fn new(engines: usize, arrivals_a_second: u64, traits: EngineTraits) -> EngineLoad {
        let options = ShardOptions::builder()
            .recovery_window(Duration::ZERO)
            .cost_ceiling(Cost(262_144))
            .tolerated_breaks(2)
            .build();
        let mut load = EngineLoad {
            core: ShardCore::new(Moment(0), options),
            queue: BinaryHeap::new(),
            actions: Vec::new(),
            engines,
            arrival_gap: 1_000_000 / arrivals_a_second,
            arrived: 0,
            running: HashMap::new(),
            granted: 0,
            copied: 0,
            refused: 0,
            step_time: Duration::ZERO,
        };
        load.step(1, ShardEvent::Policy(policy(engines, traits)));
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
        load.step(1, ShardEvent::Joined(SESSION, hello));
        for number in 0..engines {
            let at = 2 + CACHE_UPDATE_INTERVAL * number as u64 / engines as u64;
            load.queue.push(Reverse((at, SimulatedEvent::CacheUpdated(number))));
        }
        for first in [SimulatedEvent::Arrival, SimulatedEvent::LoadReports, SimulatedEvent::Tick] {
            load.queue.push(Reverse((2, first)));
        }
        load
    }

    fn step(&mut self, now: u64, event: ShardEvent) {
        let started = Instant::now();
        self.core.step(Moment(now), event, &mut self.actions);
        self.step_time += started.elapsed();
        for action in self.actions.drain(..) {
            match action {
                ShardAction::Grant { request, endpoint, cache_source, .. } => {
                    self.granted += 1;
                    self.copied += u64::from(cache_source.is_some());
                    self.running.insert(request.0, engine_number(&endpoint));
                    self.queue
                        .push(Reverse((now + FIRST_TOKEN_DELAY, SimulatedEvent::FirstToken(request.0))));
                    self.queue.push(Reverse((now + COMPLETION_DELAY, SimulatedEvent::Completion(request.0))));
                }
                ShardAction::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn ticket(&mut self) -> RequestTicket {
        self.arrived += 1;
        let subject = pseudo_random(self.arrived, 1) % PROMPT_SUBJECTS;
        let own_tokens = 1_000 + (pseudo_random(self.arrived, 2) % 5_000) as u32;
        // Half of the requests belong to one customer.
        let customer_number =
            if pseudo_random(self.arrived, 3).is_multiple_of(2) { 0 } else { pseudo_random(self.arrived, 4) };
        RequestTicket {
            request: RequestId(self.arrived.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c834)),
            customer: customer(customer_number % CUSTOMERS as u64),
            digest: Some(RequestDigest(self.arrived)),
            hint: Cost(14_000 + u64::from(own_tokens)),
            priority: 17,
            attempt: 0,
            avoid: None,
            prefixes: vec![subject % 4, 100 + subject, 1_000_000 + self.arrived as u64],
            prefix_tokens: vec![2_500, 9_000, own_tokens],
            prompt_tokens: Cost(11_500 + u64::from(own_tokens)),
            objective: Some(Duration::from_millis(230)),
            patience: None,
            order: None,
            halls: HallLimit::Anywhere,
            versions: VersionLimit::Any,
            generation: GenerationOutline::default(),
        }
    }

    /// The engines that are asked for their load: a few all, of many those in use.
    fn reporting_engines(&self) -> BTreeSet<usize> {
        if self.engines <= MAX_ASKED_UNUSED {
            return (0..self.engines).collect();
        }
        self.running.values().copied().collect()
    }

    fn handle_event(&mut self, now: u64, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Arrival => {
                let ticket = self.ticket();
                self.queue.push(Reverse((now + self.arrival_gap, SimulatedEvent::Arrival)));
                self.step(now, ShardEvent::Submit(SESSION, ticket));
            }
            SimulatedEvent::FirstToken(request) => {
                self.step(now, ShardEvent::Progress(SESSION, RequestId(request), Cost(4_000)));
            }
            SimulatedEvent::Completion(request) => {
                self.running.remove(&request);
                self.step(
                    now,
                    ShardEvent::Settle(SESSION, RequestId(request), Cost(4_240), GrantOutcome::Done),
                );
            }
            SimulatedEvent::LoadReports => {
                for number in self.reporting_engines() {
                    let report = LoadReport {
                        endpoint: engine(number),
                        running: 4,
                        waiting: 0,
                        draining: false,
                        requested_at: Moment(now),
                    };
                    self.step(now, ShardEvent::Load(report));
                }
                self.queue.push(Reverse((now + LOAD_REPORT_INTERVAL, SimulatedEvent::LoadReports)));
            }
            SimulatedEvent::CacheUpdated(number) if !self.reporting_engines().contains(&number) => {
                self.queue.push(Reverse((now + CACHE_UPDATE_INTERVAL, SimulatedEvent::CacheUpdated(number))));
            }
            SimulatedEvent::CacheUpdated(number) => {
                let part = |place| CachedPart {
                    prefix: 2_000_000 + pseudo_random(u128::from(now + place), number as u64),
                    tokens: 3_000,
                };
                let update = CacheUpdate {
                    endpoint: engine(number),
                    stored: Vec::new(),
                    dropped: Vec::new(),
                    cached_parts: (0..CACHE_UPDATE_PARTS).map(part).collect(),
                    whole: false,
                };
                self.step(now, ShardEvent::Cache(update));
                self.queue.push(Reverse((now + CACHE_UPDATE_INTERVAL, SimulatedEvent::CacheUpdated(number))));
            }
            SimulatedEvent::Tick => {
                self.step(now, ShardEvent::Heartbeat(SESSION, 1));
                self.step(now, ShardEvent::Tick);
                self.queue.push(Reverse((now + TICK_INTERVAL, SimulatedEvent::Tick)));
            }
        }
    }

    fn run(mut self, arrivals: u64) {
        while let Some(Reverse((at, event))) = self.queue.pop() {
            // The core's own wake-ups are processed before the next event, up to 200 us late, as by its driver.
            while let Some(wake) = self.core.next_wake().filter(|wake| wake.0 < at) {
                self.step((wake.0 + 200).min(at), ShardEvent::Wake);
            }
            if at > SECONDS * 1_000_000 {
                break;
            }
            self.handle_event(at, event);
        }
        let micros = self.step_time.as_secs_f64() * 1e6 / self.arrived as f64;
        println!(
            "{:>8} {arrivals:>11} {micros:>13.1} {:>9} {:>9} {:>9}",
            self.engines, self.granted, self.refused, self.copied
        );
    }
}

fn main() {
    println!(
        "{:>8} {:>11} {:>13} {:>9} {:>9} {:>9}",
        "engines", "arrivals/s", "us a request", "granted", "refused", "copied"
    );
    for (engines, rate) in [
        (9, 96),
        (9, 480),
        (90, 915),
        (140, 1_090),
        (140, 5_450),
        (320, 1_600),
        (320, 4_000),
        (320, 8_000),
        (600, 3_400),
        (600, 10_000),
        (320, 1_350),
        (9_845, 1_350),
        (20_000, 1_350),
        (20_000, 2_700),
    ] {
        EngineLoad::new(engines, rate, EngineTraits::default()).run(rate);
    }
    for (engines, rate) in [(90, 915), (320, 1_350), (320, 4_000), (9_845, 1_350)] {
        EngineLoad::new(engines, rate, COPYING).run(rate);
    }
}
