//! Work that comes with the product of two fleets: many engines that tell of their caches, many routers that
//! join, while many tickets wait.
//!
//! Symptom: a dispatcher with 0.3 of a core was at work all the time once all dispatchers had been away for two
//! seconds, at 1,600 to 4,500 requests a second, while it used a third of that a moment before. Sequence:
//! hundreds of tickets wait, and each of 500 messages a second about a cache made the shard look at all of them
//! anew. Cause: what may change a ticket's choice set the moment of the next look to now, whenever the last one
//! had been. What settled it: a bench with and without such messages, 80 and 17 us a request at 320 engines.

use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{CacheNews, KeptPart, ShardEvent};
use std::time::Duration;
use test_case::test_case;

/// A look at all tickets in 20 ms, and one at each end of the second.
const MOST_ROUNDS: u64 = 52;

/// Engines whose slots are all taken, and tickets that wait for them.
fn crowded(engines: usize) -> ShardHarness {
    let mut harness = ShardHarness::new(engines, 1, &["a", "b", "c"]);
    harness.update_policy(|policy| {
        for spec in &mut policy.endpoints {
            spec.memory_tokens = 500_000;
        }
    });
    harness.join(1, hello("r1", 1));
    for number in 0..2 * engines as u128 {
        let customer = ["a", "b", "c"][(number % 3) as usize];
        harness.submit(1, ticket(number, customer, 10_000));
    }
    harness
}

fn rounds(harness: &ShardHarness) -> u64 {
    harness.core.status(harness.now).rounds
}

fn news(number: usize) -> ShardEvent {
    let kept = vec![KeptPart { prefix: number as u64, tokens: 3_000 }];
    let news =
        CacheNews { endpoint: endpoint(number), stored: Vec::new(), dropped: Vec::new(), kept, whole: false };
    ShardEvent::Cache(news)
}

#[test_case(30)]
#[test_case(100)]
#[test_case(320)]
#[test_case(600)]
fn news_of_caches_does_not_make_the_shard_look_at_all_tickets_each_time(engines: usize) {
    let mut harness = crowded(engines);
    let before = rounds(&harness);
    for place in 0..1_000 {
        harness.now = harness.now + Duration::from_millis(1);
        harness.step(news(place % engines));
    }
    let looked = rounds(&harness) - before;
    assert!(looked <= MOST_ROUNDS, "{looked} looks at all tickets in a second");
}

#[test_case(30)]
#[test_case(300)]
#[test_case(600)]
fn routers_that_join_at_once_do_not_either(routers: u64) {
    let mut harness = crowded(320);
    let before = rounds(&harness);
    for number in 2..routers + 2 {
        harness.now = harness.now + Duration::from_micros(1_000_000 / routers);
        harness.join(number, hello(&format!("r{number}"), 1));
    }
    let looked = rounds(&harness) - before;
    assert!(looked <= MOST_ROUNDS, "{looked} looks at all tickets in a second");
}

#[test]
fn what_may_change_a_choice_is_looked_at_at_once_after_a_quiet_time() {
    let mut harness = crowded(30);
    harness.now = harness.now + Duration::from_millis(15);
    let before = rounds(&harness);
    harness.step(news(1));
    harness.now = harness.now + Duration::from_millis(5);
    harness.step(ShardEvent::Wake);
    assert_eq!(rounds(&harness) - before, 1);
}
