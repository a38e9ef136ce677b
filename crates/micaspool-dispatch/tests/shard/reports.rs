//! Load reports of many engines: the more engines there are, the less often each is polled.

use crate::harness::{endpoint, ShardHarness};
use micaspool_dispatch::{LoadReport, ShardEvent};
use std::time::Duration;
use test_case::test_case;

/// Requests at the endpoint that do not belong to the shard.
const FOREIGN: u32 = 2;

fn send_report(harness: &mut ShardHarness) {
    let report = LoadReport {
        endpoint: endpoint(0),
        running: FOREIGN,
        waiting: 0,
        draining: false,
        requested_at: harness.now,
    };
    harness.step(ShardEvent::Load(report));
}

fn foreign_slots(harness: &ShardHarness) -> u32 {
    harness.core.status(harness.now).endpoints[0].foreign
}

/// Advances time with a tick every 50 ms, as a driver does.
fn advance_ticks(harness: &mut ShardHarness, millis: u64) {
    for _ in 0..millis / 50 {
        harness.now = harness.now + Duration::from_millis(50);
        harness.step(ShardEvent::Tick);
    }
}

#[test_case(500; "interval of a few engines")]
#[test_case(3_200; "interval of 320 engines")]
#[test_case(6_000; "interval of 600 engines")]
fn foreign_slots_are_known_from_the_second_report_on(interval: u64) {
    let mut harness = ShardHarness::new(1, 12, &["a"]);
    send_report(&mut harness);
    for _ in 0..4 {
        advance_ticks(&mut harness, interval);
        send_report(&mut harness);
        assert_eq!(foreign_slots(&harness), FOREIGN);
    }
    // One report is missing.
    advance_ticks(&mut harness, interval + interval / 2);
    assert_eq!(foreign_slots(&harness), FOREIGN);
    advance_ticks(&mut harness, 3_000 + 2 * interval);
    assert_eq!(foreign_slots(&harness), 0, "an endpoint without further reports does not stay full");
}
