//! HTTP/1.1 server with persistent connections, based on `hyper`.
//!
//! If a caller closes its connection, the handler's future or the body that is being sent is dropped.
//! If the body of a response fails, the connection is closed before the end of the body, so
//! that the response never looks complete; that of a caller that knows no chunks is reset. What came before the failure
//! is sent, the head at least.

pub use crate::call::{CallLabel, CutCall, CutCause};
use crate::call::{CallTracker, TrackedBody, TrackedStream};
use crate::idle::{CallBody, CallerActivity, IdleCallers};
use crate::pressure::{CallerRotation, RoundBudget};
use crate::socket::{configure, ShortReads};
use async_trait::async_trait;
use bytes::Bytes;
use futures::future::{select, Either, FutureExt};
use futures::pin_mut;
use http::header::{HeaderValue, CONNECTION};
use http::{request, Request, Response, StatusCode, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use micaspool_clock::BootInstant;
use micaspool_memory::{MemoryAccount, MemoryPromise};
use socket2::SockRef;
use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The delay after a failed accept, for instance when file descriptors have run out, and the delay before the limit
/// on open connections is checked again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of pending connections that are accepted at once. Further ones wait for the next round or
/// refusal.
const MAX_ACCEPT_BATCH: usize = 256;
/// How long a refused connection may take to send its request head, and how long its body. The whole refusal may take
/// three times as long.
const REFUSED_REQUEST_LIMIT: Duration = Duration::from_secs(1);
/// The interval at which the scheduling lag is measured, and the length of an accept round while the server is
/// overloaded.
const ROUND_LENGTH: Duration = Duration::from_millis(50);
/// What a connection takes until its first request has been read: the buffers for reading and writing, 8 KiB each, and
/// its task.
const CONNECTION_BYTES: u64 = 28 * 1024;
/// How many idle connections are closed at once while memory is tight.
const TIGHT_BATCH: usize = 16;
/// One in this many of the connections that may be served is closed at once, if it is idle, when all are open.
const PLACE_DIVISOR: usize = 128;
/// How long a connection that is to close gets for the rest of a request head that it has begun.
const PARTIAL_HEAD_TIME: Duration = Duration::from_millis(200);
/// How long the tasks of idle connections get to end them.
const CLOSE_TIME: Duration = Duration::from_millis(1);
/// How often a draining server checks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why reading the body of a response failed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response.
pub type EdgeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of the given bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> EdgeBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Handles requests.
#[async_trait]
pub trait EdgeHandler: Send + Sync + 'static {
    /// Returns the response to a request. The future is dropped if the caller closes the connection. The request has a
    /// [`CallLabel`] among its extensions.
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody>;

    /// Returns the response to a request on a connection above [`EdgeOptions::max_connections`].
    async fn refuse(&self, _head: request::Parts) -> Response<EdgeBody> {
        let mut response = Response::new(full_body(""));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    /// Returns the response to a request whose handling panicked, by the label of the call. The connection is closed after
    /// it.
    async fn recover(&self, _label: Option<Arc<str>>) -> Response<EdgeBody> {
        let mut response = Response::new(full_body(""));
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    }

    /// Called with the number of connections that were closed without reading a request: older ones beyond those that
    /// may be refused at a time, or those that were not selected while the server is overloaded.
    fn record_closed(&self, _connections: usize) {}

    /// Called regularly by a server that sheds load, with how late its tasks run.
    fn record_lag(&self, _lag: Duration) {}

    /// Called when a connection has ended with an error before the response to its call was written. The handler's future,
    /// or the body that is being sent, is dropped after it.
    fn record_cut(&self, _call: CutCall) {}
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct EdgeOptions {
    /// The maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// How long a connection may be idle, and how long a request head may take.
    pub idle_limit: Duration,
    /// The maximum number of open connections that are served.
    pub max_connections: usize,
    /// How many more connections may be open at a time to be refused. Further pending ones are closed unread, the oldest
    /// first.
    pub max_refused: usize,
    /// True if the server sheds load: while tasks run late, it serves as many connections as it can keep up with,
    /// shared evenly by the callers, and closes the others unread. Suitable if callers can retry at another server.
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

/// A handle to a server and its open connections.
#[derive(Clone)]
pub struct EdgeServer {
    shared: Arc<SharedState>,
}

struct SharedState {
    handler: Arc<dyn EdgeHandler>,
    options: EdgeOptions,
    memory: Arc<MemoryAccount>,
    idle: Arc<IdleCallers>,
    open: AtomicUsize,
    /// The number of open connections that are being refused.
    refused: AtomicUsize,
    /// The number of listeners that have not ended.
    listening: AtomicUsize,
    draining: AtomicBool,
    /// How late tasks ran at the last measurement, in microseconds.
    lag_micros: AtomicU64,
    /// Closed once idle connections and the listener are to close; nothing is ever sent.
    closing: (async_std::channel::Sender<()>, async_std::channel::Receiver<()>),
}

impl fmt::Debug for EdgeServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EdgeServer").field("open", &self.open()).finish_non_exhaustive()
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<SharedState>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a connection as being refused until it is dropped.
struct RefusedConnection(OpenConnection);

impl Drop for RefusedConnection {
    fn drop(&mut self) {
        self.0 .0.refused.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EdgeServer {
    /// Creates a server that does not listen yet, without a limit on the memory of the process.
    pub fn new(handler: Arc<dyn EdgeHandler>, options: EdgeOptions) -> EdgeServer {
        EdgeServer::with_memory(handler, options, MemoryAccount::unlimited())
    }

    /// Creates a server that does not listen yet. While little memory is left it closes idle connections, and it serves
    /// no connection for which there is none.
    pub fn with_memory(
        handler: Arc<dyn EdgeHandler>,
        options: EdgeOptions,
        memory: Arc<MemoryAccount>,
    ) -> EdgeServer {
        let shared = SharedState {
            handler,
            options,
            memory,
            idle: Arc::default(),
            open: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            listening: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            lag_micros: AtomicU64::new(0),
            closing: async_std::channel::bounded(1),
        };
        EdgeServer { shared: Arc::new(shared) }
    }

    /// Binds an address, serves it in the background and returns the bound address.
    pub async fn listen(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        if self.shared.options.sheds_load {
            tokio::spawn(measure_lag(self.shared.clone()));
        }
        self.shared.listening.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(run_listener(self.shared.clone(), listener));
        Ok(bound)
    }

    /// Returns the number of open connections, including those being refused.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections on which nothing runs.
    pub fn idle(&self) -> usize {
        self.shared.idle.count()
    }

    /// Closes each connection after its next response. New connections are still accepted, because load balancers
    /// notice with a delay that this server is stopping.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Closes the listener and idle connections at `close_at`, then waits until the listener and all connections have
    /// ended, until `deadline` at most. Returns true if none was left.
    pub async fn drained(&self, close_at: BootInstant, deadline: BootInstant) -> bool {
        loop {
            let now = BootInstant::now();
            if now >= close_at {
                self.shared.closing.0.close();
            }
            // A listener that has not ended may accept one more connection.
            let has_closed = now >= close_at && self.shared.listening.load(Ordering::SeqCst) == 0;
            if has_closed && self.open() == 0 {
                return true;
            }
            if now >= deadline {
                return false;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Measures how late tasks run, until the server closes.
async fn measure_lag(shared: Arc<SharedState>) {
    while !shared.closing.1.is_closed() {
        let due = BootInstant::now() + ROUND_LENGTH;
        tokio::time::sleep(ROUND_LENGTH).await;
        let lag = BootInstant::now().saturating_duration_since(due);
        let micros = u64::try_from(lag.as_micros()).unwrap_or(u64::MAX);
        shared.lag_micros.store(micros, Ordering::Relaxed);
        shared.handler.record_lag(lag);
    }
}

impl SharedState {
    /// How many more connections may be open, to be served or refused.
    fn free_places(&self) -> usize {
        let places = self.options.max_connections + self.options.max_refused;
        places.saturating_sub(self.open.load(Ordering::SeqCst))
    }

    /// Closes the longest idle connections while there is little room for new ones.
    async fn make_room(&self) {
        let has_place = self.open.load(Ordering::SeqCst) < self.options.max_connections;
        if has_place && !self.memory.state().is_tight() {
            return;
        }
        let batch =
            if has_place { TIGHT_BATCH } else { (self.options.max_connections / PLACE_DIVISOR).max(1) };
        let closed = (0..batch).take_while(|_| self.idle.close_longest()).count();
        if closed > 0 {
            tokio::time::sleep(CLOSE_TIME).await;
        }
    }

    /// Promises a new connection its memory; `None` if it cannot be served.
    fn promise_connection(&self, open_before: usize) -> Option<MemoryPromise> {
        if open_before >= self.options.max_connections {
            return None;
        }
        self.memory.promise(CONNECTION_BYTES)
    }

    fn lag(&self) -> Duration {
        Duration::from_micros(self.lag_micros.load(Ordering::Relaxed))
    }
}

/// Waits for the end of a round, accepts the pending connections, admits up to `limit` of them and closes the others
/// unread.
async fn accept_round(
    shared: &Arc<SharedState>,
    listener: &TcpListener,
    rotation: &mut CallerRotation,
    limit: usize,
) {
    tokio::time::sleep(ROUND_LENGTH).await;
    shared.make_room().await;
    let mut waiting: Vec<(TcpStream, IpAddr)> = Vec::new();
    while waiting.len() < MAX_ACCEPT_BATCH {
        match listener.accept().now_or_never() {
            Some(Ok((stream, caller))) => waiting.push((stream, caller.ip())),
            Some(Err(_)) | None => break,
        }
    }
    let callers: Vec<IpAddr> = waiting.iter().map(|(_, caller)| *caller).collect();
    let selected = rotation.select_served(&callers, limit.min(shared.free_places()));
    shared.handler.record_closed(waiting.len() - selected.len());
    for (index, (stream, _)) in waiting.into_iter().enumerate() {
        if selected.binary_search(&index).is_ok() {
            admit(shared, stream);
        }
    }
}

/// Serves a connection, or refuses it if as many are open as may be served or there is no memory for it. One beyond those
/// that may be refused at a time is closed unread.
fn admit(shared: &Arc<SharedState>, stream: TcpStream) {
    let open_before = shared.open.fetch_add(1, Ordering::SeqCst);
    let connection = OpenConnection(shared.clone());
    if let Some(promise) = shared.promise_connection(open_before) {
        tokio::spawn(serve(connection, stream, promise));
        return;
    }
    let refused_before = shared.refused.fetch_add(1, Ordering::SeqCst);
    let connection = RefusedConnection(connection);
    if refused_before < shared.options.max_refused {
        tokio::spawn(serve_refusal(connection, stream));
    } else {
        shared.handler.record_closed(1);
    }
}

/// Admits the newest of the pending connections, as many as there are free places, and closes the others unread. Callers
/// of older connections are more likely to have given up.
fn admit_newest(shared: &Arc<SharedState>, listener: &TcpListener, oldest: TcpStream) {
    let mut pending = vec![oldest];
    while pending.len() < MAX_ACCEPT_BATCH {
        match listener.accept().now_or_never() {
            Some(Ok((next, _))) => pending.push(next),
            // No connection is pending, or one was reset; those behind it are left for the next call.
            Some(Err(_)) | None => break,
        }
    }
    let admitted = pending.len().min(shared.free_places());
    let closed = pending.len() - admitted;
    shared.handler.record_closed(closed);
    for stream in pending.into_iter().skip(closed) {
        admit(shared, stream);
    }
}

/// Accepts connections until the server closes.
async fn run_listener(shared: Arc<SharedState>, listener: TcpListener) {
    accept(shared.clone(), listener).await;
    shared.listening.fetch_sub(1, Ordering::SeqCst);
}

async fn accept(shared: Arc<SharedState>, listener: TcpListener) {
    let mut budget = RoundBudget::default();
    let mut rotation = CallerRotation::default();
    let mut observed = BootInstant::now();
    loop {
        if shared.options.sheds_load && observed.elapsed() >= ROUND_LENGTH {
            observed = BootInstant::now();
            budget.observe(shared.lag());
        }
        if let (Some(limit), false) = (budget.get(), shared.closing.1.is_closed()) {
            accept_round(&shared, &listener, &mut rotation, limit).await;
            continue;
        }
        if shared.free_places() == 0 {
            shared.make_room().await;
        }
        if shared.free_places() == 0 {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        }
        let accepted = listener.accept();
        let closing = shared.closing.1.recv();
        pin_mut!(accepted, closing);
        let accepted = match select(accepted, closing).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        if accepted.is_ok() {
            shared.make_room().await;
        }
        match accepted {
            Ok((stream, _)) if shared.open.load(Ordering::SeqCst) < shared.options.max_connections => {
                admit(&shared, stream)
            }
            Ok((stream, _)) => {
                admit_newest(&shared, &listener, stream);
                // The connections that are served run before further ones are refused.
                tokio::task::yield_now().await;
            }
            // The peer reset the connection before it was accepted, or file descriptors ran out. Both are temporary.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(connection: OpenConnection, stream: TcpStream, promise: MemoryPromise) {
    let shared = &connection.0;
    if configure(&stream).is_err() {
        return;
    }
    let activity = CallerActivity::new(shared.idle.clone(), promise);
    let knows_chunks = AtomicBool::new(true);
    let tracker = Arc::new(CallTracker::default());
    let service = service_fn(|request: Request<Incoming>| {
        knows_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        answer(shared, &activity, &tracker, request)
    });
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.options.idle_limit)
        .max_buf_size(shared.options.max_head_bytes.max(MIN_BUFFER))
        .serve_connection(TrackedStream::new(stream, tracker.clone()), service);
    let closing = select(Box::pin(shared.closing.1.recv()), Box::pin(activity.closed()));
    pin_mut!(closing);
    let ended = match select(&mut served, closing).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            Pin::new(&mut served).graceful_shutdown();
            let ended = tokio::time::timeout(PARTIAL_HEAD_TIME, &mut served).await;
            match ended {
                Ok(ended) => ended,
                // Part of a head has come: no request was read, and all answers are written.
                Err(_) if activity.is_idle() && !tracker.has_call() => return,
                Err(_) => (&mut served).await,
            }
        }
    };
    // An error on the connection affects only its caller.
    let Err(error) = ended else { return };
    if let Some(call) = tracker.cut(&error) {
        shared.handler.record_cut(call);
    }
    if !knows_chunks.load(Ordering::Relaxed) {
        reset(served.into_parts().io.socket());
    }
}

/// Makes closing the connection reset it. To a caller without chunks an orderly close is the end of a whole answer.
fn reset(stream: &TcpStream) {
    // Fails only on a connection that has ended already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Reads one request and refuses it. If a full server left its callers unaccepted, they would wait without any
/// response.
async fn serve_refusal(connection: RefusedConnection, stream: TcpStream) {
    let shared = &connection.0 .0;
    if configure(&stream).is_err() {
        return;
    }
    let service = service_fn(|request| refuse(shared, request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .header_read_timeout(REFUSED_REQUEST_LIMIT)
        .max_buf_size(shared.options.max_head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(ShortReads::new(stream)), service);
    // An error on the connection affects only its caller, and the handler has logged the request.
    let _ = tokio::time::timeout(REFUSED_REQUEST_LIMIT * 3, served).await;
}

async fn refuse(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<EdgeBody>, Infallible> {
    let (head, mut body) = request.into_parts();
    // Closing a connection with unread bytes would reset it before the caller has read the response.
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A body that takes longer is refused in the middle of it.
    let _ = tokio::time::timeout(REFUSED_REQUEST_LIMIT, read).await;
    Ok(shared.handler.refuse(head).await)
}

/// The smallest buffer size that `hyper` accepts, in bytes.
const MIN_BUFFER: usize = 8 * 1024;

async fn answer(
    shared: &Arc<SharedState>,
    activity: &Arc<CallerActivity>,
    tracker: &Arc<CallTracker>,
    mut request: Request<Incoming>,
) -> Result<Response<CallBody<TrackedBody>>, Infallible> {
    let call = activity.begin_call();
    request.extensions_mut().insert(tracker.begin());
    // What other calls share with this one is behind locks and atomics; the rest ends with the call.
    let handled = AssertUnwindSafe(shared.handler.handle(request)).catch_unwind().await;
    let has_panicked = handled.is_err();
    let mut response = match handled {
        Ok(response) => response,
        Err(_) => shared.handler.recover(tracker.label()).await,
    };
    tracker.begin_response();
    if has_panicked || shared.draining.load(Ordering::SeqCst) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| CallBody::new(TrackedBody::new(body, tracker.clone()), call)))
}
