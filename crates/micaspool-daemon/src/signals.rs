//! Waiting for the order to stop.

use async_std::channel::{bounded, Receiver};
use micaspool_telemetry::events::{self, field, record};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Set once the process is told to stop.
#[derive(Debug, Clone)]
pub struct StopSignal {
    /// Closed by the thread that waits for signals.
    closed: Receiver<()>,
}

/// Gets a message each time the process is told to read its settings file again.
pub type ReloadSignal = Receiver<()>;

/// Takes SIGTERM, SIGINT and SIGHUP over.
pub fn watch_signals() -> std::io::Result<(StopSignal, ReloadSignal)> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, closed) = bounded(1);
    let (reloads, reload) = bounded(1);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                sender.close();
                return;
            }
            // One reload that waits covers those that come meanwhile.
            let _ = reloads.try_send(());
        }
    });
    Ok((StopSignal { closed }, reload))
}

/// Takes SIGTERM and SIGINT over, for a process that reads its settings once. It goes on after a
/// SIGHUP and says so.
pub fn stop_requested() -> std::io::Result<StopSignal> {
    let (stop, reload) = watch_signals()?;
    std::thread::spawn(move || {
        while reload.recv_blocking().is_ok() {
            record(
                &events::SETTINGS_NOT_RELOADED,
                &[field("remedy", "restart the process to change its settings")],
            );
        }
    });
    Ok(stop)
}

impl StopSignal {
    /// True once the process is told to stop.
    pub fn is_set(&self) -> bool {
        self.closed.is_closed()
    }

    /// Waits until the process is told to stop.
    pub async fn wait(&self) {
        let _ = self.closed.recv().await;
    }
}
