//! HTTP/1.1 client for endpoints with a connection pool, based on `hyper`.
//!
//! A connection carries one request at a time and returns to the pool only after the whole response
//! was read. A request is sent once at most over each connection, so that a surplus response to an earlier send can't be
//! taken for the response to a later one. `hyper` closes a connection on which unsolicited bytes arrive, and a connection is closed on which too many
//! bytes arrive that are no part of a body. Errors distinguish requests
//! that were not sent from those that got no response, because a request that was not sent cannot have
//! run.

use crate::chunk_scanner::ChunkScanner;
use crate::framing::BodyFraming;
use crate::response_watch::{ResponseWatch, WatchedReads};
use crate::sends::{ConnectionNumber, ConnectionUse, SendHistory};
use crate::socket::{self, ShortReads};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use micaspool_clock::BootInstant;
use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

/// A request whose body is in memory as a whole.
pub type FullRequest = Request<Full<Bytes>>;

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    /// The time limit for establishing a connection.
    pub connect_limit: Duration,
    /// How long a connection may be idle if the endpoint sends no `Keep-Alive` timeout.
    pub idle_limit: Duration,
    /// The maximum number of idle connections per endpoint.
    pub max_idle: usize,
    /// The maximum number of open connections to all endpoints together.
    pub max_open: usize,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            connect_limit: Duration::from_millis(700),
            idle_limit: Duration::from_secs(2),
            max_idle: 24,
            max_open: usize::MAX,
        }
    }
}

/// A connection is not reused in this last part of the `Keep-Alive` timeout, which endpoints give in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum idle time of a connection, whatever `Keep-Alive` timeout the endpoint sends.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(8);

/// The most that is read of a response before its reader takes it, in bytes. A slow reader then holds up the endpoint
/// instead of filling the memory of this process.
const READ_AHEAD_BYTES: usize = 32 * 1024;

/// How long the tasks of idle connections get to end them.
const CLOSE_TIME: Duration = Duration::from_millis(1);

/// The error numbers of a process, and of a system, that has no descriptor left (`EMFILE`, `ENFILE`).
const TOO_MANY_FILES_HERE: i32 = 24;
const TOO_MANY_FILES_EVERYWHERE: i32 = 23;

/// Why a request got no response head.
#[derive(Debug)]
pub enum SendError {
    /// The connection could not be established, so the request was not sent.
    Unreachable(io::Error),
    /// This process has as many connections open as it may have, so the request was not sent. Says nothing about the
    /// endpoint.
    NoConnectionLeft,
    /// The connection was closed before the request was written, so the request was not sent.
    NotSent,
    /// The condition for sending no longer held, so the request was not sent. See [`EndpointPool::send_if`].
    Withheld,
    /// The connection failed after the request may have been sent.
    Broken(hyper::Error),
}

impl SendError {
    /// Returns true if the request cannot have been sent.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, SendError::Broken(_))
    }
}

/// Returns true if a response failed because its bytes are no HTTP, rather than because its connection ended.
pub fn is_malformed(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let is_undecodable = source.is_some_and(|source| {
        matches!(source.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
    });
    error.is_parse() || is_undecodable
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unreachable(error) => {
                write!(f, "no connection ({error}); check that the endpoint runs")
            }
            SendError::NoConnectionLeft => f.write_str(
                "no more connections may be open here; send it again later, or allow more descriptors",
            ),
            SendError::NotSent => {
                f.write_str("the connection ended before the request was written; send it again")
            }
            SendError::Withheld => f.write_str("the endpoint takes no requests now; send it elsewhere"),
            SendError::Broken(error) => match error.source() {
                Some(source) => write!(f, "the connection failed ({error}: {source}); check the endpoint"),
                None => write!(f, "the connection failed ({error}); check the endpoint"),
            },
        }
    }
}

impl std::error::Error for SendError {}

/// An open connection on which no request runs.
struct ReadySender {
    requests: SendRequest<Full<Bytes>>,
    watch: Arc<ResponseWatch>,
    number: ConnectionNumber,
    /// The number of requests that were sent on it.
    sends: u64,
}

struct IdleConnection {
    sender: ReadySender,
    expires_at: BootInstant,
}

/// A pool of connections to endpoints.
pub struct EndpointPool {
    options: PoolOptions,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    opened: AtomicU64,
    /// The number of open connections, including those that are being established.
    open: Arc<AtomicUsize>,
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl fmt::Debug for EndpointPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndpointPool").field("options", &self.options).finish_non_exhaustive()
    }
}

impl EndpointPool {
    /// Creates an empty pool.
    pub fn new(options: PoolOptions) -> Arc<EndpointPool> {
        Arc::new(EndpointPool {
            options,
            idle: Mutex::default(),
            opened: AtomicU64::default(),
            open: Arc::default(),
        })
    }

    /// Sends a request and returns the response as soon as its head has arrived. Dropping the future, or the
    /// body before its end, closes the connection.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: FullRequest,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send_if(address, request, &SendHistory::default(), || true).await
    }

    /// Sends a request over a connection that is not in its `history`, if `may_send` still returns true immediately
    /// before the request is written. Connecting takes time, and a closed idle connection may be the sign of a change at
    /// the endpoint.
    pub async fn send_if(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: FullRequest,
        history: &SendHistory,
        may_send: impl Fn() -> bool,
    ) -> Result<Response<PooledBody>, SendError> {
        while let Some(sender) = self.take_idle(address, history) {
            if !may_send() {
                self.return_unused(address, sender);
                return Err(SendError::Withheld);
            }
            match self.send_on(address, sender, request).await {
                Err((SendError::NotSent, Some(unsent))) => request = unsent,
                Err((error, _)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
        let sender = self.connect(address).await?;
        if !may_send() {
            self.return_unused(address, sender);
            return Err(SendError::Withheld);
        }
        self.send_on(address, sender, request).await.map_err(|(error, _)| error)
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of idle connections, and how many of them are ready for a request.
    pub fn idle_counts(&self) -> (usize, usize) {
        self.remove_expired();
        let idle = self.lock();
        let connections = || idle.values().flatten();
        (
            connections().count(),
            connections().filter(|connection| connection.sender.requests.is_ready()).count(),
        )
    }

    /// Closes connections that were idle for too long and removes those closed by the peer.
    pub fn remove_expired(&self) {
        let now = BootInstant::now();
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections
                .retain(|connection| connection.expires_at > now && !connection.sender.requests.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    async fn connect(&self, address: SocketAddr) -> Result<ReadySender, SendError> {
        let open = self.reserve_connection().await?;
        let stream = socket::connect(address, self.options.connect_limit).await;
        let stream = stream.map_err(connect_error)?;
        let number = ConnectionNumber(self.opened.fetch_add(1, Ordering::Relaxed));
        let watch = Arc::new(ResponseWatch::default());
        let stream = WatchedReads::new(ShortReads::new(stream), watch.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_AHEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        // An error of the connection is also reported to the reader of the response.
        tokio::spawn(async move {
            drop(connection.await);
            drop(open);
        });
        Ok(ReadySender { requests: sender, watch, number, sends: 0 })
    }

    /// Reserves one of the connections that may be open. If all are, the oldest idle one of each endpoint is closed.
    async fn reserve_connection(&self) -> Result<OpenConnection, SendError> {
        if self.open() >= self.options.max_open {
            self.close_oldest_idle();
            tokio::time::sleep(CLOSE_TIME).await;
        }
        let open = OpenConnection(self.open.clone());
        if self.open.fetch_add(1, Ordering::Relaxed) < self.options.max_open {
            Ok(open)
        } else {
            Err(SendError::NoConnectionLeft)
        }
    }

    /// Closes the oldest idle connection of each endpoint.
    pub fn close_oldest_idle(&self) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            if !connections.is_empty() {
                connections.remove(0);
            }
        }
    }

    /// Sends a request on the given connection. If it was not written, it is returned with the error.
    async fn send_on(
        self: &Arc<Self>,
        address: SocketAddr,
        mut sender: ReadySender,
        request: FullRequest,
    ) -> Result<Response<PooledBody>, (SendError, Option<FullRequest>)> {
        sender.watch.expect_response();
        let connection_use = ConnectionUse { connection: sender.number, earlier_sends: sender.sends };
        sender.sends += 1;
        let response = match sender.requests.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(unsent) => (SendError::NotSent, Some(unsent)),
                    None => (SendError::Broken(error.into_error()), None),
                })
            }
        };
        let keep_alive = self.negotiated_keep_alive(response.headers());
        let connection = PooledConnection { pool: self.clone(), address, sender, keep_alive };
        let framing = BodyFraming::of(response.headers(), response.body());
        let chunks = ChunkScanner::default();
        Ok(response.map(|body| PooledBody {
            body,
            framing,
            chunks,
            connection_use,
            connection: Some(connection),
        }))
    }

    /// Returns how long a connection may be idle, from the `Keep-Alive` header of its last response.
    fn negotiated_keep_alive(&self, headers: &HeaderMap) -> Duration {
        let header = headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let seconds = header.and_then(|text| {
            let mut fields = text.split(',').map(str::trim);
            fields.find_map(|field| field.strip_prefix("timeout="))?.parse::<u64>().ok()
        });
        match seconds {
            Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(MAX_KEEP_ALIVE),
            None => self.options.idle_limit,
        }
    }

    fn take_idle(&self, address: SocketAddr, history: &SendHistory) -> Option<ReadySender> {
        let now = BootInstant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections
            .retain(|connection| connection.expires_at > now && !connection.sender.requests.is_closed());
        let is_usable = |connection: &IdleConnection| {
            connection.sender.requests.is_ready() && !history.contains(connection.sender.number)
        };
        let index = connections.iter().rposition(is_usable)?;
        Some(connections.remove(index).sender)
    }

    /// Returns a connection to the pool on which nothing was sent.
    fn return_unused(self: &Arc<Self>, address: SocketAddr, sender: ReadySender) {
        let keep_alive = self.options.idle_limit;
        self.insert_idle(PooledConnection { pool: self.clone(), address, sender, keep_alive });
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn insert_idle(&self, connection: PooledConnection) {
        let expires_at = BootInstant::now() + connection.keep_alive;
        let mut idle = self.lock();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.options.max_idle && !connection.sender.requests.is_closed() {
            connections.push(IdleConnection { sender: connection.sender, expires_at });
        }
    }

    /// A panic under the lock ends the call that met it; the others go on with what it left.
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells a lack of descriptors in this process from an endpoint that cannot be reached.
fn connect_error(error: io::Error) -> SendError {
    match error.raw_os_error() {
        Some(TOO_MANY_FILES_HERE | TOO_MANY_FILES_EVERYWHERE) => SendError::NoConnectionLeft,
        _ => SendError::Unreachable(error),
    }
}

struct PooledConnection {
    pool: Arc<EndpointPool>,
    address: SocketAddr,
    sender: ReadySender,
    keep_alive: Duration,
}

/// The body of an endpoint's response. Returns its connection to the pool at the end.
pub struct PooledBody {
    body: Incoming,
    framing: BodyFraming,
    /// Follows a body that ends with its connection.
    chunks: ChunkScanner,
    connection_use: ConnectionUse,
    connection: Option<PooledConnection>,
}

impl fmt::Debug for PooledBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PooledBody").finish_non_exhaustive()
    }
}

impl PooledBody {
    /// Returns how the end of this body is known.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns true if the body ended with its connection and is itself a whole body in chunks: the head has lost the field
    /// that says so.
    pub fn holds_chunks(&self) -> bool {
        self.chunks.is_whole()
    }

    /// Returns the connection that the response came on.
    pub fn connection_use(&self) -> ConnectionUse {
        self.connection_use
    }

    /// Closes the connection, whatever is left of the body. For a response that does not belong to the request: those
    /// that follow it on the connection would not either.
    pub fn close_connection(mut self) {
        self.connection = None;
    }

    /// Records that the reader got a part of the body.
    fn record_progress(&mut self, frame: &Frame<Bytes>) {
        if let Some(connection) = &self.connection {
            connection.sender.watch.record_progress();
        }
        if let (BodyFraming::Connection, Some(data)) = (self.framing, frame.data_ref()) {
            self.chunks.observe(data);
        }
    }

    /// Returns the connection to the pool after the whole body was read.
    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            let pool = connection.pool.clone();
            pool.insert_idle(connection);
        }
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        // An empty body has reached its end without being polled.
        if self.body.is_end_stream() {
            self.release();
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(None) => self.release(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.release(),
            Poll::Ready(Some(Ok(frame))) => self.record_progress(frame),
            Poll::Ready(Some(Err(_))) => self.connection = None,
            _ => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
