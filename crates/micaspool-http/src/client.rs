//! Calling endpoints and other HTTP/1.1 servers; each request has its own connection.

use crate::stall::StallTimer;
use async_std::future::timeout;
use async_std::io::Read;
use async_std::net::TcpStream;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Body, Request, Response, StatusCode};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Limits of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// How long connecting may take.
    pub connect: Duration,
    /// How long the server may be silent, before its head and between parts of its body.
    pub silence: Duration,
}

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// No connection was made; no byte of the request was sent.
    Unreachable(io::Error),
    /// The server was silent for too long after the connection was made.
    Silent,
    /// The connection broke or the answer was not HTTP.
    Broken,
    /// The answer's length is missing, doubled or contradicted.
    Length,
    /// The server sent an interim answer that nobody asked for.
    Interim,
}

impl Error {
    /// True when no byte of the request can have reached the server.
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
            Error::Broken => f.write_str("the connection broke before the answer's head; check the server"),
            Error::Length => f.write_str("the answer has no single body length; mend the server"),
            Error::Interim => f.write_str("the server sent an interim answer; mend the server"),
        }
    }
}

impl std::error::Error for Error {}

/// Sends a request on a new connection and gives the answer once its head is there.
///
/// Reading the answer's body fails when it ends before its length, and when the server is silent
/// for too long.
pub async fn call(address: SocketAddr, request: Request, limits: CallLimits) -> Result<Response, Error> {
    let stream = connect(address, limits.connect).await?;
    let mut response = match timeout(limits.silence, async_h1::connect(stream, request)).await {
        Err(_) => return Err(Error::Silent),
        Ok(Err(_)) => return Err(Error::Broken),
        Ok(Ok(response)) => response,
    };
    if response.status().is_informational() {
        return Err(Error::Interim);
    }
    let length = answer_length(&response)?;
    let body = WatchedBody::new(response.take_body(), length, limits.silence);
    let declared = length.and_then(|length| usize::try_from(length).ok());
    response.set_body(Body::from_reader(async_std::io::BufReader::new(body), declared));
    Ok(response)
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Error> {
    let late = || Error::Unreachable(io::ErrorKind::TimedOut.into());
    let stream = timeout(limit, TcpStream::connect(address)).await.map_err(|_| late())?;
    let stream = stream.map_err(Error::Unreachable)?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// The length of an answer's body: known, or `None` when it comes in chunks.
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

/// A body that must be whole and must not be silent for too long.
struct WatchedBody {
    body: Body,
    missing: Option<u64>,
    stall: StallTimer,
}

impl WatchedBody {
    fn new(body: Body, missing: Option<u64>, silence: Duration) -> WatchedBody {
        WatchedBody { body, missing, stall: StallTimer::new(silence) }
    }

    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.stall.poll_stalled(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }

    fn account(&mut self, count: usize) -> io::Result<usize> {
        self.stall.moved();
        match &mut self.missing {
            Some(missing) if count == 0 && *missing > 0 => Err(io::ErrorKind::UnexpectedEof.into()),
            Some(missing) => {
                *missing = missing.saturating_sub(count as u64);
                Ok(count)
            }
            None => Ok(count),
        }
    }
}

impl Read for WatchedBody {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match Pin::new(&mut this.body).poll_read(cx, buf) {
            Poll::Ready(Ok(count)) => Poll::Ready(this.account(count)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => this.poll_silence(cx),
        }
    }
}
