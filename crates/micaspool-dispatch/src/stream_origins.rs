//! Remembers which software version began each stream, for as long as its caller may take it up.
//!
//! The router that relays a stream and the shard that granted it remember the same, so that either may be lost. A router
//! tells a new shard what it remembers when it joins.

use micaspool_types::{Moment, SoftwareVersion, StreamKey, StreamOrigin};
use std::collections::{BTreeSet, HashMap};

/// The most streams that are remembered; 3,400 a second for 15 s are half of that. Beyond it those are forgotten whose
/// callers give up first.
const MAX_STREAMS: usize = 100_000;

/// The versions that began streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<StreamKey, KnownOrigin>,
    by_end: BTreeSet<(Moment, StreamKey)>,
}

#[derive(Debug)]
struct KnownOrigin {
    version: SoftwareVersion,
    /// When the caller has given up.
    until: Moment,
}

impl StreamOrigins {
    /// Records which version began a stream. What is known of a stream stays: its first event has one writer.
    pub fn record(&mut self, now: Moment, origin: &StreamOrigin) {
        let until = now + origin.keep;
        if self.known.contains_key(&origin.stream) {
            return;
        }
        self.known.insert(origin.stream, KnownOrigin { version: origin.version.clone(), until });
        self.by_end.insert((until, origin.stream));
        if self.known.len() > MAX_STREAMS {
            self.forget_first();
        }
    }

    /// Returns the version that began a stream, if it is known.
    pub fn version_of(&self, stream: StreamKey) -> Option<&SoftwareVersion> {
        self.known.get(&stream).map(|origin| &origin.version)
    }

    /// Forgets the streams whose callers have given up.
    pub fn expire(&mut self, now: Moment) {
        while self.by_end.first().is_some_and(|(until, _)| *until <= now) {
            self.forget_first();
        }
    }

    /// Returns what is remembered.
    pub fn list(&self, now: Moment) -> Vec<StreamOrigin> {
        let origin = |(stream, known): (&StreamKey, &KnownOrigin)| StreamOrigin {
            stream: *stream,
            version: known.version.clone(),
            keep: known.until.since(now),
        };
        self.known.iter().map(origin).collect()
    }

    fn forget_first(&mut self) {
        if let Some((_, stream)) = self.by_end.pop_first() {
            self.known.remove(&stream);
        }
    }
}
