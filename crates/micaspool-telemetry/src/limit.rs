//! Bounds how many lines of a kind are written.

use micaspool_clock::BootInstant;
use std::sync::Mutex;
use std::time::Duration;

/// For how long lines are counted together.
const SPAN: Duration = Duration::from_secs(1);

/// Bounds the lines of one kind in a second, and counts those that are left out.
#[derive(Debug)]
pub struct LineLimit {
    most: u32,
    span: Mutex<LineSpan>,
}

#[derive(Debug)]
struct LineSpan {
    since: BootInstant,
    written: u32,
    left_out: u64,
}

impl LineLimit {
    /// A limit of so many lines a second.
    pub fn new(most: u32) -> LineLimit {
        LineLimit { most, span: Mutex::new(LineSpan { since: BootInstant::now(), written: 0, left_out: 0 }) }
    }

    /// The turn of a line: how many were left out since the last one that was written, if it may be written.
    pub fn admit(&self) -> Option<u64> {
        let mut span = self.span.lock().expect("nobody panics while counting lines");
        if span.since.elapsed() >= SPAN {
            span.since = BootInstant::now();
            span.written = 0;
        }
        if span.written >= self.most {
            span.left_out += 1;
            return None;
        }
        span.written += 1;
        Some(std::mem::take(&mut span.left_out))
    }
}
