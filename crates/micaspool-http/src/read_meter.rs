//! Bounds what is read from a peer without giving its reader any of a body: heads, interim responses and the framing of
//! chunks, which a faulty peer may send without end.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};

/// The most that is read without progress, in bytes: the longest head, and what is read ahead of the reader.
const MAX_UNUSED_BYTES: u64 = 128 * 1024;

/// Counts the bytes that were read since the reader last made progress.
#[derive(Debug, Default)]
pub(crate) struct ReadMeter {
    unused: AtomicU64,
}

impl ReadMeter {
    /// Records that a message begins, or that its reader got a part of its body.
    pub fn record_progress(&self) {
        self.unused.store(0, Ordering::Relaxed);
    }

    /// Records bytes that were read.
    pub fn add(&self, bytes: usize) {
        self.unused.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Fails once too much was read without progress.
    pub fn check(&self) -> io::Result<()> {
        if self.unused.load(Ordering::Relaxed) < MAX_UNUSED_BYTES {
            return Ok(());
        }
        let message = "a head or the framing of a chunk does not end; check the peer";
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }
}
