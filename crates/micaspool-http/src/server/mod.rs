//! HTTP/1.1 server based on `async-h1`.

mod connection;

use crate::head::RequestHead;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use futures::future::{select, Either};
use futures::pin_mut;
use http_types::{Request, Response};
use micaspool_types::{Refusal, RefusalKind, RequestId};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often a draining server checks whether requests are running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// The maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// How long a request head may take from its first byte.
    pub head_limit: Duration,
    /// How long a request body may take.
    pub body_limit: Duration,
    /// How long a connection may be idle between requests.
    pub idle_limit: Duration,
    /// How long writing a response may go without progress.
    pub write_limit: Duration,
    /// The maximum number of open connections that are served.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            max_head_bytes: 32 * 1024,
            head_limit: Duration::from_secs(5),
            body_limit: Duration::from_secs(30),
            idle_limit: Duration::from_secs(60),
            write_limit: Duration::from_secs(30),
            max_connections: 4_096,
        }
    }
}

/// A request that was read completely.
#[derive(Debug)]
pub struct CallerRequest {
    /// The id that the server assigned to the request.
    pub id: RequestId,
    /// The request with its headers; the body is in `body`.
    pub request: Request,
    /// The path with its query.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
    /// Detects that the caller closes the connection.
    pub watch: CallerWatch,
}

/// Detects that a caller closes its connection.
#[derive(Debug, Clone)]
pub struct CallerWatch {
    stream: Option<TcpStream>,
}

impl CallerWatch {
    /// Creates a watch whose [`CallerWatch::hung_up`] never completes, to call a handler without a connection.
    pub fn detached() -> CallerWatch {
        CallerWatch { stream: None }
    }

    /// Completes when the caller has closed its connection. Never completes if the caller sends more bytes instead.
    pub async fn hung_up(&self) {
        let mut byte = [0];
        match &self.stream {
            Some(stream) => match stream.peek(&mut byte).await {
                Ok(0) | Err(_) => {}
                Ok(_) => std::future::pending().await,
            },
            None => std::future::pending().await,
        }
    }
}

/// Handles requests.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Checks a request head before the body is read. Returns the maximum size of the body in bytes.
    fn admit(&self, head: &RequestHead) -> Result<u64, Refusal>;

    /// Returns a new request id.
    fn next_id(&self) -> RequestId;

    /// Returns the response to a request.
    async fn handle(&self, request: CallerRequest) -> Response;
}

/// A handle to a server, with the counts of its open connections and running requests.
#[derive(Clone)]
pub struct HttpServer {
    handler: Arc<dyn HttpHandler>,
    options: ServerOptions,
    open: Arc<AtomicUsize>,
    busy: Arc<AtomicUsize>,
    /// Closed when the server is to stop; nothing is ever sent.
    stop: (Sender<()>, Receiver<()>),
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "HttpServer({} open)", self.open.load(Ordering::Relaxed))
    }
}

/// Counts a connection or request until it is dropped.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> CountGuard {
        count.fetch_add(1, Ordering::SeqCst);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl HttpServer {
    /// Creates a server with the given handler.
    pub fn new(handler: Arc<dyn HttpHandler>, options: ServerOptions) -> HttpServer {
        HttpServer { handler, options, open: Arc::default(), busy: Arc::default(), stop: bounded(1) }
    }

    /// Accepts connections until [`HttpServer::stop`] is called.
    pub async fn serve(&self, listener: TcpListener) {
        while !self.is_stopping() {
            let accepted = listener.accept();
            let stopped = self.stop.1.recv();
            pin_mut!(accepted, stopped);
            match select(accepted, stopped).await {
                Either::Left((Ok((stream, _)), _)) => self.accept(stream),
                Either::Left((Err(_), _)) => task::sleep(ACCEPT_RETRY_DELAY).await,
                Either::Right(_) => return,
            }
        }
    }

    /// Stops accepting connections and requests. Running requests go on.
    pub fn stop(&self) {
        self.stop.0.close();
    }

    fn is_stopping(&self) -> bool {
        self.stop.1.is_closed()
    }

    /// Returns the number of running requests.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Waits until no request is running, at most for `limit`. Returns true if none is left.
    pub async fn drained(&self, limit: Duration) -> bool {
        let wait = async {
            while self.busy() > 0 {
                task::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        timeout(limit, wait).await.is_ok()
    }

    fn accept(&self, stream: TcpStream) {
        let server = self.clone();
        let guard = CountGuard::new(&self.open);
        task::spawn(async move {
            let _guard = guard;
            let _ = stream.set_nodelay(true);
            if server.open.load(Ordering::SeqCst) > server.options.max_connections {
                let refusal = Refusal::not_run(RefusalKind::TooManyConnections).after(Duration::from_secs(1));
                server.refuse(&stream, &refusal, None).await;
                return;
            }
            server.run_connection(stream).await;
        });
    }
}
