//! The keeper daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use async_std::future::timeout;
use async_std::task;
use micaspool_daemon::{report_ready, start, watch_stop_signals, DaemonStart, EXIT_FAILED};
use micaspool_keeper::run_keeper;
use micaspool_settings::process::ProcessRole;
use micaspool_telemetry::events::{self, record};
use std::time::Duration;

/// The interval at which the daemon checks whether the keeper has stopped, for example after a file error.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

fn main() {
    let start = start(ProcessRole::Keeper);
    task::block_on(run(start));
}

async fn run(start: DaemonStart) {
    let stop = watch_stop_signals().expect("the signal handlers can be installed");
    let daemon = match run_keeper(&start.settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(EXIT_FAILED);
        }
    };
    let status = daemon.status.map(|address| ("status", address));
    let addresses: Vec<_> = [("wire", daemon.wire)].into_iter().chain(status).collect();
    report_ready("keeper", &addresses);
    while timeout(FAILURE_CHECK_INTERVAL, stop.wait()).await.is_err() {
        if daemon.has_stopped() {
            std::process::exit(EXIT_FAILED);
        }
    }
    record(&events::PROCESS_DRAINING, &[]);
    daemon.stop().await;
    record(&events::PROCESS_STOPPED, &[]);
}
