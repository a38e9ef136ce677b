//! HTTP/1.1 client based on `async-h1`; each request has its own connection.

use crate::response_head::{self, prepare_head};
use crate::response_watch::ResponseWatch;
use crate::stall::StallTimer;
use async_std::future::timeout;
use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Body, Request, Response, StatusCode};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// The most that is read at once while a head is incomplete, in bytes.
const READ_BYTES: usize = 2 * 1024;

/// Time limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// The time limit for establishing the connection.
    pub connect: Duration,
    /// How long the server may send nothing, before the response head and between parts of the body.
    pub silence: Duration,
}

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be established, so no byte of the request was sent.
    Unreachable(io::Error),
    /// The server sent nothing for too long after the connection was established.
    Silent,
    /// The connection failed, or the response was not HTTP.
    Broken,
    /// The head of the response is malformed, or ambiguous about where the body ends.
    Head(response_head::Error),
    /// The length of the response body is missing, ambiguous or malformed.
    Length,
    /// The server sent an unsolicited interim response (status 1xx).
    Interim,
}

impl Error {
    /// Returns true if no byte of the request can have reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Unreachable(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable(error) => write!(f, "no connection ({error}); check that the server runs"),
            Error::Silent => {
                f.write_str("the server was silent for too long; check its load or raise the limit")
            }
            Error::Broken => {
                f.write_str("the connection failed before a complete response head; check the server")
            }
            Error::Head(error) => error.fmt(f),
            Error::Length => f.write_str("the response has no unambiguous body length; fix the server"),
            Error::Interim => f.write_str("the server sent an interim response; fix the server"),
        }
    }
}

impl std::error::Error for Error {}

/// Sends a request on a new connection and returns the response as soon as its head has arrived.
///
/// Reading the body fails if it ends before its declared length, if the server sends nothing for too long, or if the
/// framing of a chunk does not end.
pub async fn call(address: SocketAddr, request: Request, limits: CallLimits) -> Result<Response, Error> {
    let stream = connect(address, limits.connect).await?;
    let watch = Arc::new(ResponseWatch::default());
    let stream = WatchedStream { stream, watch: watch.clone(), beginning: Arc::default() };
    let mut response = match timeout(limits.silence, async_h1::connect(stream, request)).await {
        Err(_) => return Err(Error::Silent),
        Ok(Err(error)) => return Err(head_error(&error).map_or(Error::Broken, Error::Head)),
        Ok(Ok(response)) => response,
    };
    if response.status().is_informational() {
        return Err(Error::Interim);
    }
    let length = answer_length(&response)?;
    let body = CheckedBody::new(response.take_body(), length, limits.silence, watch);
    let declared = length.and_then(|length| usize::try_from(length).ok());
    response.set_body(Body::from_reader(async_std::io::BufReader::new(body), declared));
    Ok(response)
}

/// Returns what is wrong with the head if that is why decoding failed.
fn head_error(error: &http_types::Error) -> Option<response_head::Error> {
    error.downcast_ref::<io::Error>()?.get_ref()?.downcast_ref().copied()
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Error> {
    let timed_out = || Error::Unreachable(io::ErrorKind::TimedOut.into());
    let stream = timeout(limit, TcpStream::connect(address)).await.map_err(|_| timed_out())?;
    let stream = stream.map_err(Error::Unreachable)?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Returns the length of the response body, or `None` if it is chunked.
fn answer_length(response: &Response) -> Result<Option<u64>, Error> {
    if matches!(response.status(), StatusCode::NoContent | StatusCode::NotModified) {
        return Ok(Some(0));
    }
    let lengths: Vec<&str> = response
        .header(CONTENT_LENGTH)
        .map(|values| values.iter().map(|value| value.as_str()).collect())
        .unwrap_or_default();
    let chunked = response.header(TRANSFER_ENCODING).is_some();
    match (lengths.as_slice(), chunked) {
        ([], true) => Ok(None),
        ([length], false) => length.trim().parse().map(Some).map_err(|_| Error::Length),
        _ => Err(Error::Length),
    }
}

/// The stream of a connection, whose reads are watched. What it begins with is held back until there is a whole head.
///
/// Clones share all state.
#[derive(Clone, Debug)]
struct WatchedStream {
    stream: TcpStream,
    watch: Arc<ResponseWatch>,
    beginning: Arc<Mutex<HeldBytes>>,
}

/// Bytes that were read and not yet given to the decoder.
#[derive(Debug, Default)]
struct HeldBytes {
    bytes: Vec<u8>,
    given: usize,
}

impl HeldBytes {
    /// Gives out as many bytes as there are and fit.
    fn give(&mut self, buf: &mut [u8]) -> usize {
        let left = &self.bytes[self.given..];
        let count = left.len().min(buf.len());
        buf[..count].copy_from_slice(&left[..count]);
        self.given += count;
        count
    }
}

impl WatchedStream {
    /// Reads from the connection itself.
    fn poll_watched(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.watch.check()?;
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.watch.record_read(&buf[..count])?;
        Poll::Ready(Ok(count))
    }

    /// Reads until there is a whole head, or the connection ends.
    fn poll_beginning(&mut self, cx: &mut Context<'_>, held: &mut HeldBytes) -> Poll<io::Result<()>> {
        while !self.watch.has_head() {
            let mut part = [0; READ_BYTES];
            let count = ready!(self.poll_watched(cx, &mut part))?;
            if count == 0 {
                return Poll::Ready(Ok(()));
            }
            held.bytes.extend_from_slice(&part[..count]);
            if self.watch.has_head() {
                prepare_head(&mut held.bytes)?;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for WatchedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let beginning = this.beginning.clone();
        let mut held = beginning.lock().unwrap_or_else(PoisonError::into_inner);
        ready!(this.poll_beginning(cx, &mut held))?;
        match held.give(buf) {
            0 => this.poll_watched(cx, buf),
            count => Poll::Ready(Ok(count)),
        }
    }
}

impl Write for WatchedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// A body that checks its length and the time between reads.
struct CheckedBody {
    body: Body,
    remaining: Option<u64>,
    stall: StallTimer,
    watch: Arc<ResponseWatch>,
}

impl CheckedBody {
    fn new(body: Body, remaining: Option<u64>, silence: Duration, watch: Arc<ResponseWatch>) -> CheckedBody {
        CheckedBody { body, remaining, stall: StallTimer::new(silence), watch }
    }

    /// Reads from the decoder, which panics for trailers that are not ASCII. After a panic it is not polled again.
    fn poll_decoded(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = AssertUnwindSafe(|| Pin::new(&mut self.body).poll_read(cx, buf));
        catch_unwind(read).unwrap_or_else(|_| {
            self.body = Body::empty();
            // A later read fails as well, since bytes are missing.
            self.remaining = Some(1);
            let message = "the trailers of the response can't be decoded; check the endpoint";
            Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
        })
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.stall.poll_stalled(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }

    fn record_read(&mut self, count: usize) -> io::Result<usize> {
        self.stall.reset();
        self.watch.record_progress();
        match &mut self.remaining {
            Some(remaining) if count == 0 && *remaining > 0 => Err(io::ErrorKind::UnexpectedEof.into()),
            Some(remaining) => {
                *remaining = remaining.saturating_sub(count as u64);
                Ok(count)
            }
            None => Ok(count),
        }
    }
}

impl Read for CheckedBody {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match this.poll_decoded(cx, buf) {
            Poll::Ready(Ok(count)) => Poll::Ready(this.record_read(count)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => this.poll_timeout(cx),
        }
    }
}
