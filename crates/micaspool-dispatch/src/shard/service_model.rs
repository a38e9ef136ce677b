//! The model of a service's engines as a whole, and what follows from it for capacity and waits.
//!
//! It learns from requests whose callers state their output. Without such requests, no decision uses it.

use super::copy_link::PlannedCopy;
use super::endpoints::{EndpointIndex, EndpointTable};
use super::engine::{PrefillObservation, PromptShape};
use super::grants::RunningGrant;
use super::totals::EndpointTotals;
use crate::event::{GenerationOutline, GrantOutcome};
use foldhash::HashMap;
use micaspool_engine::{
    DecodeRate, EngineGroup, OutputEstimate, PrefillRate, RequestMix, StatedOutput, StreamMark,
};
use micaspool_types::{Cost, Moment, RequestId};
use std::time::Duration;

/// The cost of a generated token, in prompt tokens, as gateways meter it.
const OUTPUT_TOKEN_COST: u64 = 2;
/// For how long after the first request an assumed rate refuses nobody. First events arrive earlier; a
/// service that has shown none by then is not known to serve at all.
const START_WINDOW: Duration = Duration::from_secs(1);
/// The least part of all slots that counts as this shard's own. Others release theirs, too, so a shard that
/// joins late gets some.
const MIN_SLOT_SHARE: f64 = 0.15;
/// From this number of observations on, engines without observations of their own start from those of all others.
const FIRST_PROPAGATION: u64 = 8;
/// The factor between the numbers of observations at which they do so again. It costs as much as there are
/// engines, so it is rare.
const PROPAGATION_FACTOR: u64 = 4;

/// What a shard has learnt about its engines together. Lost with the shard and learnt again.
#[derive(Debug)]
pub(super) struct ServiceModel {
    /// When the first ticket with a stated output was submitted; `None` if there was none.
    since: Option<Moment>,
    /// The prefill rate of warm engines, as if they were one.
    prefill: PrefillRate,
    prefill_observations: u64,
    /// The number of observations at which engines without their own start from this rate again.
    next_prefill_propagation: u64,
    /// The step time of the engines, as if they were one.
    decode: DecodeRate,
    /// The number of observations at which engines without their own start from this step time again.
    next_decode_propagation: u64,
    outputs: OutputEstimate,
    mix: RequestMix,
    /// The running streams that have begun.
    streams: HashMap<RequestId, StreamMark>,
}

impl Default for ServiceModel {
    fn default() -> ServiceModel {
        ServiceModel {
            since: None,
            prefill: PrefillRate::new(None),
            prefill_observations: 0,
            next_prefill_propagation: FIRST_PROPAGATION,
            decode: DecodeRate::default(),
            next_decode_propagation: FIRST_PROPAGATION,
            outputs: OutputEstimate::default(),
            mix: RequestMix::default(),
            streams: HashMap::default(),
        }
    }
}

impl GenerationOutline {
    /// The output that the caller states.
    pub(super) fn stated_output(&self) -> StatedOutput {
        StatedOutput { most: self.max_output_tokens, hint: self.output_hint }
    }
}

impl EndpointTable {
    /// Records that a ticket was submitted, here or to an earlier shard.
    pub(super) fn note_submitted(&mut self, now: Moment, generation: &GenerationOutline) {
        if generation.stated_output().is_known() {
            self.model.since.get_or_insert(now);
        }
    }

    /// Sets the planned rate from which the model starts.
    pub(super) fn plan_model(&mut self, planned_pace: f64) {
        self.model.prefill.assume((planned_pace > 0.0).then(|| 1_000.0 / planned_pace));
    }

    /// The prefill time per token of all engines together, in microseconds; `None` while it is not learnt.
    pub(super) fn learnt_per_token(&self) -> Option<f64> {
        self.model.since?;
        self.model.prefill.settled_per_token()
    }

    /// The step time of all engines together, in microseconds; `None` while it is not learnt.
    pub(super) fn learnt_per_step(&self) -> Option<f64> {
        self.model.decode.settled_per_step()
    }

    /// Records a grant of a prompt to an engine, before the engine's cache changes.
    pub(super) fn note_mix(
        &mut self,
        endpoint: EndpointIndex,
        prompt: &PromptShape,
        copy: Option<PlannedCopy>,
    ) {
        let Some(engine) = &self.state(endpoint).engine else { return };
        let Some(output) = self.model.outputs.expect(&prompt.output) else { return };
        let cached = engine.cached_tokens(prompt);
        let work = engine.work_of(prompt, cached, copy, Duration::ZERO);
        self.model.mix.note_grant(prompt.load(), work.prefill_tokens, output);
    }

    /// Learns from the first event of a prompt at an engine.
    pub(super) fn learn_prefill(&mut self, now: Moment, endpoint: EndpointIndex, first: PrefillObservation) {
        let is_active = self.model.since.is_some();
        let state = self.state_mut(endpoint);
        if is_active {
            state.engine.iter_mut().for_each(|engine| engine.repace(now));
        }
        if state.availability.cold.is_cold(now) {
            return;
        }
        self.model.prefill.observe(now, first.tokens, first.took, first.idle);
        self.model.prefill_observations += 1;
        if is_active && self.model.prefill_observations >= self.model.next_prefill_propagation {
            self.propagate_prefill_rate(now);
        }
    }

    /// Lets engines without observations start from the prefill rate of all others. The first time, those with
    /// a few observations do so, too: what was assumed for them still weighs more than these.
    fn propagate_prefill_rate(&mut self, now: Moment) {
        let is_first = self.model.next_prefill_propagation == FIRST_PROPAGATION;
        self.model.next_prefill_propagation = self.model.prefill_observations * PROPAGATION_FACTOR;
        let per_token = self.learnt_per_token();
        for index in self.indices() {
            let state = self.state_mut(index);
            let Some(engine) = &mut state.engine else { continue };
            if is_first {
                engine.restart_rate(now, per_token);
            } else {
                engine.assume_rate(per_token);
                engine.repace(now);
            }
            if state.prefill_limited {
                self.update_prefill_limit(now, index);
            } else {
                self.update_totals(index);
            }
        }
    }

    /// Learns from a progress report of a request. `prompt` is the prompt of a request with a stated output.
    pub(super) fn note_stream(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        request: RequestId,
        prompt: &StreamedPrompt,
        delivered: Cost,
    ) {
        let Some(engine) = self.state(endpoint).engine.as_ref().filter(|_| prompt.output.is_known()) else {
            return;
        };
        let newer = StreamMark::new(now, prompt.output_tokens(delivered), engine.prefill_done(now));
        let Some(mark) = self.model.streams.get_mut(&request) else {
            self.model.streams.insert(request, newer);
            if let Some(since) = prompt.since {
                self.model.mix.note_first_event(now.since(since).as_secs_f64());
            }
            return;
        };
        let Some(span) = mark.advance(newer) else { return };
        self.model.decode.observe(&span);
        let engine = &mut self.states[endpoint.position()].engine;
        engine.iter_mut().for_each(|engine| engine.observe_decode(&span));
        self.update_totals(endpoint);
        self.propagate_step_time();
    }

    /// Lets engines without observations start from the step time of all others.
    fn propagate_step_time(&mut self) {
        if self.model.decode.observations() < self.model.next_decode_propagation {
            return;
        }
        self.model.next_decode_propagation = self.model.decode.observations() * PROPAGATION_FACTOR;
        let per_step = self.learnt_per_step();
        for index in self.indices() {
            if let Some(engine) = &mut self.state_mut(index).engine {
                engine.assume_step(per_step);
                self.update_totals(index);
            }
        }
    }

    /// Learns from the end of a request and forgets its stream.
    pub(super) fn end_generation(
        &mut self,
        now: Moment,
        request: RequestId,
        grant: &RunningGrant,
        cost: Option<Cost>,
        outcome: GrantOutcome,
    ) {
        let prompt = StreamedPrompt::of(grant);
        let cost = cost.unwrap_or_default();
        let is_complete = outcome == GrantOutcome::Done && prompt.output_tokens(cost) > 0;
        if is_complete && prompt.output.is_known() && self.state(grant.endpoint).engine.is_some() {
            if self.model.streams.contains_key(&request) {
                self.note_stream(now, grant.endpoint, request, &prompt, cost);
            }
            self.model.outputs.observe(&prompt.output, prompt.output_tokens(cost));
        }
        self.model.streams.remove(&request);
    }

    /// True while no engine's rate is learnt and the service has only just begun to get requests. The
    /// assumed rates bound what engines are granted then, and refuse nobody.
    pub(super) fn rates_are_assumed(&self, now: Moment) -> bool {
        let begins = self.model.since.is_some_and(|since| now.since(since) < START_WINDOW);
        begins && self.model.prefill.settled_per_token().is_none()
    }

    /// The prompt tokens per second that the slots of the open engines sustain with the observed requests.
    /// Infinite while too little is known.
    pub(super) fn slot_bound_load(&self) -> f64 {
        let bound = || {
            self.learnt_per_step()?;
            let totals = self.totals();
            let group = EngineGroup {
                engines: totals.open as f64,
                slots: own_slots(totals),
                prefill_tokens: totals.tokens_per_second(),
                steps: totals.steps_per_second(),
            };
            Some(self.model.mix.slot_bound(&group)? * self.model.mix.prompt_tokens()?)
        };
        bound().unwrap_or(f64::INFINITY)
    }

    /// The load of a request that waits for a slot of its own after those before it have theirs; zero where
    /// slots are not what it waits for.
    pub(super) fn slot_load(&self, now: Moment, prompt: &PromptShape) -> u64 {
        let waits = prompt.output.is_known() && self.free_halls().is_empty();
        if waits && self.slot_bound_load() < self.prefill_per_second(now) {
            prompt.load()
        } else {
            0
        }
    }

    /// The expected time from a grant to the first event on a mean engine that has cached as much of the
    /// prompt as any; the latency alone without open engines.
    pub(super) fn mean_time_to_first_event(&self, prompt: &PromptShape) -> Duration {
        let totals = self.totals();
        let rate = totals.tokens_per_second() / totals.open.max(1) as f64;
        let seconds = self.least_uncached_tokens(prompt) as f64 / rate;
        let prefill_time = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        self.model.prefill.latency() + prefill_time
    }

    /// The latency of all engines together.
    pub(super) fn learnt_latency(&self) -> Duration {
        self.model.prefill.latency()
    }

    /// How many tokens of a prompt no engine has cached, as far as known; at least one.
    fn least_uncached_tokens(&self, prompt: &PromptShape) -> u64 {
        let cached = prompt.parts().take_while(|(prefix, _)| !self.holders.of(*prefix).is_empty());
        let cached_tokens: u64 = cached.map(|(_, tokens)| tokens).sum();
        prompt.total.saturating_sub(cached_tokens).max(1)
    }
}

/// The slots of the open endpoints that others leave to this shard.
fn own_slots(totals: &EndpointTotals) -> f64 {
    let slots = totals.open_slots as f64;
    (slots - totals.foreign_slots as f64).max(slots * MIN_SLOT_SHARE)
}

/// What the model needs of a running request.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamedPrompt {
    output: StatedOutput,
    /// Prompt tokens.
    tokens: u64,
    /// When it was granted; `None` if another dispatcher did.
    since: Option<Moment>,
}

impl StreamedPrompt {
    pub fn of(grant: &RunningGrant) -> StreamedPrompt {
        StreamedPrompt { output: grant.prompt.output, tokens: grant.prompt.total, since: grant.since }
    }

    /// The output tokens in a delivered cost.
    fn output_tokens(&self, delivered: Cost) -> u64 {
        delivered.0.saturating_sub(self.tokens) / OUTPUT_TOKEN_COST
    }
}
