//! Calling endpoints over kept connections, by `hyper`.
//!
//! A connection carries one request at a time and goes back to the pool only after the whole answer
//! was read. `hyper` closes one on which bytes arrive that no request asked for. Whether a request
//! was sent at all is told apart from whether it was answered, since the first proves that it did not
//! run.

use crate::socket;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use micaspool_clock::BootInstant;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

/// What is sent to an endpoint: a head and a whole body.
pub type WholeRequest = Request<Full<Bytes>>;

/// Times and sizes of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    /// How long connecting may take.
    pub connect_limit: Duration,
    /// How long a connection may rest when its endpoint tells no time itself.
    pub idle_limit: Duration,
    /// The most resting connections to one endpoint.
    pub max_idle: usize,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            connect_limit: Duration::from_millis(700),
            idle_limit: Duration::from_secs(2),
            max_idle: 24,
        }
    }
}

/// The endpoints tell whole seconds; a connection is left alone this long before its time.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The longest rest, whatever an endpoint says.
const LONGEST_IDLE: Duration = Duration::from_secs(8);

/// Why there is no answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection came up; the request was not sent.
    Unreachable(std::io::Error),
    /// The connection ended before the request was written; it was not sent.
    NotSent,
    /// It may not be sent any more; it was not.
    Withheld,
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
}

impl SendError {
    /// True when the request provably was not sent.
    pub fn is_not_sent(&self) -> bool {
        !matches!(self, SendError::Broken(_))
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unreachable(error) => {
                write!(f, "no connection ({error}); check that the endpoint runs")
            }
            SendError::NotSent => {
                f.write_str("the connection ended before the request was written; send it again")
            }
            SendError::Withheld => f.write_str("the endpoint wants nothing now; send it elsewhere"),
            SendError::Broken(error) => write!(f, "the connection broke ({error}); check the endpoint"),
        }
    }
}

impl std::error::Error for SendError {}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    until: BootInstant,
}

/// Connections to endpoints.
pub struct EndpointPool {
    options: PoolOptions,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    opened: std::sync::atomic::AtomicU64,
}

impl fmt::Debug for EndpointPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndpointPool").field("options", &self.options).finish_non_exhaustive()
    }
}

impl EndpointPool {
    /// An empty pool.
    pub fn new(options: PoolOptions) -> Arc<EndpointPool> {
        Arc::new(EndpointPool { options, idle: Mutex::default(), opened: Default::default() })
    }

    /// Sends a request and gives the head of the answer; the body is read from it. Dropping the
    /// future, or the body before its end, closes the connection.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: WholeRequest,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send_if(address, request, || true).await
    }

    /// Sends a request if that is still allowed right before its bytes go out: connecting takes time, and what made
    /// a connection of no use may have changed more.
    pub async fn send_if(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: WholeRequest,
        may_send: impl Fn() -> bool,
    ) -> Result<Response<PooledBody>, SendError> {
        while let Some(sender) = self.take_idle(address) {
            if !may_send() {
                self.put_back(address, sender);
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
            self.put_back(address, sender);
            return Err(SendError::Withheld);
        }
        self.send_on(address, sender, request).await.map_err(|(error, _)| error)
    }

    /// How many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// How many connections rest, and how many of them could take a request at this moment.
    pub fn idle_counts(&self) -> (usize, usize) {
        self.remove_expired();
        let idle = self.lock();
        let connections = || idle.values().flatten();
        (connections().count(), connections().filter(|connection| connection.sender.is_ready()).count())
    }

    /// Closes connections that rested for too long, and those whose peer has closed.
    pub fn remove_expired(&self) {
        let now = BootInstant::now();
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.until > now && !connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = socket::connect(address, self.options.connect_limit).await;
        let stream = stream.map_err(SendError::Unreachable)?;
        self.opened.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| SendError::NotSent)?;
        // How the connection ends shows in the answer that was read from it.
        tokio::spawn(async move { drop(connection.await) });
        Ok(sender)
    }

    /// Sends on one connection. A request that was not written comes back with the error.
    async fn send_on(
        self: &Arc<Self>,
        address: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        request: WholeRequest,
    ) -> Result<Response<PooledBody>, (SendError, Option<WholeRequest>)> {
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(unsent) => (SendError::NotSent, Some(unsent)),
                    None => (SendError::Broken(error.into_error()), None),
                })
            }
        };
        let rest = self.rest_time(response.headers());
        let connection = KeptConnection { pool: self.clone(), address, sender, rest };
        Ok(response.map(|body| PooledBody { body, connection: Some(connection) }))
    }

    /// How long a connection may rest, by the `Keep-Alive` header of its last answer.
    fn rest_time(&self, headers: &HeaderMap) -> Duration {
        let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let seconds = told.and_then(|text| {
            let mut fields = text.split(',').map(str::trim);
            fields.find_map(|field| field.strip_prefix("timeout="))?.parse::<u64>().ok()
        });
        match seconds {
            Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(LONGEST_IDLE),
            None => self.options.idle_limit,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let now = BootInstant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| connection.until > now && !connection.sender.is_closed());
        let place = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.remove(place).sender)
    }

    /// Keeps a connection on which nothing was sent.
    fn put_back(self: &Arc<Self>, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let rest = self.options.idle_limit;
        self.put_idle(KeptConnection { pool: self.clone(), address, sender, rest });
    }

    /// Closes the connections to an address that rest.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn put_idle(&self, connection: KeptConnection) {
        let until = BootInstant::now() + connection.rest;
        let mut idle = self.lock();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.options.max_idle && !connection.sender.is_closed() {
            connections.push(IdleConnection { sender: connection.sender, until });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().expect("no holder of the pool panics")
    }
}

struct KeptConnection {
    pool: Arc<EndpointPool>,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    rest: Duration,
}

/// The body of an endpoint's answer.
pub struct PooledBody {
    body: Incoming,
    connection: Option<KeptConnection>,
}

impl fmt::Debug for PooledBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PooledBody").finish_non_exhaustive()
    }
}

impl PooledBody {
    /// Gives the connection back once the whole body was read.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            let pool = connection.pool.clone();
            pool.put_idle(connection);
        }
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        // An empty body is at its end without ever being read.
        if self.body.is_end_stream() {
            self.finish();
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
            Poll::Ready(None) => self.finish(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.finish(),
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
