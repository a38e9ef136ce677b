//! A shard that starts without state rebuilds it from its routers.

use crate::harness::{
    customer, held_grant, held_level, hello, ordered_ticket, request_id, ticket, ShardHarness,
};
use micaspool_dispatch::{GrantOutcome, RouterHello, SessionId, ShardEvent, ShardOptions};
use micaspool_types::{Cost, InstanceName};
use std::time::Duration;

fn waiting_hello(router: &str, tickets: Vec<micaspool_dispatch::RequestTicket>) -> RouterHello {
    RouterHello { waiting: tickets, ..hello(router, 1) }
}

fn expecting(routers: &[&str]) -> ShardOptions {
    let names = routers.iter().map(|name| InstanceName::parse(name).expect("valid name")).collect();
    ShardOptions::builder().expected_routers(names).recovery_window(Duration::from_secs(10)).build()
}

#[test]
fn tickets_keep_their_order_whichever_router_joins_first() {
    let mut harness = ShardHarness::recovering(1, 1, &["a"], expecting(&["r1", "r2"]));
    harness.join(1, waiting_hello("r1", vec![ordered_ticket(12, "a", 2), ordered_ticket(14, "a", 4)]));
    harness.join(2, waiting_hello("r2", vec![ordered_ticket(11, "a", 1), ordered_ticket(13, "a", 3)]));
    let mut order = Vec::new();
    for _ in 0..4 {
        let granted = harness.take_grants();
        order.push(granted[0].request.0);
        harness.settle(granted[0].session.0, granted[0].request.0, 5, GrantOutcome::Done);
    }
    assert_eq!(order, vec![11, 12, 13, 14]);
}

#[test]
fn tickets_with_equal_order_numbers_are_all_kept() {
    let mut harness = ShardHarness::recovering(1, 8, &["a"], expecting(&["r1", "r2"]));
    harness.join(1, waiting_hello("r1", vec![ticket(11, "a", 10), ordered_ticket(12, "a", 1)]));
    harness.join(2, waiting_hello("r2", vec![ordered_ticket(13, "a", 2), ordered_ticket(14, "a", 1)]));
    let mut granted = harness.take_granted_requests();
    granted.sort();
    assert_eq!(granted, vec![11, 12, 13, 14]);
}

#[test]
fn nothing_is_granted_before_all_expected_routers_have_joined() {
    let mut harness = ShardHarness::recovering(1, 1, &["a"], expecting(&["r1", "r2"]));
    harness.join(1, waiting_hello("r1", vec![ordered_ticket(1, "a", 1)]));
    assert!(harness.take_granted_requests().is_empty());
    let running = RouterHello { running: vec![held_grant(2, "a", 0, 0)], ..hello("r2", 1) };
    harness.join(2, running);
    assert!(harness.take_granted_requests().is_empty(), "the slot is taken by the request that r2 runs");
    harness.settle(2, 2, 5, GrantOutcome::Done);
    assert_eq!(harness.take_granted_requests(), vec![1]);
}

#[test]
fn a_missing_router_delays_grants_only_for_the_recovery_window() {
    let options = ShardOptions::builder().recovery_window(Duration::from_millis(300)).build();
    let mut harness = ShardHarness::recovering(1, 1, &["a"], options);
    harness.join(1, waiting_hello("r1", vec![ordered_ticket(1, "a", 1)]));
    harness.advance_with_heartbeats(250, &[1]);
    assert!(harness.take_granted_requests().is_empty());
    harness.advance_with_heartbeats(100, &[1]);
    assert_eq!(harness.take_granted_requests(), vec![1]);
}

#[test]
fn levels_are_recovered_from_the_newest_grant_known_to_any_router() {
    let mut harness = ShardHarness::recovering(1, 1, &["a", "b"], expecting(&["r1", "r2"]));
    let levels = vec![held_level("a", 900_000, 7), held_level("b", 100_000, 5)];
    harness.join(1, RouterHello { levels, waiting: vec![ordered_ticket(1, "a", 8)], ..hello("r1", 1) });
    let levels = vec![held_level("a", 50_000, 2), held_level("b", 950_000, 9)];
    harness.join(2, RouterHello { levels, waiting: vec![ordered_ticket(2, "b", 10)], ..hello("r2", 1) });
    assert_eq!(harness.take_granted_requests(), vec![1], "a is at 900000 and b at 950000");
}

/// Routers that were cut off used dispatchers of their own, whose levels started later. The combined levels
/// must not starve the customer whose level has counted for longest.
#[test]
fn levels_of_different_dispatchers_do_not_starve_a_customer() {
    let mut harness = ShardHarness::recovering(1, 1, &["long", "short"], ShardOptions::default());
    harness.update_policy(|policy| policy.idle_credit = Cost(50));
    let long = RouterHello { levels: vec![held_level("long", 9_000_000, 900)], ..hello("r1", 1) };
    let short = RouterHello { levels: vec![held_level("short", 20_000, 7)], ..hello("r2", 2) };
    harness.join(1, long);
    harness.join(2, short);
    // Both customers already wait while the shard recovers, so neither level is lifted on submission.
    for number in 0..40 {
        harness.submit(1, ticket(number, "long", 10));
        harness.submit(2, ticket(100 + number, "short", 10));
    }
    harness.advance_with_heartbeats(500, &[1, 2]);
    let mut served = Vec::new();
    for _ in 0..20 {
        for request in harness.take_granted_requests() {
            served.push(request);
            let session = if request < 100 { 1 } else { 2 };
            harness.settle(session, request, 10, GrantOutcome::Done);
        }
    }
    let long = served.iter().filter(|request| **request < 100).count();
    assert!((6..=14).contains(&long), "long got {long} of {}", served.len());
}

#[test]
fn a_shard_killed_during_recovery_recovers_from_the_same_routers() {
    let held_by_routers = || {
        let first = RouterHello { running: vec![held_grant(1, "a", 0, 1)], ..hello("r1", 1) };
        (first, waiting_hello("r2", vec![ordered_ticket(2, "a", 2), ordered_ticket(3, "a", 3)]))
    };
    let mut harness = ShardHarness::recovering(1, 1, &["a"], expecting(&["r1", "r2"]));
    harness.join(1, held_by_routers().0);
    assert!(harness.take_granted_requests().is_empty());
    let mut second = ShardHarness::recovering(1, 1, &["a"], expecting(&["r1", "r2"]));
    second.join(3, held_by_routers().0);
    second.join(4, held_by_routers().1);
    assert!(second.take_granted_requests().is_empty());
    second.settle(3, 1, 5, GrantOutcome::Done);
    assert_eq!(second.take_granted_requests(), vec![2]);
}

#[test]
fn the_slots_of_a_restarted_router_are_freed_when_the_old_lease_ends() {
    let mut harness = ShardHarness::new(1, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(1, "a", 10));
    assert_eq!(harness.take_granted_requests(), vec![1]);
    harness.join(2, hello("r1", 2));
    harness.submit(2, ticket(2, "a", 10));
    harness.advance_with_heartbeats(2_500, &[2]);
    assert!(harness.take_granted_requests().is_empty(), "the lease of the earlier incarnation has not ended");
    harness.advance_with_heartbeats(1_000, &[2]);
    assert_eq!(harness.take_granted_requests(), vec![2]);
}

#[test]
fn a_planned_stop_asks_every_router_to_rejoin() {
    let mut harness = ShardHarness::new(1, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    harness.join(2, hello("r2", 1));
    harness.actions.clear();
    harness.step(ShardEvent::Stop);
    assert_eq!(harness.rejoin_count(), 2);
}

#[test]
fn a_request_is_never_waiting_and_running_at_once() {
    let mut harness = ShardHarness::new(1, 4, &["a"]);
    harness.join(1, RouterHello { running: vec![held_grant(1, "a", 0, 1)], ..hello("r1", 1) });
    harness.submit(1, ticket(1, "a", 10));
    assert!(harness.take_granted_requests().is_empty());
    let status = harness.core.status(harness.now);
    assert_eq!((status.waiting, status.running), (0, 1));
    assert_eq!(status.customers[0].name, customer("a"));
    harness.step(ShardEvent::Cancel(SessionId(1), request_id(1)));
    assert_eq!(harness.core.status(harness.now).running, 0);
}
