//! Signals to stop and to reload the settings.

use async_std::channel::{bounded, Receiver};
use micaspool_telemetry::events::{self, field, record};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Set once the process has received SIGTERM or SIGINT.
#[derive(Debug, Clone)]
pub struct StopSignal {
    /// Closed by the signal thread at the first signal to stop.
    closed: Receiver<()>,
}

/// Receives a message when SIGHUP asks the process to reload its settings file.
pub type ReloadSignal = Receiver<()>;

/// Installs handlers for SIGTERM, SIGINT and SIGHUP.
pub fn watch_signals() -> std::io::Result<(StopSignal, ReloadSignal)> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (stop_sender, closed) = bounded(1);
    let (reload_sender, reload_signal) = bounded(1);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                stop_sender.close();
                return;
            }
            // If a reload is already pending, it covers this one.
            let _ = reload_sender.try_send(());
        }
    });
    Ok((StopSignal { closed }, reload_signal))
}

/// Installs handlers for SIGTERM and SIGINT in a process that reads its settings only once. After a SIGHUP it continues
/// and logs that the settings stay.
pub fn watch_stop_signals() -> std::io::Result<StopSignal> {
    let (stop, reload_signal) = watch_signals()?;
    std::thread::spawn(move || {
        while reload_signal.recv_blocking().is_ok() {
            record(
                &events::SETTINGS_NOT_RELOADED,
                &[field("remedy", "restart the process to change its settings")],
            );
        }
    });
    Ok(stop)
}

impl StopSignal {
    /// Returns true once the process has received a signal to stop.
    pub fn is_set(&self) -> bool {
        self.closed.is_closed()
    }

    /// Waits for a signal to stop.
    pub async fn wait(&self) {
        let _ = self.closed.recv().await;
    }
}
