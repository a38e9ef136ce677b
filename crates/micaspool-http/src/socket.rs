//! Socket options for connections to callers and endpoints.

use socket2::{SockRef, TcpKeepalive};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// How long an endpoint may leave sent bytes unacknowledged before the connection fails (`TCP_USER_TIMEOUT`). It is
/// below the two seconds after which callers give up a silent stream.
const ENDPOINT_LIMIT: Duration = Duration::from_millis(1_800);
/// The same for a caller. The system also counts the time in which a caller reads nothing of an answer although it is
/// there, so that this is longer than such pauses.
const CALLER_LIMIT: Duration = Duration::from_secs(5);
/// TCP keep-alive: the idle time before the first probe, the interval between probes, and the number of
/// unanswered probes after which the connection fails.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of a caller's stream so that one that disappears without closing is detected within seconds.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, CALLER_LIMIT)
}

fn set_options(stream: &TcpStream, unacknowledged_limit: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged_limit))
}

/// Connects to an endpoint within a time limit.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
    set_options(&stream, ENDPOINT_LIMIT)?;
    Ok(stream)
}

/// The most that is read from a stream at once, in bytes. `hyper` doubles the buffer of a connection for each read that
/// fills its first 8 KiB, up to the largest head, and keeps the larger one for as long as the connection is open.
const READ_BYTES: u64 = 8 * 1024 - 1;

/// A stream that reads a bounded number of bytes at once, so that the read buffer of an open connection stays small.
#[derive(Debug)]
pub(crate) struct ShortReads {
    stream: Take<TcpStream>,
}

impl ShortReads {
    pub fn new(stream: TcpStream) -> ShortReads {
        ShortReads { stream: stream.take(READ_BYTES) }
    }

    pub fn stream(&self) -> &TcpStream {
        self.stream.get_ref()
    }
}

impl AsyncRead for ShortReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.set_limit(READ_BYTES);
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ShortReads {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}
