//! Tests what the edge server tells its handler about calls whose connection ended before the response was written.

use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use micaspool_clock::BootInstant;
use micaspool_http::edge::{
    full_body, BodyError, CallLabel, CutCall, CutCause, EdgeBody, EdgeHandler, EdgeOptions, EdgeServer,
};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The time after which a request has reached its handler.
const SENT: Duration = Duration::from_millis(100);
/// How long a row waits for the record of a cut call.
const CUT_LIMIT: Duration = Duration::from_secs(10);
/// More bytes than the buffers of both sockets hold.
const LARGE_BODY: usize = 32 * 1024 * 1024;

/// Responds by path and keeps the cut calls: `/stuck` never, `/broken` with a body that fails after its first part,
/// `/large` with a long body, `/panic` not since it panics, `/panic-body` with a body that does, others at once. Each call is labelled with its path.
#[derive(Default)]
struct CutHandler {
    cut: Arc<Mutex<Vec<CutCall>>>,
}

#[async_trait]
impl EdgeHandler for CutHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody> {
        let path = request.uri().path().to_owned();
        request.extensions().get::<CallLabel>().expect("each request has a label").set(path.as_str().into());
        match path.as_str() {
            "/stuck" => std::future::pending().await,
            "/broken" => Response::new(broken_body()),
            "/panic" => panic!("the handler panics"),
            "/panic-body" => Response::new(panicking_body()),
            "/large" => Response::new(full_body(vec![b'x'; LARGE_BODY])),
            "/empty" => Response::new(full_body("")),
            _ => Response::new(full_body("ok")),
        }
    }

    async fn recover(&self, label: Option<Arc<str>>) -> Response<EdgeBody> {
        Response::new(full_body(format!("recovered {}", label.expect("the call has a label"))))
    }

    fn record_cut(&self, call: CutCall) {
        self.cut.lock().expect("no thread panics with it").push(call);
    }
}

fn broken_body() -> EdgeBody {
    let first = futures::stream::iter([Ok(Frame::data(Bytes::from_static(b"part")))]);
    let later = futures::stream::once(async {
        task::sleep(Duration::from_millis(50)).await;
        Err::<Frame<Bytes>, BodyError>("the endpoint broke off".into())
    });
    StreamBody::new(Box::pin(first.chain(later))).boxed_unsync()
}

fn panicking_body() -> EdgeBody {
    let panicking = futures::stream::once(async {
        task::sleep(Duration::from_millis(50)).await;
        panicked_frame()
    });
    StreamBody::new(Box::pin(panicking)).boxed_unsync()
}

fn panicked_frame() -> Result<Frame<Bytes>, BodyError> {
    panic!("the body panics")
}

struct CutServer {
    _server: EdgeServer,
    address: SocketAddr,
    cut: Arc<Mutex<Vec<CutCall>>>,
}

impl CutServer {
    fn start() -> CutServer {
        let handler = CutHandler::default();
        let cut = handler.cut.clone();
        let server = EdgeServer::new(Arc::new(handler), EdgeOptions::default());
        let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
        CutServer { _server: server, address, cut }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the server listens");
        stream.set_read_timeout(Some(CUT_LIMIT)).expect("a valid timeout");
        stream
    }

    /// Sends a request and waits until it has reached the handler.
    fn send(&self, path: &str) -> TcpStream {
        let mut stream = self.connect();
        write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
        std::thread::sleep(SENT);
        stream
    }

    /// Returns the only cut call, once it is recorded.
    fn wait_cut(&self) -> CutCall {
        let deadline = BootInstant::now() + CUT_LIMIT;
        while self.cut_calls().is_empty() && BootInstant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
        let calls = self.cut_calls();
        assert_eq!(calls.len(), 1, "{calls:?}");
        calls[0].clone()
    }

    fn cut_calls(&self) -> Vec<CutCall> {
        self.cut.lock().expect("no thread panics with it").clone()
    }
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("the option is known");
}

/// Reads one response whose body is `ok` or that has none.
fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("the response is complete");
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).into_owned();
    if head.contains("content-length: 2") {
        stream.read_exact(&mut [0; 2]).expect("the body is complete");
    }
    head
}

#[test]
fn a_caller_that_closes_is_told_from_a_failed_connection() {
    let server = CutServer::start();
    drop(server.send("/stuck"));
    let call = server.wait_cut();
    assert_eq!((call.cause, call.label.as_deref()), (CutCause::Closed, Some("/stuck")), "{call:?}");
    assert_eq!((call.sent_bytes, call.earlier_calls), (0, 0), "{call:?}");
    assert!(call.lasted >= SENT / 2 && call.lasted < CUT_LIMIT, "{call:?}");
}

#[test]
fn a_caller_that_closes_its_sending_half_counts_as_one_that_closes() {
    let server = CutServer::start();
    let stream = server.send("/stuck");
    stream.shutdown(Shutdown::Write).expect("connected");
    assert_eq!(server.wait_cut().cause, CutCause::Closed);
}

#[test]
fn a_reset_is_recorded_as_such() {
    let server = CutServer::start();
    reset(server.send("/stuck"));
    assert_eq!(server.wait_cut().cause, CutCause::Reset);
}

#[test]
fn a_failed_body_is_recorded_with_its_error_and_the_bytes_before() {
    let server = CutServer::start();
    let _stream = server.send("/broken");
    let call = server.wait_cut();
    assert_eq!(call.cause, CutCause::BodyFailed, "{call:?}");
    assert!(call.error.contains("the endpoint broke off") && call.sent_bytes > 0, "{call:?}");
}

#[test]
fn a_body_that_panics_is_told_from_one_that_fails() {
    let server = CutServer::start();
    let _stream = server.send("/panic-body");
    assert_eq!(server.wait_cut().cause, CutCause::Panicked);
}

#[test]
fn a_handler_that_panics_is_asked_for_an_answer_by_the_label_of_the_call() {
    let server = CutServer::start();
    let mut text = String::new();
    server.send("/panic").read_to_string(&mut text).expect("the connection ends in order");
    assert!(text.ends_with("recovered /panic"), "{text}");
    assert!(server.cut_calls().is_empty(), "{:?}", server.cut_calls());
}

#[test]
fn a_caller_that_takes_nothing_is_recorded_as_timed_out() {
    let server = CutServer::start();
    let _stream = server.send("/large");
    let call = server.wait_cut();
    assert_eq!(call.cause, CutCause::TimedOut, "{call:?}");
    assert!(call.sent_bytes > 0 && call.sent_bytes < LARGE_BODY as u64, "{call:?}");
}

/// Guards against a response that counts as sent once it is handed over, of which the caller got a part.
#[test]
fn a_whole_response_that_was_not_written_is_recorded_as_cut() {
    let server = CutServer::start();
    reset(server.send("/large"));
    assert_eq!(server.wait_cut().cause, CutCause::Reset);
}

#[test]
fn the_calls_before_on_the_connection_are_counted() {
    let server = CutServer::start();
    let mut stream = server.connect();
    for path in ["/", "/empty"] {
        write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
        read_response(&mut stream);
    }
    write!(stream, "GET /stuck HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
    std::thread::sleep(SENT);
    drop(stream);
    let call = server.wait_cut();
    assert_eq!((call.earlier_calls, call.label.as_deref()), (2, Some("/stuck")), "{call:?}");
}

#[test]
fn a_connection_that_ends_between_calls_cuts_none() {
    let server = CutServer::start();
    for (method, path) in [("GET", "/"), ("GET", "/empty"), ("HEAD", "/"), ("HEAD", "/large")] {
        let mut stream = server.connect();
        write!(stream, "{method} {path} HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
        std::thread::sleep(SENT);
        let mut text = [0; 1_024];
        assert!(stream.read(&mut text).expect("a response") > 0);
        reset(stream);
    }
    let mut malformed = server.connect();
    write!(malformed, "GET / HTTP/1.1\r\nhost: h\r\n\r\nnot HTTP\r\n\r\n").expect("sent");
    let mut text = String::new();
    let _ = malformed.read_to_string(&mut text);
    assert!(text.contains("200 OK") && text.contains("400 Bad Request"), "{text}");
    std::thread::sleep(SENT);
    assert!(server.cut_calls().is_empty(), "{:?}", server.cut_calls());
}

#[test]
fn requests_that_come_together_are_answered_and_cut_none() {
    let server = CutServer::start();
    let mut stream = server.connect();
    let request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    write!(stream, "{request}{request}").expect("sent");
    for _ in 0..2 {
        assert!(read_response(&mut stream).starts_with("HTTP/1.1 200"));
    }
    drop(stream);
    std::thread::sleep(SENT);
    assert!(server.cut_calls().is_empty(), "{:?}", server.cut_calls());
}
