//! Model of a language model engine: its queued prefill work and its cached prompt parts.
//!
//! An engine processes prompts in order of arrival and skips the leading parts that it has cached.
//! Between two chunks of a prompt it generates one token for each running request, so continuous
//! prefill slows down every stream. The prefill rate is learnt from observations (see [`PrefillRate`]).

use super::cache_sources::SourceRecord;
use super::copy_link::{CopyQueues, PlannedCopy};
use super::endpoints::EndpointIndex;
use super::parts::PartCache;
use super::stream_pauses::StreamPauses;
use crate::event::{CacheUpdate, RequestTicket};
use micaspool_engine::{DecodeRate, PrefillClock, PrefillRate, PrefillWork, StatedOutput, StreamSpan};
use micaspool_types::{Cost, Moment, RequestId};
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

/// The share of an engine's memory that is assumed to hold cached prompt parts, in percent. The rest is
/// used by the output of running requests.
const CACHE_PERCENT: u64 = 80;
/// The same share for an engine that reports its cache. It only limits parts whose eviction was never
/// reported.
const REPORTED_CACHE_PERCENT: u64 = 120;
/// The share of the learnt prefill rate at which an engine is given tokens, in percent.
pub(super) const RATE_PERCENT: u32 = 90;
/// An engine with this much queued prefill work gets no further prompts. The limit bounds the work that
/// a request of another customer can no longer overtake, and the delay of first events. A shorter limit
/// lets engines run idle between two grants.
const MAX_PREFILL_QUEUE: Duration = Duration::from_millis(80);
/// Added to the end of an expected time, which moments round down to microseconds. At a moment before the end the
/// engine would still be closed, and nothing would wake the shard again.
const ROUNDING: Duration = Duration::from_micros(1);
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
/// The weight of a copied token beside its copy time, in percent of the weight of an uncached one. A copy
/// takes no prefill capacity, but evicts other cached parts and costs bytes. With this weight, a replayed
/// load copies half as many tokens as without and prefills fewer shared parts again.
const COPIED_PERCENT: u64 = 10;
/// A first event this many times later than expected without a copy shows a slow engine, whatever became
/// of the copy.
const SLOW_FACTOR: f64 = 1.3;
/// While the first event of a prompt without a copy is this recent, one that is late for an unknown reason
/// isn't used to learn the prefill rate.
const RECENT_OBSERVATION: Duration = Duration::from_secs(1);

/// The factor by which the delay of grants and reports falls with each shorter one.
const DELAY_DECAY: f64 = 0.9;
/// The longest such delay that is expected. A longer one looks like a silent engine.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The properties of a ticket's prompt that placement needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct PromptShape {
    /// Hashes of the prompt's prefixes, the shortest first.
    pub prefixes: Box<[u64]>,
    /// How many tokens each prefix adds to the previous one.
    pub tokens: Box<[u32]>,
    /// The number of tokens in the whole prompt.
    pub total: u64,
    /// The longest pause between two events that keeps its stream in time; `None` without such a target.
    pub pause: Option<Duration>,
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
            pause: ticket.generation.pause,
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
    /// The tokens that the engine prefills.
    tokens: u64,
    granted_at: Moment,
    /// The copy that precedes prefill, if any.
    copy: Option<PlannedCopy>,
}

impl PendingPrompt {
    /// When its copy may have ended at the earliest, or when it was granted.
    fn copied_at(&self) -> Moment {
        self.copy.map_or(self.granted_at, |copy| self.granted_at + copy.total())
    }

    fn copied_tokens(&self) -> u64 {
        self.copy.map_or(0, |copy| copy.tokens)
    }

    /// The prompt as of when its router sent it, and the moment of its first event, which is handled now.
    /// Without timing both are what the shard observed.
    fn timed(self, now: Moment, timing: Option<RunTiming>) -> (PendingPrompt, Moment) {
        let Some(timing) = timing else { return (self, now) };
        let began_at = timing.first_event_at.max(self.granted_at);
        let sent_at = Moment(began_at.0.saturating_sub(timing.after_send.as_micros() as u64));
        (PendingPrompt { granted_at: self.granted_at.max(sent_at), ..self }, began_at)
    }
}

/// What an engine has to do for a prompt before its first event.
#[derive(Debug, Clone, Copy)]
pub(super) struct PromptWork {
    /// The tokens to prefill; at least one.
    pub prefill_tokens: u64,
    /// The time that a copy adds to waiting and prefill.
    pub copy_delay: Duration,
    /// The tokens that it copies.
    pub copied_tokens: u64,
}

/// What the first event of a prompt shows about the copy that preceded its prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct CopyObservation {
    pub source: EndpointIndex,
    pub outcome: CopyOutcome,
    /// The expected time by which the copy delayed prefill.
    pub expected: Duration,
    /// The observed time, in microseconds; `None` if the copy takes as long as prefill of the copied tokens.
    pub observed: Option<f64>,
}

/// Whether a copy seems to have brought the parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CopyOutcome {
    /// The first event came about when it was expected.
    Copied,
    /// It came about as late as if the parts had been prefilled.
    Missed,
    /// It came even later, or both times are alike.
    Unclear,
}

impl CopyOutcome {
    /// The outcome that a first event after `took` shows, if it was expected after `if_copied` with the copied
    /// parts and after `if_missed` without them.
    fn of(took: Duration, if_copied: Duration, if_missed: Duration) -> CopyOutcome {
        let is_separable = if_copied < if_missed;
        let latest_if_copied = (if_copied + if_missed) / 2;
        match took {
            _ if !is_separable || took > if_missed.mul_f64(SLOW_FACTOR) => CopyOutcome::Unclear,
            _ if took > latest_if_copied => CopyOutcome::Missed,
            _ => CopyOutcome::Copied,
        }
    }
}

/// What the first event of a prompt shows.
#[derive(Debug, Clone, Copy)]
pub(super) enum FirstEvent {
    /// The prompt was prefilled as a whole, as far as it was not cached.
    Prefilled(PrefillObservation),
    /// Parts of it were to be copied from another engine.
    Copied(CopyObservation),
}

/// When a run was sent and began, as its router observed it. What the shard itself observes includes the time
/// that grants and reports spend in routers and in its own queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunTiming {
    /// When the first event came, by the shard's clock.
    pub first_event_at: Moment,
    /// The time from sending the request to its first event.
    pub after_send: Duration,
}

/// The first event of a prompt without a copy, as observed for the prefill rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefillObservation {
    /// The tokens that the engine had to prefill.
    pub tokens: u64,
    /// See [`PrefillRate::observe`].
    pub took: Duration,
    /// True if the engine had nothing to prefill at the grant.
    pub idle: bool,
}

/// What every ticket that considers an engine needs of it at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EngineOutlook {
    at: Moment,
    /// The expected time until all queued prompts are processed and the streams have room for another one.
    time_until_prefill: Duration,
    /// See [`EngineState::unanswered_tokens`].
    unanswered_tokens: u64,
    /// True if these tokens leave no room for another prompt.
    is_filled: bool,
    /// The most prefill work between two events that keeps all pauses; `None` without streams.
    prefill_limit: Option<Duration>,
    /// True if the first event of a prompt is overdue. When the engine will process another one is unknown
    /// then, or whether it still responds.
    pub is_overdue: bool,
    /// True if the engine's streams get less than one event per pause.
    pub is_behind: bool,
}

/// The state of one engine.
#[derive(Debug)]
pub(super) struct EngineState {
    memory: u64,
    /// Granted prompts without a first event, in the order of their grants.
    pending: VecDeque<PendingPrompt>,
    pending_tokens: u64,
    /// When the most recent first event came.
    last_first_event: Moment,
    /// How long grants and reports of recent prompts were under way between the shard and the engine.
    report_delay: Duration,
    /// The share of the prefill budget that this shard may use, in percent.
    share: u64,
    /// When the engine will have processed all granted prompts at `RATE_PERCENT` of its learnt rate.
    paced_until: Moment,
    /// Until when the engine is assumed to process prompts of others, according to its load reports.
    others_until: Moment,
    rate: PrefillRate,
    /// When the first event of a prompt without a copy last arrived.
    uncopied_observed_at: Moment,
    /// The source of the last copy to this engine, if it seems to have brought nothing.
    missed_source: Option<EndpointIndex>,
    streams: StreamPauses,
    decode: DecodeRate,
    /// The prefill that it has done so far.
    clock: PrefillClock,
    cached: PartCache,
    /// True once the engine has reported its cache.
    reports_cache: bool,
    /// When its copies to and from other engines end.
    pub(super) copies: CopyQueues,
    /// What is known about copies from it.
    pub(super) source_record: SourceRecord,
    /// The outlook computed last, until something changes that it follows from.
    outlook: Cell<Option<EngineOutlook>>,
}

impl EngineState {
    /// An engine without grants; `per_token` is the initial prefill time per token in microseconds.
    pub fn new(memory: u64, share: u64, per_token: Option<f64>) -> EngineState {
        EngineState {
            memory,
            pending: VecDeque::new(),
            pending_tokens: 0,
            last_first_event: Moment(0),
            report_delay: Duration::ZERO,
            share,
            paced_until: Moment(0),
            others_until: Moment(0),
            rate: PrefillRate::new(per_token),
            uncopied_observed_at: Moment(0),
            missed_source: None,
            streams: StreamPauses::default(),
            decode: DecodeRate::default(),
            clock: PrefillClock::default(),
            cached: PartCache::default(),
            reports_cache: false,
            copies: CopyQueues::default(),
            source_record: SourceRecord::default(),
            outlook: Cell::new(None),
        }
    }

    /// The outlook at a moment. Many tickets are decided at the same moment, so it is computed once.
    pub fn outlook(&self, now: Moment) -> EngineOutlook {
        if let Some(known) = self.outlook.get().filter(|outlook| outlook.at == now) {
            debug_assert_eq!(
                known,
                self.compute_outlook(now),
                "every change of the engine clears the outlook"
            );
            return known;
        }
        let outlook = self.compute_outlook(now);
        self.outlook.set(Some(outlook));
        outlook
    }

    fn compute_outlook(&self, now: Moment) -> EngineOutlook {
        let unanswered_tokens = self.unanswered_tokens(now);
        let prefill_limit = self.streams.prefill_limit(&self.rate);
        let overdue_time = self.overdue_time(now);
        EngineOutlook {
            at: now,
            time_until_prefill: self.queued_prefill_time(now).max(self.pause_wait(now)),
            unanswered_tokens,
            is_filled: self.is_filled_by(unanswered_tokens),
            prefill_limit,
            is_overdue: !overdue_time.is_zero(),
            is_behind: self.streams.is_behind(now),
        }
    }

    fn clear_outlook(&mut self) {
        self.outlook.set(None);
    }

    /// Sets the memory size, in tokens, from newer settings.
    pub fn resize(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// Sets the number of tokens in one event of a stream; zero if unknown.
    pub fn set_event_tokens(&mut self, event_tokens: u32) {
        self.clear_outlook();
        self.streams.set_event_tokens(event_tokens);
    }

    /// The learnt prefill rate.
    pub fn rate(&self) -> &PrefillRate {
        &self.rate
    }

    /// Replaces the initial prefill time per token, unless there are observations already.
    pub fn assume_rate(&mut self, per_token: Option<f64>) {
        self.clear_outlook();
        self.rate.assume(per_token);
    }

    /// Starts from another prefill rate, unless the engine's own is settled.
    pub fn restart_rate(&mut self, now: Moment, per_token: Option<f64>) {
        self.clear_outlook();
        if self.rate.settled_per_token().is_none() {
            self.rate = PrefillRate::new(per_token);
            self.repace(now);
        }
    }

    /// Shortens the pacing of earlier grants to the present rate until the rate is settled. Otherwise an
    /// engine whose rate was assumed far too low gets no prompts for seconds after it has shown its real one.
    pub fn repace(&mut self, now: Moment) {
        self.clear_outlook();
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
        now + excess + ROUNDING
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
        let start = self.prefill_start(oldest);
        let remaining = self.rate.prefill_time(self.pending_tokens).saturating_sub(now.since(start));
        start.since(now) + remaining + self.overdue_time(now)
    }

    /// By how much the first event of the oldest pending prompt is overdue.
    fn overdue_time(&self, now: Moment) -> Duration {
        let Some(oldest) = self.pending.front() else { return Duration::ZERO };
        let usual = self.rate.prefill_time(oldest.tokens) * LATE_FACTOR + self.rate.latency() * 2;
        // If the copy fails, the engine prefills its tokens as well.
        let usual = usual + self.rate.prefill_time(oldest.copied_tokens()) + self.report_delay;
        now.since(self.prefill_start(oldest)).saturating_sub(usual)
    }

    /// When processing of `prompt`, the oldest pending one, began or will begin: at its grant, or when
    /// the previous prompt was done, or when its copy has ended.
    fn prefill_start(&self, prompt: &PendingPrompt) -> Moment {
        let idle_since = self.idle_since(prompt);
        match prompt.copy {
            Some(copy) => idle_since.max(prompt.granted_at + copy.wait) + copy.duration,
            None => idle_since,
        }
    }

    /// When the engine had nothing left to prefill but `prompt`: at its grant, or when the previous
    /// prompt was done.
    fn idle_since(&self, prompt: &PendingPrompt) -> Moment {
        let latency = self.rate.latency().as_micros() as u64;
        prompt.granted_at.max(Moment(self.last_first_event.0.saturating_sub(latency)))
    }

    /// How many of a prompt's leading tokens are cached here, or will be once the pending prompts are
    /// prefilled.
    pub fn cached_tokens(&self, prompt: &PromptShape) -> u64 {
        let cached_parts = prompt.parts().take_while(|(prefix, _)| self.cached.has(*prefix));
        cached_parts.map(|(_, tokens)| tokens).sum()
    }

    /// How many of a prompt's leading tokens another engine can copy from here.
    pub fn present_tokens(&self, prompt: &PromptShape) -> u64 {
        let present_parts = prompt.parts().take_while(|(prefix, _)| self.cached.is_present(*prefix));
        present_parts.map(|(_, tokens)| tokens).sum()
    }

    /// Records that a copy of this part from here seems to have brought nothing. The engine is no source
    /// of the part until a first event or a report shows that it has it.
    pub fn doubt_part(&mut self, prefix: u64) {
        self.cached.set_present(prefix, false);
    }

    /// What this engine has to do for a prompt of which `cached` tokens are cached here, after the queue
    /// `queue_time`.
    pub fn work_of(
        &self,
        prompt: &PromptShape,
        cached: u64,
        copy: Option<PlannedCopy>,
        queue_time: Duration,
    ) -> PromptWork {
        let copied_tokens = copy.map_or(0, |copy| copy.tokens);
        PromptWork {
            copied_tokens,
            prefill_tokens: prompt.total.saturating_sub(cached + copied_tokens).max(1),
            copy_delay: copy
                .map_or(Duration::ZERO, |copy| copy.wait.saturating_sub(queue_time) + copy.duration),
        }
    }

    /// The expected time until the queued prompts and `tokens_before` tokens for other waiting tickets
    /// are prefilled.
    pub fn queue_time(&self, now: Moment, tokens_before: u64) -> Duration {
        let outlook = self.outlook(now);
        let prefill_before = self.rate.prefill_time(tokens_before);
        let gaps = self.streams.gaps_within(prefill_before, outlook.prefill_limit, &self.rate);
        outlook.time_until_prefill + prefill_before + gaps
    }

    /// The expected time until enough prompts are answered for another one to be granted without breaking the
    /// pauses of streams.
    fn pause_wait(&self, now: Moment) -> Duration {
        let Some(oldest) = self.pending.front() else { return Duration::ZERO };
        let passed = now.since(self.prefill_start(oldest));
        let mut unanswered = self.unanswered_tokens(now);
        let (mut processed, mut wait) = (0, Duration::ZERO);
        for prompt in &self.pending {
            processed += prompt.tokens;
            if !self.is_filled_by(unanswered) {
                break;
            }
            let prefill = self.rate.prefill_time(processed);
            let surely_answered = self.streams.time_until_answered(prefill, &self.rate);
            if passed < surely_answered {
                let first_event = prefill + self.rate.latency();
                let expected = if passed < first_event { first_event } else { surely_answered };
                wait = expected.min(surely_answered) - passed;
                unanswered = unanswered.saturating_sub(prompt.tokens);
            }
        }
        wait
    }

    /// The tokens of the prompts that may still delay an event: their first events have not come, nor
    /// has the time passed in which they surely were prefilled. Before any stream has begun, the oldest
    /// prompt delays none.
    fn unanswered_tokens(&self, now: Moment) -> u64 {
        let Some(oldest) = self.pending.front() else { return 0 };
        let passed = now.since(self.prefill_start(oldest));
        let (mut processed, mut answered) = (0, 0);
        for prompt in &self.pending {
            processed += prompt.tokens;
            let prefill = self.rate.prefill_time(processed);
            if passed < self.streams.time_until_answered(prefill, &self.rate) {
                break;
            }
            answered = processed;
        }
        let harmless = if self.streams.has_begun() { 0 } else { oldest.tokens };
        self.pending_tokens - answered.max(harmless)
    }

    fn is_filled_by(&self, unanswered_tokens: u64) -> bool {
        self.streams.is_filled(self.rate.prefill_time(unanswered_tokens), &self.rate)
    }

    /// When the engine is expected to have room for a prompt again without breaking the pauses of its
    /// streams; `None` if it has.
    pub fn filled_until(&self, now: Moment) -> Option<Moment> {
        self.outlook(now).is_filled.then(|| now + self.pause_wait(now) + ROUNDING)
    }

    /// The expected number of streams that break their pause if a prompt with this many tokens to prefill is
    /// granted now, or once the engine takes it, in percent of a stream.
    pub fn expected_breaks(&self, now: Moment, prefill_tokens: u64) -> u64 {
        let outlook = self.outlook(now);
        let before = if outlook.is_filled { 0 } else { outlook.unanswered_tokens };
        let prefill = self.rate.prefill_time(before + prefill_tokens);
        self.streams.expected_breaks(prefill, outlook.prefill_limit, &self.rate)
    }

    /// Until when the engine gets no prompt because it is behind its streams; `None` if it may get one.
    pub fn closed_until(&mut self, now: Moment) -> Option<Moment> {
        self.streams.closed_until(now)
    }

    /// Records the first event of a request or its later progress; true if it is a stream with a pause.
    pub fn note_progress(&mut self, now: Moment, request: RequestId, delivered: Cost) -> bool {
        self.clear_outlook();
        self.streams.note_progress(now, request, delivered)
    }

    /// Removes a request that has ended from the streams; true if it was one with a pause.
    pub fn end_stream(&mut self, request: RequestId) -> bool {
        self.clear_outlook();
        self.streams.remove(request)
    }

    /// The weighted delay of a prompt's first token in microseconds, if `tokens_before` tokens for
    /// other waiting tickets are processed first. Tokens to prefill weigh `uncached_percent` of their
    /// prefill time, and copied ones [`COPIED_PERCENT`] of that, but at least [`MIN_COPIED_PERCENT`] of their
    /// prefill time.
    pub fn delay(
        &self,
        now: Moment,
        work: &PromptWork,
        running: u32,
        tokens_before: u64,
        uncached_percent: u64,
    ) -> u64 {
        let uncached_tokens = work.prefill_tokens * uncached_percent / 100;
        let copied_tokens = work.copied_tokens * uncached_percent * COPIED_PERCENT / 10_000;
        let weighted_tokens = uncached_tokens + copied_tokens;
        let tokens = tokens_before + weighted_tokens + u64::from(running) * RUNNING_REQUEST_TOKENS;
        let delay = self.outlook(now).time_until_prefill + self.rate.prefill_time(tokens) + work.copy_delay;
        delay.as_micros() as u64
    }

    /// The expected time from a grant to the first event of a prompt on an engine without queued
    /// prompts.
    pub fn unqueued_time_to_first_event(&self, work: &PromptWork) -> Duration {
        self.rate.latency() + work.copy_delay + self.rate.prefill_time(work.prefill_tokens)
    }

    /// Records a grant of a prompt to this engine, and appends the resulting cache changes to
    /// `changes`.
    pub fn record_grant(
        &mut self,
        now: Moment,
        request: RequestId,
        prompt: &PromptShape,
        copy: Option<PlannedCopy>,
        changes: &mut Vec<PartChange>,
    ) {
        self.clear_outlook();
        let cached = self.cached_tokens(prompt);
        let tokens = self.work_of(prompt, cached, copy, Duration::ZERO).prefill_tokens;
        self.pending.push_back(PendingPrompt { request, tokens, granted_at: now, copy });
        self.pending_tokens += tokens;
        self.streams.add(request, prompt.pause);
        let paced = self.rate.prefill_time(tokens) * 100 / RATE_PERCENT;
        self.paced_until = self.paced_until.max(now) + paced;
        for (prefix, tokens) in prompt.parts() {
            self.cached.touch(prefix, tokens, changes);
        }
        self.evict_excess(changes);
    }

    /// Records the first event of a prompt and learns from it. Engines process prompts in order of
    /// arrival, so prompts granted clearly earlier are done as well and only their first events are
    /// delayed. `None` if the prompt is unknown.
    pub fn note_first_event(
        &mut self,
        now: Moment,
        request: RequestId,
        shape: &PromptShape,
        timing: Option<RunTiming>,
    ) -> Option<FirstEvent> {
        self.clear_outlook();
        shape.prefixes.iter().for_each(|prefix| self.cached.set_present(*prefix, true));
        let known = self.pending.iter().find(|prompt| prompt.request == request).copied();
        let Some(prompt) = known else {
            // It was taken for done, and the engine prefilled it nevertheless until now.
            let began_at = timing.map_or(Moment(0), |timing| timing.first_event_at);
            self.last_first_event = self.last_first_event.max(began_at);
            return None;
        };
        let (sent, began_at) = prompt.timed(now, timing);
        self.note_delay(sent.granted_at.since(prompt.granted_at) + now.since(began_at));
        let first = match prompt.copy {
            Some(copy) => FirstEvent::Copied(self.observe_copied(began_at, &sent, copy)),
            None => FirstEvent::Prefilled(self.observe_prefilled(began_at, &sent)),
        };
        let prefill_start = self.prefill_start(&sent);
        let latency = self.rate.latency();
        let prefill_time = began_at.since(prefill_start).saturating_sub(latency);
        let pending_before = self.pending_tokens;
        self.last_first_event = self.last_first_event.max(began_at);
        self.retain_pending(|other| {
            let may_precede = other.granted_at + latency >= prompt.granted_at || other.copied_at() > now;
            other.request != request && may_precede
        });
        let done = pending_before - self.pending_tokens;
        self.clock.complete(done, prefill_time, self.rate.prefill_time(done));
        Some(first)
    }

    /// Records how long a grant and the report of its first event were under way.
    fn note_delay(&mut self, delay: Duration) {
        self.report_delay = self.report_delay.mul_f64(DELAY_DECAY).max(delay.min(MAX_DELAY));
    }

    /// Learns from the first event of a prompt without a copy.
    fn observe_prefilled(&mut self, now: Moment, prompt: &PendingPrompt) -> PrefillObservation {
        let idle = self.idle_since(prompt) == prompt.granted_at;
        let since = if idle { prompt.granted_at } else { self.last_first_event };
        let observation = PrefillObservation { tokens: prompt.tokens, took: now.since(since), idle };
        self.rate.observe(now, observation.tokens, observation.took, idle);
        self.uncopied_observed_at = now;
        observation
    }

    /// Learns from the first event of a prompt of which tokens were copied. The latency isn't learnt from
    /// it, as a copy that takes a few milliseconds longer would count as latency. A slow engine and a copy
    /// that brought nothing look alike. Prompts without a copy show which one it is, or copies from several
    /// sources that all seem to have brought nothing.
    fn observe_copied(&mut self, now: Moment, prompt: &PendingPrompt, copy: PlannedCopy) -> CopyObservation {
        let idle_since = self.idle_since(prompt);
        let copying = self.prefill_start(prompt).since(idle_since);
        let rest = self.rate.prefill_time(prompt.tokens);
        let if_missed = self.rate.prefill_time(prompt.tokens + copy.tokens);
        let took = now.since(idle_since).saturating_sub(self.rate.latency());
        let if_copied = copying + rest;
        let outcome = CopyOutcome::of(took, if_copied, if_missed);
        let prefill_time = took.saturating_sub(copying);
        let is_rate_unknown = now.since(self.uncopied_observed_at) > RECENT_OBSERVATION;
        let missed_before = self.missed_source.is_some_and(|source| source != copy.source);
        if outcome != CopyOutcome::Missed || (is_rate_unknown && missed_before) {
            self.rate.observe(now, prompt.tokens, prefill_time, false);
        }
        self.missed_source = (outcome == CopyOutcome::Missed).then_some(copy.source);
        let most = self.rate.prefill_time(copy.tokens).as_micros() as f64;
        let extra = took.as_micros() as f64 - rest.as_micros() as f64;
        CopyObservation {
            source: copy.source,
            outcome,
            expected: copying,
            observed: (if_copied < if_missed).then(|| extra.clamp(-most, most)),
        }
    }

    /// Removes a prompt whose request ended before its first event.
    pub fn withdraw(&mut self, request: RequestId) {
        self.retain_pending(|prompt| prompt.request != request);
    }

    fn retain_pending(&mut self, keep: impl Fn(&PendingPrompt) -> bool) {
        self.clear_outlook();
        self.pending.retain(keep);
        self.pending_tokens = self.pending.iter().map(|prompt| prompt.tokens).sum();
    }

    /// Records how many requests wait at the engine according to a load report. Those unknown to this
    /// shard come from other dispatchers and are assumed to be processed first.
    pub fn note_waiting(&mut self, now: Moment, waiting: u32) {
        self.clear_outlook();
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
            self.cached.set_present(part.prefix, true);
        }
        self.evict_excess(changes);
    }

    fn evict_excess(&mut self, changes: &mut Vec<PartChange>) {
        let percent = if self.reports_cache { REPORTED_CACHE_PERCENT } else { CACHE_PERCENT };
        self.cached.shrink(self.memory * percent / 100, changes);
    }
}
