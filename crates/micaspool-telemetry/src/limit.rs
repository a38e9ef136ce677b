//! Rate limits for log lines.

use micaspool_clock::BootInstant;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the log lines of one kind per second, and counts the suppressed ones.
#[derive(Debug)]
pub struct LineLimit {
    max_per_second: u32,
    window: Mutex<LineWindow>,
}

#[derive(Debug)]
struct LineWindow {
    since: BootInstant,
    written: u32,
    suppressed: u64,
}

impl LineLimit {
    /// Creates a limit of `max_per_second` lines per second.
    pub fn new(max_per_second: u32) -> LineLimit {
        LineLimit {
            max_per_second,
            window: Mutex::new(LineWindow { since: BootInstant::now(), written: 0, suppressed: 0 }),
        }
    }

    /// Returns `None` if the line is to be suppressed. Otherwise returns the number of lines suppressed since the
    /// last one that was written.
    pub fn admit(&self) -> Option<u64> {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.since.elapsed() >= WINDOW {
            window.since = BootInstant::now();
            window.written = 0;
        }
        if window.written >= self.max_per_second {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
