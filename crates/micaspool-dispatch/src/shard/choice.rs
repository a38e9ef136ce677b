//! Chooses the endpoint for a ticket.

use super::cache_sources::CacheSources;
use super::copy_link::PlannedCopy;
use super::endpoints::{EndpointIndex, EndpointState, EndpointTable};
use super::engine::PromptShape;
use super::engine_queues::WorkAhead;
use micaspool_types::{HallMask, Moment};
use std::time::Duration;

/// How many free engines that cache part of a prompt are compared, and how many busy ones.
const MAX_HOLDERS: usize = 16;
/// How many of the least loaded engines of each hall are compared.
const LEAST_LOADED_PER_HALL: usize = 4;

/// How many of the engines that become free soonest are compared if the others break pauses.
const MAX_SOON_FREE: usize = 16;

/// What a late first event counts in percent of a stream that breaks its pause. A ticket that is late at every
/// engine is mostly refused in the end and loses its whole value, while a late stream keeps a part of it.
const LATE_PERCENT: u64 = 150;

/// Requirements for choosing an engine.
pub(super) struct EngineQuery<'a> {
    pub prompt: &'a PromptShape,
    /// The halls in which the request may run.
    pub halls: HallMask,
    /// Returns true for endpoints that must not get the request now.
    pub is_excluded: &'a dyn Fn(EndpointIndex) -> bool,
    /// When the first event of the response is due; `None` without a deadline.
    pub first_event_due: Option<Moment>,
}

/// How well an engine suits a prompt; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EngineScore {
    /// True if the first event of an earlier prompt is overdue, or the engine is behind its streams.
    overdue: bool,
    /// The responses that are expected to lose value, in percent of one: running streams that the prompt
    /// delays beyond their pause, and the prompt's own response if its first event is expected after the deadline.
    losses: u64,
    /// See [`EngineState::delay`](super::engine::EngineState::delay).
    delay: u64,
    engine: EndpointIndex,
}

impl EngineScore {
    /// True if no response is expected to lose value, and no first event is overdue.
    fn is_sound(&self) -> bool {
        !self.overdue && self.losses == 0
    }
}

/// The engine chosen for a prompt.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChosenEngine {
    pub engine: EndpointIndex,
    /// The copy of cached parts that it makes first, if any.
    pub copy: Option<PlannedCopy>,
    /// The tokens that it prefills.
    pub prefill_tokens: u64,
    /// The expected time from the grant to the first event without queued prompts.
    unqueued_time: Duration,
}

/// An engine compared for a prompt.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    score: EngineScore,
    /// See [`EngineState::expected_breaks`](super::engine::EngineState::expected_breaks).
    breaks: u64,
    /// True if the first event is expected after it is due.
    is_late: bool,
    chosen: ChosenEngine,
}

/// The expected time from a grant to the first event of a prompt.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstEventTime {
    /// What it takes at least. While all engines are at their prefill limit this is the prefill alone: a
    /// ticket that has waited is not refused for a latency that is known only roughly.
    pub shortest: Duration,
    /// What it usually takes.
    pub usual: Duration,
}

impl FirstEventTime {
    fn exactly(time: Duration) -> FirstEventTime {
        FirstEventTime { shortest: time, usual: time }
    }
}

impl EndpointTable {
    /// The free endpoint with the lowest load in one of `halls` that is not excluded.
    pub fn least_loaded(
        &self,
        halls: HallMask,
        is_excluded: impl Fn(EndpointIndex) -> bool,
    ) -> Option<EndpointIndex> {
        let sets = self.free.iter().enumerate().filter(|(hall, _)| halls.contains(*hall));
        let heads = sets.filter_map(|(_, set)| set.iter().find(|(_, endpoint)| !is_excluded(*endpoint)));
        heads.min().map(|(_, endpoint)| *endpoint)
    }

    /// The engine with the lowest expected delay for a prompt, among those that cache part of it (free
    /// or busy) and the least loaded free ones. Engines without an overdue prompt are preferred, then
    /// those where the fewest responses lose value. `queued` returns the work already queued for an engine. `None`
    /// if there is no candidate. An engine may copy the parts that others have cached.
    pub fn soonest_engine(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        queued: impl Fn(EndpointIndex) -> WorkAhead,
    ) -> Option<ChosenEngine> {
        let sources = self.cache_sources(now, query);
        let candidate = |index| self.candidate(now, query, &sources, queued(index), index);
        let engines = self.holders_of(query).chain(self.least_loaded_few(query));
        let best = engines.filter_map(candidate).min_by_key(|candidate| candidate.score)?;
        if best.breaks == 0 {
            return Some(best.chosen);
        }
        let others = self.soonest_free(query).filter_map(candidate);
        others.chain([best]).min_by_key(|candidate| candidate.score).map(|candidate| candidate.chosen)
    }

    /// A free engine at which the first event of a prompt is expected in time and no stream breaks its pause.
    pub fn free_engine_in_time(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        queued: impl Fn(EndpointIndex) -> WorkAhead,
    ) -> Option<ChosenEngine> {
        let sources = self.cache_sources(now, query);
        let sets = self.free.iter().enumerate().filter(|(hall, _)| query.halls.contains(*hall));
        let free = sets.flat_map(|(_, set)| set.iter().map(|(_, endpoint)| *endpoint));
        let usable = free.filter(|index| !(query.is_excluded)(*index));
        let mut candidates =
            usable.filter_map(|index| self.candidate(now, query, &sources, queued(index), index));
        candidates.find(|candidate| candidate.score.is_sound()).map(|candidate| candidate.chosen)
    }

    /// The free engine with the lowest expected delay for a prompt, among those where it is expected in time and
    /// breaks no pause. Free engines that cache part of it and the least loaded ones are compared.
    pub fn soonest_free_in_time(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        queued: impl Fn(EndpointIndex) -> WorkAhead,
    ) -> Option<ChosenEngine> {
        let sources = self.cache_sources(now, query);
        let holders = self.holders_of(query).filter(|index| self.state(*index).is_free());
        let engines = holders.chain(self.least_loaded_few(query));
        let candidates =
            engines.filter_map(|index| self.candidate(now, query, &sources, queued(index), index));
        let sound = candidates.filter(|candidate| candidate.score.is_sound());
        sound.min_by_key(|candidate| candidate.score).map(|candidate| candidate.chosen)
    }

    /// True if the first event of a prompt is expected in time at this engine behind the work queued there.
    pub fn is_in_time(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        ahead: WorkAhead,
        index: EndpointIndex,
    ) -> bool {
        let sources = self.cache_sources(now, query);
        let candidate = self.candidate(now, query, &sources, ahead, index);
        candidate.is_some_and(|candidate| !candidate.is_late)
    }

    /// An endpoint as a candidate for a prompt, behind the work already queued for it; `None` if it is no engine.
    fn candidate(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        sources: &CacheSources,
        ahead: WorkAhead,
        index: EndpointIndex,
    ) -> Option<Candidate> {
        let state = self.state(index);
        let engine = state.engine.as_ref()?;
        let cold_delay = self.cold_wait(now, index, ahead.tickets);
        let queue_time = engine.queue_time(now, ahead.tokens);
        let cached = engine.cached_tokens(query.prompt);
        let copy = self.plan_copy(now, sources, index, cached, queue_time);
        let work = engine.work_of(query.prompt, cached, copy, queue_time);
        let first_event_at = now + cold_delay + queue_time + engine.unqueued_time_to_first_event(&work);
        let is_late = query.first_event_due.is_some_and(|due| first_event_at > due);
        let breaks = engine.expected_breaks(now, work.prefill_tokens);
        let outlook = engine.outlook(now);
        let score = EngineScore {
            overdue: outlook.is_overdue || outlook.is_behind,
            losses: breaks + if is_late { LATE_PERCENT } else { 0 },
            delay: engine.delay(now, &work, state.busy, ahead.tokens, self.scarcity.uncached_percent)
                + cold_delay.as_micros() as u64,
            engine: index,
        };
        let unqueued = engine.work_of(query.prompt, cached, copy, Duration::MAX);
        let chosen = ChosenEngine {
            engine: index,
            copy,
            prefill_tokens: work.prefill_tokens,
            unqueued_time: engine.unqueued_time_to_first_event(&unqueued),
        };
        Some(Candidate { score, breaks, is_late, chosen })
    }

    /// The initial prefill time per token of an engine without observations, in microseconds: the mean
    /// of the warm engines with a settled rate, otherwise from the rate that the settings plan.
    pub fn default_per_token(&self, now: Moment, planned_pace: f64) -> Option<f64> {
        let warm = self.states.iter().filter(|state| !state.availability.cold.is_cold(now));
        let engines = warm.filter_map(|state| state.engine.as_ref());
        let known: Vec<f64> = engines.filter_map(|engine| engine.rate().settled_per_token()).collect();
        if known.is_empty() {
            return self.learnt_per_token().or((planned_pace > 0.0).then(|| 1_000.0 / planned_pace));
        }
        Some(known.iter().sum::<f64>() / known.len() as f64)
    }

    /// The combined capacity of the open endpoints per second: prompt tokens for engines, bounded by prefill
    /// and by slots, otherwise requests. Infinite if nothing has been observed yet.
    pub fn load_per_second(&self, now: Moment) -> f64 {
        let totals = self.totals();
        if self.has_no_engine() {
            let slots = u32::try_from(totals.open_slots).unwrap_or(u32::MAX);
            return self.service_time.requests_per_second(slots);
        }
        if totals.open > 0 && self.rates_are_assumed(now) {
            return f64::INFINITY;
        }
        self.prefill_per_second(now).min(self.slot_bound_load())
    }

    /// The prompt tokens per second that the open engines prefill.
    pub fn prefill_per_second(&self, now: Moment) -> f64 {
        (self.totals().tokens_per_second() - self.unused_while_cold(now)).max(0.0)
    }

    /// The part of the capacity of the open engines, in prompt tokens per second, that is not used because they are
    /// cold.
    fn unused_while_cold(&self, now: Moment) -> f64 {
        let spacing = self.cold_spacing();
        if spacing.is_zero() {
            return 0.0;
        }
        let unused = |state: &EndpointState| {
            let rate = state.engine.as_ref()?.rate();
            let usual = rate.mean_prefill_time();
            let is_bounded = state.availability.cold.is_cold(now) && !usual.is_zero();
            let used = if is_bounded { usual.div_duration_f64(spacing).min(1.0) } else { 1.0 };
            Some(rate.tokens_per_milli() * 1_000.0 * (1.0 - used))
        };
        let cold = self.cold.iter().map(|endpoint| self.state(*endpoint));
        cold.filter(|state| state.is_open()).filter_map(unused).sum()
    }

    /// True if no endpoint of the service is a language model engine.
    pub fn has_no_engine(&self) -> bool {
        self.totals().engines == 0
    }

    /// The time from a grant to the first event of a prompt on an engine without a queue. For a service
    /// without engines, the mean time until a response begins.
    pub fn time_to_first_event(&self, now: Moment, prompt: &PromptShape) -> FirstEventTime {
        let anywhere =
            EngineQuery { prompt, halls: HallMask(u32::MAX), is_excluded: &|_| false, first_event_due: None };
        let best = self.soonest_engine(now, &anywhere, |_| WorkAhead::default());
        let states_output = prompt.output.is_known() && !self.has_no_engine();
        if states_output && self.rates_are_assumed(now) {
            return FirstEventTime::exactly(self.learnt_latency());
        }
        if let Some(chosen) = best {
            return FirstEventTime::exactly(chosen.unqueued_time);
        }
        if self.has_no_engine() {
            return FirstEventTime::exactly(self.answer_time.mean());
        }
        self.time_at_next_available(now, &anywhere).unwrap_or_else(|| {
            let usual = match states_output {
                true => self.mean_time_to_first_event(prompt),
                false => self.mean_prefill_time(prompt),
            };
            FirstEventTime::exactly(usual)
        })
    }

    /// The time from a grant to the first event on the engine whose queued prefill work drops below its limit first.
    fn time_at_next_available(&self, now: Moment, query: &EngineQuery<'_>) -> Option<FirstEventTime> {
        let index = self.next_available_engine()?;
        let engine = self.state(index).engine.as_ref()?;
        let cached = engine.cached_tokens(query.prompt);
        let sources = self.cache_sources(now, query);
        let copy = self.plan_copy(now, &sources, index, cached, Duration::MAX);
        let work = engine.work_of(query.prompt, cached, copy, Duration::MAX);
        let usual = engine.unqueued_time_to_first_event(&work);
        Some(FirstEventTime { shortest: usual.saturating_sub(engine.rate().latency()), usual })
    }

    /// The engine whose queued prefill work drops below its limit first. While all engines are at the limit,
    /// none is a candidate for a prompt, but prefill takes as long as otherwise.
    fn next_available_engine(&self) -> Option<EndpointIndex> {
        let wakes = self.wakes.iter().take(LEAST_LOADED_PER_HALL).map(|(_, index)| *index);
        wakes.into_iter().find(|index| self.state(*index).has_slot() && self.state(*index).engine.is_some())
    }

    /// The prefill time of a prompt without cached parts at the mean rate of the open engines; zero without
    /// open engines.
    fn mean_prefill_time(&self, prompt: &PromptShape) -> Duration {
        let totals = self.totals();
        let seconds = prompt.total as f64 * totals.open as f64 / totals.tokens_per_second();
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Engines with a free slot that cache the longest prefix of the prompt which any such engine
    /// caches; free ones first. Without that order, the limited number of candidates could consist of
    /// busy engines that cached the prefix earliest.
    fn holders_of<'a>(&'a self, query: &'a EngineQuery<'_>) -> impl Iterator<Item = EndpointIndex> + 'a {
        let usable = move |index: &EndpointIndex| {
            let state = self.state(*index);
            state.has_slot() && query.halls.contains(state.hall) && !(query.is_excluded)(*index)
        };
        let levels = query.prompt.prefixes.iter().rev().map(|prefix| self.holders.of(*prefix));
        let deepest = levels.filter(move |engines| engines.iter().any(usable)).take(1);
        let holders = deepest.flatten().copied().filter(usable);
        let is_free = move |index: &EndpointIndex| self.state(*index).is_free();
        let free = holders.clone().filter(is_free).take(MAX_HOLDERS);
        let busy = holders.filter(move |index| !is_free(index)).take(MAX_HOLDERS);
        free.chain(busy)
    }

    /// The busy engines that are expected to take a prompt soonest. They are compared if a prompt would break
    /// pauses on every other candidate: where the free engines are slow ones, waiting for a fast one
    /// is better for their streams.
    fn soonest_free<'a>(&'a self, query: &'a EngineQuery<'_>) -> impl Iterator<Item = EndpointIndex> + 'a {
        let soonest = self.wakes.iter().map(|(_, endpoint)| *endpoint).take(MAX_SOON_FREE);
        soonest.filter(move |index| {
            let state = self.state(*index);
            state.has_slot() && query.halls.contains(state.hall) && !(query.is_excluded)(*index)
        })
    }

    /// The least loaded free endpoints of each hall, without excluded ones. Excluded endpoints are
    /// filtered before the limit applies; otherwise a hall would yield no candidate when its least
    /// loaded endpoints are all excluded.
    fn least_loaded_few<'a>(
        &'a self,
        query: &'a EngineQuery<'_>,
    ) -> impl Iterator<Item = EndpointIndex> + 'a {
        let sets = self.free.iter().enumerate().filter(move |(hall, _)| query.halls.contains(*hall));
        sets.flat_map(move |(_, set)| {
            let usable = set.iter().filter(move |(_, endpoint)| !(query.is_excluded)(*endpoint));
            usable.take(LEAST_LOADED_PER_HALL).map(|(_, endpoint)| *endpoint)
        })
    }
}
