//! Which endpoints take new work, and where a request may run.

use crate::bench::{customer, endpoint, hello, ticket, Bench};
use micaspool_dispatch::{CacheUpdate, GrantOutcome, RequestTicket, ShardEvent, ShardPolicy};
use micaspool_types::HallMask;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn bench(endpoints: usize) -> Bench {
    let mut bench = Bench::new(endpoints, 1, &["a"]);
    bench.join(1, hello("r1", 1));
    bench
}

fn listed(numbers: &[usize]) -> ShardEvent {
    ShardEvent::Listed(numbers.iter().map(|number| endpoint(*number)).collect::<BTreeSet<_>>())
}

#[derive(Clone, Copy)]
enum LeavingSign {
    Listed,
    LoadReport,
    OwnAnswer,
    Settings,
}

#[test_case(LeavingSign::Listed; "listed by the platform")]
#[test_case(LeavingSign::LoadReport; "its load report says so")]
#[test_case(LeavingSign::OwnAnswer; "its own answer says so, and its load report confirms it")]
#[test_case(LeavingSign::Settings; "settings say so")]
fn a_leaving_endpoint_gets_nothing_new_and_finishes_what_runs(sign: LeavingSign) {
    let mut bench = Bench::new(1, 2, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.submit(1, ticket(1, "a", 10));
    bench.submit(1, ticket(2, "a", 10));
    bench.grants();
    match sign {
        LeavingSign::Listed => bench.step(listed(&[0])),
        LeavingSign::LoadReport => bench.load(0, 2, true),
        LeavingSign::OwnAnswer => {
            bench.settle(1, 1, 0, GrantOutcome::Draining);
            bench.load(0, 1, true);
        }
        LeavingSign::Settings => bench.change(|policy| policy.endpoints[0].leaving = true),
    }
    bench.submit(1, ticket(3, "a", 10));
    bench.settle(1, 1, 5, GrantOutcome::Done);
    bench.pass_with(10_000, &[1]);
    assert!(bench.granted_requests().is_empty());
    assert_eq!(bench.core.status(bench.now).running, 1, "what runs there goes on");
    bench.settle(1, 2, 5, GrantOutcome::Done);
    assert_eq!(bench.core.status(bench.now).running, 0);
}

/// What reports said of others' requests is forgotten when no report follows: an engine that is not heard any more
/// would else stay full for ever.
#[test]
fn slots_that_others_used_are_free_again_once_reports_cease() {
    let mut bench = bench(1);
    bench.load(0, 1, false);
    bench.load(0, 1, false);
    bench.submit(1, ticket(1, "a", 10));
    bench.pass_with(2_000, &[1]);
    assert!(bench.granted_requests().is_empty(), "two reports agree that somebody else uses the slot");
    bench.pass_with(1_500, &[1]);
    assert_eq!(bench.granted_requests(), vec![1]);
}

/// An answer alone closes an endpoint for a while, longer with each further one, and one request at a time finds
/// out whether it still holds.
#[test]
fn an_answer_that_an_endpoint_leaves_is_asked_about_less_and_less() {
    let mut bench = Bench::new(1, 4, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.submit(1, ticket(0, "a", 10));
    bench.settle(1, 0, 0, GrantOutcome::Draining);
    bench.grants();
    let mut asked = 0;
    for number in 1..=100 {
        bench.submit(1, ticket(number, "a", 10));
        bench.pass_with(100, &[1]);
        for request in bench.granted_requests() {
            asked += 1;
            bench.settle(1, request, 0, GrantOutcome::Draining);
        }
    }
    assert!((2..=5).contains(&asked), "after 0.5, 1, 2, 4 and 8 s: {asked} in ten seconds");
}

#[test]
fn a_stale_list_does_not_bring_back_an_endpoint_that_said_it_leaves() {
    let mut bench = bench(1);
    bench.load(0, 0, true);
    bench.pass_with(1_000, &[1]);
    bench.step(listed(&[]));
    bench.submit(1, ticket(1, "a", 10));
    bench.pass_with(30_000, &[1]);
    assert!(bench.granted_requests().is_empty());
    bench.load(0, 0, false);
    assert_eq!(bench.granted_requests(), vec![1]);
}

#[test]
fn an_older_report_does_not_undo_a_newer_answer() {
    let mut bench = bench(1);
    let requested_at = bench.now;
    bench.pass_with(500, &[1]);
    bench.submit(1, ticket(1, "a", 10));
    bench.settle(1, 1, 0, GrantOutcome::Draining);
    bench.grants();
    let report = micaspool_dispatch::LoadReport {
        endpoint: endpoint(0),
        running: 0,
        waiting: 0,
        draining: false,
        requested_at,
    };
    bench.step(ShardEvent::Load(report));
    bench.submit(1, ticket(2, "a", 10));
    assert!(bench.granted_requests().is_empty());
}

#[test_case(GrantOutcome::Unreachable; "unreachable")]
#[test_case(GrantOutcome::Refused; "full")]
#[test_case(GrantOutcome::Broken; "broken")]
fn after_a_failure_an_endpoint_rests_and_then_gets_one_request_at_a_time(fate: GrantOutcome) {
    let mut bench = Bench::new(1, 4, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.submit(1, ticket(1, "a", 10));
    bench.settle(1, 1, 0, fate);
    bench.grants();
    for number in 2..=5 {
        bench.submit(1, ticket(number, "a", 10));
    }
    bench.pass_with(450, &[1]);
    assert!(bench.granted_requests().is_empty());
    bench.pass_with(100, &[1]);
    assert_eq!(bench.granted_requests(), vec![2]);
    bench.settle(1, 2, 5, GrantOutcome::Done);
    assert_eq!(bench.granted_requests(), vec![3, 4, 5]);
}

#[test]
fn a_retry_does_not_go_to_the_endpoint_that_failed_it() {
    let mut bench = Bench::new(2, 4, &["a"]);
    bench.join(1, hello("r1", 1));
    for number in 0..20 {
        let again = RequestTicket { attempt: 0, avoid: Some(endpoint(0)), ..ticket(number, "a", 10) };
        bench.submit(1, again);
        for grant in bench.grants() {
            assert_eq!(grant.endpoint, endpoint(1));
            bench.settle(1, grant.request.0, 5, GrantOutcome::Done);
        }
    }
}

#[test]
fn placement_holds_through_every_change() {
    let mut bench = bench(3);
    bench.change(|policy| policy.customers[0].halls = HallMask(0b010));
    for number in 0..3 {
        bench.submit(1, ticket(number, "a", 10));
    }
    let grants = bench.grants();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].endpoint, endpoint(1));
    bench.change(|policy| policy.customers[0].halls = HallMask(0b100));
    let grants = bench.grants();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].endpoint, endpoint(2));
    bench.change(|policy| policy.customers[0].halls = HallMask::EMPTY);
    bench.settle(1, 0, 5, GrantOutcome::Done);
    bench.settle(1, 1, 5, GrantOutcome::Done);
    assert!(bench.granted_requests().is_empty(), "refusing is better than the wrong hall");
}

#[test]
fn an_older_revision_is_ignored() {
    let mut bench = bench(3);
    bench.change(|policy| policy.customers[0].halls = HallMask(0b001));
    let stale = ShardPolicy { revision: micaspool_types::Revision(1), ..bench.policy.clone() };
    let customers = stale.customers.iter().cloned().map(|mut spec| {
        spec.halls = HallMask(0b111);
        spec
    });
    bench.step(ShardEvent::Policy(ShardPolicy { customers: customers.collect(), ..stale }));
    for number in 0..3 {
        bench.submit(1, ticket(number, "a", 10));
    }
    assert_eq!(bench.grants().len(), 1);
}

#[test]
fn a_customer_that_settings_do_not_name_yet_waits_for_them() {
    let mut bench = bench(1);
    bench.submit(1, ticket(1, "new", 10));
    assert!(bench.granted_requests().is_empty());
    bench.change(|policy| {
        let mut spec = policy.customers[0].clone();
        spec.name = customer("new");
        policy.customers.push(spec);
    });
    assert_eq!(bench.granted_requests(), vec![1]);
}

#[test]
fn a_known_prefix_is_preferred_but_never_at_the_price_of_an_idle_slot() {
    let mut bench = Bench::new(2, 1, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.step(ShardEvent::Cache(CacheUpdate {
        endpoint: endpoint(1),
        stored: vec![7, 8],
        dropped: vec![],
        kept: vec![],
        whole: false,
    }));
    let with_prefix = |number| RequestTicket { prefixes: vec![7, 8], ..ticket(number, "a", 10) };
    bench.submit(1, with_prefix(1));
    bench.submit(1, with_prefix(2));
    let grants = bench.grants();
    assert_eq!(grants[0].endpoint, endpoint(1));
    assert_eq!(grants[1].endpoint, endpoint(0), "the other slot is used all the same");
}

#[test]
fn a_dropped_prefix_is_forgotten() {
    let mut bench = Bench::new(2, 1, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.step(ShardEvent::Cache(CacheUpdate {
        endpoint: endpoint(1),
        stored: vec![7],
        dropped: vec![],
        kept: vec![],
        whole: false,
    }));
    bench.step(ShardEvent::Cache(CacheUpdate {
        endpoint: endpoint(1),
        stored: vec![],
        dropped: vec![7],
        kept: vec![],
        whole: false,
    }));
    bench.submit(1, RequestTicket { prefixes: vec![7], ..ticket(1, "a", 10) });
    assert_eq!(bench.grants()[0].endpoint, endpoint(0));
}

#[test]
fn lower_priority_numbers_of_a_customer_run_first() {
    let mut bench = bench(1);
    for (number, priority) in [(1, 5), (2, 5), (3, 1)] {
        bench.submit(1, RequestTicket { priority, ..ticket(number, "a", 10) });
    }
    bench.settle(1, 1, 5, GrantOutcome::Done);
    bench.settle(1, 3, 5, GrantOutcome::Done);
    assert_eq!(bench.granted_requests(), vec![1, 3, 2]);
}

/// The tickets that are looked at all stay away from the free endpoint, and one behind them need not.
#[test]
fn a_ticket_that_moves_up_when_another_is_refused_gets_a_free_slot_at_once() {
    const LOOKED_AT: u128 = 16;
    let mut bench = Bench::new(2, 1, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.submit(1, RequestTicket { avoid: Some(endpoint(1)), ..ticket(0, "a", 10) });
    let away = |number| RequestTicket { avoid: Some(endpoint(1)), ..ticket(number, "a", 10) };
    bench.submit(1, RequestTicket { objective: Some(Duration::from_millis(150)), ..away(1) });
    (2..=LOOKED_AT).for_each(|number| bench.submit(1, away(number)));
    bench.submit(1, ticket(LOOKED_AT + 1, "a", 10));
    bench.grants();
    bench.now = bench.now + Duration::from_millis(150);
    bench.step(ShardEvent::Wake);
    assert_eq!(bench.granted_requests(), [LOOKED_AT + 1]);
}
