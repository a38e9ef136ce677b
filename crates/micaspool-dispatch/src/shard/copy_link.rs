//! Model of the copies of cached prompt parts between engines.
//!
//! Copies from one engine run one after another, and so do copies to one engine. A copy takes a fixed
//! time to start and the time to transfer its tokens. First events of prompts that had a source show
//! whether copies take longer or shorter than that.

use super::endpoints::EndpointIndex;
use super::status::CacheCopyStatus;
use crate::event::EngineTraits;
use micaspool_types::Moment;
use std::time::Duration;

/// The time until a copy begins to transfer, before copies have been observed. It is at the upper end of what
/// links need, since a copy that takes longer than expected delays a first event.
const START_TIME: Duration = Duration::from_millis(8);
/// How much longer a copy between two halls takes.
const OTHER_HALL_FACTOR: u32 = 2;
/// Limits of the learnt slowdown. The lower one is above zero because a copy is never free; at the upper
/// one hardly any part is worth copying.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);
/// Factor applied to older observations of copy times with each new one. The variation of prefill times
/// exceeds a copy time, so only the mean of many observations shows it.
const DECAY: f64 = 1.0 - 1.0 / 64.0;
/// The weight of the modelled copy time beside the observations, in copies.
const PRIOR_COPIES: f64 = 8.0;
/// The interval at which older observations lose weight without new ones, and the factor by which they
/// do: half in three seconds. Without this, links that were slow once would never be tried again.
const FADE_INTERVAL: Duration = Duration::from_secs(1);
const FADE: f64 = 0.8;

/// A copy of cached prompt parts that an engine makes before it prefills the rest of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlannedCopy {
    /// The engine that has the parts cached.
    pub source: EndpointIndex,
    /// The number of copied tokens.
    pub tokens: u64,
    /// The time until the copy begins, behind earlier copies from the source and to the engine.
    pub wait: Duration,
    /// The duration of the copy itself.
    pub duration: Duration,
}

impl PlannedCopy {
    /// The time from the grant to the end of the copy.
    pub fn total(&self) -> Duration {
        self.wait + self.duration
    }
}

/// When the copies that an engine sends and receives are expected to have ended.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CopyQueues {
    pub sent_by: Moment,
    pub received_by: Moment,
}

/// Counters of copies since the shard started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct CopyCounters {
    /// Grants that named a source.
    pub grants: u64,
    /// The tokens that were to be copied.
    pub tokens: u64,
    /// First events that came as late as if nothing had been copied.
    pub missed: u64,
    /// Suspensions of sources after repeated misses.
    pub suspensions: u64,
}

/// The copy time of tokens between the engines of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct CopyLink {
    /// The transfer time per token in microseconds; `None` if engines copy no parts.
    per_token: Option<f64>,
    /// Decayed sums of modelled and observed copy times, in microseconds.
    expected: f64,
    observed: f64,
    faded_at: Moment,
    pub counters: CopyCounters,
}

impl CopyLink {
    /// Applies the properties of the engines.
    pub fn configure(&mut self, traits: &EngineTraits) {
        let is_known = traits.token_bytes > 0 && traits.link_bytes_per_second > 0;
        self.per_token =
            is_known.then(|| traits.token_bytes as f64 * 1e6 / traits.link_bytes_per_second as f64);
    }

    /// True if engines copy cached parts from each other.
    pub fn is_enabled(&self) -> bool {
        self.per_token.is_some()
    }

    /// The shortest time that any copy takes.
    pub fn min_duration(&self) -> Duration {
        START_TIME.mul_f64(self.slowdown())
    }

    /// The duration of a copy; `None` if engines copy no parts.
    pub fn duration(&self, tokens: u64, same_hall: bool) -> Option<Duration> {
        let transfer = Duration::from_micros((tokens as f64 * self.per_token?) as u64);
        let within_hall = (START_TIME + transfer).mul_f64(self.slowdown());
        Some(if same_hall { within_hall } else { within_hall * OTHER_HALL_FACTOR })
    }

    /// The duration of copies relative to the model.
    pub fn slowdown(&self) -> f64 {
        let prior = PRIOR_COPIES * START_TIME.as_micros() as f64;
        let (least, most) = SLOWDOWN_RANGE;
        ((prior + self.observed) / (prior + self.expected)).clamp(least, most)
    }

    /// Records a copy that was expected to take `expected` and took `micros` microseconds. A negative time, which
    /// results from prefill that was faster than expected, balances times that are too long by as much.
    pub fn observe(&mut self, expected: Duration, micros: f64) {
        // The expected time includes the slowdown, which the sums are relative to.
        let modelled = expected.as_micros() as f64 / self.slowdown();
        self.expected = self.expected * DECAY + modelled;
        self.observed = self.observed * DECAY + micros;
    }

    /// Lets observations fade with time.
    pub fn fade(&mut self, now: Moment) {
        if now.since(self.faded_at) >= FADE_INTERVAL {
            self.faded_at = now;
            self.expected *= FADE;
            self.observed *= FADE;
        }
    }

    /// The state for operators; `None` if engines copy no parts.
    pub fn status(&self) -> Option<CacheCopyStatus> {
        let CopyCounters { grants, tokens, missed, suspensions } = self.counters;
        let status = CacheCopyStatus { grants, tokens, missed, suspensions, slowdown: self.slowdown() };
        self.is_enabled().then_some(status)
    }
}
