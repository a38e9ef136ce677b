//! Tickets that go on with a stream and may run only at the software version that began it.

use crate::harness::{customer, endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    GrantOutcome, RefusalReason, RequestTicket, RouterHello, RunStart, SessionId, ShardAction, ShardEvent,
    ShardOptions,
};
use micaspool_types::{Cost, SoftwareVersion, StreamKey, StreamOrigin, VersionLimit};
use std::time::Duration;

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text)
}

fn bound_ticket(number: u128, text: &str) -> RequestTicket {
    RequestTicket { versions: VersionLimit::Only(version(text)), ..ticket(number, "a", 10) }
}

/// How long the callers of these rows may take their streams up.
const KEEP: Duration = Duration::from_secs(10);

fn stream(attempt: &str) -> StreamKey {
    StreamKey::of(&customer("a"), attempt)
}

fn origin(attempt: &str, text: &str) -> StreamOrigin {
    StreamOrigin { stream: stream(attempt), version: version(text), keep: KEEP }
}

/// A ticket that takes up the stream of an attempt.
fn taking_up(number: u128, attempt: &str) -> RequestTicket {
    RequestTicket { versions: VersionLimit::OfStream(stream(attempt)), ..ticket(number, "a", 10) }
}

fn assign_versions(harness: &mut ShardHarness) {
    harness.update_policy(|policy| {
        for (number, spec) in policy.endpoints.iter_mut().enumerate() {
            spec.version = version(&format!("v{}", number % 2));
        }
    });
}

/// A shard whose endpoints run `v0`, `v1`, `v0`, ... in turn.
fn two_versions(endpoints: usize, slots: u32) -> ShardHarness {
    let mut harness = ShardHarness::new(endpoints, slots, &["a"]);
    assign_versions(&mut harness);
    harness.join(1, hello("r1", 1));
    harness
}

#[test]
fn a_bound_ticket_runs_only_at_its_version() {
    let mut harness = two_versions(2, 4);
    for number in 0..4 {
        harness.submit(1, bound_ticket(number, "v1"));
    }
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 4);
    assert!(grants.iter().all(|grant| grant.endpoint == endpoint(1)), "{grants:?}");
    harness.submit(1, bound_ticket(9, "v1"));
    assert!(harness.take_grants().is_empty(), "only the other version has a free endpoint");
    harness.submit(1, ticket(10, "a", 10));
    assert_eq!(harness.take_grants().len(), 1, "a ticket without a limit is not held up by one that waits");
    harness.settle(1, 0, 1, GrantOutcome::Done);
    assert_eq!(harness.take_grants()[0].request, request_id(9));
}

#[test]
fn a_bound_ticket_whose_version_runs_nowhere_is_refused_at_once() {
    let mut harness = two_versions(2, 1);
    harness.submit(1, bound_ticket(1, "v2"));
    harness.submit(1, bound_ticket(2, ""));
    assert_eq!(harness.refusals(), [(1, RefusalReason::VersionGone), (2, RefusalReason::VersionGone)]);
}

#[test]
fn a_waiting_bound_ticket_is_refused_once_the_last_endpoint_of_its_version_leaves() {
    let mut harness = two_versions(2, 1);
    harness.submit(1, bound_ticket(1, "v1"));
    harness.submit(1, bound_ticket(2, "v1"));
    harness.submit(1, ticket(3, "a", 10));
    harness.submit(1, ticket(4, "a", 10));
    harness.update_policy(|policy| policy.endpoints[1].leaving = true);
    assert_eq!(harness.refusals(), [(2, RefusalReason::VersionGone)]);
}

#[test]
fn a_bound_ticket_that_waits_again_after_a_lost_grant_keeps_its_version() {
    let mut harness = two_versions(4, 1);
    harness.submit(1, bound_ticket(1, "v1"));
    let first = harness.take_grants().remove(0).endpoint;
    assert!(first == endpoint(1) || first == endpoint(3));
    harness.step(ShardEvent::Left(SessionId(1)));
    let mut again = hello("r1", 1);
    again.waiting.push(bound_ticket(1, "v1"));
    harness.join(2, again);
    let second = harness.take_grants().remove(0).endpoint;
    assert!(second == endpoint(1) || second == endpoint(3));
}

#[test]
fn a_stream_is_taken_up_at_the_version_that_began_it() {
    let mut harness = two_versions(4, 2);
    harness.submit(1, ticket(1, "a", 10));
    let began_at = harness.take_grants().remove(0).endpoint;
    let text = if [endpoint(0), endpoint(2)].contains(&began_at) { "v0" } else { "v1" };
    let start = RunStart { origin: Some(origin("one", text)), ..RunStart::default() };
    harness.step(ShardEvent::Began(SessionId(1), request_id(1), Cost(3), start));
    harness.join(2, hello("r2", 1));
    harness.step(ShardEvent::Left(SessionId(1)));
    harness.submit(2, taking_up(2, "one"));
    let granted = harness.actions.iter().find_map(|action| match action {
        ShardAction::Grant { request, version, .. } if *request == request_id(2) => Some(version.clone()),
        _ => None,
    });
    assert_eq!(granted, Some(Some(version(text))), "the grant tells the router which version it is bound to");
    harness.submit(2, taking_up(3, "another"));
    assert_eq!(harness.refusals(), [(3, RefusalReason::StreamUnknown)]);
}

#[test]
fn a_stream_is_forgotten_when_its_caller_has_given_up() {
    let mut harness = two_versions(2, 1);
    harness.join(2, RouterHello { streams: vec![origin("one", "v1")], ..hello("r2", 1) });
    harness.advance(KEEP.as_millis() as u64 + 1);
    harness.step(ShardEvent::Tick);
    harness.join(3, hello("r3", 1));
    harness.submit(3, taking_up(1, "one"));
    assert_eq!(harness.refusals(), [(1, RefusalReason::StreamUnknown)]);
}

#[test]
fn what_is_known_of_a_stream_stays() {
    let mut harness = two_versions(2, 1);
    for (session, text) in [(2, "v1"), (3, "v0")] {
        let name = format!("r{session}");
        harness.join(session, RouterHello { streams: vec![origin("one", text)], ..hello(&name, 1) });
    }
    harness.submit(1, taking_up(1, "one"));
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(1));
}

#[test]
fn a_new_shard_hears_of_streams_before_it_refuses_those_that_take_them_up() {
    let mut harness = ShardHarness::recovering(4, 2, &["a"], ShardOptions::default());
    assign_versions(&mut harness);
    harness.join(1, hello("r1", 1));
    harness.submit(1, taking_up(1, "one"));
    harness.submit(1, taking_up(2, "lost"));
    assert!(harness.refusals().is_empty() && harness.take_grants().is_empty());
    harness.join(2, RouterHello { streams: vec![origin("one", "v1")], ..hello("r2", 1) });
    harness.advance(1_000);
    assert_eq!(harness.refusals(), [(2, RefusalReason::StreamUnknown)]);
    let grants = harness.take_grants();
    assert_eq!(grants.iter().map(|grant| grant.request).collect::<Vec<_>>(), [request_id(1)]);
    assert!([endpoint(1), endpoint(3)].contains(&grants[0].endpoint));
}

#[test]
fn a_ticket_that_joins_a_shard_takes_its_stream_up_or_is_refused() {
    let mut harness = two_versions(2, 1);
    let waiting = vec![taking_up(1, "one"), taking_up(2, "lost")];
    harness.join(2, RouterHello { waiting, streams: vec![origin("one", "v1")], ..hello("r2", 1) });
    assert_eq!(harness.refusals(), [(2, RefusalReason::StreamUnknown)]);
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(1));
}

/// Guards against a stream that ends while its version has room, since tickets that could run anywhere went first.
#[test]
fn a_bound_ticket_precedes_its_customers_other_tickets() {
    let mut harness = two_versions(2, 1);
    for number in 1..=2 {
        harness.submit(1, ticket(number, "a", 10));
    }
    let granted = harness.take_grants();
    harness.submit(1, ticket(3, "a", 10));
    harness.submit(1, bound_ticket(4, "v1"));
    let at_bound = granted.iter().find(|grant| grant.endpoint == endpoint(1)).expect("both are busy");
    harness.settle(1, at_bound.request.0, 1, GrantOutcome::Done);
    assert_eq!(harness.take_granted_requests(), [4]);
}

/// Guards against a stream that is refused for a queue which it precedes.
#[test]
fn a_bound_ticket_is_not_refused_for_the_queue_of_others() {
    let objective = Some(Duration::from_millis(300));
    let mut harness = two_versions(2, 1);
    for round in 0..10 {
        for number in [2 * round + 1, 2 * round + 2] {
            harness.submit(1, RequestTicket { objective, ..ticket(number, "a", 10) });
        }
        harness.advance_with_heartbeats(200, &[1]);
        let running = harness.take_granted_requests();
        running.iter().for_each(|request| harness.settle(1, *request, 1, GrantOutcome::Done));
    }
    for number in 50..60 {
        harness.submit(1, RequestTicket { objective, ..ticket(number, "a", 10) });
    }
    assert!(harness.refusals().iter().any(|(request, _)| *request >= 50), "the queue is full");
    harness.actions.clear();
    harness.submit(1, RequestTicket { objective, ..bound_ticket(70, "v1") });
    assert!(harness.refusals().is_empty(), "{:?}", harness.refusals());
}

/// Guards against a stream that ends because a shard has started before it has heard of the endpoints.
#[test]
fn a_new_shard_refuses_no_version_before_it_has_heard_of_all_endpoints() {
    let mut harness = ShardHarness::recovering(4, 1, &["a"], ShardOptions::default());
    harness.join(1, RouterHello { streams: vec![origin("one", "v1")], ..hello("r1", 1) });
    harness.submit(1, bound_ticket(1, "v1"));
    harness.submit(1, taking_up(2, "one"));
    harness.submit(1, bound_ticket(3, "v2"));
    assert!(harness.refusals().is_empty(), "{:?}", harness.refusals());
    assign_versions(&mut harness);
    harness.advance(1_000);
    assert_eq!(harness.refusals(), [(3, RefusalReason::VersionGone)]);
    assert_eq!(harness.take_granted_requests().len(), 2);
}
