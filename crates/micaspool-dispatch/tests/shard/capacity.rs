//! Which endpoints take new work, and where a request may run.

use crate::harness::{customer, endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{CacheNews, GrantFate, RequestTicket, ShardEvent, ShardPolicy};
use micaspool_types::HallMask;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn harness(endpoints: usize) -> ShardHarness {
    let mut harness = ShardHarness::new(endpoints, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness
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
    let mut harness = ShardHarness::new(1, 2, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(1, "a", 10));
    harness.submit(1, ticket(2, "a", 10));
    harness.take_grants();
    match sign {
        LeavingSign::Listed => harness.step(listed(&[0])),
        LeavingSign::LoadReport => harness.report_load(0, 2, true),
        LeavingSign::OwnAnswer => {
            harness.settle(1, 1, 0, GrantFate::Draining);
            harness.report_load(0, 1, true);
        }
        LeavingSign::Settings => harness.update_policy(|policy| policy.endpoints[0].leaving = true),
    }
    harness.submit(1, ticket(3, "a", 10));
    harness.settle(1, 1, 5, GrantFate::Done);
    harness.advance_with_heartbeats(10_000, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    assert_eq!(harness.core.status(harness.now).running, 1, "what runs there goes on");
    harness.settle(1, 2, 5, GrantFate::Done);
    assert_eq!(harness.core.status(harness.now).running, 0);
}

/// What reports said of others' requests is forgotten when no report follows: an engine that is not heard any more
/// would else stay full for ever.
#[test]
fn slots_that_others_used_are_free_again_once_reports_cease() {
    let mut harness = harness(1);
    harness.report_load(0, 1, false);
    harness.report_load(0, 1, false);
    harness.submit(1, ticket(1, "a", 10));
    harness.advance_with_heartbeats(2_000, &[1]);
    assert!(harness.take_granted_requests().is_empty(), "two reports agree that somebody else uses the slot");
    harness.advance_with_heartbeats(1_500, &[1]);
    assert_eq!(harness.take_granted_requests(), vec![1]);
}

/// An answer alone closes an endpoint for a while, longer with each further one, and one request at a time finds
/// out whether it still holds.
#[test]
fn an_answer_that_an_endpoint_leaves_is_asked_about_less_and_less() {
    let mut harness = ShardHarness::new(1, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(0, "a", 10));
    harness.settle(1, 0, 0, GrantFate::Draining);
    harness.take_grants();
    let mut asked = 0;
    for number in 1..=100 {
        harness.submit(1, ticket(number, "a", 10));
        harness.advance_with_heartbeats(100, &[1]);
        for request in harness.take_granted_requests() {
            asked += 1;
            harness.settle(1, request, 0, GrantFate::Draining);
        }
    }
    assert!((2..=5).contains(&asked), "after 0.5, 1, 2, 4 and 8 s: {asked} in ten seconds");
}

#[test]
fn a_stale_list_does_not_bring_back_an_endpoint_that_said_it_leaves() {
    let mut harness = harness(1);
    harness.report_load(0, 0, true);
    harness.advance_with_heartbeats(1_000, &[1]);
    harness.step(listed(&[]));
    harness.submit(1, ticket(1, "a", 10));
    harness.advance_with_heartbeats(30_000, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    harness.report_load(0, 0, false);
    assert_eq!(harness.take_granted_requests(), vec![1]);
}

#[test]
fn an_older_report_does_not_undo_a_newer_answer() {
    let mut harness = harness(1);
    let asked_at = harness.now;
    harness.advance_with_heartbeats(500, &[1]);
    harness.submit(1, ticket(1, "a", 10));
    harness.settle(1, 1, 0, GrantFate::Draining);
    harness.take_grants();
    let report = micaspool_dispatch::LoadReport {
        endpoint: endpoint(0),
        running: 0,
        waiting: 0,
        draining: false,
        asked_at,
    };
    harness.step(ShardEvent::Load(report));
    harness.submit(1, ticket(2, "a", 10));
    assert!(harness.take_granted_requests().is_empty());
}

#[test_case(GrantFate::Unreachable; "unreachable")]
#[test_case(GrantFate::Refused; "full")]
#[test_case(GrantFate::Broken; "broken")]
fn after_a_failure_an_endpoint_rests_and_then_gets_one_request_at_a_time(fate: GrantFate) {
    let mut harness = ShardHarness::new(1, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(1, "a", 10));
    harness.settle(1, 1, 0, fate);
    harness.take_grants();
    for number in 2..=5 {
        harness.submit(1, ticket(number, "a", 10));
    }
    harness.advance_with_heartbeats(450, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    harness.advance_with_heartbeats(100, &[1]);
    assert_eq!(harness.take_granted_requests(), vec![2]);
    harness.settle(1, 2, 5, GrantFate::Done);
    assert_eq!(harness.take_granted_requests(), vec![3, 4, 5]);
}

#[test]
fn a_retry_does_not_go_to_the_endpoint_that_failed_it() {
    let mut harness = ShardHarness::new(2, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 0..20 {
        let again = RequestTicket { attempt: 0, avoid: Some(endpoint(0)), ..ticket(number, "a", 10) };
        harness.submit(1, again);
        for grant in harness.take_grants() {
            assert_eq!(grant.endpoint, endpoint(1));
            harness.settle(1, grant.request.0, 5, GrantFate::Done);
        }
    }
}

#[test]
fn placement_holds_through_every_change() {
    let mut harness = harness(3);
    harness.update_policy(|policy| policy.customers[0].halls = HallMask(0b010));
    for number in 0..3 {
        harness.submit(1, ticket(number, "a", 10));
    }
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].endpoint, endpoint(1));
    harness.update_policy(|policy| policy.customers[0].halls = HallMask(0b100));
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].endpoint, endpoint(2));
    harness.update_policy(|policy| policy.customers[0].halls = HallMask::EMPTY);
    harness.settle(1, 0, 5, GrantFate::Done);
    harness.settle(1, 1, 5, GrantFate::Done);
    assert!(harness.take_granted_requests().is_empty(), "refusing is better than the wrong hall");
}

#[test]
fn an_older_revision_is_ignored() {
    let mut harness = harness(3);
    harness.update_policy(|policy| policy.customers[0].halls = HallMask(0b001));
    let stale = ShardPolicy { revision: micaspool_types::Revision(1), ..harness.policy.clone() };
    let customers = stale.customers.iter().cloned().map(|mut spec| {
        spec.halls = HallMask(0b111);
        spec
    });
    harness.step(ShardEvent::Policy(ShardPolicy { customers: customers.collect(), ..stale }));
    for number in 0..3 {
        harness.submit(1, ticket(number, "a", 10));
    }
    assert_eq!(harness.take_grants().len(), 1);
}

#[test]
fn a_customer_that_settings_do_not_name_yet_waits_for_them() {
    let mut harness = harness(1);
    harness.submit(1, ticket(1, "new", 10));
    assert!(harness.take_granted_requests().is_empty());
    harness.update_policy(|policy| {
        let mut spec = policy.customers[0].clone();
        spec.name = customer("new");
        policy.customers.push(spec);
    });
    assert_eq!(harness.take_granted_requests(), vec![1]);
}

#[test]
fn a_known_prefix_is_preferred_but_never_at_the_price_of_an_idle_slot() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.step(ShardEvent::Cache(CacheNews {
        endpoint: endpoint(1),
        stored: vec![7, 8],
        dropped: vec![],
        kept: vec![],
        whole: false,
    }));
    let with_prefix = |number| RequestTicket { prefixes: vec![7, 8], ..ticket(number, "a", 10) };
    harness.submit(1, with_prefix(1));
    harness.submit(1, with_prefix(2));
    let grants = harness.take_grants();
    assert_eq!(grants[0].endpoint, endpoint(1));
    assert_eq!(grants[1].endpoint, endpoint(0), "the other slot is used all the same");
}

#[test]
fn a_dropped_prefix_is_forgotten() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.step(ShardEvent::Cache(CacheNews {
        endpoint: endpoint(1),
        stored: vec![7],
        dropped: vec![],
        kept: vec![],
        whole: false,
    }));
    harness.step(ShardEvent::Cache(CacheNews {
        endpoint: endpoint(1),
        stored: vec![],
        dropped: vec![7],
        kept: vec![],
        whole: false,
    }));
    harness.submit(1, RequestTicket { prefixes: vec![7], ..ticket(1, "a", 10) });
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(0));
}

#[test]
fn lower_priority_numbers_of_a_customer_run_first() {
    let mut harness = harness(1);
    for (number, priority) in [(1, 5), (2, 5), (3, 1)] {
        harness.submit(1, RequestTicket { priority, ..ticket(number, "a", 10) });
    }
    harness.settle(1, 1, 5, GrantFate::Done);
    harness.settle(1, 3, 5, GrantFate::Done);
    assert_eq!(harness.take_granted_requests(), vec![1, 3, 2]);
}

/// The tickets that are looked at all stay away from the free endpoint, and one behind them need not.
#[test]
fn a_ticket_that_moves_up_when_another_is_refused_gets_a_free_slot_at_once() {
    const LOOKED_AT: u128 = 16;
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, RequestTicket { avoid: Some(endpoint(1)), ..ticket(0, "a", 10) });
    let away = |number| RequestTicket { avoid: Some(endpoint(1)), ..ticket(number, "a", 10) };
    harness.submit(1, RequestTicket { objective: Some(Duration::from_millis(150)), ..away(1) });
    (2..=LOOKED_AT).for_each(|number| harness.submit(1, away(number)));
    harness.submit(1, ticket(LOOKED_AT + 1, "a", 10));
    harness.take_grants();
    harness.now = harness.now + Duration::from_millis(150);
    harness.step(ShardEvent::Wake);
    assert_eq!(harness.take_granted_requests(), [LOOKED_AT + 1]);
}
