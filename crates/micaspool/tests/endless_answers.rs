//! Endpoints that answer the requests of a router with bytes without end.

mod harness;

use async_std::future::timeout;
use async_std::task;
use harness::calls::Call;
use harness::{milk, Deployment};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use test_case::test_case;

const TOKEN_TIME: Duration = Duration::from_millis(1);
/// How long an endpoint may be silent.
const SILENCE_MILLIS: u64 = 500;
/// How long a call may take, with three attempts.
const CALL_TIME: Duration = Duration::from_secs(6);
/// The blocks after which a fast endpoint becomes a slow one, so that a test takes a bounded load.
const MAX_FAST_BLOCKS: usize = 4 * 1024;
/// The bytes that are sent at once.
const BLOCK: usize = 16 * 1024;
/// The time between two bytes that come slowly.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts an endpoint that sends `first` once and `again` until its connection ends.
fn start_endpoint(first: &'static str, again: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let _ = stream.write_all(first.as_bytes());
                let block =
                    if pause.is_zero() { again.repeat(BLOCK / again.len()) } else { again.to_owned() };
                let mut blocks = 0;
                while stream.write_all(block.as_bytes()).is_ok() {
                    blocks += 1;
                    std::thread::sleep(if blocks > MAX_FAST_BLOCKS { PAUSE } else { pause });
                }
            });
        }
    });
    address
}

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 60000\r\n\r\n";
const CHUNKED_REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against a call that has no end because its endpoint's answer has none.
#[test_case("", "no status line ", Duration::ZERO; "a fast head")]
#[test_case("HTTP/1.1 200 ", "a", PAUSE; "a slow head")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\n\r\n", Duration::ZERO; "interim answers")]
#[test_case(REFUSAL, "x", PAUSE; "a slow refusal")]
#[test_case(CHUNKED_REFUSAL, "0", Duration::ZERO; "the chunk size of a refusal")]
fn a_call_whose_answer_has_no_end_is_refused(first: &'static str, again: &'static str, pause: Duration) {
    let address = start_endpoint(first, again, pause);
    task::block_on(async {
        let mut tree = milk();
        tree["services"]["app-rutas"]["policy"]["silence_limit_ms"] = json!(SILENCE_MILLIS);
        let mut deployment = Deployment::prepare(tree, TOKEN_TIME).await;
        deployment.set_endpoints("app-rutas", address);
        deployment.start_daemons().await;
        let call = Call::plain(deployment.router(0), "coop-01", "/rutas/recogidas", "x");
        let answer = timeout(CALL_TIME, call.send()).await.expect("the call ends").expect("an answer");
        assert!(matches!(answer.status, 502..=504), "{answer:?}");
        assert_ne!(answer.run.as_deref(), Some("not-run"), "{answer:?}");
    });
}
