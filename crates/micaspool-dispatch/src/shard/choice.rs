//! Chooses the endpoint for a ticket.

use super::endpoints::{EndpointIndex, EndpointState, EndpointTable};
use super::engine::PromptShape;
use super::engine_queues::WorkAhead;
use micaspool_types::{HallMask, Moment};
use std::time::Duration;

/// How many free engines that cache part of a prompt are compared, and how many busy ones.
const MAX_HOLDERS: usize = 16;
/// How many of the least loaded engines of each hall are compared.
const LEAST_LOADED_PER_HALL: usize = 4;

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
    /// True if the first event of an earlier prompt is overdue.
    overdue: bool,
    /// True if the first event is expected after the deadline.
    late: bool,
    /// See [`EngineState::delay`](super::engine::EngineState::delay).
    delay: u64,
    engine: EndpointIndex,
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
    /// those that meet the deadline. `queued` returns the work already queued for an engine. `None` if
    /// there is no candidate.
    pub fn soonest_engine(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        queued: impl Fn(EndpointIndex) -> WorkAhead,
    ) -> Option<EndpointIndex> {
        let holders = self.holders_of(query);
        let candidates = holders.chain(self.least_loaded_few(query));
        let scores = candidates.filter_map(|index| {
            let state = self.state(index);
            let engine = state.engine.as_ref()?;
            let ahead = queued(index);
            let cold_delay = self.cold_wait(now, index, ahead.tickets);
            let first_event_at =
                now + cold_delay + engine.time_to_first_event(now, query.prompt, ahead.tokens);
            Some(EngineScore {
                overdue: engine.is_overdue(now),
                late: query.first_event_due.is_some_and(|due| first_event_at > due),
                delay: engine.delay(
                    now,
                    query.prompt,
                    state.busy,
                    ahead.tokens,
                    self.scarcity.uncached_percent,
                ) + cold_delay.as_micros() as u64,
                engine: index,
            })
        });
        scores.min().map(|best| best.engine)
    }

    /// How many tokens of a prompt the engine does not have cached.
    pub fn uncached_tokens(&self, engine: EndpointIndex, prompt: &PromptShape) -> u64 {
        self.state(engine).engine.as_ref().map_or(0, |engine| engine.uncached_tokens(prompt))
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

    /// The shortest expected time from a grant to the first event on an engine without a queue. For a
    /// service without engines, the mean time until a response begins.
    pub fn min_time_to_first_event(&self, now: Moment, prompt: &PromptShape) -> Duration {
        let anywhere =
            EngineQuery { prompt, halls: HallMask(u32::MAX), is_excluded: &|_| false, first_event_due: None };
        let best = self.soonest_engine(now, &anywhere, |_| WorkAhead::default());
        let engine = best.and_then(|index| self.state(index).engine.as_ref());
        let states_output = prompt.output.is_known() && !self.has_no_engine();
        match engine {
            _ if states_output && self.rates_are_assumed(now) => self.learnt_latency(),
            Some(engine) => engine.unqueued_time_to_first_event(prompt),
            None if states_output => self.mean_time_to_first_event(prompt),
            None => self.answer_time.mean(),
        }
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
