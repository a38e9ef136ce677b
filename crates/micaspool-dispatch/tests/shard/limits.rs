//! What is refused at once, and how many retries there may be.

use crate::bench::{hello, ticket, Bench};
use micaspool_dispatch::{GrantFate, ReleaseReason, RequestTicket, ShardAction, ShardOptions};
use std::time::Duration;

fn refusals(bench: &Bench) -> Vec<(u128, ReleaseReason, Duration)> {
    let refused = bench.seen.iter().filter_map(|action| match action {
        ShardAction::Refuse { request, reason, retry_after, .. } => Some((request.0, *reason, *retry_after)),
        _ => None,
    });
    refused.collect()
}

#[test]
fn a_flood_is_refused_at_once_and_others_are_untouched() {
    let mut bench = Bench::new(1, 1, &["flood", "farm"]);
    bench.change(|policy| policy.customers[0].max_waiting = 10);
    bench.join(1, hello("r1", 1));
    for number in 0..200 {
        bench.submit(1, ticket(number, "flood", 10));
    }
    assert_eq!(refusals(&bench).len(), 189, "one runs and ten wait");
    assert!(refusals(&bench).iter().all(|(_, reason, _)| *reason == ReleaseReason::CustomerFull));
    bench.seen.clear();
    bench.submit(1, ticket(1_000, "farm", 10));
    assert!(refusals(&bench).is_empty());
}

#[test]
fn the_time_to_come_back_follows_the_backlog() {
    let mut bench = Bench::new(1, 1, &["a"]);
    bench.change(|policy| policy.customers[0].max_waiting = 20);
    bench.join(1, hello("r1", 1));
    for number in 0..21 {
        bench.submit(1, ticket(number, "a", 10));
    }
    for number in 0..10 {
        bench.settle(1, number, 10, GrantFate::Done);
        bench.pass_with(500, &[1]);
    }
    bench.seen.clear();
    for number in 100..120 {
        bench.submit(1, ticket(number, "a", 10));
    }
    let (_, _, wait) = refusals(&bench)[0];
    assert!(
        wait >= Duration::from_secs(5) && wait <= Duration::from_secs(30),
        "{wait:?} for 20 at 2 a second"
    );
}

#[test]
fn a_full_shard_refuses() {
    let options = ShardOptions::builder().max_waiting(5).recovery_window(Duration::ZERO).build();
    let mut bench = Bench::recovering(1, 1, &["a"], options);
    bench.pass(100);
    bench.join(1, hello("r1", 1));
    for number in 0..10 {
        bench.submit(1, ticket(number, "a", 10));
    }
    let reasons: Vec<ReleaseReason> = refusals(&bench).into_iter().map(|(_, reason, _)| reason).collect();
    assert_eq!(reasons, vec![ReleaseReason::ShardFull; 4]);
}

#[test]
fn retries_are_a_tenth_of_first_attempts_once_the_budget_is_spent() {
    let mut bench = Bench::new(1, 1, &["a"]);
    bench.change(|policy| policy.customers[0].max_waiting = 100_000);
    bench.join(1, hello("r1", 1));
    let mut number = 0;
    let mut admitted = 0;
    for _ in 0..1_000 {
        number += 1;
        bench.submit(1, ticket(number, "a", 10));
        number += 1;
        bench.seen.clear();
        bench.submit(1, RequestTicket { attempt: 1, ..ticket(number, "a", 10) });
        admitted += usize::from(refusals(&bench).is_empty());
    }
    assert!((100..=115).contains(&admitted), "{admitted} retries for 1000 first attempts");
}
