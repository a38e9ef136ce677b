//! Learns how fast an engine prefills prompts from the arrival of their first events.
//!
//! Each first event is one observation. The time from a grant to its first event is a fixed latency
//! plus the prefill time of its tokens. If the engine was still processing the previous prompt, the
//! time between the two first events is prefill time alone. Both kinds go into one weighted least
//! squares fit with two unknowns: the mean latency and the time per token. The weight of older
//! observations decays, and decays faster once the most recent ones show that the engine has become
//! faster or slower.
//!
//! The fit only serves to derive the latencies: the lower quartile of what remains after prefill is the
//! latency without a queue. All time above it counts as prefill, so the rate in use falls while an
//! engine is behind, for whatever reason.
//!
//! The time per token includes concurrent work: between two chunks of a prompt, an engine generates a
//! token for each running request.

use micaspool_types::Moment;
use std::time::Duration;

/// The latency assumed before the first observation. It is learnt from the first prompts on.
const INITIAL_LATENCY: Duration = Duration::from_millis(30);
/// The rate assumed if neither settings nor other engines provide one, in tokens per millisecond. It is
/// low enough to grant one prompt at a time until the first ones have begun.
const DEFAULT_RATE: f64 = 8.0;
/// The weight of the assumed rate, in tokens: about two prompts.
const PRIOR_TOKENS: f64 = 4_000.0;
/// Factor applied to older observations with each new one: the last 24 dominate, which is one second of
/// a busy engine.
const DECAY: f64 = 1.0 - 1.0 / 24.0;
/// The same factor once a change of rate was detected.
const FAST_DECAY: f64 = 0.5;
/// The same factor for the sums that detect a change of rate: the last three observations dominate.
const RECENT_DECAY: f64 = 0.7;
/// The rate has changed if the most recent observations took longer or shorter than expected by this
/// factor. A single deviation is put down to a wrong assumption about cached parts or a pause of a
/// router.
const CHANGE_FACTOR: f64 = 1.6;
/// Upper limit of one observation, as a multiple of the expected time. A paused process reports late.
pub(crate) const CLIP_FACTOR: f64 = 4.0;
/// Added to that limit, in microseconds.
pub(crate) const CLIP_MICROS: f64 = 20_000.0;
/// Observations of shorter prompts are weighted as if they had this many tokens. Also the weight of the
/// previous time per token in the fit.
const MIN_TOKENS: f64 = 256.0;
/// The quantile of the observed latencies that is used as the latency.
const QUARTILE: f64 = 0.25;
/// Step of the latency per observation, relative to the latency.
const LATENCY_STEP: f64 = 0.1;
/// Added to the latency when the step is computed, in microseconds, so that a latency near zero can
/// still change.
const LATENCY_STEP_OFFSET: f64 = 1_000.0;
/// Limits of the time per token in microseconds: 2,000 tokens per millisecond to one.
const PER_TOKEN_RANGE: (f64, f64) = (0.5, 1_000.0);
/// Upper limit of the latency, in microseconds.
const MAX_LATENCY: f64 = 1_000_000.0;
/// After this many observations, the rate of an engine serves as the initial rate of others.
const SETTLED_OBSERVATIONS: u64 = 8;

/// Weighted sums of the fit. The weight is the inverse of the token count because the noise of an
/// observation grows with it.
#[derive(Debug, Clone, Copy, Default)]
struct FitSums {
    latency_square: f64,
    latency_tokens: f64,
    tokens_square: f64,
    latency_time: f64,
    tokens_time: f64,
}

/// The learnt prefill rate of an engine.
#[derive(Debug, Clone)]
pub struct PrefillRate {
    /// Lower quartile of the time from a grant to the first event without prefill, in microseconds.
    latency: f64,
    /// Mean of the same time.
    mean_latency: f64,
    /// Microseconds per token, with all time above the latency counted as prefill.
    per_token: f64,
    /// Microseconds per token according to the fit, which assigns that time to the mean latency.
    fitted_per_token: f64,
    /// Decayed sums of the observed tokens, and of their time above the latency in microseconds.
    prefilled_tokens: f64,
    prefill_micros: f64,
    sums: FitSums,
    observations: u64,
    last_observed_at: Moment,
    /// Mean deviation of observations from the rate, relative to the expected time.
    spread: f64,
    /// Mean number of uncached tokens per prompt.
    mean_tokens: f64,
    /// Decayed sums of the expected and observed prefill times of the most recent observations, in
    /// microseconds.
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
    /// A rate without observations; `per_token` is the initial time per token in microseconds, if
    /// known.
    pub fn new(per_token: Option<f64>) -> PrefillRate {
        let mut rate = PrefillRate {
            latency: INITIAL_LATENCY.as_micros() as f64,
            mean_latency: INITIAL_LATENCY.as_micros() as f64,
            per_token: 0.0,
            fitted_per_token: 0.0,
            prefilled_tokens: 0.0,
            prefill_micros: 0.0,
            sums: FitSums::default(),
            observations: 0,
            last_observed_at: Moment(0),
            spread: 0.0,
            mean_tokens: 0.0,
            recent_expected: 0.0,
            recent_micros: 0.0,
        };
        rate.assume(per_token);
        rate
    }

    /// Replaces the initial time per token, unless there are observations already.
    pub fn assume(&mut self, per_token: Option<f64>) {
        if self.observations > 0 {
            return;
        }
        let (least, most) = PER_TOKEN_RANGE;
        self.per_token = per_token.unwrap_or(1_000.0 / DEFAULT_RATE).clamp(least, most);
        self.sums = FitSums::default();
        self.sums.add(false, PRIOR_TOKENS, PRIOR_TOKENS * self.per_token);
        self.fitted_per_token = self.per_token;
        self.prefilled_tokens = PRIOR_TOKENS;
        self.prefill_micros = PRIOR_TOKENS * self.per_token;
    }

    /// The time per token in microseconds, once there are enough observations for others to start from
    /// it.
    pub fn settled_per_token(&self) -> Option<f64> {
        (self.observations >= SETTLED_OBSERVATIONS).then_some(self.per_token)
    }

    /// The time that the engine needs to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros((tokens as f64 * self.per_token) as u64)
    }

    /// The time from a grant to the first event without prefill.
    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.latency as u64)
    }

    /// The prefill time of a prompt of mean size; zero before the first observation.
    pub fn mean_prefill_time(&self) -> Duration {
        self.prefill_time(self.mean_tokens as u64)
    }

    /// Tokens per millisecond.
    pub fn tokens_per_milli(&self) -> f64 {
        1_000.0 / self.per_token
    }

    /// When the most recent observation was made; `None` before the first.
    pub fn last_observed_at(&self) -> Option<Moment> {
        (self.observations > 0).then_some(self.last_observed_at)
    }

    /// Mean deviation of observations from the rate, relative to the expected time.
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// Records the first event of a prompt of `tokens` tokens. With `idle`, the engine had nothing to
    /// prefill at the grant and `took` is measured from there; otherwise from the previous first event.
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
        self.prefilled_tokens = self.prefilled_tokens * factor + tokens;
        self.prefill_micros = self.prefill_micros * factor + prefill_time;
        let (least, most) = PER_TOKEN_RANGE;
        self.per_token = (self.prefill_micros / self.prefilled_tokens).clamp(least, most);
        self.update_statistics(tokens, expected, micros);
        self.observations += 1;
        self.last_observed_at = now;
    }

    /// Moves the latency towards the lower quartile of the observations.
    fn note_latency(&mut self, micros: f64) {
        let step = LATENCY_STEP * (self.latency + LATENCY_STEP_OFFSET);
        let change = if micros > self.latency { step * QUARTILE } else { -step * (1.0 - QUARTILE) };
        self.latency = (self.latency + change).clamp(0.0, MAX_LATENCY);
    }

    /// Compares the most recent observations with the expected times; true if the rate has changed.
    fn has_changed(&mut self, expected: f64, micros: f64) -> bool {
        self.recent_expected = self.recent_expected * RECENT_DECAY + expected;
        self.recent_micros = self.recent_micros * RECENT_DECAY + micros;
        let ratio = self.recent_micros / self.recent_expected.max(1.0);
        !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&ratio)
    }

    fn update_statistics(&mut self, tokens: f64, expected: f64, micros: f64) {
        let part = if self.observations == 0 { 1.0 } else { 1.0 - DECAY };
        self.mean_tokens += (tokens - self.mean_tokens) * part;
        let distance = (micros - expected).abs() / expected.max(1.0);
        self.spread += (distance - self.spread) * part;
    }

    /// Solves for both unknowns, regularised towards their previous values: prompts of a single size
    /// can't separate the two and leave them unchanged.
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
