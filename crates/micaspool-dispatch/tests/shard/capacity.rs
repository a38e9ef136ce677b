//! Which endpoints accept new requests, and where a request may run.

use crate::harness::{customer, endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{CacheUpdate, GrantOutcome, RequestTicket, ShardEvent, ShardPolicy};
use micaspool_types::HallMask;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn single_slot_harness(endpoints: usize) -> ShardHarness {
    let mut harness = ShardHarness::new(endpoints, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness
}

fn listed_as_leaving(numbers: &[usize]) -> ShardEvent {
    ShardEvent::Listed(numbers.iter().map(|number| endpoint(*number)).collect::<BTreeSet<_>>())
}

#[derive(Clone, Copy)]
enum LeavingSource {
    Listed,
    LoadReport,
    OwnAnswer,
    Settings,
}

#[test_case(LeavingSource::Listed; "listed by the platform")]
#[test_case(LeavingSource::LoadReport; "reported by the endpoint as draining")]
#[test_case(LeavingSource::OwnAnswer; "answered as draining and confirmed by a load report")]
#[test_case(LeavingSource::Settings; "marked as leaving in settings")]
fn a_leaving_endpoint_gets_no_new_requests_and_finishes_running_ones(source: LeavingSource) {
    let mut harness = ShardHarness::new(1, 2, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(1, "a", 10));
    harness.submit(1, ticket(2, "a", 10));
    harness.take_grants();
    match source {
        LeavingSource::Listed => harness.step(listed_as_leaving(&[0])),
        LeavingSource::LoadReport => harness.report_load(0, 2, true),
        LeavingSource::OwnAnswer => {
            harness.settle(1, 1, 0, GrantOutcome::Draining);
            harness.report_load(0, 1, true);
        }
        LeavingSource::Settings => harness.update_policy(|policy| policy.endpoints[0].leaving = true),
    }
    harness.submit(1, ticket(3, "a", 10));
    harness.settle(1, 1, 5, GrantOutcome::Done);
    harness.advance_with_heartbeats(10_000, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    assert_eq!(harness.core.status(harness.now).running, 1, "the running request continues");
    harness.settle(1, 2, 5, GrantOutcome::Done);
    assert_eq!(harness.core.status(harness.now).running, 0);
}

/// Foreign requests known from load reports are forgotten when no further report arrives; otherwise an
/// endpoint that stops reporting would stay full for ever.
#[test]
fn foreign_slots_are_freed_when_load_reports_stop() {
    let mut harness = single_slot_harness(1);
    harness.report_load(0, 1, false);
    harness.report_load(0, 1, false);
    harness.submit(1, ticket(1, "a", 10));
    harness.advance_with_heartbeats(2_000, &[1]);
    assert!(
        harness.take_granted_requests().is_empty(),
        "two reports agree that a foreign request uses the slot"
    );
    harness.advance_with_heartbeats(1_500, &[1]);
    assert_eq!(harness.take_granted_requests(), vec![1]);
}

/// A `Draining` answer alone pauses an endpoint, twice as long after each further one, and after each pause
/// a single request probes it.
#[test]
fn draining_answers_are_probed_with_growing_pauses() {
    let mut harness = ShardHarness::new(1, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(0, "a", 10));
    harness.settle(1, 0, 0, GrantOutcome::Draining);
    harness.take_grants();
    let mut probes = 0;
    for number in 1..=100 {
        harness.submit(1, ticket(number, "a", 10));
        harness.advance_with_heartbeats(100, &[1]);
        for request in harness.take_granted_requests() {
            probes += 1;
            harness.settle(1, request, 0, GrantOutcome::Draining);
        }
    }
    assert!(
        (2..=5).contains(&probes),
        "{probes} probes in ten seconds, expected after pauses of 0.5, 1, 2, 4 and 8 s"
    );
}

#[test]
fn a_stale_list_does_not_reopen_a_draining_endpoint() {
    let mut harness = single_slot_harness(1);
    harness.report_load(0, 0, true);
    harness.advance_with_heartbeats(1_000, &[1]);
    harness.step(listed_as_leaving(&[]));
    harness.submit(1, ticket(1, "a", 10));
    harness.advance_with_heartbeats(30_000, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    harness.report_load(0, 0, false);
    assert_eq!(harness.take_granted_requests(), vec![1]);
}

#[test]
fn an_older_report_does_not_undo_a_newer_answer() {
    let mut harness = single_slot_harness(1);
    let requested_at = harness.now;
    harness.advance_with_heartbeats(500, &[1]);
    harness.submit(1, ticket(1, "a", 10));
    harness.settle(1, 1, 0, GrantOutcome::Draining);
    harness.take_grants();
    let report = micaspool_dispatch::LoadReport {
        endpoint: endpoint(0),
        running: 0,
        waiting: 0,
        draining: false,
        requested_at,
    };
    harness.step(ShardEvent::Load(report));
    harness.submit(1, ticket(2, "a", 10));
    assert!(harness.take_granted_requests().is_empty());
}

#[test_case(GrantOutcome::Unreachable; "unreachable")]
#[test_case(GrantOutcome::Refused; "full")]
#[test_case(GrantOutcome::Broken; "broken")]
fn after_a_failure_an_endpoint_is_paused_and_then_probed_by_one_request(outcome: GrantOutcome) {
    let mut harness = ShardHarness::new(1, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(1, "a", 10));
    harness.settle(1, 1, 0, outcome);
    harness.take_grants();
    for number in 2..=5 {
        harness.submit(1, ticket(number, "a", 10));
    }
    harness.advance_with_heartbeats(450, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    harness.advance_with_heartbeats(100, &[1]);
    assert_eq!(harness.take_granted_requests(), vec![2]);
    harness.settle(1, 2, 5, GrantOutcome::Done);
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
            harness.settle(1, grant.request.0, 5, GrantOutcome::Done);
        }
    }
}

#[test]
fn placement_follows_every_policy_change() {
    let mut harness = single_slot_harness(3);
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
    harness.settle(1, 0, 5, GrantOutcome::Done);
    harness.settle(1, 1, 5, GrantOutcome::Done);
    assert!(harness.take_granted_requests().is_empty(), "no hall is allowed, so nothing is granted");
}

#[test]
fn an_older_revision_is_ignored() {
    let mut harness = single_slot_harness(3);
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
fn tickets_of_a_customer_unknown_to_settings_wait_until_it_is_added() {
    let mut harness = single_slot_harness(1);
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
fn a_cached_prefix_is_preferred_unless_a_slot_would_stay_idle() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.step(ShardEvent::Cache(CacheUpdate {
        endpoint: endpoint(1),
        stored: vec![7, 8],
        dropped: vec![],
        cached_parts: vec![],
        whole: false,
    }));
    let with_prefix = |number| RequestTicket { prefixes: vec![7, 8], ..ticket(number, "a", 10) };
    harness.submit(1, with_prefix(1));
    harness.submit(1, with_prefix(2));
    let grants = harness.take_grants();
    assert_eq!(grants[0].endpoint, endpoint(1));
    assert_eq!(grants[1].endpoint, endpoint(0), "the other slot is used although it lacks the prefix");
}

#[test]
fn a_dropped_prefix_is_forgotten() {
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.step(ShardEvent::Cache(CacheUpdate {
        endpoint: endpoint(1),
        stored: vec![7],
        dropped: vec![],
        cached_parts: vec![],
        whole: false,
    }));
    harness.step(ShardEvent::Cache(CacheUpdate {
        endpoint: endpoint(1),
        stored: vec![],
        dropped: vec![7],
        cached_parts: vec![],
        whole: false,
    }));
    harness.submit(1, RequestTicket { prefixes: vec![7], ..ticket(1, "a", 10) });
    assert_eq!(harness.take_grants()[0].endpoint, endpoint(0));
}

#[test]
fn lower_priority_numbers_of_a_customer_run_first() {
    let mut harness = single_slot_harness(1);
    for (number, priority) in [(1, 5), (2, 5), (3, 1)] {
        harness.submit(1, RequestTicket { priority, ..ticket(number, "a", 10) });
    }
    harness.settle(1, 1, 5, GrantOutcome::Done);
    harness.settle(1, 3, 5, GrantOutcome::Done);
    assert_eq!(harness.take_granted_requests(), vec![1, 3, 2]);
}

/// All tickets within the look-ahead avoid the free endpoint; the one behind them may use it.
#[test]
fn a_ticket_that_enters_the_look_ahead_after_a_refusal_is_granted_at_once() {
    const LOOK_AHEAD: u128 = 16;
    let mut harness = ShardHarness::new(2, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, RequestTicket { avoid: Some(endpoint(1)), ..ticket(0, "a", 10) });
    let avoiding_ticket = |number| RequestTicket { avoid: Some(endpoint(1)), ..ticket(number, "a", 10) };
    harness.submit(1, RequestTicket { objective: Some(Duration::from_millis(150)), ..avoiding_ticket(1) });
    (2..=LOOK_AHEAD).for_each(|number| harness.submit(1, avoiding_ticket(number)));
    harness.submit(1, ticket(LOOK_AHEAD + 1, "a", 10));
    harness.take_grants();
    harness.now = harness.now + Duration::from_millis(150);
    harness.step(ShardEvent::Wake);
    assert_eq!(harness.take_granted_requests(), [LOOK_AHEAD + 1]);
}
