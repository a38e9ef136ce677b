//! How fast an engine reads prompts, learnt from when their first events come.
//!
//! Every prompt that begins is one observation. The time from its grant to its first event is a fixed
//! latency plus the reading of its tokens; while the engine was still reading the prompt before, the time
//! between the two first events is the reading alone. Both kinds go into one weighted least squares fit of
//! two unknowns: the mean latency, and the time that a token takes. Older observations fade, and fade at
//! once when the newest few say that the engine has become faster or slower.
//!
//! The fit only tells the latencies: of what the reading leaves, the lower quartile is what a prompt needs
//! without a queue. All time above it counts as reading, so the pace that is used falls while an engine is
//! behind, for whatever reason.
//!
//! The time a token includes what runs beside: an engine makes a token of each running request between two
//! pieces of a prompt.

use micaspool_types::Moment;
use std::time::Duration;

/// The latency that is assumed before any was observed. It is learnt from the first prompts on.
const INITIAL_LATENCY: Duration = Duration::from_millis(30);
/// The pace of an engine of which neither settings nor other engines tell anything, in tokens a
/// millisecond: slow enough for one prompt at a time until the first ones have begun.
const DEFAULT_PACE: f64 = 8.0;
/// How many tokens the assumed pace counts for: about two prompts.
const PRIOR_TOKENS: f64 = 4_000.0;
/// What is left of older observations with each new one: the last 24 decide, a second of a busy engine.
const DECAY: f64 = 1.0 - 1.0 / 24.0;
/// What is left of them once an engine has changed its pace.
const FAST_DECAY: f64 = 0.5;
/// What is left of older observations, with each new one, in the sums that tell a change of pace: the last
/// three decide.
const RECENT_DECAY: f64 = 0.7;
/// When the newest observations took this many times as long as expected, or as short, the pace has changed.
/// A single one is a wrong belief about kept parts or a pause of a router.
const CHANGE_FACTOR: f64 = 1.6;
/// The most that one observation may say, in times of what was expected: a paused process reports late.
const CLIP_FACTOR: f64 = 4.0;
/// What a clipped observation may say in any case, in microseconds.
const CLIP_MICROS: f64 = 20_000.0;
/// Observations of shorter prompts weigh no more than one of this many tokens.
const MIN_TOKENS: f64 = 256.0;
/// Which part of the observed latencies lies below the one that is believed.
const QUARTILE: f64 = 0.25;
/// How far one observation moves the latency, as a part of it.
const LATENCY_STEP: f64 = 0.1;
/// What keeps a latency near zero moving, in microseconds.
const LATENCY_STEP_OFFSET: f64 = 1_000.0;
/// The range of the time a token, in microseconds: 2,000 tokens a millisecond to one.
const PER_TOKEN_RANGE: (f64, f64) = (0.5, 1_000.0);
/// The longest latency that is believed, in microseconds.
const MAX_LATENCY: f64 = 1_000_000.0;
/// How many observations make an engine's pace one that others may start from.
const SETTLED_OBSERVATIONS: u64 = 8;

/// Weighted sums of the fit. A weight is one over the tokens: the noise of an observation grows with them.
#[derive(Debug, Clone, Copy, Default)]
struct FitSums {
    latency_square: f64,
    latency_tokens: f64,
    tokens_square: f64,
    latency_time: f64,
    tokens_time: f64,
}

/// What is known of an engine's pace.
#[derive(Debug, Clone)]
pub(super) struct PrefillRate {
    /// The lower quartile of the time from a grant to the first event apart from reading, in microseconds.
    latency: f64,
    /// The mean of the same.
    mean_latency: f64,
    /// Microseconds a token, with all the time above the latency.
    per_token: f64,
    /// Microseconds a token by the fit, which gives that time to the mean latency instead.
    fitted_per_token: f64,
    /// The tokens of observations that have not faded, and how long they took above the latency.
    read_tokens: f64,
    read_micros: f64,
    sums: FitSums,
    observed: u64,
    newest: Moment,
    /// Mean distance of observations from the pace, in parts of what was expected.
    spread: f64,
    /// Mean tokens of a prompt that had to be read.
    mean_tokens: f64,
    /// Reading time of the newest few observations, in microseconds: what was expected, what was seen.
    recent_expected: f64,
    recent_micros: f64,
}

impl FitSums {
    fn add(&mut self, idle: bool, tokens: f64, micros: f64) {
        let weight = 1.0 / tokens.max(MIN_TOKENS);
        if idle {
            self.latency_square += weight;
            self.latency_tokens += weight * tokens;
            self.latency_time += weight * micros;
        }
        self.tokens_square += weight * tokens * tokens;
        self.tokens_time += weight * tokens * micros;
    }

    fn decay(&mut self, factor: f64) {
        self.latency_square *= factor;
        self.latency_tokens *= factor;
        self.tokens_square *= factor;
        self.latency_time *= factor;
        self.tokens_time *= factor;
    }
}

impl PrefillRate {
    /// A pace that nothing was observed of yet; `per_token` in microseconds, if others tell.
    pub fn new(per_token: Option<f64>) -> PrefillRate {
        let mut pace = PrefillRate {
            latency: INITIAL_LATENCY.as_micros() as f64,
            mean_latency: INITIAL_LATENCY.as_micros() as f64,
            per_token: 0.0,
            fitted_per_token: 0.0,
            read_tokens: 0.0,
            read_micros: 0.0,
            sums: FitSums::default(),
            observed: 0,
            newest: Moment(0),
            spread: 0.0,
            mean_tokens: 0.0,
            recent_expected: 0.0,
            recent_micros: 0.0,
        };
        pace.assume(per_token);
        pace
    }

    /// Starts from another pace, while nothing was observed.
    pub fn assume(&mut self, per_token: Option<f64>) {
        if self.observed > 0 {
            return;
        }
        let (least, most) = PER_TOKEN_RANGE;
        self.per_token = per_token.unwrap_or(1_000.0 / DEFAULT_PACE).clamp(least, most);
        self.sums = FitSums::default();
        self.sums.add(false, PRIOR_TOKENS, PRIOR_TOKENS * self.per_token);
        self.fitted_per_token = self.per_token;
        self.read_tokens = PRIOR_TOKENS;
        self.read_micros = PRIOR_TOKENS * self.per_token;
    }

    /// The time a token, once enough was observed for others to start from it.
    pub fn settled_per_token(&self) -> Option<f64> {
        (self.observed >= SETTLED_OBSERVATIONS).then_some(self.per_token)
    }

    /// How long the engine reads this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros((tokens as f64 * self.per_token) as u64)
    }

    /// From a grant to the first event, apart from reading.
    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.latency as u64)
    }

    /// How long it reads a usual prompt; zero before any began.
    pub fn mean_prefill_time(&self) -> Duration {
        self.prefill_time(self.mean_tokens as u64)
    }

    /// Tokens a millisecond.
    pub fn tokens_per_milli(&self) -> f64 {
        1_000.0 / self.per_token
    }

    /// When the newest observation was made; `None` before the first.
    pub fn newest(&self) -> Option<Moment> {
        (self.observed > 0).then_some(self.newest)
    }

    /// How far observations lie from the pace, as a mean part of what was expected.
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// A prompt of this many tokens has begun. `idle` tells whether the engine read nothing when it was
    /// granted; then `took` counts from the grant, else from the first event before.
    pub fn observe(&mut self, now: Moment, tokens: u64, took: Duration, idle: bool) {
        let tokens = tokens.max(1) as f64;
        let fixed = if idle { self.mean_latency } else { 0.0 };
        let expected = fixed + tokens * self.per_token;
        let most = expected * CLIP_FACTOR + CLIP_MICROS;
        let micros = (took.as_micros() as f64).min(most);
        let changed = self.has_changed(tokens * self.per_token, (micros - fixed).max(0.0));
        let factor = if changed { FAST_DECAY } else { DECAY };
        self.sums.decay(factor);
        self.sums.add(idle, tokens, micros);
        self.fit();
        if idle {
            self.note_latency(micros - tokens * self.fitted_per_token);
        }
        let prefill_time = if idle { (micros - self.latency).max(0.0) } else { micros };
        self.read_tokens = self.read_tokens * factor + tokens;
        self.read_micros = self.read_micros * factor + prefill_time;
        let (least, most) = PER_TOKEN_RANGE;
        self.per_token = (self.read_micros / self.read_tokens).clamp(least, most);
        self.update_statistics(tokens, expected, micros);
        self.observed += 1;
        self.newest = now;
    }

    /// Moves the latency towards the lower quartile of what is observed.
    fn note_latency(&mut self, micros: f64) {
        let step = LATENCY_STEP * (self.latency + LATENCY_STEP_OFFSET);
        let change = if micros > self.latency { step * QUARTILE } else { -step * (1.0 - QUARTILE) };
        self.latency = (self.latency + change).clamp(0.0, MAX_LATENCY);
    }

    /// Compares the newest few observations with the fit; true when the engine has changed its pace.
    fn has_changed(&mut self, expected: f64, micros: f64) -> bool {
        self.recent_expected = self.recent_expected * RECENT_DECAY + expected;
        self.recent_micros = self.recent_micros * RECENT_DECAY + micros;
        let ratio = self.recent_micros / self.recent_expected.max(1.0);
        !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&ratio)
    }

    fn update_statistics(&mut self, tokens: f64, expected: f64, micros: f64) {
        let part = if self.observed == 0 { 1.0 } else { 1.0 - DECAY };
        self.mean_tokens += (tokens - self.mean_tokens) * part;
        let distance = (micros - expected).abs() / expected.max(1.0);
        self.spread += (distance - self.spread) * part;
    }

    /// Solves for both unknowns, drawn slightly towards their last values so that prompts of one size
    /// only, which can't tell the two apart, leave them where they are.
    fn fit(&mut self) {
        let sums = &self.sums;
        let latency_prior = 1.0 / PRIOR_TOKENS;
        let latencies = sums.latency_square + latency_prior;
        let tokens = sums.tokens_square + MIN_TOKENS;
        let both = sums.latency_tokens;
        let latency_time = sums.latency_time + latency_prior * self.mean_latency;
        let tokens_time = sums.tokens_time + MIN_TOKENS * self.fitted_per_token;
        let determinant = latencies * tokens - both * both;
        let latency = (latency_time * tokens - tokens_time * both) / determinant;
        self.mean_latency = latency.clamp(0.0, MAX_LATENCY);
        let (least, most) = PER_TOKEN_RANGE;
        self.fitted_per_token = ((tokens_time - both * self.mean_latency) / tokens).clamp(least, most);
    }
}
