//! Lines on their way to standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How many writes may wait; at some 300 bytes a line that is one megabyte.
const QUEUED: usize = 4_096;
/// How long lines are collected before they are written together.
const COLLECT: Duration = Duration::from_millis(200);
/// The most bytes that are written at once.
const BATCH_BYTES: usize = 64 * 1024;
/// How long a process that ends waits for its last lines.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);

/// A bounded queue before standard output. Writing to it never waits.
#[derive(Debug, Clone)]
pub(super) struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    pending: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes.
    pub fn start() -> LineQueue {
        let (lines, receiver) = sync_channel(QUEUED);
        let queue = LineQueue { lines, pending: Arc::default(), dropped: Arc::default() };
        let (pending, dropped) = (queue.pending.clone(), queue.dropped.clone());
        std::thread::spawn(move || write_lines(&receiver, &pending, &dropped));
        queue
    }

    /// Waits until the queue is empty, for a bounded time.
    pub fn drain(&self) {
        let limit = Instant::now() + DRAIN_LIMIT;
        while self.pending.load(Ordering::SeqCst) > 0 && Instant::now() < limit {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.pending.fetch_add(1, Ordering::SeqCst);
        if self.lines.try_send(bytes.to_vec()).is_err() {
            self.pending.fetch_sub(1, Ordering::SeqCst);
            self.dropped.fetch_add(1, Ordering::SeqCst);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, pending: &AtomicU64, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        batch.extend_from_slice(&first);
        let mut taken = 1;
        let until = Instant::now() + COLLECT;
        while batch.len() < BATCH_BYTES {
            match lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(line) => {
                    batch.extend_from_slice(&line);
                    taken += 1;
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
            }
        }
        let lost = dropped.swap(0, Ordering::SeqCst);
        if lost > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":\"MP1607\",\"text\":\"log lines dropped count={lost}\"}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        // Nobody can be told when standard output itself fails.
        let _ = io::stdout().write_all(&batch).and_then(|()| io::stdout().flush());
        batch.clear();
        pending.fetch_sub(taken, Ordering::SeqCst);
    }
}
