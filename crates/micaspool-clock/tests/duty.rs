//! Work whose cost grows with the fleet.

use micaspool_clock::DutyCycle;
use std::time::Duration;

const CYCLE: DutyCycle =
    DutyCycle { percent: 4, min_pause: Duration::from_millis(50), max_pause: Duration::from_secs(1) };

#[test]
fn the_pause_grows_with_the_work_within_its_bounds() {
    let pause = |millis: u64| CYCLE.pause_after(Duration::from_millis(millis)).as_millis();
    assert_eq!([pause(0), pause(2), pause(10), pause(20), pause(500)], [50, 50, 240, 480, 1_000]);
}
