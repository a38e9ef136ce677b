//! TCP connections of the control protocols, with byte counters.

use futures::Stream;
use hyper_util::rt::TokioIo;
use micaspool_telemetry::traffic::TrafficCounter;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tonic::transport::server::{Connected, TcpConnectInfo};
use tonic::transport::{Channel, Endpoint, Error};

/// The time limit for establishing a connection. The latency between halls is a few milliseconds. An attempt that
/// started while the other machine had no power stays unanswered after the machine is back, and delays the next
/// attempt by up to this time. With 500 ms, 41 of 295 routers had not found the dispatcher that all others used
/// 2.9 s after it was back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The interval of HTTP/2 keep-alive pings, also on idle connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a keep-alive ping may stay unanswered before the connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A TCP stream that counts the bytes it receives and sends.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    counter: TrafficCounter,
}

impl AsyncRead for CountedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        this.counter.add_received(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &result {
            this.counter.add_sent(*written);
        }
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl Connected for CountedStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

/// Returns whether a connection was refused: the machine runs, and no process listens at the address.
pub fn is_refused(error: &Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        let kind = cause.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = cause.source();
    }
    false
}

/// A bound listener that counts the bytes of its connections.
#[derive(Debug)]
pub struct CountedListener {
    listener: TcpListener,
    counter: TrafficCounter,
}

impl CountedListener {
    /// Binds an address; port 0 selects a free port.
    pub async fn bind(address: SocketAddr, counter: TrafficCounter) -> io::Result<CountedListener> {
        let listener = TcpListener::bind(address).await?;
        Ok(CountedListener { listener, counter })
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl Stream for CountedListener {
    type Item = io::Result<CountedStream>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        match this.listener.poll_accept(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok((stream, _))) => {
                let _ = stream.set_nodelay(true);
                Poll::Ready(Some(Ok(CountedStream { stream, counter: this.counter.clone() })))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Some(Err(error))),
        }
    }
}

/// Connects to a process of the system, with a byte counter and HTTP/2 keep-alive.
pub async fn connect(address: SocketAddr, counter: TrafficCounter) -> Result<Channel, Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(true);
    let connector = tower::service_fn(move |_| {
        let counter = counter.clone();
        async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok::<_, io::Error>(TokioIo::new(CountedStream { stream, counter }))
        }
    });
    endpoint.connect_with_connector(connector).await
}
