//! Data halls that are evacuated while requests wait, and taken back while queues are full.

use crate::bench::{endpoint, hello, id, ticket, Bench};
use micaspool_dispatch::{EndpointClosure, GrantOutcome, RefusalReason};
use std::time::Duration;

fn evacuate(bench: &mut Bench, halls: &[usize]) {
    bench.change(|policy| {
        policy.endpoints.iter_mut().for_each(|spec| spec.evacuated = halls.contains(&spec.hall));
    });
}

#[test]
fn nothing_is_granted_in_an_evacuated_hall() {
    let mut bench = Bench::new(6, 4, &["a"]);
    bench.join(1, hello("r1", 1));
    evacuate(&mut bench, &[1]);
    for number in 0..16 {
        bench.submit(1, ticket(number, "a", 10));
    }
    let grants = bench.grants();
    assert_eq!(grants.len(), 16);
    assert!(grants.iter().all(|grant| grant.endpoint != endpoint(1) && grant.endpoint != endpoint(4)));
    let closed = bench.core.status(bench.now).endpoints;
    let evacuated = closed.iter().filter(|state| state.closure == Some(EndpointClosure::Evacuated)).count();
    assert_eq!(evacuated, 2);
}

/// What runs there is not cut.
#[test]
fn what_runs_in_a_hall_ends_by_itself() {
    let mut bench = Bench::new(3, 1, &["a"]);
    bench.join(1, hello("r1", 1));
    for number in 0..3 {
        bench.submit(1, ticket(number, "a", 10));
    }
    assert_eq!(bench.grants().len(), 3);
    evacuate(&mut bench, &[1]);
    bench.submit(1, ticket(9, "a", 10));
    for number in 0..3 {
        bench.settle(1, number, 1, GrantOutcome::Done);
    }
    let grants = bench.grants();
    assert!(grants.iter().any(|grant| grant.request == id(9) && grant.endpoint != endpoint(1)), "{grants:?}");
}

/// A service that stands in that hall alone is not waited for: an operator may take hours.
#[test]
fn what_only_evacuated_endpoints_could_run_is_refused_at_once() {
    let mut bench = Bench::new(1, 1, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.submit(1, ticket(1, "a", 10));
    bench.submit(1, ticket(2, "a", 10));
    evacuate(&mut bench, &[0]);
    assert_eq!(bench.refused(), [(2, RefusalReason::HallsEvacuated)], "it waited");
    bench.seen.clear();
    bench.submit(1, ticket(3, "a", 10));
    assert_eq!(bench.refused(), [(3, RefusalReason::HallsEvacuated)], "it came later");
    bench.seen.clear();
    evacuate(&mut bench, &[]);
    bench.settle(1, 1, 1, GrantOutcome::Done);
    bench.submit(1, ticket(4, "a", 10));
    assert_eq!(bench.granted_requests(), [4]);
}

/// All free, all empty: the herd of a full queue must not go to a hall that was just taken back beyond what it bears.
#[test]
fn a_hall_that_is_taken_back_cold_gets_one_request_each_at_first() {
    let mut bench = Bench::new(3, 8, &["a"]);
    bench.change(|policy| {
        policy.cold.start = Duration::from_secs(3);
        policy.cold.request_time = Duration::from_millis(164);
    });
    bench.join(1, hello("r1", 1));
    evacuate(&mut bench, &[1]);
    for number in 0..40 {
        bench.submit(1, ticket(number, "a", 10));
    }
    assert_eq!(bench.grants().len(), 16);
    bench.change(|policy| {
        for spec in policy.endpoints.iter_mut().filter(|spec| spec.hall == 1) {
            spec.evacuated = false;
            spec.cold = Duration::from_secs(3);
        }
    });
    assert_eq!(bench.grants().len(), 1);
    bench.pass_with(1_000, &[1]);
    assert!((4..=6).contains(&bench.grants().len()));
}
