//! Load reports of many engines, each of which is asked the more seldom the more there are.

use crate::bench::{endpoint, Bench};
use micaspool_dispatch::{LoadReport, ShardEvent};
use std::time::Duration;
use test_case::test_case;

/// The requests of others at the endpoint.
const FOREIGN: u32 = 2;

fn report(bench: &mut Bench) {
    let report = LoadReport {
        endpoint: endpoint(0),
        running: FOREIGN,
        waiting: 0,
        draining: false,
        requested_at: bench.now,
    };
    bench.step(ShardEvent::Load(report));
}

fn foreign(bench: &Bench) -> u32 {
    bench.core.status(bench.now).endpoints[0].foreign
}

/// Lets time pass with the looks at it that a driver makes.
fn pass(bench: &mut Bench, millis: u64) {
    for _ in 0..millis / 50 {
        bench.now = bench.now + Duration::from_millis(50);
        bench.step(ShardEvent::Tick);
    }
}

#[test_case(500; "as few engines are asked")]
#[test_case(3_200; "as 320 engines are asked")]
#[test_case(6_000; "as 600 engines are asked")]
fn what_others_use_is_known_from_the_second_report_on(interval: u64) {
    let mut bench = Bench::new(1, 12, &["a"]);
    report(&mut bench);
    for _ in 0..4 {
        pass(&mut bench, interval);
        report(&mut bench);
        assert_eq!(foreign(&bench), FOREIGN);
    }
    // One report is missing.
    pass(&mut bench, interval + interval / 2);
    assert_eq!(foreign(&bench), FOREIGN);
    pass(&mut bench, 3_000 + 2 * interval);
    assert_eq!(foreign(&bench), 0, "an endpoint that is not heard any more does not stay full");
}
