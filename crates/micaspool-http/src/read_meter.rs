//! Bounds what is read from a peer without giving its reader any of a body: heads, interim responses and the framing of
//! chunks, which a faulty peer may send without end.

use crate::socket::ShortReads;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

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

/// The stream of a connection to an endpoint, whose reads are metered.
#[derive(Debug)]
pub(crate) struct MeteredReads {
    stream: ShortReads,
    meter: Arc<ReadMeter>,
}

impl MeteredReads {
    pub fn new(stream: ShortReads, meter: Arc<ReadMeter>) -> MeteredReads {
        MeteredReads { stream, meter }
    }
}

impl AsyncRead for MeteredReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.meter.check()?;
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.meter.add(buf.filled().len() - before);
        read
    }
}

impl AsyncWrite for MeteredReads {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
