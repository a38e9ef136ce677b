//! Single decisions about engines with streams that have a pause.

use super::model::PAUSE;
use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{EngineTraits, GenerationOutline, RequestTicket, SessionId, ShardEvent};
use micaspool_types::{Cost, EndpointName, RequestId};
use std::time::Duration;

const EVENT_COST: u64 = 14;
/// The prefill rate that settings plan, in tokens per millisecond.
const RATE: u64 = 60;

fn engines(count: usize) -> ShardHarness {
    let mut harness = ShardHarness::new(count, 12, &["a"]);
    harness.update_policy(|policy| {
        policy.endpoints.iter_mut().for_each(|spec| spec.memory_tokens = 400_000);
        policy.planned_pace = RATE as f64;
        policy.engine = EngineTraits { event_tokens: 7, ..EngineTraits::default() };
    });
    harness.join(1, hello("r1", 1));
    harness
}

fn prompt(number: u128, tokens: u64) -> RequestTicket {
    RequestTicket {
        prompt_tokens: Cost(tokens),
        generation: GenerationOutline { pause: Some(PAUSE), ..GenerationOutline::default() },
        ..ticket(number, "a", tokens)
    }
}

fn report(harness: &mut ShardHarness, number: u128, events: u64) {
    let cost = Cost(1_000 + events * EVENT_COST);
    harness.step(ShardEvent::Progress(SessionId(1), RequestId(number), cost));
}

/// Starts a stream on each engine, in the order of their numbers.
fn start_streams(harness: &mut ShardHarness, count: u128) -> Vec<EndpointName> {
    (0..count).for_each(|number| harness.submit(1, prompt(number, 1_000)));
    let engines = harness.take_grants().into_iter().map(|grant| grant.endpoint).collect();
    harness.advance_with_heartbeats(50, &[1]);
    (0..count).for_each(|number| report(harness, number, 1));
    engines
}

/// Stream 0 gets one event in 900 ms, the others get ten.
fn fall_behind(harness: &mut ShardHarness, count: u128) {
    harness.advance_with_heartbeats(900, &[1]);
    report(harness, 0, 2);
    (1..count).for_each(|number| report(harness, number, 11));
}

/// Guards against prompts that delay streams further which already get less than one event per pause.
#[test]
fn an_engine_that_is_behind_gets_nothing_while_another_is_not() {
    let mut harness = engines(2);
    let engines = start_streams(&mut harness, 2);
    assert_ne!(engines[0], engines[1], "an idle engine is preferred");
    fall_behind(&mut harness, 2);
    assert_eq!(harness.core.status(harness.now).pause_limited, 1);
    for number in 10..13 {
        harness.submit(1, prompt(number, 100));
        assert_eq!(harness.take_grants()[0].endpoint, engines[1]);
        harness.advance_with_heartbeats(50, &[1]);
        report(&mut harness, number, 1);
    }
}

/// Guards against an engine that stays closed although its streams get their events again.
#[test]
fn an_engine_that_caught_up_gets_prompts_again() {
    let mut harness = engines(1);
    start_streams(&mut harness, 1);
    fall_behind(&mut harness, 1);
    harness.submit(1, prompt(10, 100));
    assert!(harness.take_grants().is_empty(), "the stream got one event in 900 ms");
    harness.advance_with_heartbeats(200, &[1]);
    report(&mut harness, 0, 6);
    harness.advance_with_heartbeats(50, &[1]);
    assert_eq!(harness.take_granted_requests(), [10]);
}

/// Guards against an engine that is closed forever by a stream whose reports are lost.
#[test]
fn an_engine_that_stays_behind_is_closed_for_a_bounded_time() {
    let mut harness = engines(1);
    start_streams(&mut harness, 1);
    fall_behind(&mut harness, 1);
    harness.submit(1, prompt(10, 100));
    harness.advance_with_heartbeats(900, &[1]);
    assert!(harness.take_grants().is_empty());
    harness.advance_with_heartbeats(200, &[1]);
    assert_eq!(harness.take_granted_requests(), [10]);
}

/// Guards against two prompts without a gap that together take longer than the pause of a stream.
#[test]
fn the_next_prompt_follows_the_first_event() {
    let mut harness = engines(1);
    start_streams(&mut harness, 1);
    harness.submit(1, prompt(10, 200 * RATE));
    harness.submit(1, prompt(11, 200 * RATE));
    assert_eq!(harness.take_granted_requests(), [10]);
    harness.advance_with_heartbeats(200, &[1]);
    assert!(harness.take_grants().is_empty(), "prompt 10 has had no event, nor have the streams since");
    harness.advance_with_heartbeats(50, &[1]);
    report(&mut harness, 10, 1);
    harness.advance_with_heartbeats(50, &[1]);
    assert_eq!(harness.take_granted_requests(), [11]);
}

/// Guards against an engine that stays closed after the wake at which its prompt is surely prefilled, until
/// something else is reported of it.
#[test]
fn the_next_prompt_follows_at_the_wake_if_the_first_event_is_not_reported() {
    let mut harness = engines(1);
    start_streams(&mut harness, 1);
    harness.submit(1, prompt(10, 200 * RATE));
    harness.submit(1, prompt(11, 200 * RATE));
    assert_eq!(harness.take_granted_requests(), [10]);
    let until = harness.now + Duration::from_millis(600);
    while let Some(wake) = harness.core.next_wake().filter(|wake| *wake < until) {
        harness.now = wake.max(harness.now);
        harness.step(ShardEvent::Wake);
    }
    assert_eq!(harness.take_granted_requests(), [11]);
}

/// Guards against a prompt that breaks pauses running where more streams than necessary are late.
#[test]
fn a_very_long_prompt_goes_to_the_engine_with_the_fewest_streams() {
    let mut harness = engines(2);
    let engines = start_streams(&mut harness, 3);
    let busier = if engines.iter().filter(|name| **name == endpoint(0)).count() == 2 { 0 } else { 1 };
    harness.submit(1, prompt(10, 1_000 * RATE));
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(1 - busier));
}

/// Guards against refusing a prompt because it breaks pauses at every engine.
#[test]
fn a_very_long_prompt_is_granted_where_it_breaks_pauses() {
    let mut harness = engines(1);
    start_streams(&mut harness, 1);
    harness.submit(1, prompt(10, 1_000 * RATE));
    assert_eq!(harness.take_granted_requests(), [10]);
}
