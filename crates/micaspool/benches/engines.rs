//! What a request to a language model costs the shard core, by arrivals and engines.
//!
//! Run with `cargo bench -p micaspool --bench engines`. Engines are modelled as a fixed time to the
//! first token and a fixed time to the end; the figure is the processor time of all steps of the core,
//! a request that arrives, at the usual rate of the users' grown site and at five times that.

use micaspool::dispatch::{
    CacheUpdate, CachedPart, ColdStartLimits, EndpointSpec, GrantOutcome, LoadReport, RequestTicket,
    RouterHello, SessionId, ShardAction, ShardCore, ShardCustomer, ShardEvent, ShardOptions, ShardPolicy,
};
use micaspool::types::{
    Cost, CustomerName, EndpointName, HallMask, HallName, Incarnation, InstanceName, Moment, RequestDigest,
    RequestId, Revision, Weight,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

const SESSION: SessionId = SessionId(1);
const CUSTOMERS: usize = 30;
const SUBJECTS: u64 = 780;
const SLOTS: u32 = 16;
const MEMORY: u64 = 501_020;
/// Virtual seconds that are measured.
const SECONDS: u64 = 10;
const REPORT_INTERVAL: u64 = 500_000;
/// How often each engine tells what its cache took in, and how many parts that are.
const NEWS_INTERVAL: u64 = 640_000;
const NEWS_PARTS: u64 = 4;
const TICK: u64 = 50_000;
const BEGINS_AFTER: u64 = 150_000;
const ENDS_AFTER: u64 = 1_000_000;

/// What happens at a moment of the virtual time, in microseconds.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Begin(u128),
    End(u128),
    Reports,
    /// An engine tells what its cache took in.
    News(usize),
    Tick,
}

struct EngineLoad {
    core: ShardCore,
    agenda: BinaryHeap<Reverse<(u64, Happening)>>,
    actions: Vec<ShardAction>,
    engines: usize,
    arrival_gap: u64,
    arrived: u128,
    granted: u64,
    refused: u64,
    spent: Duration,
}

fn engine(number: usize) -> EndpointName {
    EndpointName::parse(&format!("engine-{number}")).expect("a name")
}

fn customer(number: u64) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("a name")
}

fn policy(engines: usize) -> ShardPolicy {
    let specs = (0..engines).map(|number| EndpointSpec {
        name: engine(number),
        hall: number % 3,
        slots: SLOTS,
        leaving: false,
        evacuated: false,
        cold: Duration::ZERO,
        memory_tokens: MEMORY,
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
        halls: (0..3).map(|number| HallName::parse(&format!("hall-{number}")).expect("a name")).collect(),
        endpoints: specs.collect(),
        customers: named.collect(),
    }
}

/// Spreads numbers, always the same way.
fn scatter(number: u128, salt: u64) -> u64 {
    (number as u64 ^ salt.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}

impl EngineLoad {
    fn new(engines: usize, arrivals_a_second: u64) -> EngineLoad {
        let options = ShardOptions::builder()
            .recovery_window(Duration::ZERO)
            .cost_ceiling(Cost(262_144))
            .tolerated_breaks(2)
            .build();
        let mut load = EngineLoad {
            core: ShardCore::new(Moment(0), options),
            agenda: BinaryHeap::new(),
            actions: Vec::new(),
            engines,
            arrival_gap: 1_000_000 / arrivals_a_second,
            arrived: 0,
            granted: 0,
            refused: 0,
            spent: Duration::ZERO,
        };
        load.step(1, ShardEvent::Policy(policy(engines)));
        let hello = RouterHello {
            router: InstanceName::parse("router").expect("a name"),
            incarnation: Incarnation(1),
            waiting: Vec::new(),
            running: Vec::new(),
            levels: Vec::new(),
            crashes: Vec::new(),
            advice: Vec::new(),
            heartbeat: 1,
        };
        load.step(1, ShardEvent::Joined(SESSION, hello));
        for number in 0..engines {
            let at = 2 + NEWS_INTERVAL * number as u64 / engines as u64;
            load.agenda.push(Reverse((at, Happening::News(number))));
        }
        for first in [Happening::Arrival, Happening::Reports, Happening::Tick] {
            load.agenda.push(Reverse((2, first)));
        }
        load
    }

    fn step(&mut self, now: u64, event: ShardEvent) {
        let started = Instant::now();
        self.core.step(Moment(now), event, &mut self.actions);
        self.spent += started.elapsed();
        for action in self.actions.drain(..) {
            match action {
                ShardAction::Grant { request, .. } => {
                    self.granted += 1;
                    self.agenda.push(Reverse((now + BEGINS_AFTER, Happening::Begin(request.0))));
                    self.agenda.push(Reverse((now + ENDS_AFTER, Happening::End(request.0))));
                }
                ShardAction::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn ticket(&mut self) -> RequestTicket {
        self.arrived += 1;
        let subject = scatter(self.arrived, 1) % SUBJECTS;
        let own = 1_000 + (scatter(self.arrived, 2) % 5_000) as u32;
        // Half of the requests belong to one customer.
        let from = if scatter(self.arrived, 3).is_multiple_of(2) { 0 } else { scatter(self.arrived, 4) };
        RequestTicket {
            request: RequestId(self.arrived.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c834)),
            customer: customer(from % CUSTOMERS as u64),
            digest: Some(RequestDigest(self.arrived)),
            hint: Cost(14_000 + u64::from(own)),
            priority: 17,
            attempt: 0,
            avoid: None,
            prefixes: vec![subject % 4, 100 + subject, 1_000_000 + self.arrived as u64],
            prefix_tokens: vec![2_500, 9_000, own],
            prompt_tokens: Cost(11_500 + u64::from(own)),
            objective: Some(Duration::from_millis(230)),
            patience: None,
            order: None,
        }
    }

    fn take(&mut self, now: u64, happening: Happening) {
        match happening {
            Happening::Arrival => {
                let ticket = self.ticket();
                self.agenda.push(Reverse((now + self.arrival_gap, Happening::Arrival)));
                self.step(now, ShardEvent::Submit(SESSION, ticket));
            }
            Happening::Begin(request) => {
                self.step(now, ShardEvent::Progress(SESSION, RequestId(request), Cost(4_000)));
            }
            Happening::End(request) => {
                self.step(
                    now,
                    ShardEvent::Settle(SESSION, RequestId(request), Cost(4_240), GrantOutcome::Done),
                );
            }
            Happening::Reports => {
                for number in 0..self.engines {
                    let report = LoadReport {
                        endpoint: engine(number),
                        running: 4,
                        waiting: 0,
                        draining: false,
                        requested_at: Moment(now),
                    };
                    self.step(now, ShardEvent::Load(report));
                }
                self.agenda.push(Reverse((now + REPORT_INTERVAL, Happening::Reports)));
            }
            Happening::News(number) => {
                let part = |place| CachedPart {
                    prefix: 2_000_000 + scatter(u128::from(now + place), number as u64),
                    tokens: 3_000,
                };
                let news = CacheUpdate {
                    endpoint: engine(number),
                    stored: Vec::new(),
                    dropped: Vec::new(),
                    cached_parts: (0..NEWS_PARTS).map(part).collect(),
                    whole: false,
                };
                self.step(now, ShardEvent::Cache(news));
                self.agenda.push(Reverse((now + NEWS_INTERVAL, Happening::News(number))));
            }
            Happening::Tick => {
                self.step(now, ShardEvent::Heartbeat(SESSION, 1));
                self.step(now, ShardEvent::Tick);
                self.agenda.push(Reverse((now + TICK, Happening::Tick)));
            }
        }
    }

    fn run(mut self, arrivals: u64) {
        while let Some(Reverse((at, happening))) = self.agenda.pop() {
            // The core's own wake-ups come in between, as its driver gives them.
            while let Some(wake) = self.core.next_wake().filter(|wake| wake.0 < at) {
                self.step((wake.0 + 200).min(at), ShardEvent::Wake);
            }
            if at > SECONDS * 1_000_000 {
                break;
            }
            self.take(at, happening);
        }
        let micros = self.spent.as_secs_f64() * 1e6 / self.arrived as f64;
        println!("{:>8} {arrivals:>11} {micros:>13.1} {:>9} {:>9}", self.engines, self.granted, self.refused);
    }
}

fn main() {
    println!(
        "{:>8} {:>11} {:>13} {:>9} {:>9}",
        "engines", "arrivals/s", "us a request", "granted", "refused"
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
    ] {
        EngineLoad::new(engines, rate).run(rate);
    }
}
