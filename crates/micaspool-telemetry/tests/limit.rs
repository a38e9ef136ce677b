//! Lines of a kind beyond a limit are left out and counted.

use micaspool_telemetry::limit::LineLimit;
use std::time::Duration;

#[test]
fn the_next_line_tells_how_many_were_left_out() {
    let limit = LineLimit::new(3);
    let turns: Vec<_> = (0..10).map(|_| limit.admit()).collect();
    assert_eq!(turns.iter().flatten().count(), 3);
    std::thread::sleep(Duration::from_millis(1_050));
    assert_eq!(limit.admit(), Some(7));
    assert_eq!(limit.admit(), Some(0));
}
