//! How much of its time an engine has spent on prefill, and what a stream shows of the rest.

use crate::prefill::{CLIP_FACTOR, CLIP_MICROS};
use micaspool_types::Moment;
use std::time::Duration;

/// Prefill done by an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWork {
    /// Time in microseconds.
    pub micros: f64,
    /// Prompt tokens.
    pub tokens: f64,
}

impl PrefillWork {
    /// The work since an earlier total.
    fn since(self, earlier: PrefillWork) -> PrefillWork {
        PrefillWork {
            micros: (self.micros - earlier.micros).max(0.0),
            tokens: (self.tokens - earlier.tokens).max(0.0),
        }
    }
}

/// The total prefill that an engine has done for completed prompts.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillClock {
    done: PrefillWork,
}

impl PrefillClock {
    /// Adds completed prompts that took this long, where `expected` is their usual time. Time beyond the
    /// limit of an observation isn't counted: the first event of a paused router comes late.
    pub fn complete(&mut self, tokens: u64, took: Duration, expected: Duration) {
        let most = expected.as_secs_f64() * 1e6 * CLIP_FACTOR + CLIP_MICROS;
        self.done.micros += (took.as_secs_f64() * 1e6).min(most);
        self.done.tokens += tokens as f64;
    }

    /// The total including the part of the pending prompts that is done: `passed` is the time since the
    /// oldest of them began, `pending` the time that all of them need.
    pub fn total(&self, passed: Duration, pending: Duration, pending_tokens: u64) -> PrefillWork {
        let pending_micros = pending.as_secs_f64() * 1e6;
        let micros = (passed.as_secs_f64() * 1e6).min(pending_micros);
        let part = if pending_micros > 0.0 { micros / pending_micros } else { 0.0 };
        PrefillWork {
            micros: self.done.micros + micros,
            tokens: self.done.tokens + pending_tokens as f64 * part,
        }
    }
}

/// The state of a stream at its latest progress report.
#[derive(Debug, Clone, Copy)]
pub struct StreamMark {
    at: Moment,
    /// Output tokens delivered so far.
    tokens: u64,
    /// The prefill that the engine had done by then.
    prefill: PrefillWork,
}

/// What a stream shows between two progress reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamSpan {
    /// Output tokens.
    pub tokens: u64,
    /// Length of the span.
    pub took: Duration,
    /// Prefill that the engine did meanwhile.
    pub prefill: PrefillWork,
}

impl StreamMark {
    /// Records a progress report.
    pub fn new(at: Moment, tokens: u64, prefill: PrefillWork) -> StreamMark {
        StreamMark { at, tokens, prefill }
    }

    /// The output tokens delivered so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Moves the mark to a newer report and returns the span between the two; `None` without new tokens,
    /// where the mark stays.
    pub fn advance(&mut self, newer: StreamMark) -> Option<StreamSpan> {
        let tokens = newer.tokens.checked_sub(self.tokens).filter(|tokens| *tokens > 0)?;
        let span =
            StreamSpan { tokens, took: newer.at.since(self.at), prefill: newer.prefill.since(self.prefill) };
        *self = newer;
        Some(span)
    }
}
