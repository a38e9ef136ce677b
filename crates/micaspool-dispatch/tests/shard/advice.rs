//! Endpoints that ask single routers to send nothing for a while (a rest), or announce that they leave.
//!
//! Guards against replacing a rest by a pause of the endpoint for all routers. The shard paused a refusing
//! endpoint for 0.5 s, and any answer to another router reset that pause. A router that had
//! been asked to rest for 3 s therefore got a grant for the endpoint every half second: requests reached it
//! after 0.41, 1.42 and 1.95 s.

use crate::harness::{endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    EndpointClosure, GrantOutcome, RefusalReason, RequestTicket, RouterHello, SessionId, ShardAction,
    ShardEvent, ShardOptions,
};
use micaspool_types::{AdviceRecord, Cost, EndpointAdvice};
use std::time::Duration;
use test_case::test_case;

const REST: Duration = Duration::from_secs(3);

fn rest_advice(endpoint_number: usize, rest: Duration) -> AdviceRecord {
    AdviceRecord { endpoint: endpoint(endpoint_number), advice: EndpointAdvice { rest, leaving: false } }
}

fn leaving_advice(endpoint_number: usize) -> AdviceRecord {
    AdviceRecord {
        endpoint: endpoint(endpoint_number),
        advice: EndpointAdvice { rest: Duration::ZERO, leaving: true },
    }
}

fn advise(harness: &mut ShardHarness, session: u64, advice: Vec<AdviceRecord>) {
    harness.step(ShardEvent::Advised(SessionId(session), advice));
}

/// A ticket with an objective of `millis`.
fn ticket_with_objective(number: u128, name: &str, millis: u64) -> RequestTicket {
    RequestTicket { objective: Some(Duration::from_millis(millis)), ..ticket(number, name, 10) }
}

fn refusals(harness: &ShardHarness) -> Vec<(u128, RefusalReason, Duration)> {
    let refusal = |action: &ShardAction| match action {
        ShardAction::Refuse { request, reason, retry_after, .. } => Some((request.0, *reason, *retry_after)),
        _ => None,
    };
    harness.actions.iter().filter_map(refusal).collect()
}

/// A shard with two endpoints of four slots and three routers.
fn fleet() -> ShardHarness {
    let mut harness = ShardHarness::new(2, 4, &["a", "b"]);
    for session in 1..=3 {
        harness.join(session, hello(&format!("r{session}"), 1));
    }
    harness
}

/// Submits a request, settles it as done and returns the number of its endpoint.
fn run(harness: &mut ShardHarness, session: u64, number: u128) -> usize {
    harness.submit(session, ticket(number, "a", 10));
    let at = harness.take_grants().pop().expect("the request is granted").endpoint;
    harness.settle(session, number, 10, GrantOutcome::Done);
    (0..2).find(|number| endpoint(*number) == at).expect("one of the two endpoints")
}

#[test]
fn a_resting_endpoint_is_not_granted_to_the_router_until_the_rest_ends() {
    let mut harness = fleet();
    advise(&mut harness, 1, vec![rest_advice(0, REST)]);
    for number in 0..29 {
        assert_eq!(run(&mut harness, 1, 2 * number), 1, "after {number} tenths of a second");
        assert_eq!(run(&mut harness, 2, 2 * number + 1), 0, "other routers were not asked to rest");
        harness.advance_with_heartbeats(100, &[1, 2, 3]);
    }
    harness.advance_with_heartbeats(200, &[1, 2, 3]);
    assert_eq!(run(&mut harness, 1, 100), 0);
}

#[test_case(1_000, 3_000; "then a longer rest")]
#[test_case(3_000, 1_000; "then a shorter rest")]
fn a_rest_can_be_extended_but_not_shortened(first: u64, second: u64) {
    let mut harness = fleet();
    advise(&mut harness, 1, vec![rest_advice(0, Duration::from_millis(first))]);
    advise(&mut harness, 1, vec![rest_advice(0, Duration::from_millis(second))]);
    harness.advance_with_heartbeats(2_900, &[1]);
    assert_eq!(run(&mut harness, 1, 1), 1);
    harness.advance_with_heartbeats(200, &[1]);
    assert_eq!(run(&mut harness, 1, 2), 0);
}

#[test]
fn a_new_shard_learns_rests_from_the_router_hello() {
    let mut harness = ShardHarness::recovering(2, 4, &["a"], ShardOptions::default());
    harness.join(1, RouterHello { advice: vec![rest_advice(0, REST), leaving_advice(1)], ..hello("r1", 1) });
    harness.join(2, hello("r2", 1));
    harness.advance_with_heartbeats(1_000, &[1, 2]);
    assert_eq!(run(&mut harness, 2, 1), 0);
    harness.submit(1, ticket_with_objective(2, "a", 500));
    assert_eq!(refusals(&harness), [(2, RefusalReason::EndpointsRest, Duration::from_secs(2))]);
}

#[test]
fn a_ticket_is_refused_at_once_if_every_rest_outlasts_its_objective() {
    let mut harness = fleet();
    harness.submit(1, ticket(1, "a", 10));
    harness.submit(2, ticket(2, "a", 10));
    for number in 3..=8 {
        harness.submit(3, ticket(number, "a", 10));
    }
    harness.submit(1, ticket_with_objective(10, "a", 4_000));
    harness.submit(1, ticket_with_objective(11, "a", 500));
    harness.take_grants();
    advise(&mut harness, 1, vec![rest_advice(0, REST), rest_advice(1, Duration::from_secs(5))]);
    let reason = "the ticket whose objective outlasts the first rest keeps waiting";
    assert_eq!(refusals(&harness), [(11, RefusalReason::EndpointsRest, REST)], "{reason}");
    harness.actions.clear();
    harness.advance_with_heartbeats(1_000, &[1, 2, 3]);
    harness.actions.clear();
    harness.submit(1, ticket_with_objective(12, "b", 500));
    assert_eq!(refusals(&harness), [(12, RefusalReason::EndpointsRest, Duration::from_secs(2))]);
}

#[test]
fn a_waiting_ticket_runs_when_the_rest_ends() {
    let mut harness = fleet();
    advise(&mut harness, 1, vec![rest_advice(0, REST), rest_advice(1, REST)]);
    harness.submit(1, ticket_with_objective(1, "a", 4_000));
    harness.advance_with_heartbeats(2_900, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    harness.advance_with_heartbeats(150, &[1]);
    assert_eq!(harness.take_granted_requests(), [1]);
}

/// A customer's queue starts with tickets of a router that every endpoint has asked to rest.
#[test]
fn tickets_of_a_resting_router_do_not_block_other_routers() {
    let mut harness = fleet();
    advise(&mut harness, 1, vec![rest_advice(0, REST), rest_advice(1, REST)]);
    for number in 10..50 {
        harness.submit(1, ticket(number, "a", 10));
    }
    harness.submit(2, ticket(1, "a", 10));
    assert_eq!(harness.take_granted_requests(), [1]);
}

/// Guards against choosing the four least loaded engines of a hall before leaving out those that the ticket
/// may not use: with four resting engines in front, it found none although sixteen more of the hall were
/// free.
#[test]
fn a_free_engine_is_found_while_the_least_loaded_ones_rest() {
    let mut harness = ShardHarness::new(60, 4, &["a"]);
    harness.update_policy(|policy| policy.endpoints.iter_mut().for_each(|spec| spec.memory_tokens = 100_000));
    harness.join(1, hello("r1", 1));
    let resting: Vec<usize> = (0..59).collect();
    advise(
        &mut harness,
        1,
        resting.iter().map(|endpoint_number| rest_advice(*endpoint_number, REST)).collect(),
    );
    harness.submit(1, RequestTicket { prompt_tokens: Cost(100), ..ticket(1, "a", 100) });
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].endpoint, endpoint(59));
}

#[test]
fn a_leaving_endpoint_is_closed_for_all_routers_and_its_requests_continue() {
    let mut harness = fleet();
    harness.submit(2, ticket(1, "a", 10));
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(0));
    advise(&mut harness, 1, vec![leaving_advice(0)]);
    for number in 10..14 {
        assert_eq!(run(&mut harness, 1 + (number % 3) as u64, number), 1);
    }
    harness.report_load(0, 1, false);
    harness.advance_with_heartbeats(60_000, &[1, 2, 3]);
    assert_eq!(run(&mut harness, 1, 20), 1, "no later load report of the same incarnation reopens it");
    harness.step(ShardEvent::Progress(SessionId(2), request_id(1), Cost(5)));
    harness.settle(2, 1, 10, GrantOutcome::Done);
    let status = harness.core.status(harness.now);
    assert_eq!(status.endpoints[0].closure, Some(EndpointClosure::Draining));
    assert_eq!(status.endpoints[0].busy, 0);
}

/// Eight routers are asked to rest at the same moment. Their requests resume one at a time until one
/// succeeds.
#[test]
fn the_end_of_a_rest_admits_one_request_until_it_succeeds() {
    let mut harness = ShardHarness::new(1, 8, &["a"]);
    for session in 1..=9 {
        harness.join(session, hello(&format!("r{session}"), 1));
    }
    for session in 1..=8 {
        harness.submit(session, ticket(u128::from(session), "a", 10));
    }
    assert_eq!(harness.take_granted_requests().len(), 8);
    for session in 1..=8 {
        advise(&mut harness, session, vec![rest_advice(0, REST)]);
        harness.settle(session, u128::from(session), 0, GrantOutcome::Refused);
    }
    let alive: Vec<u64> = (1..=9).collect();
    for session in 1..=8 {
        harness.submit(session, ticket(20 + u128::from(session), "a", 10));
    }
    harness.take_grants();
    harness.advance_with_heartbeats(2_950, &alive);
    assert!(harness.take_granted_requests().is_empty());
    harness.advance_with_heartbeats(200, &alive);
    let first = harness.take_granted_requests();
    assert_eq!(first.len(), 1, "one request probes the endpoint: {first:?}");
    let session = u64::try_from(first[0] - 20).expect("session fits in u64");
    harness.settle(session, first[0], 10, GrantOutcome::Done);
    assert_eq!(harness.take_granted_requests().len(), 7);
}
