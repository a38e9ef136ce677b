//! Data halls that are evacuated while requests wait, and returned to service while queues are full.

use crate::harness::{endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{EndpointClosure, GrantOutcome, RefusalReason};
use std::time::Duration;

fn evacuate(harness: &mut ShardHarness, halls: &[usize]) {
    harness.update_policy(|policy| {
        policy.endpoints.iter_mut().for_each(|spec| spec.evacuated = halls.contains(&spec.hall));
    });
}

#[test]
fn nothing_is_granted_in_an_evacuated_hall() {
    let mut harness = ShardHarness::new(6, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    evacuate(&mut harness, &[1]);
    for number in 0..16 {
        harness.submit(1, ticket(number, "a", 10));
    }
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 16);
    assert!(grants.iter().all(|grant| grant.endpoint != endpoint(1) && grant.endpoint != endpoint(4)));
    let closed = harness.core.status(harness.now).endpoints;
    let evacuated = closed.iter().filter(|state| state.closure == Some(EndpointClosure::Evacuated)).count();
    assert_eq!(evacuated, 2);
}

/// Evacuating a hall does not interrupt the requests that run there.
#[test]
fn requests_running_in_an_evacuated_hall_are_not_interrupted() {
    let mut harness = ShardHarness::new(3, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 0..3 {
        harness.submit(1, ticket(number, "a", 10));
    }
    assert_eq!(harness.take_grants().len(), 3);
    evacuate(&mut harness, &[1]);
    harness.submit(1, ticket(9, "a", 10));
    for number in 0..3 {
        harness.settle(1, number, 1, GrantOutcome::Done);
    }
    let grants = harness.take_grants();
    assert!(
        grants.iter().any(|grant| grant.request == request_id(9) && grant.endpoint != endpoint(1)),
        "{grants:?}"
    );
}

/// Tickets do not wait for a service whose endpoints are all evacuated: the operator may take hours to
/// return the hall.
#[test]
fn a_ticket_that_only_evacuated_endpoints_could_serve_is_refused_at_once() {
    let mut harness = ShardHarness::new(1, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(1, "a", 10));
    harness.submit(1, ticket(2, "a", 10));
    evacuate(&mut harness, &[0]);
    assert_eq!(harness.refusals(), [(2, RefusalReason::HallsEvacuated)], "the ticket was waiting");
    harness.actions.clear();
    harness.submit(1, ticket(3, "a", 10));
    assert_eq!(
        harness.refusals(),
        [(3, RefusalReason::HallsEvacuated)],
        "the ticket arrived during the evacuation"
    );
    harness.actions.clear();
    evacuate(&mut harness, &[]);
    harness.settle(1, 1, 1, GrantOutcome::Done);
    harness.submit(1, ticket(4, "a", 10));
    assert_eq!(harness.take_granted_requests(), [4]);
}

/// All slots of a hall that was just returned are free, but a full queue must not send its cold endpoints
/// more than they sustain.
#[test]
fn a_hall_returned_cold_gets_one_request_per_endpoint_at_first() {
    let mut harness = ShardHarness::new(3, 8, &["a"]);
    harness.update_policy(|policy| {
        policy.cold.start = Duration::from_secs(3);
        policy.cold.request_time = Duration::from_millis(164);
    });
    harness.join(1, hello("r1", 1));
    evacuate(&mut harness, &[1]);
    for number in 0..40 {
        harness.submit(1, ticket(number, "a", 10));
    }
    assert_eq!(harness.take_grants().len(), 16);
    harness.update_policy(|policy| {
        for spec in policy.endpoints.iter_mut().filter(|spec| spec.hall == 1) {
            spec.evacuated = false;
            spec.cold = Duration::from_secs(3);
        }
    });
    assert_eq!(harness.take_grants().len(), 1);
    harness.advance_with_heartbeats(1_000, &[1]);
    assert!((4..=6).contains(&harness.take_grants().len()));
}
