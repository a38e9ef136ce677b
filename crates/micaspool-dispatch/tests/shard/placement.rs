//! Tickets that may run only in some data halls.

use crate::harness::{endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, RefusalReason, RequestTicket, SessionId, ShardEvent};
use micaspool_types::{HallLimit, HallName};

fn limited_ticket(number: u128, halls: &[&str]) -> RequestTicket {
    let halls = halls.iter().map(|name| HallName::parse(name).expect("valid name")).collect();
    RequestTicket { halls: HallLimit::Only(halls), ..ticket(number, "a", 10) }
}

/// The harness puts endpoint `n` into hall `n % 3`.
#[test]
fn a_limited_ticket_runs_only_in_its_halls() {
    let mut harness = ShardHarness::new(3, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 0..4 {
        harness.submit(1, limited_ticket(number, &["h1"]));
    }
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 4);
    assert!(grants.iter().all(|grant| grant.endpoint == endpoint(1)), "{grants:?}");
    harness.submit(1, limited_ticket(9, &["h1"]));
    assert!(harness.take_grants().is_empty(), "only other halls have free endpoints");
    harness.submit(1, ticket(10, "a", 10));
    assert_eq!(harness.take_grants().len(), 1, "a ticket without a limit is not held up by one that waits");
    harness.settle(1, 0, 1, GrantOutcome::Done);
    assert_eq!(harness.take_grants()[0].request, request_id(9));
}

#[test]
fn a_limited_ticket_whose_halls_have_no_endpoint_is_refused_at_once() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, limited_ticket(1, &["h2", "unknown"]));
    assert_eq!(harness.refusals(), [(1, RefusalReason::NoEndpoint)]);
}

#[test]
fn a_waiting_limited_ticket_is_refused_once_the_last_endpoint_of_its_halls_leaves() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, limited_ticket(1, &["h1"]));
    harness.submit(1, limited_ticket(2, &["h1"]));
    harness.submit(1, ticket(3, "a", 10));
    harness.submit(1, ticket(4, "a", 10));
    harness.update_policy(|policy| policy.endpoints[1].leaving = true);
    assert_eq!(harness.refusals(), [(2, RefusalReason::NoEndpoint)]);
}

#[test]
fn a_limited_ticket_that_waits_again_after_a_lost_grant_keeps_its_limit() {
    let mut harness = ShardHarness::new(3, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, limited_ticket(1, &["h1"]));
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(1));
    harness.step(ShardEvent::Left(SessionId(1)));
    let mut again = hello("r1", 1);
    again.waiting.push(limited_ticket(1, &["h1"]));
    harness.join(2, again);
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(1));
}
