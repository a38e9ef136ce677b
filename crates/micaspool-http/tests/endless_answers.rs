//! Endpoints that answer a request with bytes without end that are no answer, read by both clients.

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::task;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use http_types::{Method, Url};
use micaspool_http::client::{call, CallLimits};
use micaspool_http::pool::{EndpointPool, PoolOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use test_case::test_matrix;

/// The bytes that an endpoint sends once, and those that it sends again and again after them.
#[derive(Clone, Copy, Debug)]
struct EndlessAnswer {
    first: &'static str,
    again: &'static str,
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const NO_STATUS_LINE: EndlessAnswer = EndlessAnswer { first: "", again: "no status line " };
const NUL_BYTES: EndlessAnswer = EndlessAnswer { first: "", again: "\0" };
const EMPTY_LINES: EndlessAnswer = EndlessAnswer { first: "", again: "\r\n" };
const STATUS_LINE: EndlessAnswer = EndlessAnswer { first: "HTTP/1.1 200 ", again: "a" };
const HEADER_LINES: EndlessAnswer = EndlessAnswer { first: "HTTP/1.1 200 OK\r\n", again: "a: b\r\n" };
const HEADER_LINE: EndlessAnswer = EndlessAnswer { first: "HTTP/1.1 200 OK\r\na: ", again: "b" };
const INTERIM: EndlessAnswer = EndlessAnswer { first: "", again: "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" };
const CHUNK_SIZE: EndlessAnswer = EndlessAnswer { first: "0", again: "0" };
const CHUNK_SIZE_SPACES: EndlessAnswer = EndlessAnswer { first: "1", again: " " };
const CHUNK_EXTENSION: EndlessAnswer = EndlessAnswer { first: "1;a=", again: "b" };
const TRAILERS: EndlessAnswer = EndlessAnswer { first: "1\r\nx\r\n0\r\n", again: "a: b\r\n" };
const TRAILER_LINE: EndlessAnswer = EndlessAnswer { first: "1\r\nx\r\n0\r\na: ", again: "b" };
const NO_CHUNK_SIZE: EndlessAnswer = EndlessAnswer { first: "", again: "garbage" };

/// How long a call may take that gets such bytes as fast as its endpoint can send them.
const CALL_TIME: Duration = Duration::from_secs(2);
/// How long a connection may stay open after its call.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// The bytes that may be read in a call and wait in the system together.
const MAX_TAKEN: usize = 16 * 1024 * 1024;
/// The bytes after which a fast endpoint becomes a slow one, so that a test takes a bounded load.
const MAX_FAST: usize = 64 * 1024 * 1024;
/// The bytes that are sent at once.
const BLOCK: usize = 16 * 1024;
/// The time between two bytes of a slow endpoint.
const PAUSE: Duration = Duration::from_millis(50);
const SILENCE: Duration = Duration::from_millis(600);

/// An endpoint that ends with the test.
struct EndlessEndpoint {
    address: SocketAddr,
    taken: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

impl EndlessEndpoint {
    fn start(first: String, again: &'static str, pause: Duration) -> EndlessEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let endpoint = EndlessEndpoint {
            address: listener.local_addr().expect("the listener is bound"),
            taken: Arc::default(),
            open: Arc::default(),
            stopped: Arc::default(),
        };
        let (taken, open, stopped) =
            (endpoint.taken.clone(), endpoint.open.clone(), endpoint.stopped.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (first, taken, open, stopped) =
                    (first.clone(), taken.clone(), open.clone(), stopped.clone());
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let _ = send_endlessly(stream, &first, again, pause, &taken, &stopped);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    fn in_head(answer: EndlessAnswer, pause: Duration) -> EndlessEndpoint {
        EndlessEndpoint::start(answer.first.to_owned(), answer.again, pause)
    }

    fn in_body(answer: EndlessAnswer, pause: Duration) -> EndlessEndpoint {
        EndlessEndpoint::start(format!("{CHUNKED}{}", answer.first), answer.again, pause)
    }

    fn taken(&self) -> usize {
        self.taken.load(Ordering::SeqCst)
    }

    fn wait_closed(&self) {
        let end = Instant::now() + CLOSE_TIME;
        while self.open.load(Ordering::SeqCst) > 0 {
            assert!(Instant::now() < end, "the connection stays open");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for EndlessEndpoint {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Sends after a request until the connection or the endpoint ends.
fn send_endlessly(
    mut stream: TcpStream,
    first: &str,
    again: &str,
    pause: Duration,
    taken: &AtomicUsize,
    stopped: &AtomicBool,
) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        request.push(byte[0]);
    }
    stream.set_write_timeout(Some(Duration::from_millis(100)))?;
    write_part(&mut stream, first.as_bytes(), taken, stopped)?;
    if again.is_empty() {
        return stream.read(&mut byte).map(drop);
    }
    let block = if pause.is_zero() { again.repeat(BLOCK / again.len()) } else { again.to_owned() };
    while !stopped.load(Ordering::SeqCst) {
        for part in block.as_bytes().chunks(if pause.is_zero() { block.len() } else { 1 }) {
            write_part(&mut stream, part, taken, stopped)?;
            let is_slow = taken.load(Ordering::SeqCst) > MAX_FAST;
            std::thread::sleep(if is_slow { PAUSE } else { pause });
        }
    }
    Ok(())
}

fn write_part(
    stream: &mut TcpStream,
    mut part: &[u8],
    taken: &AtomicUsize,
    stopped: &AtomicBool,
) -> std::io::Result<()> {
    while !part.is_empty() && !stopped.load(Ordering::SeqCst) {
        match stream.write(part) {
            Ok(written) => {
                taken.fetch_add(written, Ordering::SeqCst);
                part = &part[written..];
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Runs a call on a thread of its own, since one that never pends would hold up the test; `None` if it takes too long.
fn run_within<T: Send + 'static>(limit: Duration, run: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || sender.send(run()));
    receiver.recv_timeout(limit).ok()
}

fn pool_call(address: SocketAddr, limit: Duration) -> Result<Bytes, &'static str> {
    let request = http::Request::get("/x").header("host", "h").body(Full::default()).expect("valid");
    let pool = EndpointPool::new(PoolOptions::default());
    task::block_on(async move {
        let exchange = async {
            let response = pool.send(address, request).await.map_err(|_| "head")?;
            Ok(response.into_body().collect().await.map_err(|_| "body")?.to_bytes())
        };
        timeout(limit, exchange).await.unwrap_or(Err("late"))
    })
}

fn client_call(address: SocketAddr) -> Result<Vec<u8>, &'static str> {
    let url = Url::parse(&format!("http://{address}/x")).expect("a valid address");
    let request = http_types::Request::new(Method::Get, url);
    let limits = CallLimits { connect: SILENCE, silence: SILENCE };
    task::block_on(async {
        let mut response = call(address, request, limits).await.map_err(|_| "head")?;
        let mut body = Vec::new();
        response.take_body().read_to_end(&mut body).await.map_err(|_| "body")?;
        Ok(body)
    })
}

fn check_pool(endpoint: &EndlessEndpoint, failed: &'static str) {
    let address = endpoint.address;
    let ended = run_within(CALL_TIME, move || pool_call(address, CALL_TIME));
    assert_eq!(ended, Some(Err(failed)));
    endpoint.wait_closed();
    assert!(endpoint.taken() < MAX_TAKEN, "{} bytes", endpoint.taken());
}

fn check_client(endpoint: &EndlessEndpoint, failed: &'static str) {
    let address = endpoint.address;
    let ended = run_within(CALL_TIME, move || client_call(address));
    assert_eq!(ended, Some(Err(failed)));
    endpoint.wait_closed();
    assert!(endpoint.taken() < MAX_TAKEN, "{} bytes", endpoint.taken());
}

#[test_matrix([NO_STATUS_LINE, NUL_BYTES, EMPTY_LINES, STATUS_LINE, HEADER_LINES, HEADER_LINE, INTERIM])]
fn a_pool_gives_up_a_head_without_end(answer: EndlessAnswer) {
    check_pool(&EndlessEndpoint::in_head(answer, Duration::ZERO), "head");
}

#[test_matrix([CHUNK_SIZE, CHUNK_SIZE_SPACES, CHUNK_EXTENSION, TRAILERS, TRAILER_LINE, NO_CHUNK_SIZE])]
fn a_pool_gives_up_chunks_without_end(answer: EndlessAnswer) {
    check_pool(&EndlessEndpoint::in_body(answer, Duration::ZERO), "body");
}

#[test_matrix([STATUS_LINE, HEADER_LINES, HEADER_LINE, INTERIM])]
fn a_slow_head_without_end_is_closed_with_its_call(answer: EndlessAnswer) {
    let endpoint = EndlessEndpoint::in_head(answer, PAUSE);
    assert_eq!(pool_call(endpoint.address, SILENCE), Err("late"));
    endpoint.wait_closed();
}

#[test_matrix([CHUNK_SIZE, CHUNK_SIZE_SPACES, CHUNK_EXTENSION, TRAILERS, TRAILER_LINE])]
fn slow_chunks_without_end_are_closed_with_their_call(answer: EndlessAnswer) {
    let endpoint = EndlessEndpoint::in_body(answer, PAUSE);
    assert_eq!(pool_call(endpoint.address, SILENCE), Err("late"));
    endpoint.wait_closed();
}

#[test_matrix([NO_STATUS_LINE, NUL_BYTES, EMPTY_LINES, STATUS_LINE, HEADER_LINES, HEADER_LINE, INTERIM], [Duration::ZERO, PAUSE])]
fn a_client_gives_up_a_head_without_end(answer: EndlessAnswer, pause: Duration) {
    check_client(&EndlessEndpoint::in_head(answer, pause), "head");
}

#[test_matrix([CHUNK_SIZE, CHUNK_SIZE_SPACES, CHUNK_EXTENSION, TRAILERS, TRAILER_LINE, NO_CHUNK_SIZE], [Duration::ZERO, PAUSE])]
fn a_client_gives_up_chunks_without_end(answer: EndlessAnswer, pause: Duration) {
    check_client(&EndlessEndpoint::in_body(answer, pause), "body");
}

#[test]
fn an_answer_with_bytes_after_it_is_whole_and_its_connection_is_not_used_again() {
    for pause in [Duration::ZERO, PAUSE] {
        let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let endpoint = EndlessEndpoint::start(first.to_owned(), "x", pause);
        assert_eq!(pool_call(endpoint.address, CALL_TIME), Ok(Bytes::from_static(b"ok")));
        endpoint.wait_closed();
        assert!(endpoint.taken() < MAX_TAKEN, "{} bytes", endpoint.taken());
    }
}

/// Guards against a long answer in small parts being taken for bytes without end.
#[test]
fn a_long_answer_in_small_chunks_is_read_whole() {
    const CHUNKS: usize = 200_000;
    let endpoint =
        EndlessEndpoint::start(format!("{CHUNKED}{}0\r\n\r\n", "1;a=b\r\nx\r\n".repeat(1_000)), "", PAUSE);
    let address = endpoint.address;
    assert_eq!(pool_call(address, CALL_TIME).map(|body| body.len()), Ok(1_000));
    let endpoint =
        EndlessEndpoint::start(format!("{CHUNKED}{}0\r\n\r\n", "1\r\nx\r\n".repeat(CHUNKS)), "", PAUSE);
    let address = endpoint.address;
    let limit = CALL_TIME * 4;
    assert_eq!(pool_call(address, limit).map(|body| body.len()), Ok(CHUNKS));
    assert_eq!(run_within(limit, move || client_call(address).map(|body| body.len())), Some(Ok(CHUNKS)));
}
