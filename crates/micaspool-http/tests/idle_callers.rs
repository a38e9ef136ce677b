//! Tests which connections an edge server closes to make room, and what it does without memory.

use async_std::task;
use async_trait::async_trait;
use http::{Request, Response};
use hyper::body::Incoming;
use micaspool_http::edge::{full_body, EdgeBody, EdgeHandler, EdgeOptions, EdgeServer};
use micaspool_memory::{MemoryAccount, MemoryGauge};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Longer than a connection has to be idle before it may be closed, and longer than one without any request has to be.
const IDLE_TIME: Duration = Duration::from_millis(2_200);
const UNUSED_TIME: Duration = Duration::from_millis(700);
const LIMIT_BYTES: u64 = 10_000_000;

/// Responds to `/slow` after three seconds, to others at once.
struct PathHandler;

#[async_trait]
impl EdgeHandler for PathHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody> {
        if request.uri().path() == "/slow" {
            task::sleep(Duration::from_secs(3)).await;
        }
        Response::new(full_body("ok"))
    }
}

#[derive(Debug, Default)]
struct SetGauge(AtomicU64);

impl MemoryGauge for SetGauge {
    fn bytes_in_use(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

fn start(max_connections: usize) -> (EdgeServer, SocketAddr, Arc<SetGauge>) {
    let gauge = Arc::new(SetGauge::default());
    let memory = MemoryAccount::new(LIMIT_BYTES, gauge.clone());
    let options = EdgeOptions { max_connections, max_refused: 8, ..EdgeOptions::default() };
    let server = EdgeServer::with_memory(Arc::new(PathHandler), options, memory);
    let address = task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port");
    (server, address, gauge)
}

fn send(stream: &mut TcpStream, path: &str) {
    write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    stream
}

/// Reads what comes next, at most a short response; empty at the end of the connection.
fn read_some(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 4_096];
    let count = stream.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

/// Waits until a number of connections is open. A caller sees the end of one shortly before it is no longer counted.
fn wait_open(server: &EdgeServer, count: usize) -> bool {
    for _ in 0..100 {
        if server.open() == count {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Opens a connection on which a request has been answered.
fn kept(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address);
    send(&mut stream, "/");
    assert!(read_some(&mut stream).contains("200 OK"));
    stream
}

#[test]
fn a_full_server_closes_the_longest_idle_connection_and_serves_a_new_one() {
    let (server, address, _) = start(3);
    let mut first = kept(address);
    let _second = kept(address);
    let mut busy = connect(address);
    send(&mut busy, "/slow");
    std::thread::sleep(IDLE_TIME);
    assert_eq!((server.open(), server.idle()), (3, 2));
    let mut newest = connect(address);
    send(&mut newest, "/");
    assert!(read_some(&mut newest).contains("200 OK"));
    assert_eq!(read_some(&mut first), "", "the longest idle one is closed");
    assert!(read_some(&mut busy).contains("200 OK"), "what runs goes on");
    assert!(wait_open(&server, 3), "only one was closed: {}", server.open());
}

#[test]
fn callers_are_refused_while_there_is_no_memory_and_what_runs_goes_on() {
    let (_server, address, gauge) = start(100);
    let mut busy = connect(address);
    send(&mut busy, "/slow");
    std::thread::sleep(Duration::from_millis(200));
    gauge.0.store(LIMIT_BYTES, Ordering::SeqCst);
    let mut refused = connect(address);
    send(&mut refused, "/");
    assert!(read_some(&mut refused).contains("503"));
    gauge.0.store(0, Ordering::SeqCst);
    let mut served = connect(address);
    send(&mut served, "/");
    assert!(read_some(&mut served).contains("200 OK"));
    assert!(read_some(&mut busy).contains("200 OK"));
}

#[test]
fn idle_connections_are_closed_while_memory_is_tight() {
    let (server, address, gauge) = start(100);
    let mut idle: Vec<TcpStream> = (0..5).map(|_| kept(address)).collect();
    std::thread::sleep(IDLE_TIME);
    gauge.0.store(LIMIT_BYTES / 10 * 9, Ordering::SeqCst);
    let mut newest = kept(address);
    for stream in &mut idle {
        assert_eq!(read_some(stream), "");
    }
    send(&mut newest, "/");
    assert!(read_some(&mut newest).contains("200 OK"));
    assert!(wait_open(&server, 1), "{} are open", server.open());
}

/// Guards against refusals without a bound while there is no memory.
#[test]
fn no_more_connections_are_refused_at_a_time_than_may_be() {
    let (server, address, gauge) = start(100);
    gauge.0.store(LIMIT_BYTES, Ordering::SeqCst);
    let mute: Vec<TcpStream> = (0..50).map(|_| connect(address)).collect();
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(server.open(), 8, "eight may be refused at a time");
    drop(mute);
}

/// Guards against an idle connection that stays open since it holds part of a head.
#[test]
fn a_connection_with_part_of_a_head_is_closed_to_make_room() {
    let (server, address, gauge) = start(100);
    let mut partial = connect(address);
    partial.write_all(b"GET / HTTP/1.1\r\nho").expect("sent");
    std::thread::sleep(UNUSED_TIME);
    gauge.0.store(LIMIT_BYTES / 10 * 9, Ordering::SeqCst);
    let _newest = kept(address);
    assert_eq!(read_some(&mut partial), "");
    assert!(wait_open(&server, 1), "{} are open", server.open());
}

#[test]
fn connections_that_were_never_used_are_closed_first() {
    let (_server, address, _) = start(3);
    let mut used = kept(address);
    let mut mute = connect(address);
    let _other = kept(address);
    std::thread::sleep(IDLE_TIME);
    let _newest = kept(address);
    assert_eq!(read_some(&mut mute), "");
    send(&mut used, "/");
    assert!(read_some(&mut used).contains("200 OK"));
}

/// Guards against a full server that takes the connections of callers that use them regularly.
#[test]
fn a_connection_in_regular_use_is_not_closed_to_make_room() {
    let (_server, address, gauge) = start(100);
    let mut used = kept(address);
    std::thread::sleep(UNUSED_TIME);
    gauge.0.store(LIMIT_BYTES / 10 * 9, Ordering::SeqCst);
    let _newest = kept(address);
    send(&mut used, "/");
    assert!(read_some(&mut used).contains("200 OK"));
}
