//! Socket options for connections to callers and endpoints.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long an endpoint may leave sent bytes unacknowledged before the connection fails (`TCP_USER_TIMEOUT`). It is
/// below the two seconds after which callers give up a silent stream.
const ENDPOINT_LIMIT: Duration = Duration::from_millis(1_800);
/// The same for a caller. The system also counts the time in which a caller reads nothing of an answer although it is
/// there, so that this is longer than such pauses.
const CALLER_LIMIT: Duration = Duration::from_secs(10);
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
