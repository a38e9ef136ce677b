//! What a shard believes of a language model engine: how long it reads the prompts that it got, and
//! which prompt parts it keeps in memory.
//!
//! An engine reads prompts in order of arrival and skips the leading parts that it keeps. Between two
//! pieces of a prompt it makes one token of each running request, so an engine that reads without a pause
//! slows every stream down. How fast it reads is learnt (see [`PrefillRate`]).

use super::parts::PartCache;
use super::prefill::PrefillRate;
use crate::event::{CacheUpdate, RequestTicket};
use micaspool_types::{Moment, RequestId};
use std::collections::VecDeque;
use std::time::Duration;

/// The part of an engine's memory that is counted on for kept prompt parts, in percent. The rest is
/// taken by what running requests make.
const CACHE_PERCENT: u64 = 80;
/// The same where the engine tells itself what it drops: a bound for parts whose end was never told.
const REPORTED_CACHE_PERCENT: u64 = 120;
/// The part of the learnt pace at which an engine is given tokens to read, in percent.
const PACE_PERCENT: u32 = 90;
/// An engine that has this much to read gets nothing more. It bounds what can't be overtaken any more
/// by a request of another customer, and how late first events are; a shorter time lets engines run dry
/// between two grants.
const MAX_PREFILL_QUEUE: Duration = Duration::from_millis(80);
/// What a token counts that an engine has to read although another engine may keep it, in percent: its
/// reading takes capacity from all, and it pushes other parts out of memory.
const UNCACHED_PERCENT: u64 = 1_000;
/// What a running request adds to the delay of the next one, in tokens to read: engines that run less are
/// preferred where reading takes equally long.
const RUNNING_REQUEST_TOKENS: u64 = 35;

/// How many requests beyond our own need not be anybody's: reports are some hundred milliseconds old.
const UNATTRIBUTED_REQUESTS: u32 = 2;
/// The smallest part of the time ahead that is used, in percent, so that one who comes late gets in.
const MIN_SHARE: u64 = 15;
/// How many requests may wait at an engine beyond those that this shard knows of.
const UNATTRIBUTED_WAITING: u32 = 1;
/// The longest time for which a report keeps an engine from getting more.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// A prompt that takes this many times its expected reading is late, and its engine is expected to be
/// late for as long again.
const LATE_FACTOR: u32 = 3;

/// The prompt of a ticket, as far as placing it needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct PromptShape {
    /// Hashes of growing prefixes, the shortest first.
    pub prefixes: Box<[u64]>,
    /// The tokens that each prefix adds to the one before.
    pub tokens: Box<[u32]>,
    /// The tokens of the whole prompt.
    pub total: u64,
}

impl PromptShape {
    /// The prompt that a ticket tells of.
    pub fn of(ticket: &RequestTicket) -> PromptShape {
        PromptShape {
            prefixes: ticket.prefixes.as_slice().into(),
            tokens: ticket.prefix_tokens.as_slice().into(),
            total: ticket.prompt_tokens.0,
        }
    }

    /// What the request counts against a rate of service: its tokens, or one where it has none.
    pub fn load(&self) -> u64 {
        self.total.max(1)
    }

    /// The same of a ticket.
    pub fn load_of(ticket: &RequestTicket) -> u64 {
        ticket.prompt_tokens.0.max(1)
    }

    /// Each prefix with the tokens that it adds; unknown sizes count as one token.
    fn parts(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let tokens = self.tokens.iter().map(|tokens| u64::from(*tokens)).chain(std::iter::repeat(1));
        self.prefixes.iter().copied().zip(tokens)
    }
}

/// A part that an engine keeps from now on, or no longer keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartChange {
    Kept(u64),
    Dropped(u64),
}

/// A prompt that an engine got and that has not begun.
#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    request: RequestId,
    tokens: u64,
    granted: Moment,
}

/// One engine.
#[derive(Debug)]
pub(super) struct EngineState {
    memory: u64,
    /// Prompts that were granted and have not begun, in the order of their grants.
    pending: VecDeque<PendingPrompt>,
    pending_tokens: u64,
    /// When the newest first event came.
    last_first_event: Moment,
    /// The part of the time ahead that this shard may use, in percent.
    share: u64,
    /// When it will have read everything at the pace that it is given.
    paced_until: Moment,
    /// Until when it reads for others, as far as its reports tell.
    others_until: Moment,
    pace: PrefillRate,
    kept: PartCache,
    /// True once the engine has told what it keeps.
    reports_cache: bool,
}

impl EngineState {
    /// An engine that got nothing yet; `per_token` is the pace to start from, in microseconds a token.
    pub fn new(memory: u64, share: u64, per_token: Option<f64>) -> EngineState {
        EngineState {
            memory,
            pending: VecDeque::new(),
            pending_tokens: 0,
            last_first_event: Moment(0),
            share,
            paced_until: Moment(0),
            others_until: Moment(0),
            pace: PrefillRate::new(per_token),
            kept: PartCache::default(),
            reports_cache: false,
        }
    }

    /// Takes the memory size of newer settings over.
    pub fn resize(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// What is known of its pace.
    pub fn pace(&self) -> &PrefillRate {
        &self.pace
    }

    /// Starts from another pace, while nothing was observed.
    pub fn assume_pace(&mut self, per_token: Option<f64>) {
        self.pace.assume(per_token);
    }

    /// True while it has little enough to read to get more.
    pub fn has_prefill_budget(&self, now: Moment) -> bool {
        self.queued_prefill_time(now) < self.prefill_budget()
    }

    /// When its reading will have become short enough, if everything begins as expected.
    pub fn prefill_budget_at(&self, now: Moment) -> Moment {
        let excess = self.queued_prefill_time(now).saturating_sub(self.prefill_budget());
        now + excess + Duration::from_micros(1)
    }

    fn prefill_budget(&self) -> Duration {
        MAX_PREFILL_QUEUE * u32::try_from(self.share).unwrap_or(100) / 100
    }

    /// How long it will read what it got.
    fn queued_prefill_time(&self, now: Moment) -> Duration {
        let own = self.own_prefill_time(now).max(self.paced_until.since(now));
        own + self.others_until.since(now)
    }

    /// How long it will read what this shard gave it.
    fn own_prefill_time(&self, now: Moment) -> Duration {
        let Some(oldest) = self.pending.front() else { return Duration::ZERO };
        let passed = now.since(self.prefill_start(oldest));
        let rest = self.pace.prefill_time(self.pending_tokens).saturating_sub(passed);
        let usual = self.pace.prefill_time(oldest.tokens) * LATE_FACTOR + self.pace.latency() * 2;
        rest + passed.saturating_sub(usual)
    }

    /// When it began to read a prompt that is its oldest: at the grant, or when it had read the one before.
    fn prefill_start(&self, prompt: &PendingPrompt) -> Moment {
        let latency = self.pace.latency().as_micros() as u64;
        prompt.granted.max(Moment(self.last_first_event.0.saturating_sub(latency)))
    }

    /// The tokens that the engine would have to read for a prompt.
    pub fn uncached_tokens(&self, prompt: &PromptShape) -> u64 {
        let held = prompt.parts().take_while(|(prefix, _)| self.kept.has(*prefix));
        let held: u64 = held.map(|(_, tokens)| tokens).sum();
        prompt.total.saturating_sub(held).max(1)
    }

    /// How long a prompt would wait for its first token, in microseconds, if the engine has to read
    /// `tokens_before` for tickets that wait for it already. Tokens that the engine lacks count more than their
    /// reading: they push other parts out of memory.
    pub fn delay(&self, now: Moment, prompt: &PromptShape, running: u32, tokens_before: u64) -> u64 {
        let uncached_tokens = self.uncached_tokens(prompt) * UNCACHED_PERCENT / 100;
        let tokens = tokens_before + uncached_tokens + u64::from(running) * RUNNING_REQUEST_TOKENS;
        (self.queued_prefill_time(now) + self.pace.prefill_time(tokens)).as_micros() as u64
    }

    /// From now to the first event of a prompt, if the engine has to read `tokens_before` for tickets that wait
    /// for it already.
    pub fn time_to_first_event(&self, now: Moment, prompt: &PromptShape, tokens_before: u64) -> Duration {
        self.queued_prefill_time(now)
            + self.pace.prefill_time(tokens_before)
            + self.unqueued_time_to_first_event(prompt)
    }

    /// From a grant to the first event of a prompt, if the engine had nothing else to read.
    pub fn unqueued_time_to_first_event(&self, prompt: &PromptShape) -> Duration {
        self.pace.latency() + self.pace.prefill_time(self.uncached_tokens(prompt))
    }

    /// Notes that a prompt was granted here. What that changes about its kept parts is added to `changes`.
    pub fn admit(
        &mut self,
        now: Moment,
        request: RequestId,
        prompt: &PromptShape,
        changes: &mut Vec<PartChange>,
    ) {
        let tokens = self.uncached_tokens(prompt);
        self.pending.push_back(PendingPrompt { request, tokens, granted: now });
        self.pending_tokens += tokens;
        let paced = self.pace.prefill_time(tokens) * 100 / PACE_PERCENT;
        self.paced_until = self.paced_until.max(now) + paced;
        for (prefix, tokens) in prompt.parts() {
            self.kept.touch(prefix, tokens, changes);
        }
        self.shrink_kept(changes);
    }

    /// The first event of a prompt has come: learns from it. Engines read in order of arrival, so those
    /// that were granted clearly earlier are read too, and only their news is late.
    pub fn begin(&mut self, now: Moment, request: RequestId) {
        let Some(prompt) = self.pending.iter().find(|prompt| prompt.request == request).copied() else {
            return;
        };
        let prefill_start = self.prefill_start(&prompt);
        let idle = prefill_start == prompt.granted;
        let since = if idle { prompt.granted } else { self.last_first_event };
        self.pace.observe(now, prompt.tokens, now.since(since), idle);
        self.last_first_event = now;
        let latency = self.pace.latency();
        self.retain_pending(|other| other.request != request && other.granted + latency >= prompt.granted);
    }

    /// A prompt will not be read here any more, or its request ended in another way.
    pub fn withdraw(&mut self, request: RequestId) {
        self.retain_pending(|prompt| prompt.request != request);
    }

    fn retain_pending(&mut self, keep: impl Fn(&PendingPrompt) -> bool) {
        self.pending.retain(keep);
        self.pending_tokens = self.pending.iter().map(|prompt| prompt.tokens).sum();
    }

    /// Takes over that requests wait at the engine, whoever sent them: other dispatchers may use it
    /// at the same time. Those beyond ours mean that it reads for others first.
    pub fn note_waiting(&mut self, now: Moment, waiting: u32) {
        let known = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
        let others = waiting.saturating_sub(known);
        if others > UNATTRIBUTED_WAITING {
            let held = (self.pace.mean_prefill_time() * others).min(MAX_HOLD);
            self.others_until = self.others_until.max(now + held);
        }
    }

    /// Leaves others their part of the engine: what runs here tells how much each uses. The pace itself
    /// is learnt with the others at work, so only the time ahead is shared.
    pub fn update_share(&mut self, own: u32, foreign: u32) {
        let all = u64::from(own + foreign);
        self.share = match foreign {
            0..=UNATTRIBUTED_REQUESTS => 100,
            _ => (u64::from(own) * 100 / all).max(MIN_SHARE),
        };
    }

    /// Uses this part of the time ahead, in percent, while no report tells who else uses the engine.
    pub fn reset_share(&mut self, share: u64) {
        self.share = share;
    }

    /// Takes over what the engine itself says of its cache. From then on it is its word that drops parts.
    pub fn learn_kept(&mut self, news: &CacheUpdate, changes: &mut Vec<PartChange>) {
        self.reports_cache = true;
        if news.whole {
            self.kept.clear(changes);
        }
        for prefix in &news.dropped {
            self.kept.drop(*prefix, changes);
        }
        for part in &news.kept {
            self.kept.touch(part.prefix, u64::from(part.tokens), changes);
        }
        self.shrink_kept(changes);
    }

    fn shrink_kept(&mut self, changes: &mut Vec<PartChange>) {
        let percent = if self.reports_cache { REPORTED_CACHE_PERCENT } else { CACHE_PERCENT };
        self.kept.shrink(self.memory * percent / 100, changes);
    }
}
