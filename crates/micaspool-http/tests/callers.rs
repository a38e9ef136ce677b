//! Tests the edge server with callers that do what HTTP allows and few callers do: they read slowly, send the next
//! request early, ask before they send a body, or close one direction only.

use async_std::task;
use async_trait::async_trait;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use micaspool_http::edge::{full_body, EdgeBody, EdgeHandler, EdgeOptions, EdgeServer};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The length of the answer at `/long`, far more than a connection holds on its way.
const LONG_ANSWER: usize = 1_000_000;
/// The receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER: usize = 16 * 1024;
/// How long the handling of `/wait` takes.
const HANDLING_TIME: Duration = Duration::from_millis(300);

/// Responds by path: `/long` with a long answer, `/wait` after a while, others with the length of the request's body.
struct CallHandler;

#[async_trait]
impl EdgeHandler for CallHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        match head.uri.path() {
            "/long" => Response::new(full_body(vec![b'x'; LONG_ANSWER])),
            "/wait" => {
                task::sleep(HANDLING_TIME).await;
                Response::new(full_body("waited"))
            }
            path => Response::new(full_body(format!("{path} {}", body.len()))),
        }
    }
}

fn start(options: EdgeOptions) -> SocketAddr {
    let server = EdgeServer::new(Arc::new(CallHandler), options);
    task::block_on(server.listen(([127, 0, 0, 1], 0).into())).expect("a free port")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    stream
}

/// Connects with a receive buffer that holds little of a long answer.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("a valid size");
    socket.connect(&address.into()).expect("the server listens");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    stream
}

/// Reads until the server closes the connection. Returns what was read, and the error that ended it.
fn read_to_end(stream: &mut TcpStream) -> (String, Option<std::io::ErrorKind>) {
    let mut bytes = Vec::new();
    let error = stream.read_to_end(&mut bytes).err().map(|error| error.kind());
    (String::from_utf8_lossy(&bytes).into_owned(), error)
}

/// Reads until the answer contains this text.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1_024];
    while !String::from_utf8_lossy(&bytes).contains(end) {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a server that takes a caller for lost because it reads nothing for two seconds.
#[test]
fn a_caller_that_pauses_its_reading_gets_the_whole_answer() {
    let address = start(EdgeOptions::default());
    let mut stream = connect_with_small_buffer(address);
    write!(stream, "GET /long HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").expect("sent");
    std::thread::sleep(Duration::from_secs(3));
    let (answer, error) = read_to_end(&mut stream);
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    assert!(head.starts_with("HTTP/1.1 200"), "{head:?}, {error:?}");
    assert_eq!((body.len(), error), (LONG_ANSWER, None));
}

#[test]
fn requests_that_are_sent_before_the_first_answer_are_answered_in_order() {
    let mut stream = connect(start(EdgeOptions::default()));
    let first = "GET /wait HTTP/1.1\r\nhost: h\r\n\r\n";
    let second = "POST /second HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
    let third = "GET /third HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    write!(stream, "{first}{second}{third}").expect("sent");
    let (answers, error) = read_to_end(&mut stream);
    let places: Vec<_> = ["waited", "/second 4", "/third 0"].iter().map(|body| answers.find(body)).collect();
    assert!(places.iter().all(Option::is_some) && places.is_sorted(), "{answers:?}, {error:?}");
}

#[test]
fn a_caller_that_asks_before_it_sends_its_body_is_told_to_go_on() {
    let mut stream = connect(start(EdgeOptions::default()));
    write!(stream, "POST /asked HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n")
        .expect("sent");
    let interim = read_until(&mut stream, "\r\n\r\n");
    assert!(interim.starts_with("HTTP/1.1 100"), "{interim:?}");
    stream.write_all(b"body").expect("sent");
    let answer = read_until(&mut stream, "/asked 4");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("/asked 4"), "{answer:?}");
}

#[test]
fn a_caller_of_the_older_protocol_gets_a_whole_answer_on_a_kept_connection_too() {
    let mut stream = connect(start(EdgeOptions::default()));
    for path in ["/first", "/next"] {
        write!(stream, "GET {path} HTTP/1.0\r\nconnection: keep-alive\r\n\r\n").expect("sent");
        let body = format!("{path} 0");
        let answer = read_until(&mut stream, &body);
        assert!(answer.starts_with("HTTP/1.0 200") && answer.ends_with(&body), "{answer:?}");
    }
    write!(stream, "GET /last HTTP/1.0\r\n\r\n").expect("sent");
    let (answer, error) = read_to_end(&mut stream);
    assert!(answer.starts_with("HTTP/1.0 200") && answer.ends_with("/last 0"), "{answer:?}, {error:?}");
}

/// The end of one direction looks the same as a caller that has left, whose request is not to run any longer.
#[test]
fn a_caller_that_ends_its_direction_before_the_answer_has_left() {
    let mut stream = connect(start(EdgeOptions::default()));
    write!(stream, "GET /wait HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
    std::thread::sleep(HANDLING_TIME / 3);
    stream.shutdown(Shutdown::Write).expect("the connection is open");
    assert_eq!(read_to_end(&mut stream), (String::new(), None));
}

/// Guards against a full server that closes the connection of a caller whose body takes longer than the refusal may.
#[test]
fn a_caller_above_the_limit_is_refused_though_its_body_is_slow() {
    let address = start(EdgeOptions { max_connections: 1, max_refused: 2, ..EdgeOptions::default() });
    let _served = connect(address);
    std::thread::sleep(Duration::from_millis(100));
    let mut stream = connect(address);
    write!(stream, "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 8\r\n\r\nhalf").expect("sent");
    let (answer, error) = read_to_end(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}, {error:?}");
}
