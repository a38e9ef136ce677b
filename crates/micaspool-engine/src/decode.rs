//! Learns how long an engine needs for a decode step from the progress of its streams.
//!
//! A step generates one token for each running request. While the engine prefills, the streams get one
//! token per chunk, and that step is part of the learnt prefill time. Both the time and the tokens of
//! prefill are therefore subtracted from a span between two progress reports of a stream; what remains
//! are pure steps.

use crate::load::StreamSpan;
use std::time::Duration;

/// Prompt tokens that an engine prefills between two decode steps.
pub(crate) const CHUNK_TOKENS: f64 = 2_048.0;
/// Factor applied to older observations with each new one: the last 32 dominate. The prefill time within a
/// single span is not known well enough for fewer.
const DECAY: f64 = 1.0 - 1.0 / 32.0;
/// The same factor once a change of speed was detected.
const FAST_DECAY: f64 = 0.7;
/// The same factor for the sums that detect a change of speed.
const RECENT_DECAY: f64 = 0.8;
/// The speed has changed if the most recent spans took longer or shorter than expected by this factor. The
/// prefill time within a single span is known only to about one prompt.
const CHANGE_FACTOR: f64 = 1.6;
/// Upper limit of one span, as a multiple of the expected time. A paused process reports late.
const CLIP_FACTOR: f64 = 4.0;
/// Added to that limit, in microseconds: one long prompt that this shard does not know of.
const CLIP_MICROS: f64 = 200_000.0;
/// The sums must contain this many pure steps for a step time to follow from them. While an engine
/// prefills without a break, its streams show nothing of its pure steps.
const MIN_STEPS: f64 = 16.0;
/// Limits of the time per step in microseconds. The lower one keeps an engine with wrongly assumed prefill
/// from appearing infinitely fast.
const PER_STEP_RANGE: (f64, f64) = (200.0, 500_000.0);
/// After this many observations, the step time of an engine serves as the initial one of others.
const SETTLED_OBSERVATIONS: u64 = 8;

/// The learnt time of a decode step of an engine.
#[derive(Debug, Clone, Default)]
pub struct DecodeRate {
    /// Microseconds per step; `None` before the first observation and without an assumption.
    per_step: Option<f64>,
    /// Decayed sums of pure steps, and of their time in microseconds.
    steps: f64,
    micros: f64,
    /// Decayed sums of the expected and observed time of the most recent spans, in microseconds.
    recent_expected: f64,
    recent_micros: f64,
    observations: u64,
}

impl DecodeRate {
    /// Replaces the initial step time in microseconds, unless there are observations already.
    pub fn assume(&mut self, per_step: Option<f64>) {
        if self.observations == 0 {
            self.per_step = per_step;
        }
    }

    /// Microseconds per step; `None` while nothing is known.
    pub fn per_step(&self) -> Option<f64> {
        self.per_step
    }

    /// The step time once there are enough observations for others to start from it.
    pub fn settled_per_step(&self) -> Option<f64> {
        self.per_step.filter(|_| self.observations >= SETTLED_OBSERVATIONS)
    }

    /// The number of observations.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// Records the span between two progress reports of a stream. Spans that are mostly prefill say little
    /// of decode steps and weigh accordingly.
    pub fn observe(&mut self, span: &StreamSpan) {
        let chunks = span.prefill.tokens / CHUNK_TOKENS;
        let steps = span.tokens as f64 - chunks;
        let micros = span.took.as_secs_f64() * 1e6 - span.prefill.micros;
        let micros = match self.per_step {
            Some(per_step) => micros.min(span.tokens as f64 * per_step * CLIP_FACTOR + CLIP_MICROS),
            None => micros,
        };
        let factor = if self.has_changed(steps, micros) { FAST_DECAY } else { DECAY };
        self.steps = (self.steps * factor + steps).max(0.0);
        self.micros = (self.micros * factor + micros).max(0.0);
        if self.steps < MIN_STEPS {
            return;
        }
        let (least, most) = PER_STEP_RANGE;
        self.per_step = Some((self.micros / self.steps).clamp(least, most));
        self.observations += 1;
    }

    /// Compares the most recent spans with the expected times; true if the speed has changed.
    fn has_changed(&mut self, steps: f64, micros: f64) -> bool {
        let Some(per_step) = self.per_step else { return false };
        self.recent_expected = (self.recent_expected * RECENT_DECAY + steps * per_step).max(0.0);
        self.recent_micros = (self.recent_micros * RECENT_DECAY + micros).max(0.0);
        if self.recent_expected < MIN_STEPS * per_step {
            return false;
        }
        let ratio = self.recent_micros / self.recent_expected;
        !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&ratio)
    }

    /// The time in which a stream gets this many tokens while the engine prefills nothing; zero while
    /// nothing is known.
    pub fn decode_time(&self, tokens: f64) -> Duration {
        Duration::from_micros((tokens * self.per_step.unwrap_or_default()) as u64)
    }
}
