//! The events of a stream.

use bytes::{Bytes, BytesMut};

/// What a chunk of a stream gave.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct SplitChunk {
    /// Whole events, to be passed on.
    pub complete: Bytes,
    /// How many there are.
    pub events: u32,
}

/// Cuts a stream into whole events and remembers the id of the last one.
///
/// An event ends with an empty line. Its id, where it has one, stands in a line `id: N`; ids rise.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes a chunk in and gives the events that it completes, without those that were seen before.
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

    /// Forgets an event that was cut off, before the stream goes on elsewhere.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The bytes after the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// How many events end in a chunk. An end that falls between two chunks is counted with the second
/// when the first ended with a line feed.
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

/// The position after the first empty line.
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

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
