//! Serving HTTP/1.1 requests on kept connections, by `hyper`.
//!
//! A caller that closes its connection ends the handling of its request: the handler's future, or the
//! body that is being sent, is dropped. An answer whose body breaks ends with its connection, never
//! with what looks like its end.

use crate::pressure::{CallerTurns, TurnBudget};
use crate::socket::tune;
use async_trait::async_trait;
use bytes::Bytes;
use futures::future::{select, Either, FutureExt};
use futures::pin_mut;
use http::header::{HeaderValue, CONNECTION};
use http::{request, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use micaspool_clock::BootInstant;
use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The pause after accepting failed, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The least time between two connections that are refused. Refusing each of a flood takes the processor from those who
/// are served.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// How many waiting connections are taken at once to find the newest; more wait for the next pause.
const MOST_TAKEN: usize = 256;
/// How long a connection that is refused may take for its request.
const REFUSED_REQUEST: Duration = Duration::from_secs(1);
/// How often it is looked how late tasks run, and how long a turn takes while a server is behind.
const TURN: Duration = Duration::from_millis(50);
/// How often a draining server looks whether everything has ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Why the body of an answer broke.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer.
pub type EdgeBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body that is there as a whole.
pub fn whole_body(bytes: impl Into<Bytes>) -> EdgeBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Handles requests.
#[async_trait]
pub trait EdgeHandler: Send + Sync + 'static {
    /// The answer to a request. The future is dropped when the caller leaves.
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody>;

    /// The answer to a request on a connection beyond those that are served.
    async fn refuse(&self, _head: request::Parts) -> Response<EdgeBody> {
        let mut response = Response::new(whole_body(""));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    /// This many connections were closed unread: beyond those that are served, before one that is refused, or while the
    /// server is behind.
    fn record_closed(&self, _connections: usize) {}
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct EdgeOptions {
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// How long a connection may rest, and a head may take.
    pub idle_limit: Duration,
    /// The most open connections that are served.
    pub max_connections: usize,
    /// How many more are accepted to be refused at once; further ones wait unaccepted.
    pub max_refused: usize,
    /// True where callers may come back elsewhere: while tasks run late, connections are taken in turns between callers
    /// and the others closed unread.
    pub sheds_load: bool,
}

impl Default for EdgeOptions {
    fn default() -> Self {
        EdgeOptions {
            max_head_bytes: 32 * 1024,
            idle_limit: Duration::from_secs(20),
            max_connections: 3_000,
            max_refused: 100,
            sheds_load: false,
        }
    }
}

/// A server and its open connections.
#[derive(Clone)]
pub struct EdgeServer {
    shared: Arc<SharedState>,
}

struct SharedState {
    handler: Arc<dyn EdgeHandler>,
    options: EdgeOptions,
    open: AtomicUsize,
    draining: AtomicBool,
    /// How late tasks ran at the last look, in microseconds.
    lag_micros: AtomicU64,
    closing: (async_std::channel::Sender<()>, async_std::channel::Receiver<()>),
}

impl fmt::Debug for EdgeServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EdgeServer").field("open", &self.open()).finish_non_exhaustive()
    }
}

/// Counts a connection for as long as it is open.
struct OpenConnection(Arc<SharedState>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EdgeServer {
    /// A server that listens nowhere yet.
    pub fn new(handler: Arc<dyn EdgeHandler>, options: EdgeOptions) -> EdgeServer {
        let shared = SharedState {
            handler,
            options,
            open: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            lag_micros: AtomicU64::new(0),
            closing: async_std::channel::bounded(1),
        };
        EdgeServer { shared: Arc::new(shared) }
    }

    /// Binds an address and serves it until the process ends; gives the bound address.
    pub async fn listen(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        if self.shared.options.sheds_load {
            tokio::spawn(watch_lag(self.shared.clone()));
        }
        tokio::spawn(accept(self.shared.clone(), listener));
        Ok(bound)
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Ends each connection after its next answer. New ones are still accepted, since balancers learn
    /// late that this server stops.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Takes nothing more from `close` on: connections that rest are closed, and new ones refused.
    /// Waits until every connection has ended, from `close` on until `latest` at most; true when
    /// nothing was left.
    pub async fn drained(&self, close: BootInstant, latest: BootInstant) -> bool {
        loop {
            let now = BootInstant::now();
            if now >= close {
                self.shared.closing.0.close();
            }
            if self.open() == 0 && now >= close {
                return true;
            }
            if now >= latest {
                return false;
            }
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }
}

/// Notes how late tasks run, until the server ends.
async fn watch_lag(shared: Arc<SharedState>) {
    while !shared.closing.1.is_closed() {
        let due = BootInstant::now() + TURN;
        tokio::time::sleep(TURN).await;
        let lag = BootInstant::now().saturating_duration_since(due);
        let micros = u64::try_from(lag.as_micros()).unwrap_or(u64::MAX);
        shared.lag_micros.store(micros, Ordering::Relaxed);
    }
}

impl SharedState {
    fn lag(&self) -> Duration {
        Duration::from_micros(self.lag_micros.load(Ordering::Relaxed))
    }
}

/// Takes what waits at the end of a turn, as far as the server keeps up with it, and closes the others unread.
async fn take_turn(shared: &Arc<SharedState>, listener: &TcpListener, turns: &mut CallerTurns, most: usize) {
    tokio::time::sleep(TURN).await;
    let mut waiting: Vec<(TcpStream, IpAddr)> = Vec::new();
    while waiting.len() < MOST_TAKEN {
        match listener.accept().now_or_never() {
            Some(Ok((stream, caller))) => waiting.push((stream, caller.ip())),
            Some(Err(_)) | None => break,
        }
    }
    let open = shared.open.load(Ordering::SeqCst);
    let room = shared.options.max_connections.saturating_sub(open);
    let callers: Vec<IpAddr> = waiting.iter().map(|(_, caller)| *caller).collect();
    let served = turns.served_places(&callers, most.min(room));
    shared.handler.record_closed(waiting.len() - served.len());
    for (place, (stream, _)) in waiting.into_iter().enumerate() {
        if served.binary_search(&place).is_ok() {
            shared.open.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(OpenConnection(shared.clone()), stream));
        }
    }
}

async fn accept(shared: Arc<SharedState>, listener: TcpListener) {
    let mut budget = TurnBudget::default();
    let mut turns = CallerTurns::default();
    let mut observed = BootInstant::now();
    loop {
        if shared.options.sheds_load && observed.elapsed() >= TURN {
            observed = BootInstant::now();
            budget.observe(shared.lag());
        }
        if let (Some(most), false) = (budget.get(), shared.closing.1.is_closed()) {
            take_turn(&shared, &listener, &mut turns, most).await;
            continue;
        }
        if shared.open.load(Ordering::SeqCst) >= shared.options.max_connections + shared.options.max_refused {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        let accepted = listener.accept();
        let closing = shared.closing.1.recv();
        pin_mut!(accepted, closing);
        let accepted = match select(accepted, closing).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let before = shared.open.fetch_add(1, Ordering::SeqCst);
                let connection = OpenConnection(shared.clone());
                if before < shared.options.max_connections {
                    tokio::spawn(serve(connection, stream));
                } else {
                    let (newest, closed) = newest_waiting(&listener, stream);
                    shared.handler.record_closed(closed);
                    tokio::spawn(turn_away(connection, newest));
                    tokio::time::sleep(REFUSAL_PAUSE).await;
                }
            }
            // The peer reset before it was accepted, or descriptors ran out; both pass.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// The newest of the connections that wait; the others are closed unread. Taken oldest first, each of a flood would have
/// left when its turn came.
fn newest_waiting(listener: &TcpListener, oldest: TcpStream) -> (TcpStream, usize) {
    let mut newest = oldest;
    for closed in 0..MOST_TAKEN {
        match listener.accept().now_or_never() {
            Some(Ok((next, _))) => newest = next,
            // Nobody waits; or one that was reset, after which the next pause goes on.
            Some(Err(_)) | None => return (newest, closed),
        }
    }
    (newest, MOST_TAKEN)
}

async fn serve(connection: OpenConnection, stream: TcpStream) {
    let shared = &connection.0;
    if tune(&stream).is_err() {
        return;
    }
    let service = service_fn(|request| answer(shared, request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.options.idle_limit)
        .max_buf_size(shared.options.max_head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let closing = shared.closing.1.recv();
    pin_mut!(served, closing);
    // A connection that breaks concerns its caller alone; the handler has logged its request.
    match select(served.as_mut(), closing).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            served.as_mut().graceful_shutdown();
            let _ = served.await;
        }
    }
}

/// Takes one request and refuses it. Left unaccepted, callers of a server that is full would wait in vain.
async fn turn_away(connection: OpenConnection, stream: TcpStream) {
    let shared = &connection.0;
    if tune(&stream).is_err() {
        return;
    }
    let service = service_fn(|request| refuse(shared, request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .header_read_timeout(REFUSED_REQUEST)
        .max_buf_size(shared.options.max_head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    // A connection that breaks concerns its caller alone; the handler has logged its request.
    let _ = tokio::time::timeout(REFUSED_REQUEST * 2, served).await;
}

async fn refuse(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<EdgeBody>, Infallible> {
    let (head, mut body) = request.into_parts();
    // Bytes that nobody reads would reset the connection before the answer is there.
    while let Some(Ok(_)) = body.frame().await {}
    Ok(shared.handler.refuse(head).await)
}

/// The smallest buffer that `hyper` accepts.
const MIN_BUFFER: usize = 8 * 1024;

async fn answer(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<EdgeBody>, Infallible> {
    let mut response = shared.handler.handle(request).await;
    if shared.draining.load(Ordering::SeqCst) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
