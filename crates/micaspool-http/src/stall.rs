//! Noticing that nothing has moved for too long, with a timer for each limit instead of one for
//! each read or write.

use async_std::task;
use micaspool_clock::BootInstant;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Tells when nothing has moved for a time limit.
pub struct StallTimer {
    limit: Duration,
    moved: BootInstant,
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl std::fmt::Debug for StallTimer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "StallTimer({:?})", self.limit)
    }
}

impl StallTimer {
    /// A timer that begins now.
    pub fn new(limit: Duration) -> StallTimer {
        StallTimer { limit, moved: BootInstant::now(), timer: None }
    }

    /// Notes that something has moved.
    pub fn moved(&mut self) {
        self.moved = BootInstant::now();
    }

    /// Ready once nothing has moved for the limit. Call it while something else is pending.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let left = self.limit.saturating_sub(self.moved.elapsed());
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
