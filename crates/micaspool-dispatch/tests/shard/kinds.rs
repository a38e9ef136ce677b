//! Queues by kind within a customer: the order of service and the shares of the kinds.
//!
//! Guards against one queue in the order of arrival, where a kind that tolerates a long wait fills the queue
//! and delays the others. `engine_objectives` has the outcome under load.

use crate::harness::{hello, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, RequestTicket, SessionId, ShardEvent};
use micaspool_types::{Cost, RequestId};
use std::time::Duration;

/// The number of the request that occupies the only slot at first.
const FIRST: u128 = 100_000;

/// A shard with one engine of one slot, which a request of the first customer occupies.
fn busy_engine(customers: &[&str]) -> ShardHarness {
    let mut harness = ShardHarness::new(1, 1, customers);
    harness.update_policy(|policy| {
        policy.endpoints.iter_mut().for_each(|spec| spec.memory_tokens = 500_000);
        policy.planned_pace = 50.0;
    });
    harness.join(1, hello("r1", 1));
    harness.submit(1, prompt(FIRST, customers[0], 60_000));
    harness
}

/// A ticket of 1,000 tokens with an objective in milliseconds.
fn prompt(number: u128, name: &str, objective: u64) -> RequestTicket {
    RequestTicket {
        prefixes: vec![number as u64],
        prefix_tokens: vec![1_000],
        prompt_tokens: Cost(1_000),
        objective: Some(Duration::from_millis(objective)),
        ..ticket(number, name, 1_000)
    }
}

/// Ends the running request and returns the next one, until `count` were granted or none is left.
fn serve(harness: &mut ShardHarness, count: usize) -> Vec<u128> {
    let mut order = Vec::new();
    let mut running = harness.take_granted_requests();
    while order.len() < count {
        let Some(request) = running.pop() else { break };
        harness.now = harness.now + Duration::from_millis(50);
        harness.step(ShardEvent::Heartbeat(SessionId(1), 1));
        harness.step(ShardEvent::Progress(SessionId(1), RequestId(request), Cost(1_000)));
        harness.settle(1, request, 1_000, GrantOutcome::Done);
        harness.advance_with_heartbeats(20, &[1]);
        running = harness.take_granted_requests();
        order.extend(running.last());
    }
    order
}

/// Guards against service in the order of arrival, in which the later kind waits for the whole queue.
#[test]
fn a_kind_that_came_later_is_served_beside_an_earlier_one() {
    let mut harness = busy_engine(&["a"]);
    (0..40).for_each(|number| harness.submit(1, prompt(number, "a", 60_000)));
    (40..80).for_each(|number| harness.submit(1, prompt(number, "a", 40_000)));
    let later = serve(&mut harness, 20).iter().filter(|number| **number >= 40).count();
    assert!((8..=12).contains(&later), "{later} of 20 for the kind with half of the demand");
}

/// Guards against equal shares, with which the kind with the largest demand bears all refusals.
#[test]
fn kinds_share_in_proportion_to_their_demand() {
    let mut harness = busy_engine(&["a"]);
    (0..60).for_each(|number| harness.submit(1, prompt(number, "a", 60_000)));
    (60..80).for_each(|number| harness.submit(1, prompt(number, "a", 40_000)));
    let smaller = serve(&mut harness, 40).iter().filter(|number| **number >= 60).count();
    assert!((8..=12).contains(&smaller), "{smaller} of 40 for the kind with a quarter of the demand");
}

/// Guards against tags that take precedence over priorities.
#[test]
fn a_lower_priority_number_runs_first_whatever_the_kind() {
    let mut harness = busy_engine(&["a"]);
    for number in 0..30 {
        let priority = if number < 20 { 5 } else { 1 };
        let objective = 40_000 + (number as u64 % 3) * 10_000;
        harness.submit(1, RequestTicket { priority, ..prompt(number, "a", objective) });
    }
    let order = serve(&mut harness, 30);
    assert_eq!(order.len(), 30);
    assert!(order[..10].iter().all(|number| *number >= 20), "{order:?}");
}

/// Guards against tickets that are lost when there are more kinds than queues.
#[test]
fn every_ticket_of_many_kinds_is_served_once() {
    let mut harness = busy_engine(&["a"]);
    for number in 0..120 {
        let priority = (number % 7) as u8;
        harness.submit(1, RequestTicket { priority, ..prompt(number, "a", 60_000 + 10 * number as u64) });
        if number % 10 == 9 {
            harness.step(ShardEvent::Cancel(SessionId(1), RequestId(number)));
        }
    }
    let order = serve(&mut harness, 120);
    let mut served = order.clone();
    served.sort_unstable();
    let queued: Vec<u128> = (0..120).filter(|number| number % 10 != 9).collect();
    assert_eq!(served, queued);
    assert!(order.is_sorted_by_key(|number| number % 7), "in the order of priorities: {order:?}");
    assert_eq!(harness.core.waiting_count(), 0);
}

/// Guards against a customer that gains service from other customers by sending more kinds.
#[test]
fn the_number_of_kinds_does_not_change_the_share_of_a_customer() {
    let mut harness = busy_engine(&["many", "one"]);
    for number in 0..80 {
        harness.submit(1, prompt(number, "many", 60_000 + 10_000 * (number as u64 % 6)));
        harness.submit(1, prompt(1_000 + number, "one", 60_000));
    }
    let order = serve(&mut harness, 60);
    let many = order.iter().filter(|number| **number < 1_000).count();
    assert!((28..=32).contains(&many), "{many} of 60");
}
