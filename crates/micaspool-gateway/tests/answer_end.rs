//! When an answer that ended without an error is whole.

use http::{response, Response};
use micaspool_gateway::{check_stream_end, is_event_stream, EventScanner, EventSplitter, StreamCut};
use micaspool_http::framing::BodyFraming;
use micaspool_routes::RunRule;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use test_case::test_case;

/// The number of random streams.
const STREAMS: u64 = 300;
/// The most blocks in a random stream.
const MAX_BLOCKS: u32 = 6;

/// A random stream, and the positions at which it is whole.
struct RandomStream {
    text: String,
    whole_at: Vec<usize>,
}

impl RandomStream {
    fn new(random: &mut StdRng) -> RandomStream {
        let line_end = *["\n", "\r\n", "\r"].choose(random).expect("not empty");
        let mut stream = RandomStream { text: String::new(), whole_at: vec![0] };
        for number in 1..=random.random_range(1..=MAX_BLOCKS) {
            let is_comment = random.random_bool(0.2);
            let lines = match is_comment {
                true => vec![": waiting".to_owned()],
                false => vec![format!("id: {number}"), format!("data: ev:ent {number}")],
            };
            for line in &lines {
                stream.push_line(line, line_end, is_comment);
            }
            stream.push_line("", line_end, true);
        }
        stream
    }

    fn push_line(&mut self, line: &str, line_end: &str, is_whole_after: bool) {
        self.text += line;
        for character in line_end.chars() {
            self.text.push(character);
            self.whole_at.extend(is_whole_after.then_some(self.text.len()));
        }
    }
}

/// Guards against a stream that was cut anywhere and held for whole.
#[test]
fn a_stream_is_whole_at_the_ends_of_its_events_only() {
    for seed in 0..STREAMS {
        let mut random = StdRng::seed_from_u64(seed);
        let stream = RandomStream::new(&mut random);
        let mut scanner = EventScanner::default();
        for (position, byte) in stream.text.bytes().enumerate() {
            scanner.observe(&[byte]);
            let end = check_stream_end(BodyFraming::Chunks, &scanner, false);
            let is_whole = stream.whole_at.contains(&(position + 1));
            assert_eq!(end.is_ok(), is_whole, "seed {seed}: {:?}", &stream.text[..=position]);
        }
    }
}

#[test]
fn a_splitter_passes_every_byte_of_a_whole_stream_on() {
    for seed in 0..STREAMS {
        let mut random = StdRng::seed_from_u64(seed);
        let stream = RandomStream::new(&mut random);
        let (mut splitter, mut passed) = (EventSplitter::default(), Vec::new());
        let mut rest = stream.text.as_bytes();
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(random.random_range(1..=rest.len()));
            passed.extend_from_slice(&splitter.push(chunk).complete);
            rest = after;
        }
        assert_eq!(String::from_utf8(passed).expect("text"), stream.text, "seed {seed}");
    }
}

#[test_case(BodyFraming::Connection, "", false, Err(StreamCut::BeforeEvents); "no event and no framing")]
#[test_case(BodyFraming::Connection, ": waiting\n\n", false, Err(StreamCut::BeforeEvents); "a comment alone and no framing")]
#[test_case(BodyFraming::Connection, "", true, Ok(()); "nothing left of a stream that is continued")]
#[test_case(BodyFraming::Chunks, "", false, Ok(()); "no event in chunks")]
#[test_case(BodyFraming::Length, "data: a\n", true, Err(StreamCut::InsideEvent); "a length that ends inside an event")]
fn a_stream_without_events(framing: BodyFraming, body: &str, continues: bool, end: Result<(), StreamCut>) {
    let mut scanner = EventScanner::default();
    scanner.observe(body.as_bytes());
    assert_eq!(check_stream_end(framing, &scanner, continues), end);
}

fn head(status: u16, content_type: Option<&str>) -> response::Parts {
    let mut response = Response::builder().status(status);
    if let Some(content_type) = content_type {
        response = response.header("content-type", content_type);
    }
    response.body(()).expect("valid").into_parts().0
}

#[test_case(RunRule::Stream, 200, None, true; "a stream route")]
#[test_case(RunRule::ResumableStream, 200, Some("text/event-stream; charset=utf-8"), true; "by both")]
#[test_case(RunRule::Once, 200, Some("Text/Event-Stream"), true; "by content type")]
#[test_case(RunRule::Stream, 200, Some("application/json"), false; "another content type")]
#[test_case(RunRule::Stream, 500, None, false; "a failure")]
#[test_case(RunRule::Repeatable, 200, None, false; "a plain route")]
fn what_is_a_stream(run: RunRule, status: u16, content_type: Option<&str>, is_stream: bool) {
    assert_eq!(is_event_stream(run, &head(status, content_type)), is_stream);
}
