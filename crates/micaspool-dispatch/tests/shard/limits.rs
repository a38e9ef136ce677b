//! Refusals of excess load, and the retry budget.

use crate::harness::{hello, ticket, ShardHarness};
use micaspool_dispatch::{
    GrantOutcome, RefusalReason, RequestTicket, SessionId, ShardAction, ShardEvent, ShardOptions,
};
use micaspool_types::{Cost, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

fn refusals(harness: &ShardHarness) -> Vec<(u128, RefusalReason, Duration)> {
    let refused = harness.actions.iter().filter_map(|action| match action {
        ShardAction::Refuse { request, reason, retry_after, .. } => Some((request.0, *reason, *retry_after)),
        _ => None,
    });
    refused.collect()
}

#[test]
fn a_flood_is_refused_at_once_and_other_customers_are_unaffected() {
    let mut harness = ShardHarness::new(1, 1, &["flood", "farm"]);
    harness.update_policy(|policy| policy.customers[0].max_waiting = 10);
    harness.join(1, hello("r1", 1));
    for number in 0..200 {
        harness.submit(1, ticket(number, "flood", 10));
    }
    assert_eq!(refusals(&harness).len(), 189, "one runs and ten wait");
    assert!(refusals(&harness).iter().all(|(_, reason, _)| *reason == RefusalReason::CustomerFull));
    harness.actions.clear();
    harness.submit(1, ticket(1_000, "farm", 10));
    assert!(refusals(&harness).is_empty());
}

/// A plain service that gets twice the requests it can serve soon refuses those that it cannot answer in
/// time, and answers most of the others in time. If all waited until their deadlines, all would be late.
#[test]
fn a_plain_service_refuses_requests_that_would_be_late() {
    const SERVICE: u64 = 40;
    const OBJECTIVE: u64 = 200;
    let mut harness = ShardHarness::new(2, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    let mut ends = BTreeMap::new();
    let (mut submitted, mut in_time, mut late) = (0_u128, 0, 0);
    let mut longest = Duration::ZERO;
    for now in 0..4_000_u64 {
        harness.now = harness.now + Duration::from_millis(1);
        if now % 5 < 2 {
            let objective = Some(Duration::from_millis(OBJECTIVE));
            harness.submit(1, RequestTicket { objective, ..ticket(submitted, "a", 1) });
            ends.insert(submitted, now);
            submitted += 1;
        }
        harness.step(ShardEvent::Heartbeat(SessionId(1), 1));
        for action in std::mem::take(&mut harness.actions) {
            match action {
                ShardAction::Grant { request, .. } => {
                    let waited = now - ends[&request.0];
                    let is_in_time = waited + SERVICE <= OBJECTIVE;
                    in_time += u32::from(is_in_time);
                    late += u32::from(!is_in_time);
                    ends.insert(request.0, now + SERVICE + 1_000_000);
                }
                ShardAction::Refuse { request, waited, .. } => {
                    longest = longest.max(waited);
                    ends.remove(&request.0);
                }
                _ => {}
            }
        }
        let due: Vec<u128> =
            ends.iter().filter(|(_, end)| **end == now + 1_000_000).map(|(request, _)| *request).collect();
        for request in due {
            ends.remove(&request);
            harness.settle(1, request, 1, GrantOutcome::Done);
        }
    }
    assert!(in_time > 700, "{in_time} of {submitted} in time, of 800 that the endpoints can serve");
    assert!(late * 20 < in_time, "{late} late, {in_time} in time");
    assert!(longest <= Duration::from_millis(OBJECTIVE), "refused after {longest:?}");
}

/// An objective covers the time to the first event: streams that run for seconds do not shorten the wait
/// that a ticket is allowed.
#[test]
fn long_streams_of_a_plain_service_do_not_shorten_the_wait() {
    let mut harness = ShardHarness::new(1, 1, &["a"]);
    harness.join(1, hello("r1", 1));
    for number in 0..3 {
        harness.submit(1, ticket(number, "a", 1));
        harness.advance_with_heartbeats(50, &[1]);
        harness.step(ShardEvent::Progress(SessionId(1), RequestId(number), Cost(1)));
        harness.advance_with_heartbeats(2_000, &[1]);
        harness.settle(1, number, 9, GrantOutcome::Done);
    }
    harness.submit(1, ticket(10, "a", 1));
    harness.actions.clear();
    harness.submit(1, RequestTicket { objective: Some(Duration::from_millis(600)), ..ticket(11, "a", 1) });
    harness.advance_with_heartbeats(500, &[1]);
    assert!(refusals(&harness).is_empty(), "550 ms are left for the wait");
    harness.advance_with_heartbeats(100, &[1]);
    assert_eq!(refusals(&harness).len(), 1);
}

/// Requests that idle endpoints can serve in time are not refused, whether or not the service time is known
/// yet.
#[test]
fn a_burst_that_a_plain_service_can_take_is_not_refused() {
    let mut harness = ShardHarness::new(2, 4, &["a"]);
    harness.join(1, hello("r1", 1));
    for round in 0..3 {
        for number in 0..24 {
            let objective = Some(Duration::from_millis(200));
            harness.submit(1, RequestTicket { objective, ..ticket(round * 100 + number, "a", 1) });
        }
        assert!(
            refusals(&harness).is_empty(),
            "24 requests of 40 ms at 8 slots end within 120 ms, round {round}"
        );
        let mut ended = 0;
        for _ in 0..3 {
            let running = harness.take_granted_requests();
            harness.advance_with_heartbeats(40, &[1]);
            ended += running.len();
            for request in running {
                harness.settle(1, request, 1, GrantOutcome::Done);
            }
        }
        assert_eq!(ended, 24, "round {round}");
    }
}

#[test]
fn the_retry_delay_follows_the_backlog() {
    let mut harness = ShardHarness::new(1, 1, &["a"]);
    harness.update_policy(|policy| policy.customers[0].max_waiting = 20);
    harness.join(1, hello("r1", 1));
    for number in 0..21 {
        harness.submit(1, ticket(number, "a", 10));
    }
    for number in 0..10 {
        harness.settle(1, number, 10, GrantOutcome::Done);
        harness.advance_with_heartbeats(500, &[1]);
    }
    harness.actions.clear();
    for number in 100..120 {
        harness.submit(1, ticket(number, "a", 10));
    }
    let (_, _, wait) = refusals(&harness)[0];
    assert!(
        wait >= Duration::from_secs(5) && wait <= Duration::from_secs(30),
        "{wait:?} for 20 at 2 a second"
    );
}

#[test]
fn a_full_shard_refuses_new_tickets() {
    let options = ShardOptions::builder().max_waiting(5).recovery_window(Duration::ZERO).build();
    let mut harness = ShardHarness::recovering(1, 1, &["a"], options);
    harness.advance(100);
    harness.join(1, hello("r1", 1));
    for number in 0..10 {
        harness.submit(1, ticket(number, "a", 10));
    }
    let reasons: Vec<RefusalReason> = refusals(&harness).into_iter().map(|(_, reason, _)| reason).collect();
    assert_eq!(reasons, vec![RefusalReason::ShardFull; 4]);
}

#[test]
fn retries_are_a_tenth_of_first_attempts_once_the_budget_is_spent() {
    let mut harness = ShardHarness::new(1, 1, &["a"]);
    harness.update_policy(|policy| policy.customers[0].max_waiting = 100_000);
    harness.join(1, hello("r1", 1));
    let mut number = 0;
    let mut admitted = 0;
    for _ in 0..1_000 {
        number += 1;
        harness.submit(1, ticket(number, "a", 10));
        number += 1;
        harness.actions.clear();
        harness.submit(1, RequestTicket { attempt: 1, ..ticket(number, "a", 10) });
        admitted += usize::from(refusals(&harness).is_empty());
    }
    assert!((100..=115).contains(&admitted), "{admitted} retries for 1000 first attempts");
}
