//! Endpoints whose reports are bytes without end.

use async_std::task;
use micaspool_dispatcher::{
    EndpointProbe, HttpEndpointProbe, HttpInstanceList, InstanceList, ProbedEndpoint,
};
use micaspool_types::{EndpointName, ServiceName};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;
use test_case::test_case;

/// How long a report may take.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// The bytes that are sent at once.
const BLOCK: usize = 16 * 1024;
/// The blocks after which a fast endpoint becomes a slow one, so that a test takes a bounded load.
const MAX_FAST_BLOCKS: usize = 4 * 1024;
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
                let block = if pause.is_zero() { again.repeat(BLOCK) } else { again.to_owned() };
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

/// Runs a call on a thread of its own, since one that never pends would hold up the test; `None` if it takes too long.
fn run_within<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || sender.send(run()));
    receiver.recv_timeout(REPORT_TIME).ok()
}

/// Guards against a report that holds up its reader because it goes on and on.
#[test_case("HTTP/1.1 200 ", "a", Duration::ZERO; "a fast head")]
#[test_case("HTTP/1.1 200 ", "a", PAUSE; "a slow head")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0", Duration::ZERO; "a fast chunk size")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 60000\r\n\r\n{", " ", PAUSE; "a slow body")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\n{\r\n", PAUSE; "slow chunks")]
fn a_report_without_end_is_none(first: &'static str, again: &'static str, pause: Duration) {
    let address = start_endpoint(first, again, pause);
    let endpoint = ProbedEndpoint {
        name: EndpointName::parse("e-1").expect("a name"),
        service: ServiceName::parse("plain").expect("a name"),
        address,
        start: None,
    };
    let load = run_within(move || task::block_on(HttpEndpointProbe::default().load(&endpoint)));
    assert_eq!(load, Some(None));
    let list = run_within(move || task::block_on(HttpInstanceList::new(address).leaving()));
    assert_eq!(list, Some(None));
}
