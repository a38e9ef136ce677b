//! Load reports of many engines, each of which is asked the more seldom the more there are.

use crate::harness::{endpoint, ShardHarness};
use micaspool_dispatch::{LoadReport, ShardEvent};
use std::time::Duration;
use test_case::test_case;

/// The requests of others at the endpoint.
const FOREIGN: u32 = 2;

fn report(harness: &mut ShardHarness) {
    let report = LoadReport {
        endpoint: endpoint(0),
        running: FOREIGN,
        waiting: 0,
        draining: false,
        asked_at: harness.now,
    };
    harness.step(ShardEvent::Load(report));
}

fn foreign(harness: &ShardHarness) -> u32 {
    harness.core.status(harness.now).endpoints[0].foreign
}

/// Lets time pass with the looks at it that a driver makes.
fn pass(harness: &mut ShardHarness, millis: u64) {
    for _ in 0..millis / 50 {
        harness.now = harness.now + Duration::from_millis(50);
        harness.step(ShardEvent::Tick);
    }
}

#[test_case(500; "as few engines are asked")]
#[test_case(3_200; "as 320 engines are asked")]
#[test_case(6_000; "as 600 engines are asked")]
fn what_others_use_is_known_from_the_second_report_on(interval: u64) {
    let mut harness = ShardHarness::new(1, 12, &["a"]);
    report(&mut harness);
    for _ in 0..4 {
        pass(&mut harness, interval);
        report(&mut harness);
        assert_eq!(foreign(&harness), FOREIGN);
    }
    // One report is missing.
    pass(&mut harness, interval + interval / 2);
    assert_eq!(foreign(&harness), FOREIGN);
    pass(&mut harness, 3_000 + 2 * interval);
    assert_eq!(foreign(&harness), 0, "an endpoint that is not heard any more does not stay full");
}
