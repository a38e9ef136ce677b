//! Writes log lines to standard output from a dedicated thread.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum number of queued writes. At about 300 bytes per line they take one megabyte.
const MAX_QUEUED: usize = 4_096;
/// How long lines are collected before they are written in one batch.
const COLLECT_INTERVAL: Duration = Duration::from_millis(200);
/// How long a process waits for the queue to drain before it ends.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);

/// A bounded queue of lines for standard output. Writing to it never blocks; writes that do not fit are dropped and
/// counted.
#[derive(Debug, Clone)]
pub(super) struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    pending: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the writer thread.
    pub fn start() -> LineQueue {
        let (lines, receiver) = sync_channel(MAX_QUEUED);
        let queue = LineQueue { lines, pending: Arc::default(), dropped: Arc::default() };
        let (pending, dropped) = (queue.pending.clone(), queue.dropped.clone());
        std::thread::spawn(move || write_lines(&receiver, &pending, &dropped));
        queue
    }

    /// Waits until all queued lines are written, for [`DRAIN_LIMIT`] at most.
    pub fn drain(&self) {
        let deadline = Instant::now() + DRAIN_LIMIT;
        while self.pending.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
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
        let mut write_count = 1;
        // While this thread does not wait for lines, nobody has to wake it for each of them.
        std::thread::sleep(COLLECT_INTERVAL);
        for line in lines.try_iter().take(MAX_QUEUED) {
            batch.extend_from_slice(&line);
            write_count += 1;
        }
        let dropped_count = dropped.swap(0, Ordering::SeqCst);
        if dropped_count > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":\"MP1607\",\"text\":\"log lines dropped count={dropped_count}\"}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        // An error of standard output cannot be reported anywhere.
        let _ = io::stdout().write_all(&batch).and_then(|()| io::stdout().flush());
        batch.clear();
        pending.fetch_sub(write_count, Ordering::SeqCst);
    }
}
