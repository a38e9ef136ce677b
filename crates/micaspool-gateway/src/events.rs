//! Splitting of event streams into events.

use bytes::{Bytes, BytesMut};

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
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that it completes, except those whose id was seen before.
    pub fn push(&mut self, chunk: &[u8]) -> SplitChunk {
        self.partial.extend_from_slice(chunk);
        let mut complete = BytesMut::new();
        let mut events = 0;
        while let Some(end) = find_event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            events += 1;
            complete.extend_from_slice(&event);
        }
        SplitChunk { complete: complete.freeze(), events }
    }

    /// Discards an incomplete event before the stream is resumed at another endpoint.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
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

/// Counts the events that end in a chunk. `after_newline` carries over whether the previous chunk ended with a line
/// feed, so an event end that is split between two chunks is counted with the second.
pub(crate) fn count_event_ends(after_newline: &mut bool, chunk: &[u8]) -> u32 {
    let mut ends = 0;
    for byte in chunk {
        match byte {
            b'\n' if *after_newline => {
                ends += 1;
                *after_newline = false;
            }
            b'\n' => *after_newline = true,
            b'\r' => {}
            _ => *after_newline = false,
        }
    }
    ends
}

/// Returns the position after the first empty line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut after_newline = false;
    for (index, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if after_newline => return Some(index + 1),
            b'\n' => after_newline = true,
            b'\r' => {}
            _ => after_newline = false,
        }
    }
    None
}

/// Returns the id of an event, if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
