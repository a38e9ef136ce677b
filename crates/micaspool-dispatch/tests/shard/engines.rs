//! Engines: which one gets a prompt, how much work an engine is granted in advance, and which tickets are
//! refused in time.

use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{
    CacheUpdate, CachedPart, GrantOutcome, RefusalReason, RequestTicket, SessionId, ShardEvent,
};
use micaspool_types::{Cost, RequestId};
use std::collections::HashMap;
use std::time::Duration;

const MEMORY: u64 = 500_000;
/// The idle credit, by which a returning customer may have received less than the others; the value of the
/// users' sites.
const CREDIT: Cost = Cost(29_000);

/// The prefill rate that settings plan for an engine, in tokens per millisecond; the engines here have it.
const PACE: u64 = 35;

/// A shard of engines with 64 slots each.
fn engines(count: usize, customers: &[&str]) -> ShardHarness {
    let mut harness = ShardHarness::new(count, 64, customers);
    harness.update_policy(|policy| {
        for spec in &mut policy.endpoints {
            spec.memory_tokens = MEMORY;
        }
        policy.planned_pace = PACE as f64;
    });
    harness.join(1, hello("r1", 1));
    harness
}

/// A ticket whose prompt has a shared part and one of its own.
fn prompt(number: u128, name: &str, shared: (u64, u32), own: u32) -> RequestTicket {
    RequestTicket {
        prefixes: vec![shared.0, 1_000_000 + number as u64],
        prefix_tokens: vec![shared.1, own],
        prompt_tokens: Cost(u64::from(shared.1 + own)),
        ..ticket(number, name, u64::from(shared.1 + own))
    }
}

/// Reports the first event of a request and settles it as done.
fn run(harness: &mut ShardHarness, number: u128, cost: u64) {
    harness.step(ShardEvent::Progress(SessionId(1), RequestId(number), Cost(cost)));
    harness.settle(1, number, cost, GrantOutcome::Done);
}

/// Lets the engine prefill the `missing` tokens of a prompt, then runs the request.
fn prefill_and_run(harness: &mut ShardHarness, number: u128, missing: u64, cost: u64) {
    harness.advance_with_heartbeats(missing / PACE + 30, &[1]);
    run(harness, number, cost);
}

#[test]
fn a_prompt_waits_for_the_engine_that_caches_its_long_part_when_that_is_faster() {
    let mut harness = engines(2, &["a"]);
    harness.submit(1, prompt(1, "a", (7, 13_000), 500));
    let first = harness.take_grants()[0].endpoint.clone();
    prefill_and_run(&mut harness, 1, 13_500, 13_500);
    harness.advance_with_heartbeats(1_000, &[1]);
    harness.submit(1, prompt(2, "a", (7, 13_000), 8_000));
    assert_eq!(harness.take_grants()[0].endpoint, first);
    harness.submit(1, prompt(3, "a", (7, 13_000), 500));
    assert!(
        harness.take_grants().is_empty(),
        "the engine with the part is busy for 229 ms; another one prefills the part in 371 ms"
    );
    prefill_and_run(&mut harness, 2, 8_000, 21_000);
    harness.advance_with_heartbeats(50, &[1]);
    assert_eq!(harness.take_grants()[0].endpoint, first);
}

#[test]
fn a_prompt_does_not_wait_for_an_engine_that_fell_silent() {
    let mut harness = engines(2, &["a"]);
    harness.submit(1, prompt(1, "a", (7, 13_000), 500));
    let silent = harness.take_grants()[0].endpoint.clone();
    prefill_and_run(&mut harness, 1, 13_500, 13_500);
    harness.advance_with_heartbeats(1_000, &[1]);
    harness.submit(1, prompt(2, "a", (7, 13_000), 8_000));
    assert_eq!(harness.take_grants()[0].endpoint, silent);
    harness.advance_with_heartbeats(1_500, &[1]);
    harness.submit(1, prompt(3, "a", (7, 13_000), 500));
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 1, "the first event of prompt 2 was due after 229 ms; the other engine is free");
    assert_ne!(grants[0].endpoint, silent);
}

#[test]
fn a_short_shared_part_is_prefilled_again_instead_of_waiting() {
    let mut harness = engines(2, &["a"]);
    harness.submit(1, prompt(1, "a", (7, 300), 500));
    run(&mut harness, 1, 800);
    harness.submit(1, prompt(2, "a", (7, 300), 20_000));
    harness.take_grants();
    harness.submit(1, prompt(3, "a", (7, 300), 500));
    assert_eq!(harness.take_grants().len(), 1, "another engine prefills 300 tokens sooner");
}

#[test]
fn an_engine_is_granted_little_work_in_advance() {
    let mut harness = engines(1, &["a"]);
    for number in 0..40 {
        harness.submit(1, prompt(number, "a", (number as u64, 1_000), 1_000));
    }
    let at_once = harness.take_grants().len();
    assert!((2..=4).contains(&at_once), "{at_once} prompts of 2,000 tokens at once");
    for number in 0..at_once as u128 {
        prefill_and_run(&mut harness, number, 2_000, 2_000);
    }
    harness.advance_with_heartbeats(1_000, &[1]);
    let later = harness.take_grants().len();
    assert!((2..=9).contains(&later), "prompts without a first event limit further grants, {later} followed");
}

#[test]
fn parts_that_no_longer_fit_in_memory_are_not_expected() {
    let mut harness = engines(2, &["a"]);
    harness.submit(1, prompt(0, "a", (7, 13_000), 10));
    let first = harness.take_grants()[0].endpoint.clone();
    prefill_and_run(&mut harness, 0, 13_010, 13_010);
    for number in 1..60 {
        harness.advance_with_heartbeats(1_000, &[1]);
        let filler = RequestTicket {
            avoid: Some(other_endpoint(&first)),
            ..prompt(number, "a", (100 + number as u64, 13_000), 10)
        };
        harness.submit(1, filler);
        prefill_and_run(&mut harness, number, 13_010, 13_010);
    }
    let busy = RequestTicket { avoid: Some(other_endpoint(&first)), ..prompt(98, "a", (98, 10), 10) };
    harness.submit(1, busy);
    harness.advance_with_heartbeats(1_000, &[1]);
    harness.take_grants();
    harness.submit(1, prompt(99, "a", (7, 13_000), 10));
    assert_ne!(
        harness.take_grants()[0].endpoint,
        first,
        "neither engine caches the part, and the other one is idle"
    );
}

fn other_endpoint(name: &micaspool_types::EndpointName) -> micaspool_types::EndpointName {
    if *name == endpoint(0) {
        endpoint(1)
    } else {
        endpoint(0)
    }
}

#[test]
fn a_ticket_that_reached_its_wait_limit_is_refused() {
    let mut harness = engines(1, &["a"]);
    harness.submit(1, prompt(1, "a", (1, 40_000), 10));
    let urgent =
        RequestTicket { objective: Some(Duration::from_millis(180)), ..prompt(2, "a", (2, 1_000), 10) };
    harness.submit(1, urgent);
    harness.advance_with_heartbeats(150, &[1]);
    assert!(harness.refusals().is_empty());
    assert!(harness.core.next_wake().is_some(), "the core schedules its next wake");
    harness.advance_with_heartbeats(50, &[1]);
    assert_eq!(harness.refusals(), [(2, RefusalReason::Overdue)]);
}

/// Guards against a ticket that begins too late for its objective because its own prefill time was taken as
/// zero while every engine had enough queued prefill work.
#[test]
fn a_ticket_is_refused_once_its_own_prefill_no_longer_fits_while_all_engines_are_busy() {
    let mut harness = engines(2, &["a"]);
    harness.submit(1, prompt(1, "a", (1, 60_000), 10));
    harness.submit(1, prompt(2, "a", (2, 60_000), 10));
    let objective = Some(Duration::from_millis(800));
    harness.submit(1, RequestTicket { objective, ..prompt(3, "a", (3, 8_000), 10) });
    harness.advance_with_heartbeats(550, &[1]);
    assert!(harness.refusals().is_empty(), "its prefill takes 229 ms of 800");
    harness.advance_with_heartbeats(50, &[1]);
    assert_eq!(harness.refusals(), [(3, RefusalReason::Overdue)]);
}

/// Two customers together send more than the engine can prefill, one of them fifty times as often. Long
/// prompts keep the engine busy for longer than a ticket may wait, so that the flood has a ticket ready
/// whenever the engine becomes free, and the small customer seldom has. The small customer must still get
/// its share.
#[test]
fn a_small_customer_gets_its_share_while_a_flood_keeps_the_engine_busy() {
    let mut harness = engines(1, &["flood", "small"]);
    harness.update_policy(|policy| policy.idle_credit = CREDIT);
    let mut served = HashMap::from([("flood", 0_u64), ("small", 0)]);
    let mut submitted = 0;
    let mut running: Vec<(u128, &str)> = Vec::new();
    let mut number = 0;
    for round in 0..600 {
        let mut send = |harness: &mut ShardHarness, name: &'static str| {
            number += 1;
            let objective = Some(Duration::from_millis(180));
            harness
                .submit(1, RequestTicket { objective, ..prompt(number, name, (number as u64, 10), 20_000) });
            running.push((number, name));
        };
        for _ in 0..2 {
            send(&mut harness, "flood");
        }
        if round % 25 == 0 {
            send(&mut harness, "small");
            submitted += 20_010;
        }
        harness.advance_with_heartbeats(50, &[1]);
        let granted = harness.take_granted_requests();
        running.retain(|(request, name)| {
            if granted.contains(request) {
                *served.get_mut(name).expect("both customers are in the map") += 20_010;
                run(&mut harness, *request, 20_010);
                return false;
            }
            true
        });
    }
    let small = served["small"];
    assert!(
        small * 10 >= submitted * 9,
        "small submitted {submitted} tokens and got {small}, flood {}",
        served["flood"]
    );
}

/// A customer that used an engine alone is not delayed for that later: once others arrive, all are served
/// alike.
#[test]
fn service_received_without_contention_does_not_delay_a_customer_later() {
    let mut harness = engines(1, &["early", "late-1", "late-2", "late-3"]);
    harness.update_policy(|policy| policy.idle_credit = CREDIT);
    let mut number = 0;
    let mut served = HashMap::new();
    let mut owners = HashMap::new();
    for round in 0..400 {
        let names: &[&str] = if round < 200 { &["early"] } else { &["early", "late-1", "late-2", "late-3"] };
        for name in names {
            number += 1;
            let objective = Some(Duration::from_millis(180));
            harness
                .submit(1, RequestTicket { objective, ..prompt(number, name, (number as u64, 10), 2_000) });
            owners.insert(number, *name);
        }
        harness.advance_with_heartbeats(50, &[1]);
        for request in harness.take_granted_requests() {
            if round >= 200 {
                *served.entry(owners[&request]).or_insert(0) += 1;
            }
            run(&mut harness, request, 2_010);
        }
    }
    let (least, most) = (served.values().min(), served.values().max());
    assert!(served.len() == 4 && most <= least.map(|least| least * 2).as_ref(), "{served:?}");
}

/// A shard that starts beside running engines uses the parts that these report.
#[test]
fn parts_cached_before_the_shard_started_are_used() {
    let mut harness = engines(2, &["a"]);
    let cached_parts = vec![CachedPart { prefix: 7, tokens: 13_000 }];
    let update = CacheUpdate {
        endpoint: endpoint(1),
        stored: Vec::new(),
        dropped: Vec::new(),
        cached_parts,
        whole: true,
    };
    harness.step(ShardEvent::Cache(update));
    for number in 0..3 {
        harness.submit(1, prompt(number, "a", (7, 13_000), 1_000));
        assert_eq!(harness.take_grants().first().map(|grant| grant.endpoint.clone()), Some(endpoint(1)));
        prefill_and_run(&mut harness, number, 1_000, 14_000);
        harness.advance_with_heartbeats(50, &[1]);
    }
}

/// An engine's report of a dropped part takes effect at once, and a complete list replaces all earlier
/// assumptions.
#[test_case::test_case(CacheUpdate { dropped: vec![7], ..nothing_new() }; "a part is dropped")]
#[test_case::test_case(CacheUpdate { whole: true, ..nothing_new() }; "a list without the part")]
fn parts_that_an_engine_dropped_are_not_expected(update: CacheUpdate) {
    let mut harness = engines(2, &["a"]);
    harness.submit(1, prompt(1, "a", (7, 13_000), 10));
    let first = harness.take_grants()[0].endpoint.clone();
    prefill_and_run(&mut harness, 1, 13_010, 13_010);
    harness.advance_with_heartbeats(1_000, &[1]);
    let busy = RequestTicket { avoid: Some(other_endpoint(&first)), ..prompt(2, "a", (8, 2_000), 10) };
    harness.submit(1, busy);
    harness.step(ShardEvent::Cache(CacheUpdate { endpoint: first.clone(), ..update }));
    harness.take_grants();
    harness.submit(1, prompt(3, "a", (7, 13_000), 10));
    assert_ne!(
        harness.take_grants()[0].endpoint,
        first,
        "neither engine caches the part, and the other one is idle"
    );
}

fn nothing_new() -> CacheUpdate {
    CacheUpdate {
        endpoint: endpoint(0),
        stored: Vec::new(),
        dropped: Vec::new(),
        cached_parts: Vec::new(),
        whole: false,
    }
}

/// A ticket that its customer's queue would delay past its objective is refused on arrival; other customers
/// are still admitted.
#[test]
fn a_ticket_that_would_be_served_too_late_is_refused_on_arrival() {
    let mut harness = engines(1, &["flood", "small"]);
    let prompt_with_objective = |number: u128, name: &str| RequestTicket {
        objective: Some(Duration::from_millis(800)),
        ..prompt(number, name, (number as u64, 10), 8_000)
    };
    for number in 0..20 {
        harness.submit(1, prompt_with_objective(number, "flood"));
    }
    let late = harness.refusals();
    assert!((15..20).contains(&late.len()), "one runs and two or three may wait: {late:?}");
    assert!(late.iter().all(|(_, reason)| *reason == RefusalReason::Overdue));
    harness.submit(1, prompt_with_objective(100, "small"));
    assert_eq!(harness.refusals().len(), late.len(), "the small customer has nothing in the queue");
}

/// A queue that engines can prefill in time is not refused, however little its customer received lately.
#[test]
fn a_burst_that_idle_engines_can_take_is_not_refused() {
    let mut harness = engines(6, &["a"]);
    for number in 0..30 {
        let ticket = prompt(number, "a", (number as u64, 10), 600);
        harness.submit(1, RequestTicket { objective: Some(Duration::from_millis(600)), ..ticket });
    }
    assert!(harness.refusals().is_empty(), "18,000 tokens are prefilled in 90 ms");
}
