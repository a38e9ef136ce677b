//! A stream that replays bytes that were already read.

use crate::read_meter::ReadMeter;
use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

/// A stream that reads the pending bytes first and then from the underlying stream, up to a byte budget. Writes go to
/// the underlying stream.
///
/// Clones share the pending bytes and the budget. Reading fails once too much was read without progress.
#[derive(Clone, Debug)]
pub struct ReplayStream {
    stream: TcpStream,
    state: Arc<Mutex<ReplayState>>,
}

#[derive(Debug)]
struct ReplayState {
    pending: Vec<u8>,
    position: usize,
    /// How many more bytes may be read; `None` for no limit.
    budget: Option<u64>,
    meter: ReadMeter,
}

impl ReplayStream {
    /// Creates a stream that reads `pending` first, and at most `budget` bytes in total.
    pub fn new(stream: TcpStream, pending: Vec<u8>, budget: Option<u64>) -> ReplayStream {
        let state = ReplayState { pending, position: 0, budget, meter: ReadMeter::default() };
        ReplayStream { stream, state: Arc::new(Mutex::new(state)) }
    }

    /// Records that the reader got a part of the body.
    pub fn record_progress(&self) {
        self.state.lock().expect("no thread panics while it holds the lock").meter.record_progress();
    }

    /// Removes and returns the pending bytes that were not read.
    pub fn take_unread(&self) -> Vec<u8> {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        let position = state.position;
        let unread = state.pending.split_off(position);
        state.pending.clear();
        state.position = 0;
        unread
    }
}

impl ReplayState {
    fn allowed(&self, wanted: usize) -> usize {
        match self.budget {
            Some(budget) => wanted.min(usize::try_from(budget).unwrap_or(usize::MAX)),
            None => wanted,
        }
    }

    fn consume(&mut self, bytes: usize) {
        if let Some(budget) = &mut self.budget {
            *budget = budget.saturating_sub(bytes as u64);
        }
    }

    fn read_pending(&mut self, buf: &mut [u8]) -> usize {
        let remaining = &self.pending[self.position..];
        let count = remaining.len().min(buf.len());
        buf[..count].copy_from_slice(&remaining[..count]);
        self.position += count;
        self.consume(count);
        count
    }
}

impl Read for ReplayStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().expect("no thread panics while it holds the lock");
        state.meter.check()?;
        let allowed = state.allowed(buf.len());
        if allowed == 0 {
            return Poll::Ready(Ok(0));
        }
        if state.position < state.pending.len() {
            return Poll::Ready(Ok(state.read_pending(&mut buf[..allowed])));
        }
        let result = Pin::new(&mut this.stream).poll_read(cx, &mut buf[..allowed]);
        if let Poll::Ready(Ok(count)) = &result {
            state.consume(*count);
            state.meter.add(*count);
        }
        result
    }
}

impl Write for ReplayStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(cx)
    }
}
