//! Watches what a client reads on a connection: checks heads, and bounds what is read without giving the reader any of a
//! body.

use crate::read_meter::ReadMeter;
use crate::response_head::HeadScanner;
use crate::socket::ShortReads;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Follows the responses on a connection.
#[derive(Debug, Default)]
pub(crate) struct ResponseWatch {
    meter: ReadMeter,
    heads: Mutex<HeadScanner>,
}

impl ResponseWatch {
    /// Records that the next response is expected.
    pub fn expect_response(&self) {
        self.meter.record_progress();
        self.lock_heads().expect_head();
    }

    /// Records that the reader got a part of the body.
    pub fn record_progress(&self) {
        self.meter.record_progress();
    }

    /// Fails once too much was read without progress.
    pub fn check(&self) -> io::Result<()> {
        self.meter.check()
    }

    /// Records bytes that were read. Fails if a head in them is no head of a response.
    pub fn record_read(&self, bytes: &[u8]) -> io::Result<()> {
        self.meter.add(bytes.len());
        Ok(self.lock_heads().scan(bytes)?)
    }

    /// Returns true once a whole head of the response was read.
    pub fn has_head(&self) -> bool {
        self.lock_heads().has_head()
    }

    fn lock_heads(&self) -> MutexGuard<'_, HeadScanner> {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stream of a connection to an endpoint, whose reads are watched.
#[derive(Debug)]
pub(crate) struct WatchedReads {
    stream: ShortReads,
    watch: Arc<ResponseWatch>,
}

impl WatchedReads {
    pub fn new(stream: ShortReads, watch: Arc<ResponseWatch>) -> WatchedReads {
        WatchedReads { stream, watch }
    }
}

impl AsyncRead for WatchedReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.watch.check()?;
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.watch.record_read(&buf.filled()[before..])?;
        read
    }
}

impl AsyncWrite for WatchedReads {
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
