//! Detects I/O without progress, with one timer per time limit instead of one per read or write.

use async_std::task;
use micaspool_clock::BootInstant;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Fires when there was no progress for a time limit.
pub struct StallTimer {
    limit: Duration,
    last_progress: BootInstant,
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl std::fmt::Debug for StallTimer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "StallTimer({:?})", self.limit)
    }
}

impl StallTimer {
    /// Creates a timer that starts now.
    pub fn new(limit: Duration) -> StallTimer {
        StallTimer { limit, last_progress: BootInstant::now(), timer: None }
    }

    /// Records progress and starts the time limit again.
    pub fn reset(&mut self) {
        self.last_progress = BootInstant::now();
    }

    /// Ready once there was no progress for the time limit. To be polled whenever the watched I/O is pending.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let left = self.limit.saturating_sub(self.last_progress.elapsed());
            if left.is_zero() {
                return Poll::Ready(());
            }
            let timer = self.timer.get_or_insert_with(|| Box::pin(task::sleep(left)));
            match timer.as_mut().poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(()) => self.timer = None,
            }
        }
    }
}
