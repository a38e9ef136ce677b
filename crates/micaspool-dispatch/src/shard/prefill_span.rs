//! Prefill between two first events whose prompts are all known.
//!
//! First events are not reported in the order in which they came. The time between two of them may include the prefill of
//! prompts whose first events are reported later. Such events are therefore learnt from together.

use super::engine::PrefillObservation;

/// After this many first events a span ends although earlier prompts are still unreported. Their tokens then count in the
/// next span, and the error is a small part of both.
const MAX_EVENTS: u32 = 8;

/// The first events since the last one that was learnt from.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PrefillSpan {
    sum: Option<PrefillObservation>,
    events: u32,
}

impl PrefillSpan {
    /// Adds a first event. Returns the span if it ends with it: with `is_complete`, no earlier prompt is unreported.
    pub fn add(&mut self, event: PrefillObservation, is_complete: bool) -> Option<PrefillObservation> {
        let sum = match self.sum {
            Some(sum) => PrefillObservation {
                tokens: sum.tokens + event.tokens,
                took: sum.took + event.took,
                idle: sum.idle,
            },
            None => event,
        };
        self.events += 1;
        if is_complete || self.events >= MAX_EVENTS {
            *self = PrefillSpan::default();
            return Some(sum);
        }
        self.sum = Some(sum);
        None
    }
}
