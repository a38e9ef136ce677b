//! Tests the moment in which an edge server closes. One of the tests holds up all threads of the runtime, so that they are
//! alone in their process.

use async_std::task;
use async_trait::async_trait;
use http::{Request, Response};
use hyper::body::Incoming;
use micaspool_clock::BootInstant;
use micaspool_http::edge::{full_body, EdgeBody, EdgeHandler, EdgeOptions, EdgeServer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the handling of `/block` holds up its thread.
const BLOCK: Duration = Duration::from_millis(300);
/// The number of kept connections that send a request around the close, the time until it is due, and the time in which
/// they send. A server looks whether it is due every 50 ms.
const KEPT: u32 = 200;
const UNTIL_CLOSE: Duration = Duration::from_millis(200);
const SEND_TIME: Duration = Duration::from_millis(100);
/// The time between two connections while the server becomes overloaded.
const CONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Holds up its thread at `/block`, and counts the requests at other paths.
#[derive(Default)]
struct BlockHandler {
    counted: Arc<AtomicUsize>,
}

#[async_trait]
impl EdgeHandler for BlockHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody> {
        match request.uri().path() {
            "/block" => std::thread::sleep(BLOCK),
            _ => drop(self.counted.fetch_add(1, Ordering::SeqCst)),
        }
        Response::new(full_body("ok"))
    }
}

fn send(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").expect("sent");
    stream
}

/// Makes the server accept connections in rounds, as it does for some seconds after its tasks ran late.
fn overload(address: SocketAddr) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let blocking: Vec<TcpStream> = (0..threads * 2).map(|_| send(address, "/block")).collect();
    let end = Instant::now() + BLOCK * 4;
    while Instant::now() < end {
        drop(TcpStream::connect(address).expect("the server listens"));
        std::thread::sleep(CONNECT_PAUSE);
    }
    drop(blocking);
}

/// Guards against a server that tells its process to end while a connection that is to be accepted still waits.
#[test]
fn a_server_has_not_drained_while_it_still_accepts() {
    let handler = BlockHandler::default();
    let counted = handler.counted.clone();
    let options = EdgeOptions { sheds_load: true, ..EdgeOptions::default() };
    let server = EdgeServer::new(Arc::new(handler), options);
    let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
    overload(address);
    let idle_limit = Instant::now() + Duration::from_secs(1);
    while server.open() > 0 && Instant::now() < idle_limit {
        std::thread::sleep(CONNECT_PAUSE);
    }
    server.drain();
    let mut late = send(address, "/late");
    let now = BootInstant::now();
    assert!(task::block_on(server.drained(now, now + Duration::from_secs(2))));
    assert_eq!(counted.load(Ordering::SeqCst), 1, "requests answered when the process would end");
    let mut answer = String::new();
    let _ = late.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// A request that crosses the close of an idle connection is answered, or it is never handled.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_answered_if_it_is_handled() {
    let handler = BlockHandler::default();
    let counted = handler.counted.clone();
    let server = EdgeServer::new(Arc::new(handler), EdgeOptions::default());
    let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
    let kept: Vec<TcpStream> = (0..KEPT).map(|_| connect_and_keep(address)).collect();
    let close = Instant::now() + UNTIL_CLOSE;
    let callers: Vec<_> = kept
        .into_iter()
        .zip(0..)
        .map(|(stream, number)| {
            let at = close + SEND_TIME * number / KEPT;
            std::thread::spawn(move || is_answered_at(stream, at))
        })
        .collect();
    server.drain();
    let now = BootInstant::now();
    let close_at = now + close.saturating_duration_since(Instant::now());
    assert!(task::block_on(server.drained(close_at, now + Duration::from_secs(5))));
    let answered = callers.into_iter().map(|caller| caller.join().expect("it ran"));
    let answered = answered.filter(|is_answered| *is_answered).count();
    let handled = counted.load(Ordering::SeqCst) - KEPT as usize;
    assert_eq!(answered, handled);
    println!("{answered} of {KEPT} were answered");
}

/// Sends a request whose connection is kept, and reads the answer.
fn connect_and_keep(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    write!(stream, "GET /kept HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
    let mut answer = [0; 1_024];
    let read = stream.read(&mut answer).expect("an answer");
    assert!(answer[..read].ends_with(b"ok"));
    stream
}

/// Sends another request at this moment, and returns whether it is answered.
fn is_answered_at(mut stream: TcpStream, at: Instant) -> bool {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
    let _ = write!(stream, "GET /late HTTP/1.1\r\nhost: h\r\n\r\n");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer.ends_with(b"ok")
}
