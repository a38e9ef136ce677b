//! The router daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use async_std::task;
use micaspool_daemon::{report_ready, start, watch_stop_signals, DaemonStart, EXIT_FAILED};
use micaspool_router::run_router;
use micaspool_settings::process::ProcessRole;
use micaspool_telemetry::events::{self, record};
use std::time::Duration;

/// The time limit for requests in flight after the signal to stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);

fn main() {
    let start = start(ProcessRole::Router);
    task::block_on(run(start));
}

async fn run(start: DaemonStart) {
    let stop = watch_stop_signals().expect("the signal handlers can be installed");
    let daemon = match run_router(&start.settings, start.incarnation).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(EXIT_FAILED);
        }
    };
    report_ready("router", &[("callers", daemon.callers), ("status", daemon.status)]);
    stop.wait().await;
    record(&events::PROCESS_DRAINING, &[]);
    let is_complete = daemon.stop(DRAIN_LIMIT).await;
    record(&events::PROCESS_STOPPED, &[]);
    std::process::exit(if is_complete { 0 } else { EXIT_FAILED });
}
