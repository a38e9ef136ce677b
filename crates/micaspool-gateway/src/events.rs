//! Splitting of event streams into events.

use bytes::{Bytes, BytesMut};

/// The longest event that is held back until it is complete, in bytes.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// The events that a chunk of a stream completed.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct SplitChunk {
    /// The bytes of the complete events, to be passed on.
    pub complete: Bytes,
    /// The number of complete events.
    pub events: u32,
}

/// Splits a stream into complete events and remembers the id of the last one.
///
/// An event ends with an empty line. Its id, if any, is given by a line `id: N`; ids are increasing.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    partial: BytesMut,
    last_id: Option<u64>,
    is_overlong: bool,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that it completes, except those whose id was seen before.
    pub fn push(&mut self, chunk: &[u8]) -> SplitChunk {
        let mut split = SplitCollector::default();
        let mut start = 0;
        for (index, byte) in chunk.iter().enumerate() {
            let events_before = self.scanner.ended_events();
            let ends_line = self.scanner.step(*byte);
            if !ends_line || self.scanner.is_inside_event() {
                continue;
            }
            self.partial.extend_from_slice(&chunk[start..=index]);
            start = index + 1;
            let is_event = self.scanner.ended_events() > events_before;
            self.pass_on_partial(is_event, &mut split);
        }
        self.hold(&chunk[start..]);
        SplitChunk { complete: split.complete.freeze(), events: split.events }
    }

    /// Holds bytes of an incomplete event back, unless it is too long.
    fn hold(&mut self, bytes: &[u8]) {
        self.is_overlong |= self.partial.len() + bytes.len() > MAX_HELD_BYTES;
        if self.is_overlong {
            self.partial = BytesMut::new();
        } else {
            self.partial.extend_from_slice(bytes);
        }
    }

    /// Returns true if an event is too long to be held back. Its bytes are lost, so that the stream can't go on.
    pub fn is_overlong(&self) -> bool {
        self.is_overlong
    }

    /// Moves the held bytes to those that are passed on, unless they are an event whose id was seen before.
    fn pass_on_partial(&mut self, is_event: bool, split: &mut SplitCollector) {
        let bytes = self.partial.split();
        if is_event {
            let id = event_id(&bytes);
            if id.is_some() && id <= self.last_id {
                return;
            }
            self.last_id = id.or(self.last_id);
            split.events += 1;
        }
        split.complete.extend_from_slice(&bytes);
    }

    /// Discards an incomplete event before the stream is resumed at another endpoint.
    pub fn discard_partial(&mut self) {
        self.scanner.restart();
        self.partial.clear();
        self.is_overlong = false;
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// What a splitter passes on of one chunk.
#[derive(Debug, Default)]
struct SplitCollector {
    complete: BytesMut,
    events: u32,
}

/// Follows an event stream byte by byte and knows whether it stands inside an event.
///
/// A line ends with a line feed, a carriage return or both. Lines other than comments belong to an event, which an empty
/// line ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: LineState,
    /// True after a line that belongs to an event which has not ended.
    has_fields: bool,
    /// True after a carriage return: a line feed that follows belongs to the same line end.
    after_return: bool,
    ended_events: u64,
}

/// The part of a line that a scanner has seen.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum LineState {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Follows the stream over a chunk.
    pub fn observe(&mut self, chunk: &[u8]) {
        for byte in chunk {
            self.step(*byte);
        }
    }

    /// Prepares for another stream that continues this one: an event that has not ended is forgotten.
    pub fn restart(&mut self) {
        *self = EventScanner { ended_events: self.ended_events, ..EventScanner::default() };
    }

    /// Returns the number of events that have ended.
    pub fn ended_events(&self) -> u64 {
        self.ended_events
    }

    /// Returns true if the stream has begun an event or a line and not ended it.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line != LineState::Empty
    }

    /// Follows the stream over one byte. Returns true if the byte belongs to the end of a line.
    fn step(&mut self, byte: u8) -> bool {
        let is_second_half = byte == b'\n' && self.after_return;
        self.after_return = byte == b'\r';
        match byte {
            b'\n' if is_second_half => {}
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == LineState::Empty => self.line = LineState::Comment,
            _ if self.line == LineState::Empty => self.line = LineState::Field,
            _ => {}
        }
        matches!(byte, b'\n' | b'\r')
    }

    fn end_line(&mut self) {
        match self.line {
            LineState::Empty => {
                self.ended_events += u64::from(self.has_fields);
                self.has_fields = false;
            }
            LineState::Comment => {}
            LineState::Field => self.has_fields = true,
        }
        self.line = LineState::Empty;
    }
}

/// Returns the id of an event, if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
