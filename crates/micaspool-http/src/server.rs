//! Serving HTTP/1.1 callers.

use crate::head::{check_head, head_end, BodyLength, RequestHead};
use crate::refusal::refusal_response;
use crate::replay::ReplayStream;
use crate::stall::StallTimer;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::io::{ReadExt, Write};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use futures::future::{select, Either};
use futures::pin_mut;
use http_types::{Method, Request, Response};
use micaspool_types::{Refusal, RefusalKind, RequestId};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// How much is read from a connection at once.
const READ_BYTES: usize = 8 * 1024;
/// How much unread input is thrown away before a connection closes, so that the caller reads the
/// answer instead of a reset.
const DISCARD_BYTES: usize = 256 * 1024;
const DISCARD_LIMIT: Duration = Duration::from_millis(500);
/// How often a draining server counts its requests.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// The pause after an error of the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// The largest head in bytes.
    pub max_head_bytes: usize,
    /// How long a head may take from its first byte.
    pub head_limit: Duration,
    /// How long a body may take.
    pub body_limit: Duration,
    /// How long a connection may be idle between requests.
    pub idle_limit: Duration,
    /// How long one write to the caller may take.
    pub write_limit: Duration,
    /// The most connections at once.
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

/// A whole request.
#[derive(Debug)]
pub struct CallerRequest {
    /// The id that the server gave it.
    pub id: RequestId,
    /// The request with its headers; the body is in `body`.
    pub request: Request,
    /// The path with its query.
    pub target: String,
    /// The whole body.
    pub body: Vec<u8>,
    /// Tells whether the caller is still there.
    pub watch: CallerWatch,
}

/// Tells whether a caller is still there.
#[derive(Debug, Clone)]
pub struct CallerWatch {
    stream: Option<TcpStream>,
}

impl CallerWatch {
    /// A caller that never leaves, for those that embed a handler.
    pub fn detached() -> CallerWatch {
        CallerWatch { stream: None }
    }

    /// Ends when the caller has closed its connection; never when it sends more instead.
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

/// What answers requests.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Looks at a head before the body is read, and says how large the body may be.
    fn admit(&self, head: &RequestHead) -> Result<u64, Refusal>;

    /// A new request id.
    fn next_id(&self) -> RequestId;

    /// Answers a request.
    async fn handle(&self, request: CallerRequest) -> Response;
}

/// A server with the number of its open connections.
#[derive(Clone)]
pub struct HttpServer {
    handler: Arc<dyn HttpHandler>,
    options: ServerOptions,
    open: Arc<AtomicUsize>,
    busy: Arc<AtomicUsize>,
    /// Closed once the server shall stop; nothing is ever sent.
    stop: (Sender<()>, Receiver<()>),
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "HttpServer({} open)", self.open.load(Ordering::Relaxed))
    }
}

/// Ends the count of a connection or request when dropped.
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

/// How a connection goes on after a request.
#[derive(PartialEq, Eq)]
enum AfterRequest {
    KeepOpen,
    Close,
}

impl HttpServer {
    /// A server that answers with this handler.
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
                Either::Left((Err(_), _)) => task::sleep(ACCEPT_PAUSE).await,
                Either::Right(_) => return,
            }
        }
    }

    /// Takes no new connection and no new request from now on.
    pub fn stop(&self) {
        self.stop.0.close();
    }

    fn is_stopping(&self) -> bool {
        self.stop.1.is_closed()
    }

    /// The number of requests that are being answered.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Waits until no request is being answered, at most for `limit`; true when none is.
    pub async fn drained(&self, limit: Duration) -> bool {
        let wait = async {
            while self.busy() > 0 {
                task::sleep(DRAIN_LOOK).await;
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

    async fn run_connection(&self, stream: TcpStream) {
        let mut pending = Vec::new();
        loop {
            match self.read_head(&stream, &mut pending).await {
                HeadResult::Whole(end) => {
                    let _busy = CountGuard::new(&self.busy);
                    if self.run_request(&stream, &mut pending, end).await == AfterRequest::Close {
                        return;
                    }
                }
                HeadResult::Closed => return,
                HeadResult::Refused(kind) => {
                    self.refuse(&stream, &Refusal::not_run(kind), None).await;
                    return;
                }
            }
        }
    }

    async fn read_head(&self, stream: &TcpStream, pending: &mut Vec<u8>) -> HeadResult {
        let mut limit = if pending.is_empty() { self.options.idle_limit } else { self.options.head_limit };
        let mut started = std::time::Instant::now();
        loop {
            if let Some(end) = head_end(pending) {
                return if end > self.options.max_head_bytes {
                    HeadResult::Refused(RefusalKind::HeadTooLarge)
                } else {
                    HeadResult::Whole(end)
                };
            }
            if pending.len() > self.options.max_head_bytes {
                return HeadResult::Refused(RefusalKind::HeadTooLarge);
            }
            let fresh = pending.is_empty();
            match self.read_some(stream, pending, limit.saturating_sub(started.elapsed())).await {
                ReadResult::Some if fresh => {
                    limit = self.options.head_limit;
                    started = std::time::Instant::now();
                }
                ReadResult::Some => {}
                ReadResult::End if fresh => return HeadResult::Closed,
                ReadResult::End => return HeadResult::Refused(RefusalKind::MalformedRequest),
                ReadResult::Late if fresh => return HeadResult::Closed,
                ReadResult::Late => return HeadResult::Refused(RefusalKind::SlowRequest),
            }
        }
    }

    async fn read_some(&self, stream: &TcpStream, pending: &mut Vec<u8>, limit: Duration) -> ReadResult {
        let mut chunk = [0; READ_BYTES];
        let mut reader = stream;
        let fresh = pending.is_empty();
        let result = {
            let read = reader.read(&mut chunk);
            let stopped = async {
                match fresh {
                    true => self.stop.1.recv().await.is_ok(),
                    false => std::future::pending().await,
                }
            };
            pin_mut!(read, stopped);
            match timeout(limit, select(read, stopped)).await {
                Err(_) => return ReadResult::Late,
                Ok(Either::Left((Ok(count), _))) => count,
                Ok(_) => 0,
            }
        };
        pending.extend_from_slice(&chunk[..result]);
        match result {
            0 => ReadResult::End,
            _ => ReadResult::Some,
        }
    }

    async fn run_request(&self, stream: &TcpStream, pending: &mut Vec<u8>, end: usize) -> AfterRequest {
        let head = match check_head(&pending[..end]) {
            Ok(head) => head,
            Err(error) => {
                let detail = error.to_string();
                self.refuse(stream, &Refusal::not_run(RefusalKind::MalformedRequest), Some(&detail)).await;
                return AfterRequest::Close;
            }
        };
        let result = match self.handler.admit(&head) {
            Ok(limit) => self.read_request(stream, pending, &head, end, limit).await,
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(request) => self.answer(stream, &head, request).await,
            Err(refusal) => {
                self.refuse(stream, &refusal, None).await;
                AfterRequest::Close
            }
        }
    }

    async fn read_request(
        &self,
        stream: &TcpStream,
        pending: &mut Vec<u8>,
        head: &RequestHead,
        end: usize,
        limit: u64,
    ) -> Result<CallerRequest, Refusal> {
        let too_large = Refusal::not_run(RefusalKind::BodyTooLarge);
        let budget = match head.body {
            BodyLength::Known(length) if length > limit => return Err(too_large),
            BodyLength::Known(length) => Some(end as u64 + length),
            BodyLength::Chunked => None,
        };
        let replay = ReplayStream::new(stream.clone(), std::mem::take(pending), budget);
        let malformed = || Refusal::not_run(RefusalKind::MalformedRequest);
        let decoded = timeout(self.options.body_limit, decode(replay.clone(), limit)).await;
        let decoded = decoded.map_err(|_| Refusal::not_run(RefusalKind::SlowRequest))?;
        let (request, body) = decoded.ok_or_else(malformed)?;
        if body.len() as u64 > limit {
            return Err(too_large);
        }
        if matches!(head.body, BodyLength::Known(length) if length != body.len() as u64) {
            return Err(malformed());
        }
        *pending = replay.take_rest();
        Ok(CallerRequest {
            id: self.handler.next_id(),
            request,
            target: head.target.clone(),
            body,
            watch: CallerWatch { stream: pending.is_empty().then(|| stream.clone()) },
        })
    }

    async fn answer(&self, stream: &TcpStream, head: &RequestHead, request: CallerRequest) -> AfterRequest {
        let method = request.request.method();
        let mut response = self.handler.handle(request).await;
        let reusable = head.keep_alive && head.body != BodyLength::Chunked && !self.is_stopping();
        if !reusable {
            response.insert_header("connection", "close");
        }
        let written = self.write_response(stream, response, method).await;
        if written && reusable {
            AfterRequest::KeepOpen
        } else {
            AfterRequest::Close
        }
    }

    /// Writes a response; false when the caller left or the body broke. A broken body leaves no
    /// last chunk, so that the caller sees it.
    async fn write_response(&self, stream: &TcpStream, response: Response, method: Method) -> bool {
        let mut encoder = async_h1::server::Encoder::new(response, method);
        let mut chunk = vec![0; READ_BYTES];
        let mut stall = StallTimer::new(self.options.write_limit);
        loop {
            let count = match encoder.read(&mut chunk).await {
                Ok(0) => return true,
                Ok(count) => count,
                Err(_) => {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    return false;
                }
            };
            stall.moved();
            if write_all(stream, &chunk[..count], &mut stall).await.is_err() {
                return false;
            }
        }
    }

    async fn refuse(&self, stream: &TcpStream, refusal: &Refusal, detail: Option<&str>) {
        let mut response = refusal_response(self.handler.next_id(), refusal, detail);
        response.insert_header("connection", "close");
        self.write_response(stream, response, Method::Get).await;
        let _ = stream.shutdown(std::net::Shutdown::Write);
        discard(stream).await;
    }
}

/// Writes all bytes, unless the caller takes nothing for too long.
async fn write_all(stream: &TcpStream, mut bytes: &[u8], stall: &mut StallTimer) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = poll_fn(|cx| {
            let mut writer = stream;
            match Pin::new(&mut writer).poll_write(cx, bytes) {
                Poll::Pending => stall.poll_stalled(cx).map(|()| Err(io::ErrorKind::TimedOut.into())),
                ready => ready,
            }
        });
        let count = written.await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        stall.moved();
        bytes = &bytes[count..];
    }
    Ok(())
}

enum HeadResult {
    Whole(usize),
    Closed,
    Refused(RefusalKind),
}

enum ReadResult {
    Some,
    End,
    Late,
}

/// Decodes a request with `async-h1` and reads its body, at most one byte beyond `limit`.
async fn decode(replay: ReplayStream, limit: u64) -> Option<(Request, Vec<u8>)> {
    let (mut request, _) = async_h1::server::decode(replay).await.ok()??;
    let mut body = Vec::new();
    let mut reader = request.take_body().take(limit.saturating_add(1));
    reader.read_to_end(&mut body).await.ok()?;
    Some((request, body))
}

async fn discard(stream: &TcpStream) {
    let mut reader = stream;
    let mut chunk = [0; READ_BYTES];
    let drain = async {
        let mut total = 0;
        while let Ok(count) = reader.read(&mut chunk).await {
            total += count;
            if count == 0 || total > DISCARD_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_LIMIT, drain).await;
}
