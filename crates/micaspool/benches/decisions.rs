//! Measures the time of a decision of the shard core, by numbers of customers, endpoints and waiting tickets.
//!
//! Run with `cargo bench -p micaspool --bench decisions`. In each decision a grant ends, the freed slot goes to
//! the next ticket, and a new ticket is submitted. It also measures the memory of a ticket and of a ledger key.

use micaspool::dispatch::{
    ColdStartLimits, EndpointSpec, EngineTraits, GenerationOutline, GrantOutcome, RequestTicket, RouterHello,
    SessionId, ShardAction, ShardCore, ShardCustomer, ShardEvent, ShardOptions, ShardPolicy,
};
use micaspool::ledger::{
    BodyDigest, ClaimCommand, ClaimKey, ClaimToken, FinishCommand, FinishKind, LedgerOptions, LedgerState,
    LedgerTime, StoredAnswer,
};
use micaspool::types::{
    Cost, CustomerName, EndpointName, HallLimit, HallMask, HallName, Incarnation, InstanceName, Moment,
    RequestDigest, RequestId, Revision, SoftwareVersion, VersionLimit, Weight,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const SLOTS: u32 = 8;
const DECISIONS: usize = 100_000;
const SESSION: SessionId = SessionId(1);

/// A shard core with all slots busy and a constant number of waiting tickets.
struct DecisionLoad {
    core: ShardCore,
    now: Moment,
    actions: Vec<ShardAction>,
    running: VecDeque<RequestId>,
    next: u128,
    customers: usize,
}

fn customer(number: usize) -> CustomerName {
    CustomerName::parse(&format!("customer-{number:04}")).expect("a name")
}

fn policy(customers: usize, endpoints: usize) -> ShardPolicy {
    let halls = (0..4).map(|number| HallName::parse(&format!("hall-{number}")).expect("a name"));
    let specs = (0..endpoints).map(|number| EndpointSpec {
        name: EndpointName::parse(&format!("endpoint-{number}")).expect("a name"),
        hall: number % 4,
        slots: SLOTS,
        version: SoftwareVersion::default(),
        leaving: false,
        evacuated: false,
        cold: Duration::ZERO,
        memory_tokens: 0,
    });
    let named = (0..customers).map(|number| ShardCustomer {
        name: customer(number),
        weight: Weight::ONE,
        halls: HallMask(if number % 8 == 7 { 1 << (number / 8 % 4) } else { 0b1111 }),
        max_waiting: u32::MAX,
    });
    ShardPolicy {
        revision: Revision(1),
        idle_credit: Cost(0),
        planned_pace: 0.0,
        cold: ColdStartLimits::default(),
        engine: EngineTraits::default(),
        halls: halls.collect(),
        endpoints: specs.collect(),
        customers: named.collect(),
    }
}

impl DecisionLoad {
    fn new(customers: usize, endpoints: usize, waiting: usize) -> DecisionLoad {
        let options = ShardOptions::builder().recovery_window(Duration::ZERO).max_waiting(usize::MAX).build();
        let now = Moment::from_millis(1_000);
        let mut load = DecisionLoad {
            core: ShardCore::new(now, options),
            now,
            actions: Vec::new(),
            running: VecDeque::new(),
            next: 0,
            customers,
        };
        load.step(ShardEvent::Policy(policy(customers, endpoints)));
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
        for _ in 0..waiting + endpoints * SLOTS as usize {
            load.submit();
        }
        load
    }

    fn step(&mut self, event: ShardEvent) {
        self.core.step(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let ShardAction::Grant { request, .. } = action {
                self.running.push_back(request);
            }
        }
    }

    fn submit(&mut self) {
        self.next += 1;
        let number = (self.next as usize).wrapping_mul(7_919) % self.customers;
        let ticket = RequestTicket {
            request: RequestId(self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c834)),
            customer: customer(number),
            digest: Some(RequestDigest(self.next)),
            hint: Cost(100 + self.next as u64 % 900),
            priority: 5,
            attempt: 0,
            avoid: None,
            prefixes: vec![number as u64, self.next as u64 % 5_000],
            prefix_tokens: Vec::new(),
            prompt_tokens: Cost(0),
            objective: None,
            patience: None,
            order: None,
            halls: HallLimit::Anywhere,
            versions: VersionLimit::Any,
            generation: GenerationOutline::default(),
        };
        self.step(ShardEvent::Submit(SESSION, ticket));
    }

    fn decide(&mut self) {
        let request = self.running.pop_front().expect("every slot is busy");
        self.step(ShardEvent::Settle(SESSION, request, Cost(500), GrantOutcome::Done));
        self.submit();
    }
}

/// The resident memory of this process.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Measures the memory of a ledger key, without an answer and with one of 256 bytes.
fn ledger_bytes() {
    const KEYS: u64 = 200_000;
    for answer in [0, 256] {
        let before = resident_bytes();
        let mut ledger = LedgerState::new(LedgerOptions::default());
        for number in 0..KEYS {
            let key = ClaimKey {
                customer: customer(number as usize % 84),
                key: format!("key-{number:020}").into(),
            };
            let token = ClaimToken(number);
            let at = LedgerTime(number);
            ledger.claim(&ClaimCommand { key: key.clone(), body: BodyDigest([7; 32]), token, at });
            let stored = StoredAnswer {
                status: 200,
                content_type: "application/json".to_owned(),
                body: vec![1; answer],
            };
            ledger.finish(&FinishCommand { key, token, kind: FinishKind::Answered(stored), at });
        }
        let bytes = resident_bytes().saturating_sub(before) / KEYS;
        println!("ledger: {bytes} bytes a key with an answer of {answer} bytes, {} keys", ledger.len());
        std::mem::forget(ledger);
    }
}

fn main() {
    ledger_bytes();
    println!(
        "{:>10} {:>10} {:>9} {:>14} {:>16}",
        "customers", "endpoints", "waiting", "us a decision", "bytes a ticket"
    );
    for (customers, endpoints) in [(84, 60), (840, 600)] {
        for waiting in [1_000, 10_000, 100_000] {
            let before = resident_bytes();
            let mut load = DecisionLoad::new(customers, endpoints, waiting);
            let bytes = resident_bytes().saturating_sub(before) / waiting as u64;
            for _ in 0..DECISIONS / 10 {
                load.decide();
            }
            let started = Instant::now();
            for _ in 0..DECISIONS {
                load.decide();
            }
            let micros = started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
            println!("{customers:>10} {endpoints:>10} {waiting:>9} {micros:>14.2} {bytes:>16}");
        }
    }
}
