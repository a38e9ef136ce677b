//! Tests the checks that the server and the client add to `async-h1`.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use http_types::{Method, Request, Response, Url};
use micaspool_http::client::{call, CallLimits, Error};
use micaspool_http::head::{check_head, BodyLength, Error as HeadError, RequestHead};
use micaspool_http::server::{CallerRequest, HttpHandler, HttpServer, ServerOptions};
use micaspool_types::{Refusal, RequestId};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const LIMITS: CallLimits =
    CallLimits { connect: Duration::from_millis(500), silence: Duration::from_millis(500) };

#[test_case("GET / HTTP/1.1\r\nHost: a\r\n\r\n", Ok(BodyLength::Known(0)); "no body")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n", Ok(BodyLength::Known(5)); "length")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", Ok(BodyLength::Chunked); "chunks")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", Err(HeadError::Length); "two lengths")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n", Err(HeadError::Length); "sign")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", Err(HeadError::Length); "both")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", Err(HeadError::TransferCoding); "other coding")]
#[test_case("GET / HTTP/1.1\r\n\r\n", Err(HeadError::Host); "no host")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", Err(HeadError::Host); "two hosts")]
#[test_case("rubbish\r\n\r\n", Err(HeadError::Malformed); "rubbish")]
fn a_head_is_checked(text: &str, expected: Result<BodyLength, HeadError>) {
    assert_eq!(check_head(text.as_bytes()).map(|head| head.body), expected);
}

/// Responds with the body of the request and counts the handled requests.
struct Echo {
    handled: Arc<AtomicUsize>,
}

#[async_trait]
impl HttpHandler for Echo {
    fn admit(&self, _head: &RequestHead) -> Result<u64, Refusal> {
        Ok(1_000)
    }

    fn next_id(&self) -> RequestId {
        RequestId(1)
    }

    async fn handle(&self, request: CallerRequest) -> Response {
        self.handled.fetch_add(1, Ordering::SeqCst);
        let mut response = Response::new(200);
        response.set_body(request.body);
        response
    }
}

async fn start(options: ServerOptions) -> (SocketAddr, Arc<AtomicUsize>) {
    let handled = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let server = HttpServer::new(Arc::new(Echo { handled: handled.clone() }), options);
    task::spawn(async move { server.serve(listener).await });
    (address, handled)
}

/// Short time limits and at most two connections.
fn short_limits() -> ServerOptions {
    ServerOptions {
        head_limit: Duration::from_millis(200),
        body_limit: Duration::from_millis(200),
        idle_limit: Duration::from_millis(400),
        max_connections: 2,
        ..ServerOptions::default()
    }
}

/// Sends the text as it is, closes the sending side if `close` is set, and returns everything the server sends.
async fn exchange(address: SocketAddr, text: &str, close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    stream.write_all(text.as_bytes()).await.expect("the server reads");
    if close {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", true, "400"; "short body")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", false, "408"; "slow body")]
#[test_case("POST / HTTP/1.1\r\nHost", false, "408"; "slow head")]
#[test_case("POST / HTTP/1.1\r\nHost", true, "400"; "cut head")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true, "400"; "cut chunk")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", false, "413"; "large body")]
fn an_incomplete_request_is_refused_and_never_handled(text: &str, close: bool, status: &str) {
    task::block_on(async {
        let (address, handled) = start(short_limits()).await;
        let answer = exchange(address, text, close).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        assert_eq!(handled.load(Ordering::SeqCst), 0);
    });
}

#[test]
fn a_caller_still_sending_a_large_body_reads_its_refusal() {
    task::block_on(async {
        let (address, _) = start(short_limits()).await;
        let body = "x".repeat(4_000_000);
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.len());
        let answer = exchange(address, &format!("{head}{body}"), false).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    task::block_on(async {
        let (address, _) = start(short_limits()).await;
        let one = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
        let two = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo";
        let answer = exchange(address, &format!("{one}{two}"), false).await;
        let (first, second) = (answer.find("one").expect("first"), answer.find("two").expect("second"));
        assert!(first < second);
    });
}

#[test]
fn connections_above_the_limit_are_refused_and_others_go_on() {
    task::block_on(async {
        let (address, _) =
            start(ServerOptions { idle_limit: Duration::from_secs(5), ..short_limits() }).await;
        let _first = TcpStream::connect(address).await.expect("the server listens");
        let _second = TcpStream::connect(address).await.expect("the server listens");
        task::sleep(Duration::from_millis(100)).await;
        let refused = exchange(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        drop(_first);
        task::sleep(Duration::from_millis(300)).await;
        let served = exchange(address, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", false).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    });
}

/// Starts a server that answers one connection with fixed bytes and closes it. With an empty answer it stays silent
/// for two seconds.
async fn start_fixed_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        if answer.is_empty() {
            task::sleep(Duration::from_secs(2)).await;
        }
    });
    address
}

async fn call_fixed(answer: &'static str) -> Result<Result<String, std::io::Error>, Error> {
    let address = start_fixed_server(answer).await;
    let url = Url::parse(&format!("http://{address}/")).expect("a URL");
    let mut response = call(address, Request::new(Method::Get, url), LIMITS).await?;
    let mut body = String::new();
    Ok(response.take_body().read_to_string(&mut body).await.map(|_| body))
}

#[test]
fn a_complete_response_is_read() {
    let body = task::block_on(call_fixed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"));
    assert_eq!(body.expect("an answer").expect("a whole body"), "abc");
    let body = task::block_on(call_fixed(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    ));
    assert_eq!(body.expect("an answer").expect("a whole body"), "abc");
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"; "shorter than its length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nabc"; "cut chunk")]
fn a_body_that_ends_early_is_an_error(answer: &'static str) {
    let body = task::block_on(call_fixed(answer)).expect("a head");
    assert!(body.is_err(), "{body:?}");
}

#[test_case("HTTP/1.1 200 OK\r\n\r\nabc"; "no length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"; "two lengths")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "interim answer")]
#[test_case("rubbish\r\n\r\n"; "rubbish")]
#[test_case(""; "silence")]
fn a_malformed_response_is_an_error_after_which_the_request_may_have_run(answer: &'static str) {
    let error = task::block_on(call_fixed(answer)).expect_err("no answer");
    assert!(!error.is_unsent(), "{error}");
}

#[test]
fn a_failed_connection_proves_that_nothing_was_sent() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        drop(listener);
        let url = Url::parse(&format!("http://{address}/")).expect("a URL");
        let error = call(address, Request::new(Method::Get, url), LIMITS).await.expect_err("nobody listens");
        assert!(error.is_unsent());
    });
}
