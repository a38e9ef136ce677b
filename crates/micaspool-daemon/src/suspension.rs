//! Detects suspensions of the machine.

use async_std::task;
use micaspool_clock::{counts_suspended_time, ClockPair, SuspensionWatch};
use micaspool_telemetry::events::{self, field, record};
use std::time::Duration;

/// The interval between comparisons of the clocks. Reading both takes about 150 ns.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Logs each suspension of the machine with its length. Logs a warning once if the system cannot detect them.
pub fn watch_suspensions() {
    if !counts_suspended_time() {
        record(&events::SUSPENSION_UNDETECTABLE, &[]);
        return;
    }
    task::spawn(compare_clocks());
}

async fn compare_clocks() {
    let mut watch = None;
    loop {
        if let Some(pair) = ClockPair::read() {
            let watch = watch.get_or_insert_with(|| SuspensionWatch::new(pair));
            if let Some(length) = watch.observe(pair) {
                record(&events::MACHINE_SUSPENDED, &[field("suspended_ms", length.as_millis())]);
            }
        }
        task::sleep(CLOCK_CHECK_INTERVAL).await;
    }
}
