//! Which endpoint suits a ticket best.

use super::endpoints::{EndpointIndex, EndpointTable};
use super::engine::PromptShape;
use micaspool_types::{HallMask, Moment};
use std::time::Duration;

/// How many engines that keep a part of a prompt are compared. Parts that more of them keep are short
/// and common, and any free engine probably keeps them.
const MOST_HOLDERS: usize = 16;
/// How many of the least loaded engines of a hall are compared.
const LEAST_LOADED_PER_HALL: usize = 4;

impl EndpointTable {
    /// The free endpoint with the lowest load in one of `halls`, other than `avoided`.
    pub fn least_loaded(&self, halls: HallMask, avoided: Option<EndpointIndex>) -> Option<EndpointIndex> {
        let sets = self.free.iter().enumerate().filter(|(hall, _)| halls.contains(*hall));
        let heads = sets.filter_map(|(_, set)| set.iter().find(|(_, endpoint)| Some(*endpoint) != avoided));
        heads.min().map(|(_, endpoint)| *endpoint)
    }

    /// The engine in one of `halls` that would give this prompt its first token soonest: one that
    /// keeps a part of it, free or not, or one of the least loaded free ones. `tokens_before` tells what each
    /// will read for tickets that wait for it already. `None` when there is no such engine.
    pub fn soonest_engine(
        &self,
        now: Moment,
        prompt: &PromptShape,
        halls: HallMask,
        avoided: Option<EndpointIndex>,
        tokens_before: impl Fn(EndpointIndex) -> u64,
    ) -> Option<EndpointIndex> {
        let holders = self.holders_of(prompt, halls);
        let candidates = holders.chain(self.least_loaded_few(halls));
        let delays = candidates.filter(|index| Some(*index) != avoided).filter_map(|index| {
            let state = self.state(index);
            let engine = state.engine.as_ref()?;
            Some((engine.delay(now, prompt, state.busy, tokens_before(index)), index))
        });
        delays.min().map(|(_, index)| index)
    }

    /// The tokens that an engine would have to read for a prompt.
    pub fn missing(&self, engine: EndpointIndex, prompt: &PromptShape) -> u64 {
        self.state(engine).engine.as_ref().map_or(0, |engine| engine.missing(prompt))
    }

    /// Where an engine that nothing is known of starts, in microseconds a token: the mean of the
    /// engines that were observed, else what settings plan.
    pub fn usual_per_token(&self, planned_pace: f64) -> Option<f64> {
        let engines = self.states.iter().filter_map(|state| state.engine.as_ref());
        let known: Vec<f64> = engines.filter_map(|engine| engine.pace().settled_per_token()).collect();
        if known.is_empty() {
            return (planned_pace > 0.0).then(|| 1_000.0 / planned_pace);
        }
        Some(known.iter().sum::<f64>() / known.len() as f64)
    }

    /// What the open engines read together.
    pub fn tokens_per_second(&self) -> f64 {
        let open = self.iter().filter(|state| state.is_open()).filter_map(|state| state.engine.as_ref());
        open.map(|engine| engine.pace().tokens_per_milli() * 1_000.0).sum()
    }

    /// From a grant to the first event at the engine that would begin soonest without a queue; zero where
    /// there are no engines.
    pub fn shortest_begin(&self, now: Moment, prompt: &PromptShape) -> Duration {
        let every = HallMask(u32::MAX);
        let best = self.soonest_engine(now, prompt, every, None, |_| 0);
        let engine = best.and_then(|index| self.state(index).engine.as_ref());
        engine.map_or(Duration::ZERO, |engine| engine.begin_time(prompt))
    }

    /// Engines with a slot that keep the longest leading part of a prompt that any of them keeps.
    fn holders_of<'a>(
        &'a self,
        prompt: &'a PromptShape,
        halls: HallMask,
    ) -> impl Iterator<Item = EndpointIndex> + 'a {
        let usable = move |index: &EndpointIndex| {
            let state = self.state(*index);
            state.has_slot() && halls.contains(state.hall)
        };
        let levels = prompt.prefixes.iter().rev().map(|prefix| self.holders.of(*prefix));
        let deepest = levels.filter(move |engines| engines.iter().any(usable)).take(1);
        deepest.flatten().copied().filter(usable).take(MOST_HOLDERS)
    }

    /// The few least loaded free endpoints of each hall.
    fn least_loaded_few(&self, halls: HallMask) -> impl Iterator<Item = EndpointIndex> + '_ {
        let sets = self.free.iter().enumerate().filter(move |(hall, _)| halls.contains(*hall));
        sets.flat_map(|(_, set)| set.iter().take(LEAST_LOADED_PER_HALL).map(|(_, endpoint)| *endpoint))
    }
}
