//! Tests that lines above the limit are suppressed and counted.

use micaspool_telemetry::limit::LineLimit;
use std::time::Duration;

#[test]
fn the_next_admitted_line_reports_the_suppressed_count() {
    let limit = LineLimit::new(3);
    let results: Vec<_> = (0..10).map(|_| limit.admit()).collect();
    assert_eq!(results.iter().flatten().count(), 3);
    std::thread::sleep(Duration::from_millis(1_050));
    assert_eq!(limit.admit(), Some(7));
    assert_eq!(limit.admit(), Some(0));
}
