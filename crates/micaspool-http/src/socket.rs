//! Socket options of the fleet's edges.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the peer counts as gone. Shorter than the two
/// seconds after which callers give a silent stream up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_800);
/// How long a connection is silent before its peer is probed, the pause between probes, and how many
/// go unanswered before the peer counts as gone.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_PAUSE: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Sets a stream up so that a peer that vanished without a word is noticed within seconds.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_PAUSE).with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Connects within a time limit.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    configure(&stream)?;
    Ok(stream)
}
