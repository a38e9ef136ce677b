//! Model of a language model engine: its queued prefill work and its cached prompt parts.
//!
//! An engine processes prompts in order of arrival and skips the leading parts that it has cached.
//! Between two chunks of a prompt it generates one token for each running request, so continuous
//! prefill slows down every stream. The prefill rate is learnt from observations (see [`PrefillRate`]).

use super::parts::PartCache;
use crate::event::{CacheUpdate, RequestTicket};
use micaspool_engine::{DecodeRate, PrefillClock, PrefillRate, PrefillWork, StatedOutput, StreamSpan};
use micaspool_types::{Moment, RequestId};
use std::collections::VecDeque;
use std::time::Duration;

/// The share of an engine's memory that is assumed to hold cached prompt parts, in percent. The rest is
/// used by the output of running requests.
const CACHE_PERCENT: u64 = 80;
/// The same share for an engine that reports its cache. It only limits parts whose eviction was never
/// reported.
const REPORTED_CACHE_PERCENT: u64 = 120;
/// The share of the learnt prefill rate at which an engine is given tokens, in percent.
const RATE_PERCENT: u32 = 90;
/// An engine with this much queued prefill work gets no further prompts. The limit bounds the work that
/// a request of another customer can no longer overtake, and the delay of first events. A shorter limit
/// lets engines run idle between two grants.
const MAX_PREFILL_QUEUE: Duration = Duration::from_millis(80);
/// Delay that a running request adds for the next one, in tokens of prefill. It prefers engines with
/// fewer running requests if prefill would take equally long.
const RUNNING_REQUEST_TOKENS: u64 = 35;

/// How many foreign requests are ignored when the engine's share is computed, because load reports are
/// some hundred milliseconds old.
const UNATTRIBUTED_REQUESTS: u32 = 2;
/// The minimum share of the prefill budget that this shard uses, in percent, so that a dispatcher that
/// joins late gets any work in.
const MIN_SHARE: u64 = 15;
/// How many waiting requests unknown to this shard are ignored.
const UNATTRIBUTED_WAITING: u32 = 1;
/// The longest time for which one load report keeps an engine closed.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// A prompt that takes this many times its expected prefill time is overdue. Its engine is then assumed
/// to stay behind by as long as the prompt is overdue.
const LATE_FACTOR: u32 = 3;

/// The properties of a ticket's prompt that placement needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct PromptShape {
    /// Hashes of the prompt's prefixes, the shortest first.
    pub prefixes: Box<[u64]>,
    /// How many tokens each prefix adds to the previous one.
    pub tokens: Box<[u32]>,
    /// The number of tokens in the whole prompt.
    pub total: u64,
    /// What the caller states of the output.
    pub output: StatedOutput,
}

impl PromptShape {
    /// The shape of a ticket's prompt.
    pub fn of(ticket: &RequestTicket) -> PromptShape {
        PromptShape {
            prefixes: ticket.prefixes.as_slice().into(),
            tokens: ticket.prefix_tokens.as_slice().into(),
            total: ticket.prompt_tokens.0,
            output: ticket.generation.stated_output(),
        }
    }

    /// The load of the request for service rates: its prompt tokens, or one if unknown.
    pub fn load(&self) -> u64 {
        self.total.max(1)
    }

    /// Like [`load`](Self::load), for a ticket.
    pub fn load_of(ticket: &RequestTicket) -> u64 {
        ticket.prompt_tokens.0.max(1)
    }

    /// Each prefix with the tokens that it adds; an unknown size counts as one token.
    pub fn parts(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let tokens = self.tokens.iter().map(|tokens| u64::from(*tokens)).chain(std::iter::repeat(1));
        self.prefixes.iter().copied().zip(tokens)
    }
}

/// A change of an engine's set of cached parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartChange {
    Added(u64),
    Removed(u64),
}

/// A prompt that was granted to an engine and has had no first event yet.
#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    request: RequestId,
    tokens: u64,
    granted_at: Moment,
}

/// The first event of a prompt, as observed for the prefill rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstEvent {
    /// The tokens that the engine had to prefill.
    pub tokens: u64,
    /// See [`PrefillRate::observe`].
    pub took: Duration,
    /// True if the engine had nothing to prefill at the grant.
    pub idle: bool,
}

/// The state of one engine.
#[derive(Debug)]
pub(super) struct EngineState {
    memory: u64,
    /// Granted prompts without a first event, in the order of their grants.
    pending: VecDeque<PendingPrompt>,
    pending_tokens: u64,
    /// When the most recent first event arrived.
    last_first_event: Moment,
    /// The share of the prefill budget that this shard may use, in percent.
    share: u64,
    /// When the engine will have processed all granted prompts at `RATE_PERCENT` of its learnt rate.
    paced_until: Moment,
    /// Until when the engine is assumed to process prompts of others, according to its load reports.
    others_until: Moment,
    rate: PrefillRate,
    decode: DecodeRate,
    /// The prefill that it has done so far.
    clock: PrefillClock,
    cached: PartCache,
    /// True once the engine has reported its cache.
    reports_cache: bool,
}

impl EngineState {
    /// An engine without grants; `per_token` is the initial prefill time per token in microseconds.
    pub fn new(memory: u64, share: u64, per_token: Option<f64>) -> EngineState {
        EngineState {
            memory,
            pending: VecDeque::new(),
            pending_tokens: 0,
            last_first_event: Moment(0),
            share,
            paced_until: Moment(0),
            others_until: Moment(0),
            rate: PrefillRate::new(per_token),
            decode: DecodeRate::default(),
            clock: PrefillClock::default(),
            cached: PartCache::default(),
            reports_cache: false,
        }
    }

    /// Sets the memory size, in tokens, from newer settings.
    pub fn resize(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// The learnt prefill rate.
    pub fn rate(&self) -> &PrefillRate {
        &self.rate
    }

    /// Replaces the initial prefill time per token, unless there are observations already.
    pub fn assume_rate(&mut self, per_token: Option<f64>) {
        self.rate.assume(per_token);
    }

    /// Starts from another prefill rate, unless the engine's own is settled.
    pub fn restart_rate(&mut self, now: Moment, per_token: Option<f64>) {
        if self.rate.settled_per_token().is_none() {
            self.rate = PrefillRate::new(per_token);
            self.repace(now);
        }
    }

    /// Shortens the pacing of earlier grants to the present rate until the rate is settled. Otherwise an
    /// engine whose rate was assumed far too low gets no prompts for seconds after it has shown its real one.
    pub fn repace(&mut self, now: Moment) {
        if self.rate.settled_per_token().is_none() {
            let paced = self.rate.prefill_time(self.pending_tokens) * 100 / RATE_PERCENT;
            self.paced_until = self.paced_until.min(now + paced);
        }
    }

    /// The learnt time of a decode step.
    pub fn decode(&self) -> &DecodeRate {
        &self.decode
    }

    /// Replaces the initial step time in microseconds, unless there are observations already.
    pub fn assume_step(&mut self, per_step: Option<f64>) {
        self.decode.assume(per_step);
    }

    /// Learns the time of a decode step from a stream.
    pub fn observe_decode(&mut self, span: &StreamSpan) {
        self.decode.observe(span);
    }

    /// The prefill that the engine has done so far, as far as known.
    pub fn prefill_done(&self, now: Moment) -> PrefillWork {
        let passed =
            self.pending.front().map_or(Duration::ZERO, |oldest| now.since(self.prefill_start(oldest)));
        self.clock.total(passed, self.rate.prefill_time(self.pending_tokens), self.pending_tokens)
    }

    /// True if the queued prefill work is below the limit.
    pub fn has_prefill_budget(&self, now: Moment) -> bool {
        self.queued_prefill_time(now) < self.prefill_budget()
    }

    /// When the queued prefill work is expected to drop below the limit.
    pub fn prefill_budget_at(&self, now: Moment) -> Moment {
        let excess = self.queued_prefill_time(now).saturating_sub(self.prefill_budget());
        now + excess + Duration::from_micros(1)
    }

    fn prefill_budget(&self) -> Duration {
        MAX_PREFILL_QUEUE * u32::try_from(self.share).unwrap_or(100) / 100
    }

    /// The expected time until all queued prompts are processed, including those of others.
    fn queued_prefill_time(&self, now: Moment) -> Duration {
        let own = self.own_prefill_time(now).max(self.paced_until.since(now));
        own + self.others_until.since(now)
    }

    /// The expected time until the prompts granted by this shard are processed.
    fn own_prefill_time(&self, now: Moment) -> Duration {
        let Some(oldest) = self.pending.front() else { return Duration::ZERO };
        let passed = now.since(self.prefill_start(oldest));
        let remaining = self.rate.prefill_time(self.pending_tokens).saturating_sub(passed);
        remaining + self.overdue_time(now)
    }

    /// True if the first event of a prompt is overdue. When the engine will process another one is unknown
    /// then, or whether it still responds.
    pub fn is_overdue(&self, now: Moment) -> bool {
        !self.overdue_time(now).is_zero()
    }

    /// By how much the first event of the oldest pending prompt is overdue.
    fn overdue_time(&self, now: Moment) -> Duration {
        let Some(oldest) = self.pending.front() else { return Duration::ZERO };
        let usual = self.rate.prefill_time(oldest.tokens) * LATE_FACTOR + self.rate.latency() * 2;
        now.since(self.prefill_start(oldest)).saturating_sub(usual)
    }

    /// When processing of `prompt`, the oldest pending one, began: at its grant, or when the previous
    /// prompt was done.
    fn prefill_start(&self, prompt: &PendingPrompt) -> Moment {
        let latency = self.rate.latency().as_micros() as u64;
        prompt.granted_at.max(Moment(self.last_first_event.0.saturating_sub(latency)))
    }

    /// How many tokens of a prompt are not cached here; at least one.
    pub fn uncached_tokens(&self, prompt: &PromptShape) -> u64 {
        let cached_parts = prompt.parts().take_while(|(prefix, _)| self.cached.has(*prefix));
        let cached_tokens: u64 = cached_parts.map(|(_, tokens)| tokens).sum();
        prompt.total.saturating_sub(cached_tokens).max(1)
    }

    /// The weighted delay of a prompt's first token in microseconds, if `tokens_before` tokens for
    /// other waiting tickets are processed first. Uncached tokens weigh `uncached_percent` of their prefill
    /// time.
    pub fn delay(
        &self,
        now: Moment,
        prompt: &PromptShape,
        running: u32,
        tokens_before: u64,
        uncached_percent: u64,
    ) -> u64 {
        let uncached_tokens = self.uncached_tokens(prompt) * uncached_percent / 100;
        let tokens = tokens_before + uncached_tokens + u64::from(running) * RUNNING_REQUEST_TOKENS;
        (self.queued_prefill_time(now) + self.rate.prefill_time(tokens)).as_micros() as u64
    }

    /// The expected time from now to the first event of a prompt, if `tokens_before` tokens for other
    /// waiting tickets are processed first.
    pub fn time_to_first_event(&self, now: Moment, prompt: &PromptShape, tokens_before: u64) -> Duration {
        self.queued_prefill_time(now)
            + self.rate.prefill_time(tokens_before)
            + self.unqueued_time_to_first_event(prompt)
    }

    /// The expected time from a grant to the first event of a prompt on an engine without queued
    /// prompts.
    pub fn unqueued_time_to_first_event(&self, prompt: &PromptShape) -> Duration {
        self.rate.latency() + self.rate.prefill_time(self.uncached_tokens(prompt))
    }

    /// Records a grant of a prompt to this engine, and appends the resulting cache changes to
    /// `changes`.
    pub fn record_grant(
        &mut self,
        now: Moment,
        request: RequestId,
        prompt: &PromptShape,
        changes: &mut Vec<PartChange>,
    ) {
        let tokens = self.uncached_tokens(prompt);
        self.pending.push_back(PendingPrompt { request, tokens, granted_at: now });
        self.pending_tokens += tokens;
        let paced = self.rate.prefill_time(tokens) * 100 / RATE_PERCENT;
        self.paced_until = self.paced_until.max(now) + paced;
        for (prefix, tokens) in prompt.parts() {
            self.cached.touch(prefix, tokens, changes);
        }
        self.evict_excess(changes);
    }

    /// Records the first event of a prompt and learns from it. Engines process prompts in order of
    /// arrival, so prompts granted clearly earlier are done as well and only their first events are
    /// delayed.
    pub fn note_first_event(&mut self, now: Moment, request: RequestId) -> Option<FirstEvent> {
        let prompt = self.pending.iter().find(|prompt| prompt.request == request).copied()?;
        let prefill_start = self.prefill_start(&prompt);
        let idle = prefill_start == prompt.granted_at;
        let since = if idle { prompt.granted_at } else { self.last_first_event };
        let first = FirstEvent { tokens: prompt.tokens, took: now.since(since), idle };
        self.rate.observe(now, first.tokens, first.took, idle);
        let latency = self.rate.latency();
        let prefill_time = now.since(prefill_start).saturating_sub(latency);
        let pending_before = self.pending_tokens;
        self.last_first_event = now;
        self.retain_pending(|other| {
            other.request != request && other.granted_at + latency >= prompt.granted_at
        });
        let done = pending_before - self.pending_tokens;
        self.clock.complete(done, prefill_time, self.rate.prefill_time(done));
        Some(first)
    }

    /// Removes a prompt whose request ended before its first event.
    pub fn withdraw(&mut self, request: RequestId) {
        self.retain_pending(|prompt| prompt.request != request);
    }

    fn retain_pending(&mut self, keep: impl Fn(&PendingPrompt) -> bool) {
        self.pending.retain(keep);
        self.pending_tokens = self.pending.iter().map(|prompt| prompt.tokens).sum();
    }

    /// Records how many requests wait at the engine according to a load report. Those unknown to this
    /// shard come from other dispatchers and are assumed to be processed first.
    pub fn note_waiting(&mut self, now: Moment, waiting: u32) {
        let known = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
        let others = waiting.saturating_sub(known);
        if others > UNATTRIBUTED_WAITING {
            let hold = (self.rate.mean_prefill_time() * others).min(MAX_HOLD);
            self.others_until = self.others_until.max(now + hold);
        }
    }

    /// Divides the prefill budget between this shard and others according to the requests running here.
    /// The prefill rate is learnt with the load of others included, so only the budget is divided.
    pub fn update_share(&mut self, own: u32, foreign: u32) {
        let all = u64::from(own + foreign);
        self.share = match foreign {
            0..=UNATTRIBUTED_REQUESTS => 100,
            _ => (u64::from(own) * 100 / all).max(MIN_SHARE),
        };
    }

    /// Sets the share of the prefill budget, in percent, for the time without a load report.
    pub fn reset_share(&mut self, share: u64) {
        self.share = share;
    }

    /// Applies a cache update from the engine itself. From then on parts are dropped as the engine
    /// reports.
    pub fn update_cache(&mut self, update: &CacheUpdate, changes: &mut Vec<PartChange>) {
        self.reports_cache = true;
        if update.whole {
            self.cached.clear(changes);
        }
        for prefix in &update.dropped {
            self.cached.drop(*prefix, changes);
        }
        for part in &update.cached_parts {
            self.cached.touch(part.prefix, u64::from(part.tokens), changes);
        }
        self.evict_excess(changes);
    }

    fn evict_excess(&mut self, changes: &mut Vec<PartChange>) {
        let percent = if self.reports_cache { REPORTED_CACHE_PERCENT } else { CACHE_PERCENT };
        self.cached.shrink(self.memory * percent / 100, changes);
    }
}
