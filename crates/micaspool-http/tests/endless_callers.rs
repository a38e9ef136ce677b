//! Callers that send a request with bytes without end.

use async_std::task;
use micaspool_http::status::{serve_status, StatusSource};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

/// More callers than threads that serve them.
const CALLERS: usize = 24;
/// How long the callers send before another one asks.
const BEFORE: Duration = Duration::from_millis(500);
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// The bytes that are sent at once.
const BLOCK: usize = 16 * 1024;

struct ReadyStatus;

impl StatusSource for ReadyStatus {
    fn is_ready(&self) -> bool {
        true
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn state(&self) -> String {
        "{}".to_owned()
    }
}

fn ask(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("the port listens");
    stream.set_read_timeout(Some(ANSWER_TIME)).expect("a valid timeout");
    stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").expect("sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against a decoder that reads on and on without letting other connections be served.
#[test_case("0"; "chunk size")]
#[test_case(" "; "spaces")]
#[test_case("x"; "no chunk size")]
fn callers_of_bytes_without_end_hold_up_no_others(again: &str) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = task::block_on(serve_status(address, Arc::new(ReadyStatus))).expect("a free port");
    let stopped = Arc::new(AtomicBool::new(false));
    for _ in 0..CALLERS {
        let (block, stopped) = (again.repeat(BLOCK), stopped.clone());
        std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("the port listens");
            stream.set_write_timeout(Some(Duration::from_millis(100))).expect("a valid timeout");
            let head = "POST /readyz HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            while !stopped.load(Ordering::SeqCst) {
                match stream.write(block.as_bytes()) {
                    Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                    _ => {}
                }
            }
        });
    }
    std::thread::sleep(BEFORE);
    let asked_at = Instant::now();
    let answer = ask(address);
    stopped.store(true, Ordering::SeqCst);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?} after {:?}", asked_at.elapsed());
}
