//! Which endpoint suits a ticket best.

use super::endpoints::{EndpointIndex, EndpointState, EndpointTable};
use super::engine::PromptShape;
use super::engine_queues::WorkAhead;
use micaspool_types::{HallMask, Moment};
use std::time::Duration;

/// How many free engines that keep a part of a prompt are compared, and how many busy ones.
const MAX_HOLDERS: usize = 16;
/// How many of the least loaded engines of a hall are compared.
const LEAST_LOADED_PER_HALL: usize = 4;

/// What an engine is wanted for.
pub(super) struct EngineQuery<'a> {
    pub prompt: &'a PromptShape,
    /// Where it may run.
    pub halls: HallMask,
    /// True for an endpoint that it may not go to now.
    pub is_excluded: &'a dyn Fn(EndpointIndex) -> bool,
    /// When its first event is wanted; `None` for whenever it comes.
    pub wanted_by: Option<Moment>,
}

/// How well an engine suits a prompt; the least is best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EngineScore {
    /// True when the first event would come later than wanted.
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

    /// The engine that would give a prompt its first token soonest: one that keeps a part of it, free or not,
    /// or one of the least loaded free ones. One that is in time goes before one that is not. `queued` tells which
    /// tickets wait for each already. `None` when there is no such engine.
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
                late: query.wanted_by.is_some_and(|wanted| first_event_at > wanted),
                delay: engine.delay(now, query.prompt, state.busy, ahead.tokens)
                    + cold_delay.as_micros() as u64,
                engine: index,
            })
        });
        scores.min().map(|best| best.engine)
    }

    /// The tokens that an engine would have to read for a prompt.
    pub fn uncached_tokens(&self, engine: EndpointIndex, prompt: &PromptShape) -> u64 {
        self.state(engine).engine.as_ref().map_or(0, |engine| engine.uncached_tokens(prompt))
    }

    /// Where an engine that nothing is known of starts, in microseconds a token: the mean of the warm
    /// engines that were observed, else what settings plan.
    pub fn default_per_token(&self, now: Moment, planned_pace: f64) -> Option<f64> {
        let warm = self.states.iter().filter(|state| !state.availability.cold.is_cold(now));
        let engines = warm.filter_map(|state| state.engine.as_ref());
        let known: Vec<f64> = engines.filter_map(|engine| engine.pace().settled_per_token()).collect();
        if known.is_empty() {
            return (planned_pace > 0.0).then(|| 1_000.0 / planned_pace);
        }
        Some(known.iter().sum::<f64>() / known.len() as f64)
    }

    /// What the open endpoints do together in a second: the tokens that engines read, or the requests that others
    /// take. Infinite where nothing is known yet.
    pub fn load_per_second(&self, now: Moment) -> f64 {
        let open = || self.iter().filter(|state| state.is_open());
        if self.has_no_engine() {
            return self.service_time.requests_per_second(open().map(|state| state.slots).sum());
        }
        let spacing = self.cold_spacing();
        let load = |state: &EndpointState| {
            let pace = state.engine.as_ref()?.pace();
            let warm = pace.tokens_per_milli() * 1_000.0;
            let usual = pace.mean_prefill_time();
            let is_bounded = state.availability.cold.is_cold(now) && !spacing.is_zero() && !usual.is_zero();
            let used = if is_bounded { usual.div_duration_f64(spacing).min(1.0) } else { 1.0 };
            Some(warm * used)
        };
        open().filter_map(load).sum()
    }

    /// True for a plain service: none of its endpoints is a language model.
    pub fn has_no_engine(&self) -> bool {
        self.iter().all(|state| state.engine.is_none())
    }

    /// From a grant to the first event at the engine that would begin soonest without a queue; where there are no
    /// engines, until an answer usually begins.
    pub fn min_time_to_first_event(&self, now: Moment, prompt: &PromptShape) -> Duration {
        let anywhere =
            EngineQuery { prompt, halls: HallMask(u32::MAX), is_excluded: &|_| false, wanted_by: None };
        let best = self.soonest_engine(now, &anywhere, |_| WorkAhead::default());
        let engine = best.and_then(|index| self.state(index).engine.as_ref());
        engine.map_or(self.answer_time.mean(), |engine| engine.unqueued_time_to_first_event(prompt))
    }

    /// Engines with a slot that keep the longest leading part of a prompt that any of them keeps, free ones first: the
    /// few that are compared would else be the busy ones that kept it first.
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

    /// The few least loaded free endpoints of each hall that are not excluded. Taken before those are left out, a
    /// ticket would find nothing in a hall whose least loaded endpoints it may not use.
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
