//! The dispatcher daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use async_std::task;
use micaspool_daemon::{report_ready, start, watch_stop_signals, DaemonStart, EXIT_FAILED};
use micaspool_dispatcher::run_dispatcher;
use micaspool_settings::process::ProcessRole;
use micaspool_telemetry::events::{self, record};

fn main() {
    let start = start(ProcessRole::Dispatcher);
    task::block_on(run(start));
}

async fn run(start: DaemonStart) {
    let stop = watch_stop_signals().expect("the signal handlers can be installed");
    let daemon = match run_dispatcher(&start.settings, start.incarnation).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(EXIT_FAILED);
        }
    };
    report_ready("dispatcher", &[("wire", daemon.wire), ("status", daemon.status)]);
    stop.wait().await;
    record(&events::PROCESS_DRAINING, &[]);
    daemon.stop().await;
    record(&events::PROCESS_STOPPED, &[]);
}
