//! Event streams are split into complete events, regardless of chunk boundaries.

use micaspool_gateway::EventSplitter;
use test_case::test_case;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\nda";

#[test_case(1; "byte by byte")]
#[test_case(2; "two bytes")]
#[test_case(7; "seven bytes")]
#[test_case(1_000; "single chunk")]
fn passes_on_complete_events_and_keeps_the_rest(size: usize) {
    let mut splitter = EventSplitter::default();
    let mut complete = Vec::new();
    let mut events = 0;
    for chunk in STREAM.as_bytes().chunks(size) {
        let split = splitter.push(chunk);
        complete.extend_from_slice(&split.complete);
        events += split.events;
    }
    assert_eq!(events, 3);
    assert_eq!(splitter.last_id(), Some(3));
    assert_eq!(
        String::from_utf8(complete).expect("the events are UTF-8"),
        &STREAM[..STREAM.len() - "id: 4\nda".len()]
    );
    assert_eq!(&splitter.take_partial()[..], b"id: 4\nda");
}

#[test]
fn skips_events_seen_before_the_stream_broke() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    splitter.discard_partial();
    let split = splitter.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assert_eq!((&split.complete[..], split.events), (&b"id: 3\ndata: c\n\n"[..], 1));
}

/// Guards against an event without end that fills the memory of the process.
#[test]
fn an_event_without_end_is_not_held() {
    const CHUNK: usize = 64 * 1024;
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: ");
    for _ in 0..256 {
        splitter.push(&[b'x'; CHUNK]);
    }
    let held = splitter.take_partial().len();
    assert!(held <= 1024 * 1024, "{held} bytes are held");
}
