//! Waiting for the order to stop.

use async_std::channel::{bounded, Receiver};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Set once the process is told to stop.
#[derive(Debug, Clone)]
pub struct StopSignal {
    /// Closed by the thread that waits for signals.
    closed: Receiver<()>,
}

/// Takes SIGTERM and SIGINT over.
pub fn stop_requested() -> std::io::Result<StopSignal> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, closed) = bounded(1);
    std::thread::spawn(move || {
        signals.forever().next();
        sender.close();
    });
    Ok(StopSignal { closed })
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
