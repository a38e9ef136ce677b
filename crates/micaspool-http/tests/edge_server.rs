//! Tests the edge server: callers that disconnect, connections above the limit, and draining.

use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use micaspool_clock::BootInstant;
use micaspool_http::edge::{full_body, BodyError, EdgeBody, EdgeHandler, EdgeOptions, EdgeServer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// More bytes than the buffers of both sockets hold.
const LARGE_PART: usize = 32 * 1024 * 1024;

/// Responds by path: `/slow` after 400 ms, `/stuck` never, `/broken` with a body that fails, `/broken-at-once` with one that
/// fails before its first part, `/broken-together` with one that fails together with it, `/broken-large` with one that fails
/// together with a long part, `/panic` not since it panics,
/// `/panic-body` with a body that panics after its first part, others at once.
#[derive(Default)]
struct PathHandler {
    dropped: Arc<AtomicUsize>,
}

struct CountDrop(Arc<AtomicUsize>);

impl Drop for CountDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl EdgeHandler for PathHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody> {
        match request.uri().path() {
            "/slow" => task::sleep(Duration::from_millis(400)).await,
            "/stuck" => {
                let _count = CountDrop(self.dropped.clone());
                std::future::pending::<()>().await;
            }
            "/broken" => {
                let first = futures::stream::iter([Ok(Frame::data(Bytes::from_static(b"part")))]);
                let later = futures::stream::once(async {
                    task::sleep(Duration::from_millis(50)).await;
                    Err::<Frame<Bytes>, BodyError>("broke".into())
                });
                let body = StreamBody::new(Box::pin(first.chain(later)));
                return Response::new(BodyExt::boxed_unsync(body));
            }
            "/broken-at-once" => return Response::new(failing_body(None)),
            "/broken-large" => return Response::new(failing_body(Some(vec![b'x'; LARGE_PART].into()))),
            "/broken-together" => return Response::new(failing_body(Some(Bytes::from_static(b"part")))),
            "/panic" => panic!("the handler panics"),
            "/panic-body" => {
                let first =
                    futures::stream::iter([Ok::<_, BodyError>(Frame::data(Bytes::from_static(b"part")))]);
                let later = futures::stream::once(async {
                    task::sleep(Duration::from_millis(50)).await;
                    panicked_frame()
                });
                let body = StreamBody::new(Box::pin(first.chain(later)));
                return Response::new(BodyExt::boxed_unsync(body));
            }
            _ => {}
        }
        Response::new(full_body("ok"))
    }
}

/// Returns a body that fails without a pause after its first part, if it has one.
fn failing_body(part: Option<Bytes>) -> EdgeBody {
    let part = part.map(|part| Ok(Frame::data(part)));
    let frames = part.into_iter().chain([Err(BodyError::from("broke"))]);
    BodyExt::boxed_unsync(StreamBody::new(futures::stream::iter(frames.collect::<Vec<_>>())))
}

fn panicked_frame() -> Result<Frame<Bytes>, BodyError> {
    panic!("the body panics")
}

fn start() -> (EdgeServer, SocketAddr, Arc<AtomicUsize>) {
    let handler = PathHandler::default();
    let dropped = handler.dropped.clone();
    let server = EdgeServer::new(Arc::new(handler), EdgeOptions::default());
    let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
    (server, address, dropped)
}

fn send(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
    stream
}

/// The same with a request that asks for the connection to be closed after the response.
fn send_close(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").expect("sent");
    stream
}

/// Reads until the server closes the connection.
fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn a_disconnected_caller_ends_the_handling_of_its_request() {
    let (_server, address, dropped) = start();
    let stream = send(address, "/stuck");
    std::thread::sleep(Duration::from_millis(100));
    drop(stream);
    let limit = BootInstant::now() + Duration::from_millis(500);
    while dropped.load(Ordering::SeqCst) == 0 && BootInstant::now() < limit {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(dropped.load(Ordering::SeqCst), 1);
}

#[test]
fn a_failed_body_does_not_look_complete() {
    let (_server, address, _) = start();
    let text = read_all(send(address, "/broken"));
    assert!(text.contains("part") && !text.contains("\r\n0\r\n"), "{text}");
}

#[test]
fn draining_finishes_running_requests_and_closes_idle_connections() {
    let (server, address, _) = start();
    let idle = TcpStream::connect(address).expect("the server listens");
    let running = send(address, "/slow");
    std::thread::sleep(Duration::from_millis(100));
    server.drain();
    let now = BootInstant::now();
    let close = now + Duration::from_millis(200);
    let ended = task::block_on(server.drained(close, now + Duration::from_secs(5)));
    assert!(ended);
    assert!(now.elapsed() < Duration::from_secs(2), "{:?}", now.elapsed());
    let answer = read_all(running);
    assert!(answer.contains("200 OK") && answer.contains("connection: close"), "{answer}");
    assert_eq!(read_all(idle), "");
    assert!(TcpStream::connect(address).is_err(), "no connection is accepted after the close");
}

#[test]
fn a_draining_server_still_answers_new_connections() {
    let (server, address, _) = start();
    server.drain();
    let answer = read_all(send(address, "/"));
    assert!(answer.contains("200 OK") && answer.contains("connection: close"), "{answer}");
}

/// Guards against a full server that leaves further connections unaccepted without a response. After one caller's
/// flood had opened as many connections as fit into its memory, a gateway reported ready and accepted none of 992 new
/// connections in 4.4 s.
#[test]
fn a_caller_above_the_limit_is_refused_at_once() {
    let options = EdgeOptions { max_connections: 2, max_refused: 2, ..EdgeOptions::default() };
    let server = EdgeServer::new(Arc::new(PathHandler::default()), options);
    let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
    let exchange = || {
        let mut stream = TcpStream::connect(address).expect("the server listens");
        stream.set_read_timeout(Some(Duration::from_millis(700))).expect("a timeout");
        stream
            .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody")
            .expect("the connection is open");
        let mut answer = vec![0; 1_024];
        let read = stream.read(&mut answer).unwrap_or(0);
        (stream, String::from_utf8_lossy(&answer[..read]).into_owned())
    };
    let served = [exchange(), exchange()];
    assert!(served.iter().all(|(_, answer)| answer.starts_with("HTTP/1.1 200")), "{served:?}");
    for _ in 0..5 {
        let (mut stream, answer) = exchange();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer:?}");
        assert_eq!(stream.read(&mut [0; 16]).expect("closed"), 0);
    }
    drop(served);
    std::thread::sleep(Duration::from_millis(100));
    let (_stream, answer) = exchange();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Guards against refusing the oldest pending connections first. A full gateway accepted twenty callers a second
/// above its limit, oldest first. At 220 new callers a second each had disconnected before it was accepted: none of
/// 981 in 4.5 s got a response, and `too-many-connections` was logged 0 to 4 times a second instead of twenty.
#[test]
fn a_caller_is_refused_at_once_behind_many_disconnected_ones() {
    const DISCONNECTED: usize = 60;
    let options = EdgeOptions { max_connections: 1, max_refused: 4, ..EdgeOptions::default() };
    let server = EdgeServer::new(Arc::new(PathHandler::default()), options);
    let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
    let _held = send(address, "/stuck");
    std::thread::sleep(Duration::from_millis(100));
    for _ in 0..DISCONNECTED {
        drop(TcpStream::connect(address).expect("the server listens"));
    }
    let began = BootInstant::now();
    let answer = read_all(send(address, "/"));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(began.elapsed() < Duration::from_millis(500), "refused after {:?}", began.elapsed());
}

/// Guards against a full server that refused one connection per 50 ms and closed all others unread: in a flood of one
/// customer, a sixth of all requests ended in a reset although the server had processor time left.
#[test]
fn callers_that_arrive_together_above_the_limit_are_all_refused() {
    let options = EdgeOptions { max_connections: 1, max_refused: 64, ..EdgeOptions::default() };
    let server = EdgeServer::new(Arc::new(PathHandler::default()), options);
    let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
    let _served = send(address, "/stuck");
    std::thread::sleep(Duration::from_millis(50));
    let callers: Vec<TcpStream> = (0..40).map(|_| send(address, "/")).collect();
    let answers: Vec<String> = callers.into_iter().map(read_all).collect();
    let refused = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 503")).count();
    assert_eq!(refused, 40, "{answers:?}");
}

/// Guards against an answer that broke off and looked complete to a caller that knows no chunks.
#[test]
fn a_failed_body_resets_the_connection_of_a_caller_without_chunks() {
    let (_server, address, _) = start();
    for (path, is_whole) in [("/broken", false), ("/whole", true)] {
        let mut stream = TcpStream::connect(address).expect("the server listens");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
        write!(stream, "GET {path} HTTP/1.0\r\nhost: h\r\n\r\n").expect("sent");
        let end = stream.read_to_end(&mut Vec::new()).map_err(|error| error.kind());
        assert_eq!(end.is_ok(), is_whole, "{path}: {end:?}");
        assert!(is_whole || end == Err(std::io::ErrorKind::ConnectionReset), "{path}: {end:?}");
    }
}

/// Guards against a whole request that got no answer because its handler panicked.
#[test]
fn a_handler_that_panics_is_answered_and_other_calls_go_on() {
    let (server, address, _) = start();
    let other = send(address, "/slow");
    let answer = read_all(send(address, "/panic"));
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer:?}");
    assert!(answer.contains("connection: close") && answer.ends_with("\r\n\r\n"), "{answer:?}");
    let mut other_answer = [0; 1_024];
    let length = (&other).read(&mut other_answer).expect("an answer");
    assert!(other_answer[..length].starts_with(b"HTTP/1.1 200"));
    drop(other);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(server.open(), 0, "a panicked call holds its connection");
    assert!(read_all(send_close(address, "/")).starts_with("HTTP/1.1 200"));
}

/// Guards against an answer that broke off by a panic and looked complete to a caller that knows no chunks.
#[test]
fn a_body_that_panics_does_not_look_complete() {
    let (_server, address, _) = start();
    let text = read_all(send(address, "/panic-body"));
    assert!(text.contains("part") && !text.contains("\r\n0\r\n"), "{text}");
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    write!(stream, "GET /panic-body HTTP/1.0\r\nhost: h\r\n\r\n").expect("sent");
    let end = stream.read_to_end(&mut Vec::new()).map_err(|error| error.kind());
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against a whole request that ended with nothing, since its response failed before any of it was written.
#[test]
fn what_comes_before_a_failure_is_sent() {
    let (_server, address, _) = start();
    for (path, part) in [("/broken-at-once", ""), ("/broken-together", "part")] {
        let text = read_all(send(address, path));
        assert!(text.starts_with("HTTP/1.1 200") && text.contains(part), "{path}: {text:?}");
        assert!(!text.contains("\r\n0\r\n"), "{path}: {text:?}");
    }
}

/// Guards against a failed response that waits forever for a caller that takes nothing.
#[test]
fn a_failure_ends_the_connection_of_a_caller_that_takes_nothing() {
    let (server, address, _) = start();
    let _stream = send(address, "/broken-large");
    std::thread::sleep(Duration::from_millis(100));
    let limit = BootInstant::now() + Duration::from_secs(10);
    while server.open() > 0 && BootInstant::now() < limit {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(server.open(), 0);
}
