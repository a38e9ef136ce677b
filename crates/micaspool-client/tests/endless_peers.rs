//! Peers that answer a call with bytes without end.

use async_std::task;
use micaspool_client::KeeperClient;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::v1::PublishRequest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;
use test_case::test_matrix;

/// The time limit of a call, and how much later it may end.
const CALL_TIME: Duration = Duration::from_secs(1);
const MARGIN: Duration = Duration::from_secs(2);
/// The blocks after which a fast peer becomes a slow one, so that a test takes a bounded load.
const MAX_FAST_BLOCKS: usize = 4 * 1024;
/// The bytes that are sent at once.
const BLOCK: usize = 16 * 1024;
/// The time between two bytes that come slowly.
const PAUSE: Duration = Duration::from_millis(50);

/// Frames of HTTP/2: empty settings, a ping, and a part of the headers of the first stream that is not the last one.
const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
const PING: &[u8] = &[0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8];
const CONTINUATION: &[u8] = &[0, 0, 1, 9, 0, 0, 0, 0, 1, 0x88];

/// What a peer sends once, and what it sends again and again after it.
type PeerBytes = (&'static [u8], &'static [u8]);

const GARBAGE: PeerBytes = (b"", b"garbage");
const HTTP1_HEAD: PeerBytes = (b"HTTP/1.1 200 ", b"a");
const MANY_SETTINGS: PeerBytes = (b"", SETTINGS);
const PINGS: PeerBytes = (SETTINGS, PING);
const CONTINUATIONS: PeerBytes = (SETTINGS, CONTINUATION);

fn start_peer(first: &'static [u8], again: &'static [u8], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let _ = stream.write_all(first);
                let block = if pause.is_zero() { again.repeat(BLOCK / again.len()) } else { again.to_vec() };
                let mut blocks = 0;
                while stream.write_all(&block).is_ok() {
                    blocks += 1;
                    std::thread::sleep(if blocks > MAX_FAST_BLOCKS { PAUSE } else { pause });
                }
            });
        }
    });
    address
}

#[test_matrix([GARBAGE, HTTP1_HEAD, MANY_SETTINGS, PINGS, CONTINUATIONS], [Duration::ZERO, PAUSE])]
fn a_call_to_a_peer_without_end_ends_in_time(
    (first, again): (&'static [u8], &'static [u8]),
    pause: Duration,
) {
    let name = InstanceName::parse("keeper-1").expect("a name");
    let peer = PeerAddress { name, address: start_peer(first, again, pause) };
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let client = KeeperClient::new(vec![peer], TrafficCounter::default());
        let request = PublishRequest { number: 1, document: String::new() };
        let called = task::block_on(client.publish(request, CALL_TIME));
        sender.send(called.is_err())
    });
    assert_eq!(receiver.recv_timeout(CALL_TIME + MARGIN), Ok(true));
}
