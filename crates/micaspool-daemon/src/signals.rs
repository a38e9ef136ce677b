//! Waiting for the order to stop.

use async_std::task;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the flag is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// Set once the process is told to stop.
#[derive(Debug, Clone)]
pub struct StopSignal {
    flag: Arc<AtomicBool>,
}

/// Takes SIGTERM and SIGINT over.
pub fn stop_requested() -> std::io::Result<StopSignal> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    Ok(StopSignal { flag })
}

impl StopSignal {
    /// True once the process is told to stop.
    pub fn is_set(&self) -> bool {
        self.flag.load(Ordering::SeqCst)
    }

    /// Waits until the process is told to stop.
    pub async fn wait(&self) {
        while !self.is_set() {
            task::sleep(LOOK).await;
        }
    }
}
