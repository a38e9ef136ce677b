//! Whether an event stream stands inside an event, at each byte.

use micaspool_gateway::EventScanner;
use test_case::test_case;

#[test_case("", 0, false; "nothing")]
#[test_case("id: 1\ndata: a\n\n", 1, false; "a whole event")]
#[test_case("id: 1\r\ndata: a\r\n\r\n", 1, false; "a whole event with returns")]
#[test_case("id: 1\rdata: a\r\r", 1, false; "a whole event with returns alone")]
#[test_case("id: 1\r\ndata: a\r\n\r", 1, false; "a whole event without its last line feed")]
#[test_case("id: 1\ndata: a\n", 0, true; "an event without its empty line")]
#[test_case("id: 1\nda", 0, true; "an event without the end of a line")]
#[test_case("id: 1\ndata: a\n\nid: 2", 1, true; "inside the line of an id")]
#[test_case("i", 0, true; "one byte")]
#[test_case("id: 1\ndata: a\n\n\n\n", 1, false; "empty lines after an event")]
#[test_case(": waiting\n\n", 0, false; "a comment")]
#[test_case("id: 1\ndata: a\n\n: waiting\n", 1, false; "a comment after an event")]
#[test_case("id: 1\ndata: a\n\n: wai", 1, true; "a cut comment")]
#[test_case("versions: 3\nid: 1\ndata: a\n\n", 1, false; "an event with a line of another name")]
#[test_case("versions: 3\n", 0, true; "a line of another name alone")]
fn scans(stream: &str, events: u64, is_inside_event: bool) {
    for size in [1, 2, 5, 1_000] {
        let mut scanner = EventScanner::default();
        for chunk in stream.as_bytes().chunks(size) {
            scanner.observe(chunk);
        }
        assert_eq!(
            (scanner.ended_events(), scanner.is_inside_event()),
            (events, is_inside_event),
            "chunks of {size}"
        );
    }
}
