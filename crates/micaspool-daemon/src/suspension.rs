//! Noticing that the machine was suspended.

use async_std::task;
use micaspool_clock::{counts_suspended_time, ClockPair, SuspensionWatch};
use micaspool_telemetry::events::{self, field, record};
use std::time::Duration;

/// How often the clocks are compared; a reading of both takes some 150 ns.
const LOOK: Duration = Duration::from_millis(100);

/// Logs each suspension of the machine with its length, and once where the system can't tell of them.
pub fn watch_suspensions() {
    if !counts_suspended_time() {
        record(&events::SUSPENSION_UNDETECTABLE, &[]);
        return;
    }
    task::spawn(follow_clocks());
}

async fn follow_clocks() {
    let mut watch = None;
    loop {
        if let Some(pair) = ClockPair::read() {
            let watch = watch.get_or_insert_with(|| SuspensionWatch::new(pair));
            if let Some(length) = watch.observe(pair) {
                record(&events::MACHINE_SUSPENDED, &[field("suspended_ms", length.as_millis())]);
            }
        }
        task::sleep(LOOK).await;
    }
}
