//! Which outcomes of runs, and which responses of endpoints, count as evidence for or against a request.

use crate::harness::{customer, endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    CrashRecord, EndpointCrash, GrantOutcome, LoadReport, RefusalReason, RequestTicket, RouterHello,
    SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, RequestDigest};
use std::time::Duration;
use test_case::test_case;

const SUSPECT_DIGEST: RequestDigest = RequestDigest(7);
const OTHER_DIGEST: RequestDigest = RequestDigest(8);

fn ticket_with_digest(number: u128, digest: RequestDigest) -> RequestTicket {
    RequestTicket { digest: Some(digest), ..ticket(number, "a", 10) }
}

/// A shard of endpoints with eight slots each, and two routers.
fn fleet(endpoints: usize) -> ShardHarness {
    let mut harness = ShardHarness::new(endpoints, 8, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.join(2, hello("r2", 1));
    harness.actions.clear();
    harness
}

/// Submits a ticket, asserts that it is granted and returns its endpoint.
fn submit_granted(harness: &mut ShardHarness, session: u64, ticket: RequestTicket) -> EndpointName {
    let request = ticket.request;
    harness.actions.clear();
    harness.submit(session, ticket);
    let grants = harness.take_grants();
    assert_eq!(
        grants.iter().map(|grant| grant.request).collect::<Vec<_>>(),
        [request],
        "the ticket is granted"
    );
    grants[0].endpoint.clone()
}

/// Submits a ticket and returns the reason and the retry delay if it is refused at once.
fn submit_refusal(
    harness: &mut ShardHarness,
    session: u64,
    ticket: RequestTicket,
) -> Option<(RefusalReason, Duration)> {
    let request = ticket.request;
    harness.actions.clear();
    harness.submit(session, ticket);
    refusals(harness)
        .into_iter()
        .find(|(refused, ..)| *refused == request.0)
        .map(|(_, reason, after)| (reason, after))
}

fn refusals(harness: &ShardHarness) -> Vec<(u128, RefusalReason, Duration)> {
    let refusal = |action: &ShardAction| match action {
        ShardAction::Refuse { request, reason, retry_after, .. } => Some((request.0, *reason, *retry_after)),
        _ => None,
    };
    harness.actions.iter().filter_map(refusal).collect()
}

/// The records of a request that routers were sent: session and number of crashes.
fn sent_records(harness: &ShardHarness, digest: RequestDigest) -> Vec<(u64, usize)> {
    let sent = |action: &ShardAction| match action {
        ShardAction::SendRecord { session, record } if record.digest == digest => {
            Some((session.0, record.crashes.len()))
        }
        _ => None,
    };
    harness.actions.iter().filter_map(sent).collect()
}

/// Crashes `times` endpoints one after the other, each under one run of the request; a crashed endpoint is
/// paused.
fn crash_endpoints(harness: &mut ShardHarness, digest: RequestDigest, first: u128, times: u128) {
    for number in first..first + times {
        let crashed = submit_granted(harness, 1, ticket_with_digest(number, digest));
        harness.settle(1, number, 0, GrantOutcome::Severed);
        harness.step(ShardEvent::Unreachable(crashed));
    }
}

fn crash(number: usize) -> EndpointCrash {
    EndpointCrash { endpoint: endpoint(number), age: Duration::from_millis(100) }
}

fn hello_with_crashes(router: &str, crashes: Vec<EndpointCrash>) -> RouterHello {
    let record = CrashRecord { digest: SUSPECT_DIGEST, customer: customer("a"), crashes };
    RouterHello { crashes: vec![record], ..hello(router, 1) }
}

#[test]
fn a_doubted_request_runs_one_copy_at_a_time_and_others_are_refused_at_once() {
    let mut harness = fleet(4);
    crash_endpoints(&mut harness, SUSPECT_DIGEST, 1, 1);
    submit_granted(&mut harness, 1, ticket_with_digest(2, SUSPECT_DIGEST));
    let second = submit_refusal(&mut harness, 2, ticket_with_digest(3, SUSPECT_DIGEST));
    assert_eq!(second, Some((RefusalReason::CopyRunning, Duration::from_secs(1))));
    submit_granted(&mut harness, 2, ticket_with_digest(4, OTHER_DIGEST));
    harness.settle(1, 2, 10, GrantOutcome::Abandoned);
    submit_granted(&mut harness, 2, ticket_with_digest(5, SUSPECT_DIGEST));
}

#[test]
fn waiting_copies_are_refused_when_a_request_becomes_doubted() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 1..=5 {
        harness.submit(1, ticket_with_digest(number, SUSPECT_DIGEST));
    }
    assert_eq!(harness.take_granted_requests(), [1, 2]);
    harness.settle(1, 1, 0, GrantOutcome::Severed);
    assert_eq!(refusals(&harness).len(), 3, "a copy runs, so all three waiting copies are refused");
    harness.actions.clear();
    harness.submit(1, ticket_with_digest(6, OTHER_DIGEST));
    assert!(refusals(&harness).is_empty());
}

#[test_case(GrantOutcome::Done, true; "a complete answer")]
#[test_case(GrantOutcome::Abandoned, false; "a caller that left")]
#[test_case(GrantOutcome::Broken, false; "a deadline")]
#[test_case(GrantOutcome::Refused, false; "an endpoint that was full")]
fn only_a_complete_answer_clears_a_request(outcome: GrantOutcome, is_cleared: bool) {
    let mut harness = fleet(6);
    crash_endpoints(&mut harness, SUSPECT_DIGEST, 1, 2);
    submit_granted(&mut harness, 1, ticket_with_digest(3, SUSPECT_DIGEST));
    harness.settle(1, 3, 10, outcome);
    crash_endpoints(&mut harness, SUSPECT_DIGEST, 4, 1);
    let next = submit_refusal(&mut harness, 1, ticket_with_digest(5, SUSPECT_DIGEST));
    assert_eq!(next.is_none(), is_cleared, "{next:?}");
}

#[test_case(GrantOutcome::Broken; "a deadline or an unusable answer")]
#[test_case(GrantOutcome::Unreachable; "no connection")]
#[test_case(GrantOutcome::Draining; "an endpoint that leaves")]
fn other_failures_are_no_evidence_against_a_request(outcome: GrantOutcome) {
    let mut harness = fleet(8);
    for number in 1..=6 {
        submit_granted(&mut harness, 1, ticket_with_digest(number, SUSPECT_DIGEST));
        harness.settle(1, number, 0, outcome);
        harness.advance_with_heartbeats(1_000, &[1, 2]);
    }
    assert_eq!(submit_refusal(&mut harness, 1, ticket_with_digest(7, SUSPECT_DIGEST)), None);
}

#[test]
fn copies_at_one_endpoint_count_as_one_crash() {
    let mut harness = ShardHarness::new(1, 8, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 1..=4 {
        harness.submit(1, ticket_with_digest(number, SUSPECT_DIGEST));
    }
    for number in 1..=4 {
        harness.settle(1, number, 0, GrantOutcome::Severed);
    }
    assert_eq!(submit_refusal(&mut harness, 1, ticket_with_digest(5, SUSPECT_DIGEST)), None);
}

#[test]
fn after_three_crashes_a_request_is_quarantined_for_an_hour_at_every_router() {
    let mut harness = fleet(6);
    crash_endpoints(&mut harness, SUSPECT_DIGEST, 1, 2);
    let third = submit_granted(&mut harness, 1, ticket_with_digest(3, SUSPECT_DIGEST));
    harness.settle(1, 3, 0, GrantOutcome::Severed);
    assert_eq!(sent_records(&harness, SUSPECT_DIGEST), [(1, 3), (2, 3)]);
    harness.step(ShardEvent::Unreachable(third));
    let fresh = submit_refusal(&mut harness, 2, ticket_with_digest(4, SUSPECT_DIGEST));
    assert_eq!(
        fresh,
        Some((RefusalReason::Quarantined, Duration::from_secs(2))),
        "the crash may still be disproved"
    );
    harness.advance_with_heartbeats(10_000, &[1, 2]);
    let (reason, after) = submit_refusal(&mut harness, 2, ticket_with_digest(5, SUSPECT_DIGEST))
        .expect("the request is quarantined");
    assert_eq!(reason, RefusalReason::Quarantined);
    assert!(after > Duration::from_secs(3_500) && after <= Duration::from_secs(3_590), "{after:?}");
    harness.join(3, hello("r3", 1));
    assert_eq!(sent_records(&harness, SUSPECT_DIGEST), [(3, 3)], "a router that joins later gets the record");
    let status = harness.core.status(harness.now);
    assert_eq!(status.suspects.len(), 1);
    assert_eq!(status.suspects[0].record.crashes.len(), 3);
}

#[test]
fn a_suspected_request_is_not_retried() {
    let mut harness = fleet(6);
    crash_endpoints(&mut harness, SUSPECT_DIGEST, 1, 1);
    let again = RequestTicket { attempt: 1, ..ticket_with_digest(1, SUSPECT_DIGEST) };
    submit_granted(&mut harness, 1, again.clone());
    harness.settle(1, 1, 0, GrantOutcome::Severed);
    assert!(submit_refusal(&mut harness, 1, RequestTicket { attempt: 2, ..again }).is_some());
    submit_granted(&mut harness, 1, ticket_with_digest(2, SUSPECT_DIGEST));
}

#[test]
fn suspected_requests_never_share_an_endpoint() {
    let mut harness = fleet(6);
    let digests: Vec<RequestDigest> = (100..104).map(RequestDigest).collect();
    for (number, digest) in digests.iter().enumerate() {
        crash_endpoints(&mut harness, *digest, 10 * number as u128 + 1, 2);
        harness.advance_with_heartbeats(1_000, &[1, 2]);
    }
    harness.advance_with_heartbeats(40_000, &[1, 2]);
    let places = digests.iter().enumerate();
    let mut places: Vec<EndpointName> = places
        .map(|(number, digest)| {
            submit_granted(&mut harness, 1, ticket_with_digest(100 + number as u128, *digest))
        })
        .collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), digests.len());
}

#[test]
fn a_leaving_endpoint_is_no_evidence_against_its_requests() {
    let mut harness = fleet(3);
    for number in 1..=4 {
        let at = submit_granted(&mut harness, 1, ticket_with_digest(number, SUSPECT_DIGEST));
        let leaves = |leaving: bool| {
            let at = at.clone();
            move |policy: &mut micaspool_dispatch::ShardPolicy| {
                let specs = policy.endpoints.iter_mut();
                specs.filter(|spec| spec.name == at).for_each(|spec| spec.leaving = leaving);
            }
        };
        harness.update_policy(leaves(true));
        harness.actions.clear();
        harness.settle(1, number, 0, GrantOutcome::Severed);
        assert_eq!(
            sent_records(&harness, SUSPECT_DIGEST),
            [(1, 0)],
            "its router gets a record without crashes"
        );
        harness.update_policy(leaves(false));
        harness.advance_with_heartbeats(20_000, &[1, 2]);
    }
    assert_eq!(submit_refusal(&mut harness, 1, ticket_with_digest(5, SUSPECT_DIGEST)), None);
}

#[test_case(100, 50, true; "requested after the crash")]
#[test_case(100, 150, false; "requested before the crash")]
#[test_case(3_000, 0, false; "so late that another endpoint may have the address")]
fn a_load_report_shows_that_an_endpoint_is_alive(after: u64, requested_before: u64, is_alive: bool) {
    let mut harness = fleet(4);
    let at = submit_granted(&mut harness, 1, ticket_with_digest(1, SUSPECT_DIGEST));
    harness.settle(1, 1, 0, GrantOutcome::Severed);
    let is_probed =
        harness.actions.iter().any(|action| *action == ShardAction::ProbeEndpoint { endpoint: at.clone() });
    assert!(is_probed, "a report is requested from the endpoint at once");
    harness.advance_with_heartbeats(after, &[1, 2]);
    harness.actions.clear();
    let requested_at = micaspool_types::Moment(harness.now.0 - requested_before * 1_000);
    harness.step(ShardEvent::Load(LoadReport {
        endpoint: at,
        running: 0,
        waiting: 0,
        draining: false,
        requested_at,
    }));
    assert_eq!(sent_records(&harness, SUSPECT_DIGEST) == [(1, 0)], is_alive);
}

#[test_case(700, false; "so early that it may have been sent before the crash")]
#[test_case(1_300, true; "late enough to prove it")]
fn progress_of_another_run_shows_that_an_endpoint_is_alive(after: u64, is_alive: bool) {
    let mut harness = ShardHarness::new(1, 8, &["a"]);
    harness.join(1, hello("r1", 1));
    submit_granted(&mut harness, 1, ticket_with_digest(1, SUSPECT_DIGEST));
    submit_granted(&mut harness, 1, ticket_with_digest(2, OTHER_DIGEST));
    harness.settle(1, 1, 0, GrantOutcome::Severed);
    harness.advance_with_heartbeats(after, &[1]);
    harness.actions.clear();
    harness.step(ShardEvent::Progress(SessionId(1), request_id(2), Cost(5)));
    assert_eq!(sent_records(&harness, SUSPECT_DIGEST) == [(1, 0)], is_alive);
}

#[test]
fn a_new_shard_combines_the_crash_records_of_its_routers() {
    let mut harness = ShardHarness::recovering(6, 8, &["a"], micaspool_dispatch::ShardOptions::default());
    harness.join(1, hello_with_crashes("r1", vec![crash(0)]));
    harness.join(2, hello_with_crashes("r2", vec![crash(1), crash(0)]));
    harness.submit(2, ticket_with_digest(1, SUSPECT_DIGEST));
    assert!(refusals(&harness).is_empty(), "two endpoints crashed under it");
    harness.join(3, hello_with_crashes("r3", vec![crash(2)]));
    assert_eq!(refusals(&harness), [(1, RefusalReason::Quarantined, Duration::from_secs(2))]);
    harness.advance_with_heartbeats(1_000, &[1, 2, 3]);
    let waiting = RouterHello { waiting: vec![ticket_with_digest(9, SUSPECT_DIGEST)], ..hello("r4", 1) };
    harness.actions.clear();
    harness.join(4, waiting);
    assert_eq!(refusals(&harness).len(), 1, "waiting tickets of a joining router are refused as well");
    assert!(harness.take_granted_requests().is_empty());
}

#[test]
fn an_operator_lifts_a_quarantine_at_every_router() {
    let mut harness = fleet(6);
    crash_endpoints(&mut harness, SUSPECT_DIGEST, 1, 3);
    assert!(submit_refusal(&mut harness, 1, ticket_with_digest(4, SUSPECT_DIGEST)).is_some());
    harness.actions.clear();
    harness.step(ShardEvent::Lift(SUSPECT_DIGEST));
    assert_eq!(sent_records(&harness, SUSPECT_DIGEST), [(1, 0), (2, 0)]);
    submit_granted(&mut harness, 2, ticket_with_digest(5, SUSPECT_DIGEST));
    harness.step(ShardEvent::Lift(OTHER_DIGEST));
}
