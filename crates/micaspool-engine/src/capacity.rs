//! How many requests engines sustain: bounded by the time for prefill, and by slots and the time in them.

use crate::decode::CHUNK_TOKENS;

/// Factor applied to older requests with each new one: the last 256 dominate, enough to contain each kind of
/// request in its usual part.
const DECAY: f64 = 1.0 - 1.0 / 256.0;
/// The mix is used once it contains this many requests, so that a single unusual one does not decide.
const MIN_REQUESTS: f64 = 4.0;

/// Decayed sums of what granted requests need.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestMix {
    /// The number of granted requests.
    requests: f64,
    prompt_tokens: f64,
    /// Prompt tokens that the chosen engines had to prefill.
    uncached_tokens: f64,
    /// Expected output.
    output_tokens: f64,
    /// The number of requests whose first event has arrived.
    begun: f64,
    /// The time from the grant to the first event, summed over these.
    first_event_seconds: f64,
}

/// The engines of a service, or a part of them, as sums over all of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineGroup {
    /// The number of engines.
    pub engines: f64,
    /// Their slots.
    pub slots: f64,
    /// Prompt tokens per second that they prefill while they do nothing else but the steps in between.
    pub prefill_tokens: f64,
    /// Decode steps per second while they prefill nothing.
    pub steps: f64,
}

impl EngineGroup {
    /// The mean engine of the group.
    fn mean_engine(&self) -> EngineGroup {
        EngineGroup {
            engines: 1.0,
            slots: self.slots / self.engines,
            prefill_tokens: self.prefill_tokens / self.engines,
            steps: self.steps / self.engines,
        }
    }
}

/// What a request needs of an engine in the mean.
#[derive(Debug, Clone, Copy)]
struct MeanRequest {
    /// Seconds from the grant to the first event.
    before_seconds: f64,
    /// Prompt tokens that the engine prefills.
    uncached_tokens: f64,
    output_tokens: f64,
}

impl RequestMix {
    /// Adds a granted request: its prompt, the part of it that its engine lacks, and its expected output.
    pub fn note_grant(&mut self, prompt_tokens: u64, uncached_tokens: u64, output_tokens: f64) {
        self.requests = self.requests * DECAY + 1.0;
        self.prompt_tokens = self.prompt_tokens * DECAY + prompt_tokens as f64;
        self.uncached_tokens = self.uncached_tokens * DECAY + uncached_tokens as f64;
        self.output_tokens = self.output_tokens * DECAY + output_tokens;
    }

    /// Adds the time from a grant to the first event, which includes the prefill of prompts before it.
    pub fn note_first_event(&mut self, seconds: f64) {
        self.begun = self.begun * DECAY + 1.0;
        self.first_event_seconds = self.first_event_seconds * DECAY + seconds;
    }

    /// The mean prompt tokens of a request; `None` before there are enough.
    pub fn prompt_tokens(&self) -> Option<f64> {
        (self.requests >= MIN_REQUESTS).then(|| self.prompt_tokens / self.requests)
    }

    /// The requests per second that the slots of engines sustain; `None` while too little is known. Not
    /// bounded by prefill, except that prefill delays streams.
    pub fn slot_bound(&self, group: &EngineGroup) -> Option<f64> {
        let known = self.requests >= MIN_REQUESTS && self.begun >= 1.0 && group.engines >= 1.0;
        if !known || group.steps <= 0.0 || group.prefill_tokens <= 0.0 {
            return None;
        }
        let request = MeanRequest {
            before_seconds: self.first_event_seconds / self.begun,
            uncached_tokens: self.uncached_tokens / self.requests,
            output_tokens: self.output_tokens / self.requests,
        };
        Some(group.engines * slot_bound(&group.mean_engine(), &request))
    }
}

/// The requests per second that the slots of one engine sustain.
///
/// With `n` requests a second, the engine prefills for the part `n * prefill` of the time, where `prefill` is the seconds per request. Its streams get
/// `step_rate` tokens a second in the rest of the time, and one per chunk during prefill. A request holds
/// its slot for `before`, and then for as long as its `output` takes at that mean rate. As many as there
/// are slots run at once: `n * (before + output / rate(n)) = slots`, which is quadratic in `n`.
fn slot_bound(engine: &EngineGroup, request: &MeanRequest) -> f64 {
    let (slots, step_rate) = (engine.slots, engine.steps);
    let (before, output) = (request.before_seconds, request.output_tokens);
    let prefill = request.uncached_tokens / engine.prefill_tokens;
    let chunk_rate = engine.prefill_tokens / CHUNK_TOKENS;
    // A stream is delayed by the prompts of the other slots, not by its own.
    let others = (1.0 - 1.0 / slots.max(1.0)).max(0.0);
    let lost = (step_rate - chunk_rate).max(0.0) * prefill * others;
    let linear = step_rate * before + output + slots * lost;
    let root = (linear * linear - 4.0 * lost * before * slots * step_rate).max(0.0).sqrt();
    2.0 * slots * step_rate / (linear + root).max(f64::MIN_POSITIVE)
}
