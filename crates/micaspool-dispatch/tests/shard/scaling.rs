//! Work that grows with the product of two fleets: many engines that report cache changes or many routers
//! that join, while many tickets wait.
//!
//! Guards against considering all waiting tickets on every such event. Each event that may change a
//! ticket's choice made the next pass over all tickets due at once, however recent the last one was. When
//! all dispatchers had been unreachable for two seconds, a dispatcher with 0.3 of a core was busy all the
//! time at 1,600 to 4,500 requests a second, while it had used a third of that a moment before: hundreds of
//! tickets waited, and each of 500 cache messages a second caused a pass. In a benchmark with and without
//! such messages a request took 80 and 17 us at 320 engines.

use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{CacheUpdate, CachedPart, ShardEvent};
use std::time::Duration;
use test_case::test_case;

/// One pass over all tickets every 20 ms, and one at each end of the second.
const MAX_PASSES: u64 = 52;

/// Engines whose slots are all taken, and as many tickets that wait for them.
fn saturated_shard(engines: usize) -> ShardHarness {
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

fn pass_count(harness: &ShardHarness) -> u64 {
    harness.core.status(harness.now).passes
}

fn cache_update(number: usize) -> ShardEvent {
    let cached_parts = vec![CachedPart { prefix: number as u64, tokens: 3_000 }];
    let update = CacheUpdate {
        endpoint: endpoint(number),
        stored: Vec::new(),
        dropped: Vec::new(),
        cached_parts,
        whole: false,
    };
    ShardEvent::Cache(update)
}

#[test_case(30)]
#[test_case(100)]
#[test_case(320)]
#[test_case(600)]
fn cache_updates_do_not_cause_a_pass_over_all_tickets_each_time(engines: usize) {
    let mut harness = saturated_shard(engines);
    let before = pass_count(&harness);
    for index in 0..1_000 {
        harness.now = harness.now + Duration::from_millis(1);
        harness.step(cache_update(index % engines));
    }
    let passes = pass_count(&harness) - before;
    assert!(passes <= MAX_PASSES, "{passes} passes over all tickets in a second");
}

#[test_case(30)]
#[test_case(300)]
#[test_case(600)]
fn routers_that_join_at_once_do_not_cause_a_pass_each_time(routers: u64) {
    let mut harness = saturated_shard(320);
    let before = pass_count(&harness);
    for number in 2..routers + 2 {
        harness.now = harness.now + Duration::from_micros(1_000_000 / routers);
        harness.join(number, hello(&format!("r{number}"), 1));
    }
    let passes = pass_count(&harness) - before;
    assert!(passes <= MAX_PASSES, "{passes} passes over all tickets in a second");
}

#[test]
fn a_changed_choice_is_considered_within_the_interval() {
    let mut harness = saturated_shard(30);
    harness.now = harness.now + Duration::from_millis(15);
    let before = pass_count(&harness);
    harness.step(cache_update(1));
    harness.now = harness.now + Duration::from_millis(5);
    harness.step(ShardEvent::Wake);
    assert_eq!(pass_count(&harness) - before, 1);
}
