//! Follows the call on a connection of a server, to tell what was cut if the connection fails.
//!
//! HTTP/1.1 has one open call at most on a connection: from the request head until the last byte of the response is
//! written to the socket.

use crate::edge::{BodyError, EdgeBody};
use crate::socket::ShortReads;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use micaspool_clock::BootInstant;
use std::error::Error;
use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// Why a connection ended while a call was open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutCause {
    /// The caller closed the connection, or the half of it that it sends on.
    Closed,
    /// The caller reset the connection.
    Reset,
    /// The caller acknowledged neither bytes nor keep-alive probes for too long.
    TimedOut,
    /// The caller sent bytes that are not HTTP.
    Malformed,
    /// The body of the response failed.
    BodyFailed,
    /// The body of the response panicked.
    Panicked,
    /// None of the others.
    Other,
}

/// The error of a body that panicked. The panic itself is reported by the panic hook of the process.
#[derive(Debug)]
struct BodyPanic;

/// A call whose connection ended before the whole response was written.
#[derive(Clone, Debug)]
pub struct CutCall {
    /// Why the connection ended.
    pub cause: CutCause,
    /// What the server says about it.
    pub error: String,
    /// The label that the handler gave the call.
    pub label: Option<Arc<str>>,
    /// The number of calls that were answered on the connection before.
    pub earlier_calls: u64,
    /// The time since the request head was read.
    pub lasted: Duration,
    /// The bytes of the response that were written to the socket.
    pub sent_bytes: u64,
}

/// A handle by which a handler names the call for logs. The server adds it to the extensions of each request.
#[derive(Clone)]
pub struct CallLabel(Arc<CallTracker>);

/// The call on a connection.
#[derive(Debug, Default)]
pub(crate) struct CallTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    open: Option<OpenCall>,
    /// The number of calls whose whole response was written.
    answered: u64,
}

#[derive(Debug)]
struct OpenCall {
    since: BootInstant,
    label: Option<Arc<str>>,
    sent_bytes: u64,
    /// True once the whole response was handed to the connection. Part of it may not be written yet.
    is_complete: bool,
    /// True if everything that was handed to the connection is written.
    is_flushed: bool,
}

impl CutCause {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CutCause::Closed => "closed-by-caller",
            CutCause::Reset => "reset",
            CutCause::TimedOut => "timed-out",
            CutCause::Malformed => "malformed",
            CutCause::BodyFailed => "body-failed",
            CutCause::Panicked => "panicked",
            CutCause::Other => "other",
        }
    }

    /// Returns the cause of an error of a connection.
    fn of(error: &hyper::Error) -> CutCause {
        if error.is_incomplete_message() {
            return CutCause::Closed;
        }
        if error.is_parse() {
            return CutCause::Malformed;
        }
        if source_of::<BodyPanic>(error).is_some() {
            return CutCause::Panicked;
        }
        if error.is_user() {
            return CutCause::BodyFailed;
        }
        match source_of::<io::Error>(error).map(io::Error::kind) {
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::NotConnected,
            ) => CutCause::Reset,
            Some(io::ErrorKind::TimedOut) => CutCause::TimedOut,
            _ => CutCause::Other,
        }
    }
}

impl fmt::Display for BodyPanic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body of the response panicked; report the panic")
    }
}

impl Error for BodyPanic {}

/// Returns the first error of a type that an error comes from, if there is one.
fn source_of<E: Error + 'static>(error: &hyper::Error) -> Option<&E> {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(found) = cause.downcast_ref() {
            return Some(found);
        }
        source = cause.source();
    }
    None
}

/// Returns an error with what caused it.
fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

impl CallLabel {
    /// Sets the label, such as the id of the request.
    pub fn set(&self, label: Arc<str>) {
        if let Some(call) = &mut self.0.lock().open {
            call.label = Some(label);
        }
    }
}

impl fmt::Debug for CallLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallLabel").finish_non_exhaustive()
    }
}

impl CallTracker {
    /// Begins a call.
    pub fn begin(self: &Arc<Self>) -> CallLabel {
        let call = OpenCall {
            since: BootInstant::now(),
            label: None,
            sent_bytes: 0,
            is_complete: false,
            is_flushed: false,
        };
        let mut state = self.lock();
        // A request that came together with the one before: both responses are written together.
        state.answered += u64::from(state.open.is_some());
        state.open = Some(call);
        drop(state);
        CallLabel(self.clone())
    }

    /// Returns the label of the call.
    pub fn label(&self) -> Option<Arc<str>> {
        self.lock().open.as_ref().and_then(|call| call.label.clone())
    }

    /// Returns true from a request head until the last byte of its response is written to the socket.
    pub fn has_call(&self) -> bool {
        self.lock().open.is_some()
    }

    /// Begins the response. What was written before belongs to an interim response.
    pub fn begin_response(&self) {
        if let Some(call) = &mut self.lock().open {
            call.sent_bytes = 0;
            call.is_flushed = false;
        }
    }

    /// Ends the call if there is one, and returns it as one that was cut.
    pub fn cut(&self, error: &hyper::Error) -> Option<CutCall> {
        let mut state = self.lock();
        let call = state.open.take()?;
        Some(CutCall {
            cause: CutCause::of(error),
            error: describe(error),
            label: call.label,
            earlier_calls: state.answered,
            lasted: call.since.elapsed(),
            sent_bytes: call.sent_bytes,
        })
    }

    fn complete_response(&self) {
        if let Some(call) = &mut self.lock().open {
            call.is_complete = true;
        }
    }

    /// Called when a part of the response is handed to the connection.
    fn hand_over(&self) {
        if let Some(call) = &mut self.lock().open {
            call.is_flushed = false;
        }
    }

    fn is_flushed(&self) -> bool {
        self.lock().open.as_ref().is_none_or(|call| call.is_flushed)
    }

    fn count_written(&self, bytes: usize) {
        if let Some(call) = &mut self.lock().open {
            call.sent_bytes += bytes as u64;
        }
    }

    /// Called when everything that was handed to the connection is written to the socket.
    fn record_flush(&self) {
        let mut state = self.lock();
        let Some(call) = &mut state.open else { return };
        call.is_flushed = true;
        if call.is_complete {
            state.open = None;
            state.answered += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body of a response, which tells the tracker when it is complete.
///
/// If it fails, the error is held back until the parts before it are written: `hyper` drops what it has not written when
/// a body fails, so that a body that fails at once would leave its caller without even a head.
pub(crate) struct TrackedBody {
    body: EdgeBody,
    tracker: Arc<CallTracker>,
    is_failed: bool,
    /// The error that is held back.
    failure: Option<BodyError>,
}

impl TrackedBody {
    pub fn new(body: EdgeBody, tracker: Arc<CallTracker>) -> TrackedBody {
        TrackedBody { body, tracker, is_failed: false, failure: None }
    }

    /// Polls the body itself. After a panic it is not polled again.
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // The panic must not end the task: closed in order, its connection could look like the end of the answer.
        let body = AssertUnwindSafe(|| Pin::new(&mut self.body).poll_frame(cx));
        catch_unwind(body).unwrap_or_else(|_| Poll::Ready(Some(Err(Box::new(BodyPanic)))))
    }

    /// Returns the error that is held back once everything before it is written.
    fn poll_failure(&mut self) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.tracker.is_flushed() {
            // The connection polls the body again when it has written more.
            return Poll::Pending;
        }
        Poll::Ready(self.failure.take().map(Err))
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.failure.is_some() {
            return self.poll_failure();
        }
        match self.poll_body(cx) {
            Poll::Ready(Some(Err(error))) => {
                self.is_failed = true;
                self.failure = Some(error);
                // The connection may have been about to wait for other events than writes.
                cx.waker().wake_by_ref();
                self.poll_failure()
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.tracker.hand_over();
                Poll::Ready(Some(Ok(frame)))
            }
            other => other,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    /// The connection drops a body after its end, after its failure, or without reading it if the response has none, as
    /// to HEAD. If the connection itself ends, the call was cut before.
    fn drop(&mut self) {
        if !self.is_failed {
            self.tracker.complete_response();
        }
    }
}

/// The socket of a connection, which tells the tracker what is written.
pub(crate) struct TrackedStream {
    stream: TokioIo<ShortReads>,
    tracker: Arc<CallTracker>,
}

impl TrackedStream {
    pub fn new(stream: TcpStream, tracker: Arc<CallTracker>) -> TrackedStream {
        TrackedStream { stream: TokioIo::new(ShortReads::new(stream)), tracker }
    }

    pub fn socket(&self) -> &TcpStream {
        self.stream.inner().stream()
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.tracker.count_written(*bytes);
        }
    }
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = flushed {
            self.tracker.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
