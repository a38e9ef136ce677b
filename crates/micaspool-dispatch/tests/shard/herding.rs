//! Tickets whose prompts begin alike, and engines that keep that beginning.
//!
//! Symptom: on a calm day 2,490 of 4,035 settlement letters were refused after 583 ms in the median, of an
//! objective of 800 ms, while 100 of 140 engines were free; other kinds were served. Sequence: the letters begin
//! with one of four common parts; the first letters went to a few engines; every later one found those busy,
//! reckoned with their reading alone, and waited for them, and there it was one of many. Cause: the estimate of a
//! wait left out the tickets that already waited for the same engine, so no other engine was ever given the
//! common parts. What settled it: the answers by endpoint, with all letters at 12 of 140 engines and the other
//! kinds of streams at 116 and 119, from the first second to the last.

use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{CacheNews, GrantFate, KeptPart, RequestTicket, SessionId, ShardAction, ShardEvent};
use micaspool_types::{Cost, EndpointName, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use test_case::test_case;

/// Tokens a millisecond.
const PACE: u64 = 40;
/// From the end of reading to the first event, in milliseconds.
const LATENCY: u64 = 50;
/// How long a request runs after its first event, in milliseconds.
const RUN: u64 = 300;
/// Common parts and their tokens.
const SUBJECTS: u128 = 4;
const COMMON: u32 = 2_500;
/// The tokens of a prompt that no other prompt has.
const OWN: u32 = 6_500;

#[derive(Debug, Clone, Copy)]
enum Step {
    Begin(u128),
    End(u128),
}

/// Engines that read in order of arrival and keep what they have read.
struct EngineFleet {
    harness: ShardHarness,
    due: BTreeMap<(u64, u128), Step>,
    busy_until: HashMap<EndpointName, u64>,
    kept: HashMap<EndpointName, BTreeSet<u64>>,
    refused: Vec<u128>,
}

impl EngineFleet {
    fn new(engines: usize) -> EngineFleet {
        let mut harness = ShardHarness::new(engines, 16, &["a", "b", "c", "d", "e"]);
        harness.update_policy(|policy| {
            for spec in &mut policy.endpoints {
                spec.memory_tokens = 500_000;
            }
            policy.planned_pace = PACE as f64;
        });
        harness.join(1, hello("r1", 1));
        EngineFleet {
            harness,
            due: BTreeMap::new(),
            busy_until: HashMap::new(),
            kept: HashMap::new(),
            refused: Vec::new(),
        }
    }

    fn submit(&mut self, number: u128) {
        let customer = ["a", "b", "c", "d", "e"][(number % 5) as usize];
        let prompt = RequestTicket {
            prefixes: vec![subject(number), 1_000 + number as u64],
            prefix_tokens: vec![COMMON, OWN],
            prompt_tokens: Cost(u64::from(COMMON + OWN)),
            objective: Some(Duration::from_millis(800)),
            ..ticket(number, customer, 10_000)
        };
        self.harness.submit(1, prompt);
    }

    /// One millisecond.
    fn pass(&mut self, now: u64) {
        self.harness.now = self.harness.now + Duration::from_millis(1);
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Step::Begin(number) => {
                    let begun = ShardEvent::Progress(SessionId(1), RequestId(number), Cost(1));
                    self.harness.step(begun);
                    self.due.insert((now + RUN, number), Step::End(number));
                }
                Step::End(number) => self.harness.settle(1, number, 10_000, GrantFate::Done),
            }
        }
        self.harness.step(ShardEvent::Wake);
        if now.is_multiple_of(50) {
            self.harness.step(ShardEvent::Heartbeat(SessionId(1), 1));
            self.harness.step(ShardEvent::Tick);
        }
        self.read(now);
    }

    /// Gives the engines what was granted.
    fn read(&mut self, now: u64) {
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                ShardAction::Grant { request, endpoint, .. } => {
                    let new = self.kept.entry(endpoint.clone()).or_default().insert(subject(request.0));
                    let missing = u64::from(if new { COMMON + OWN } else { OWN });
                    let until = self.busy_until.entry(endpoint).or_default();
                    *until = now.max(*until) + missing / PACE;
                    self.due.insert((*until + LATENCY, request.0), Step::Begin(request.0));
                }
                ShardAction::Refuse { request, .. } => self.refused.push(request.0),
                _ => {}
            }
        }
    }
}

fn subject(number: u128) -> u64 {
    (number % SUBJECTS) as u64
}

/// Engines could read nearly twice what is asked: hardly anybody is refused, and the common parts come to as
/// many engines as are needed.
#[test_case(12, 30; "a dozen engines")]
#[test_case(60, 5; "sixty engines")]
fn common_parts_spread_to_as_many_engines_as_are_needed(engines: usize, gap: u64) {
    let mut fleet = EngineFleet::new(engines);
    let mut asked = 0;
    for now in 0..6_000 {
        if now % gap == 0 {
            fleet.submit(asked);
            asked += 1;
        }
        fleet.pass(now);
    }
    let refused = fleet.refused.len();
    assert!(
        refused * 50 <= asked as usize,
        "{refused} of {asked} were refused, {} engines",
        fleet.kept.len()
    );
}

/// Of many engines that keep a part, those that are free are found, however many busy ones kept it earlier.
#[test]
fn a_free_holder_is_found_behind_busy_ones() {
    const HOLDERS: usize = 20;
    const BUSY: usize = 17;
    let mut fleet = EngineFleet::new(40);
    let part = KeptPart { prefix: 7, tokens: 10_000 };
    for engine in 0..HOLDERS {
        let news = CacheNews {
            endpoint: endpoint(engine),
            stored: Vec::new(),
            dropped: Vec::new(),
            kept: vec![part],
            whole: true,
        };
        fleet.harness.step(ShardEvent::Cache(news));
    }
    let prompt = |number: u128, own: u32| RequestTicket {
        prefixes: vec![part.prefix, 1_000 + number as u64],
        prefix_tokens: vec![part.tokens, own],
        prompt_tokens: Cost(u64::from(part.tokens + own)),
        objective: Some(Duration::from_millis(800)),
        ..ticket(number, "a", 1)
    };
    for number in 0..HOLDERS {
        let own = if number < BUSY { 30_000 } else { 1_000 };
        fleet.harness.submit(1, prompt(number as u128, own));
    }
    let granted: Vec<_> = fleet.harness.take_grants().into_iter().map(|grant| grant.endpoint).collect();
    assert_eq!(granted, (0..HOLDERS).map(endpoint).collect::<Vec<_>>(), "each holder is given one");
    fleet.harness.advance_with_heartbeats(50, &[1]);
    fleet.harness.submit(1, prompt(100, 500));
    let found = fleet.harness.take_grants().pop().expect("three holders have read what they got").endpoint;
    assert!(granted[BUSY..].contains(&found), "{found:?}");
}
