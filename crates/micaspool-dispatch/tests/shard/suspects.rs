//! What is held against a request, by how its runs and its endpoints end.

use crate::harness::{customer, endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    CrashRecord, EndpointCrash, GrantFate, LoadReport, ReleaseReason, RequestTicket, RouterHello, SessionId,
    ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, RequestDigest};
use std::time::Duration;
use test_case::test_case;

const LETTER: RequestDigest = RequestDigest(7);
const OTHER: RequestDigest = RequestDigest(8);

fn asked(number: u128, digest: RequestDigest) -> RequestTicket {
    RequestTicket { digest: Some(digest), ..ticket(number, "a", 10) }
}

/// Endpoints with many slots, and two routers.
fn fleet(endpoints: usize) -> ShardHarness {
    let mut harness = ShardHarness::new(endpoints, 8, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.join(2, hello("r2", 1));
    harness.actions.clear();
    harness
}

/// Submits a request that is granted, and gives where.
fn granted(harness: &mut ShardHarness, session: u64, ticket: RequestTicket) -> EndpointName {
    let request = ticket.request;
    harness.actions.clear();
    harness.submit(session, ticket);
    let grants = harness.take_grants();
    assert_eq!(grants.iter().map(|grant| grant.request).collect::<Vec<_>>(), [request], "it is granted");
    grants[0].endpoint.clone()
}

/// Why a ticket is refused at once, and when its caller may come back.
fn refused(
    harness: &mut ShardHarness,
    session: u64,
    ticket: RequestTicket,
) -> Option<(ReleaseReason, Duration)> {
    let request = ticket.request;
    harness.actions.clear();
    harness.submit(session, ticket);
    refusals(harness)
        .into_iter()
        .find(|(refused, ..)| *refused == request.0)
        .map(|(_, reason, after)| (reason, after))
}

fn refusals(harness: &ShardHarness) -> Vec<(u128, ReleaseReason, Duration)> {
    let refusal = |action: &ShardAction| match action {
        ShardAction::Refuse { request, reason, retry_after, .. } => Some((request.0, *reason, *retry_after)),
        _ => None,
    };
    harness.actions.iter().filter_map(refusal).collect()
}

/// What routers were told of a request: the stream, and how many crashes.
fn told(harness: &ShardHarness, digest: RequestDigest) -> Vec<(u64, usize)> {
    let word = |action: &ShardAction| match action {
        ShardAction::TellRecord { session, record } if record.digest == digest => {
            Some((session.0, record.crashes.len()))
        }
        _ => None,
    };
    harness.actions.iter().filter_map(word).collect()
}

/// Ends an endpoint under one run of a request after another, each at another endpoint that is paused then.
fn end_endpoints(harness: &mut ShardHarness, digest: RequestDigest, first: u128, times: u128) {
    for number in first..first + times {
        let ended = granted(harness, 1, asked(number, digest));
        harness.settle(1, number, 0, GrantFate::Severed);
        harness.step(ShardEvent::Unreachable(ended));
    }
}

fn crash(number: usize) -> EndpointCrash {
    EndpointCrash { endpoint: endpoint(number), age: Duration::from_millis(100) }
}

fn told_by(router: &str, crashes: Vec<EndpointCrash>) -> RouterHello {
    let record = CrashRecord { digest: LETTER, customer: customer("a"), crashes };
    RouterHello { crashes: vec![record], ..hello(router, 1) }
}

#[test]
fn a_request_in_doubt_runs_once_at_a_time_and_others_are_told_at_once() {
    let mut harness = fleet(4);
    end_endpoints(&mut harness, LETTER, 1, 1);
    granted(&mut harness, 1, asked(2, LETTER));
    let second = refused(&mut harness, 2, asked(3, LETTER));
    assert_eq!(second, Some((ReleaseReason::CopyRunning, Duration::from_secs(1))));
    granted(&mut harness, 2, asked(4, OTHER));
    harness.settle(1, 2, 10, GrantFate::Abandoned);
    granted(&mut harness, 2, asked(5, LETTER));
}

#[test]
fn copies_that_wait_when_it_comes_into_doubt_are_refused_but_for_one() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 1..=5 {
        harness.submit(1, asked(number, LETTER));
    }
    assert_eq!(harness.take_granted_requests(), [1, 2]);
    harness.settle(1, 1, 0, GrantFate::Severed);
    assert_eq!(refusals(&harness).len(), 3, "a copy runs, so none of three need wait");
    harness.actions.clear();
    harness.submit(1, asked(6, OTHER));
    assert!(refusals(&harness).is_empty());
}

#[test_case(GrantFate::Done, true; "an answer that came whole")]
#[test_case(GrantFate::Abandoned, false; "a caller that left")]
#[test_case(GrantFate::Broken, false; "a deadline")]
#[test_case(GrantFate::Refused, false; "an endpoint that was full")]
fn only_a_whole_answer_acquits(fate: GrantFate, acquits: bool) {
    let mut harness = fleet(6);
    end_endpoints(&mut harness, LETTER, 1, 2);
    granted(&mut harness, 1, asked(3, LETTER));
    harness.settle(1, 3, 10, fate);
    end_endpoints(&mut harness, LETTER, 4, 1);
    let next = refused(&mut harness, 1, asked(5, LETTER));
    assert_eq!(next.is_none(), acquits, "{next:?}");
}

#[test_case(GrantFate::Broken; "a deadline or an answer that can't be used")]
#[test_case(GrantFate::Unreachable; "no connection")]
#[test_case(GrantFate::Draining; "an endpoint that leaves")]
fn other_failures_say_nothing_of_a_request(fate: GrantFate) {
    let mut harness = fleet(8);
    for number in 1..=6 {
        granted(&mut harness, 1, asked(number, LETTER));
        harness.settle(1, number, 0, fate);
        harness.advance_with_heartbeats(1_000, &[1, 2]);
    }
    assert_eq!(refused(&mut harness, 1, asked(7, LETTER)), None);
}

#[test]
fn two_copies_at_one_endpoint_are_one_end() {
    let mut harness = ShardHarness::new(1, 8, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 1..=4 {
        harness.submit(1, asked(number, LETTER));
    }
    for number in 1..=4 {
        harness.settle(1, number, 0, GrantFate::Severed);
    }
    assert_eq!(refused(&mut harness, 1, asked(5, LETTER)), None);
}

#[test]
fn after_three_it_is_shut_out_for_an_hour_and_every_router_knows() {
    let mut harness = fleet(6);
    end_endpoints(&mut harness, LETTER, 1, 2);
    let third = granted(&mut harness, 1, asked(3, LETTER));
    harness.settle(1, 3, 0, GrantFate::Severed);
    assert_eq!(told(&harness, LETTER), [(1, 3), (2, 3)]);
    harness.step(ShardEvent::Unreachable(third));
    let fresh = refused(&mut harness, 2, asked(4, LETTER));
    assert_eq!(
        fresh,
        Some((ReleaseReason::Quarantined, Duration::from_secs(2))),
        "it may turn out otherwise"
    );
    harness.advance_with_heartbeats(10_000, &[1, 2]);
    let (reason, after) = refused(&mut harness, 2, asked(5, LETTER)).expect("it is shut out");
    assert_eq!(reason, ReleaseReason::Quarantined);
    assert!(after > Duration::from_secs(3_500) && after <= Duration::from_secs(3_590), "{after:?}");
    harness.join(3, hello("r3", 1));
    assert_eq!(told(&harness, LETTER), [(3, 3)], "one that joins later is told");
    let status = harness.core.status(harness.now);
    assert_eq!(status.suspects.len(), 1);
    assert_eq!(status.suspects[0].record.crashes.len(), 3);
}

#[test]
fn a_suspected_request_is_not_sent_on() {
    let mut harness = fleet(6);
    end_endpoints(&mut harness, LETTER, 1, 1);
    let again = RequestTicket { attempt: 1, ..asked(1, LETTER) };
    granted(&mut harness, 1, again.clone());
    harness.settle(1, 1, 0, GrantFate::Severed);
    assert!(refused(&mut harness, 1, RequestTicket { attempt: 2, ..again }).is_some());
    granted(&mut harness, 1, asked(2, LETTER));
}

#[test]
fn suspected_requests_never_share_an_endpoint() {
    let mut harness = fleet(6);
    let digests: Vec<RequestDigest> = (100..104).map(RequestDigest).collect();
    for (number, digest) in digests.iter().enumerate() {
        end_endpoints(&mut harness, *digest, 10 * number as u128 + 1, 2);
        harness.advance_with_heartbeats(1_000, &[1, 2]);
    }
    harness.advance_with_heartbeats(40_000, &[1, 2]);
    let places = digests.iter().enumerate();
    let mut places: Vec<EndpointName> = places
        .map(|(number, digest)| granted(&mut harness, 1, asked(100 + number as u128, *digest)))
        .collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), digests.len());
}

#[test]
fn an_endpoint_that_leaves_is_not_held_against_what_ran_there() {
    let mut harness = fleet(3);
    for number in 1..=4 {
        let at = granted(&mut harness, 1, asked(number, LETTER));
        let leaves = |leaving: bool| {
            let at = at.clone();
            move |policy: &mut micaspool_dispatch::ShardPolicy| {
                let specs = policy.endpoints.iter_mut();
                specs.filter(|spec| spec.name == at).for_each(|spec| spec.leaving = leaving);
            }
        };
        harness.update_policy(leaves(true));
        harness.actions.clear();
        harness.settle(1, number, 0, GrantFate::Severed);
        assert_eq!(told(&harness, LETTER), [(1, 0)], "its router holds nothing against it either");
        harness.update_policy(leaves(false));
        harness.advance_with_heartbeats(20_000, &[1, 2]);
    }
    assert_eq!(refused(&mut harness, 1, asked(5, LETTER)), None);
}

#[test_case(100, 50, true; "asked for after the break")]
#[test_case(100, 150, false; "asked for before the break")]
#[test_case(3_000, 0, false; "so late that another may have the address")]
fn a_load_report_shows_that_an_endpoint_is_alive(after: u64, asked_before: u64, is_alive: bool) {
    let mut harness = fleet(4);
    let at = granted(&mut harness, 1, asked(1, LETTER));
    harness.settle(1, 1, 0, GrantFate::Severed);
    let asks =
        harness.actions.iter().any(|action| *action == ShardAction::AskEndpoint { endpoint: at.clone() });
    assert!(asks, "it is asked at once");
    harness.advance_with_heartbeats(after, &[1, 2]);
    harness.actions.clear();
    let asked_at = micaspool_types::Moment(harness.now.0 - asked_before * 1_000);
    harness.step(ShardEvent::Load(LoadReport {
        endpoint: at,
        running: 0,
        waiting: 0,
        draining: false,
        asked_at,
    }));
    assert_eq!(told(&harness, LETTER) == [(1, 0)], is_alive);
}

#[test_case(700, false; "a straggler")]
#[test_case(1_300, true; "later")]
fn a_run_that_goes_on_shows_that_an_endpoint_is_alive(after: u64, is_alive: bool) {
    let mut harness = ShardHarness::new(1, 8, &["a"]);
    harness.join(1, hello("r1", 1));
    granted(&mut harness, 1, asked(1, LETTER));
    granted(&mut harness, 1, asked(2, OTHER));
    harness.settle(1, 1, 0, GrantFate::Severed);
    harness.advance_with_heartbeats(after, &[1]);
    harness.actions.clear();
    harness.step(ShardEvent::Progress(SessionId(1), request_id(2), Cost(5)));
    assert_eq!(told(&harness, LETTER) == [(1, 0)], is_alive);
}

#[test]
fn a_new_shard_adds_up_what_its_routers_saw() {
    let mut harness = ShardHarness::recovering(6, 8, &["a"], micaspool_dispatch::ShardOptions::default());
    harness.join(1, told_by("r1", vec![crash(0)]));
    harness.join(2, told_by("r2", vec![crash(1), crash(0)]));
    harness.submit(2, asked(1, LETTER));
    assert!(refusals(&harness).is_empty(), "two endpoints ended under it");
    harness.join(3, told_by("r3", vec![crash(2)]));
    assert_eq!(refusals(&harness), [(1, ReleaseReason::Quarantined, Duration::from_secs(2))]);
    harness.advance_with_heartbeats(1_000, &[1, 2, 3]);
    let waiting = RouterHello { waiting: vec![asked(9, LETTER)], ..hello("r4", 1) };
    harness.actions.clear();
    harness.join(4, waiting);
    assert_eq!(refusals(&harness).len(), 1, "what a router brings with it is refused as well");
    assert!(harness.take_granted_requests().is_empty());
}

#[test]
fn an_operator_lifts_a_quarantine_everywhere() {
    let mut harness = fleet(6);
    end_endpoints(&mut harness, LETTER, 1, 3);
    assert!(refused(&mut harness, 1, asked(4, LETTER)).is_some());
    harness.actions.clear();
    harness.step(ShardEvent::Lift(LETTER));
    assert_eq!(told(&harness, LETTER), [(1, 0), (2, 0)]);
    granted(&mut harness, 2, asked(5, LETTER));
    harness.step(ShardEvent::Lift(OTHER));
}
