//! Endpoints that answer the requests of a router with a spoilt head.

mod harness;

use async_std::future::timeout;
use async_std::task;
use harness::calls::Call;
use harness::{milk, Deployment};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use test_case::test_case;

const TOKEN_TIME: Duration = Duration::from_millis(1);
/// How long a call may take, with three attempts.
const CALL_TIME: Duration = Duration::from_secs(6);
/// The time between an answer and the end of its connection, so that the reader has taken it.
const PAUSE: Duration = Duration::from_millis(2);

/// Starts an endpoint that gives each request the same answer and closes its connection.
fn start_endpoint(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let _ = stream.write_all(answer.as_bytes());
                std::thread::sleep(PAUSE);
            });
        }
    });
    address
}

/// Guards against a caller that gets an empty body for one whose coding is spoilt, or an answer with another spoilt head.
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\n2\r\nok\r\n0\r\n\r\n"; "a coding cut short")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"; "two codings")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok"; "a length with a sign")]
#[test_case("HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok"; "status zero")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nno field\r\n\r\nok"; "a line that is no field")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx y: 1\r\n\r\nok"; "a name with a blank")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx\u{1}: 1\r\n\r\nok"; "a name with a control byte")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: \u{e9}\r\n\r\nok"; "a value that is not ASCII")]
fn an_answer_with_a_spoilt_head_reaches_no_caller(answer: &'static str) {
    let address = start_endpoint(answer);
    task::block_on(async {
        let mut deployment = Deployment::prepare(milk(), TOKEN_TIME).await;
        deployment.set_endpoints("app-rutas", address);
        deployment.start_daemons().await;
        let call = Call::plain(deployment.router(0), "coop-01", "/rutas/recogidas", "x");
        let got = timeout(CALL_TIME, call.send()).await.expect("the call ends").expect("an answer");
        assert!(matches!(got.status, 502..=504), "{got:?}");
        assert_ne!(got.run.as_deref(), Some("not-run"), "{got:?}");
    });
}
