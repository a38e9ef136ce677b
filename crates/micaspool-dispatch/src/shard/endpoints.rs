//! The endpoints of a shard: their slots and whether they may take new work.

use super::availability::EndpointAvailability;
use super::copy_link::{CopyLink, PlannedCopy};
use super::engine::{EngineState, FirstEvent, PartChange, PromptShape, RunTiming};
use super::holders::PartHolders;
use super::reports::ReportedSurplus;
use super::scarcity::PrefillScarcity;
use super::service_model::ServiceModel;
use super::service_time::ServiceTime;
use super::status::EndpointClosure;
use super::totals::EndpointTotals;
use crate::event::{CacheUpdate, ColdStartLimits, EndpointSpec, GrantOutcome, ShardPolicy};
use micaspool_types::{Cost, EndpointName, HallMask, Moment, RequestId, SoftwareVersion};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Resolution of the load of an endpoint, as a fraction of its slots.
const LOAD_PARTS: u32 = 1_000;

/// The position of an endpoint in the endpoint table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub(super) struct EndpointIndex(u32);

impl EndpointIndex {
    /// The position in [`EndpointTable::states`].
    pub(super) fn position(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug)]
pub(super) struct EndpointState {
    pub name: EndpointName,
    pub hall: usize,
    /// The version of its software.
    pub version: SoftwareVersion,
    pub slots: u32,
    /// Slots held by grants of this shard.
    pub busy: u32,
    /// Slots used by others, according to two successive load reports.
    pub foreign: u32,
    pub(super) availability: EndpointAvailability,
    /// Set for a language model engine with a known memory size.
    pub(super) engine: Option<EngineState>,
    /// True while the engine gets no prompt, because of queued prefill work or the pauses of its streams.
    pub prefill_limited: bool,
    /// True while the engine gets no prompt because its streams would break their pauses.
    pub pause_limited: bool,
    /// Successive failures.
    pub failures: u32,
    /// Successive broken requests that were tolerated.
    breaks: u32,
    /// Successive failures to connect.
    pub(super) connect_failures: u32,
    /// Requests in the last load report beyond the grants of this shard.
    pub(super) last_surplus: Option<ReportedSurplus>,
    /// The load under which the endpoint is listed in its hall's set of free endpoints.
    indexed: Option<u32>,
    /// What the totals of the table include for this endpoint.
    pub(super) contribution: EndpointTotals,
}

/// All endpoints known to the shard, and the free ones by hall.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    /// How many requests in a row may break before an endpoint is paused.
    tolerated_breaks: u32,
    /// The share of an engine's prefill budget that is used until load reports arrive, in percent.
    pub(super) initial_share: u64,
    pub(super) states: Vec<EndpointState>,
    names: HashMap<EndpointName, EndpointIndex>,
    pub(super) totals: EndpointTotals,
    pub(super) scarcity: PrefillScarcity,
    pub(super) model: ServiceModel,
    /// Endpoints that were cold when last looked at.
    pub(super) cold: BTreeSet<EndpointIndex>,
    /// Endpoints with a load report.
    pub(super) reported: BTreeSet<EndpointIndex>,
    pub(super) free: Vec<BTreeSet<(u32, EndpointIndex)>>,
    pub(super) pauses: BTreeSet<(Moment, EndpointIndex)>,
    /// When endpoints may become available: engines once their prefill work has shrunk, cold endpoints
    /// once their next request is due.
    pub(super) wakes: BTreeSet<(Moment, EndpointIndex)>,
    /// The load limits of cold endpoints.
    pub(super) cold_limits: ColdStartLimits,
    pub(super) holders: PartHolders,
    /// Copies of cached prompt parts between engines.
    pub(super) copy_link: CopyLink,
    /// Reusable buffer for changes of an engine's cached parts.
    part_changes: Vec<PartChange>,
    /// True if an endpoint has become free since the last `take_became_free`.
    became_free: bool,
    /// How long endpoints without an engine take to complete a request.
    pub(super) service_time: ServiceTime,
    /// How long they take until the response begins.
    pub(super) answer_time: ServiceTime,
}

impl EndpointState {
    /// True if the endpoint may take new work once it has a slot.
    pub fn is_open(&self) -> bool {
        self.availability.is_open()
    }

    /// Why the endpoint takes no new work; the most permanent cause if there are several.
    pub fn closure(&self) -> Option<EndpointClosure> {
        self.availability.closure()
    }

    /// True if it can take a request now.
    pub fn is_free(&self) -> bool {
        self.indexed.is_some()
    }

    /// Applies the endpoint's entry in the settings.
    fn apply_spec(&mut self, now: Moment, spec: &EndpointSpec) {
        self.hall = spec.hall;
        self.version = spec.version.clone();
        self.slots = spec.slots;
        self.availability.settings = spec.leaving;
        self.availability.evacuated = spec.evacuated;
        self.availability.cold.set_reported(now, spec.cold);
    }

    fn configure_engine(
        &mut self,
        memory: u64,
        initial_share: u64,
        per_token: Option<f64>,
        event_tokens: u32,
    ) {
        match &mut self.engine {
            Some(engine) => {
                engine.resize(memory);
                engine.assume_rate(per_token);
            }
            None if memory > 0 => self.engine = Some(EngineState::new(memory, initial_share, per_token)),
            None => {}
        }
        if let Some(engine) = &mut self.engine {
            engine.set_event_tokens(event_tokens);
        }
    }

    /// The slots that may be used now: after a failure only one, until a request succeeds.
    fn usable_slots(&self) -> u32 {
        if self.failures > 0 {
            self.slots.min(1)
        } else {
            self.slots
        }
    }

    /// True if it is open and has a slot left.
    pub(super) fn has_slot(&self) -> bool {
        self.is_open() && self.busy + self.foreign < self.usable_slots()
    }

    /// The load in units of `LOAD_PARTS`; `None` unless the endpoint can take a request now.
    fn free_load(&self) -> Option<u32> {
        let taken = self.busy + self.foreign;
        let free = self.has_slot() && !self.prefill_limited && !self.availability.cold.limited;
        free.then(|| taken * LOAD_PARTS / self.slots.max(1))
    }
}

impl EndpointTable {
    pub fn new(tolerated_breaks: u32, initial_share: u64) -> EndpointTable {
        EndpointTable { tolerated_breaks, initial_share, ..EndpointTable::default() }
    }

    pub fn by_name(&self, name: &EndpointName) -> Option<EndpointIndex> {
        self.names.get(name).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = &EndpointState> {
        self.states.iter()
    }

    /// The indices of all endpoints.
    pub fn indices(&self) -> impl Iterator<Item = EndpointIndex> {
        (0..self.states.len() as u32).map(EndpointIndex)
    }

    pub fn name(&self, endpoint: EndpointIndex) -> &EndpointName {
        &self.state(endpoint).name
    }

    pub fn hall(&self, endpoint: EndpointIndex) -> usize {
        self.state(endpoint).hall
    }

    pub fn version(&self, endpoint: EndpointIndex) -> &SoftwareVersion {
        &self.state(endpoint).version
    }

    /// The index of the endpoint with this name. An unknown endpoint is added and takes no new work
    /// until the settings contain it.
    pub fn ensure(&mut self, name: &EndpointName) -> EndpointIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = EndpointIndex(self.states.len() as u32);
        self.names.insert(name.clone(), index);
        self.states.push(EndpointState {
            name: name.clone(),
            hall: 0,
            version: SoftwareVersion::default(),
            slots: 0,
            busy: 0,
            foreign: 0,
            availability: EndpointAvailability { settings: true, ..EndpointAvailability::default() },
            engine: None,
            prefill_limited: false,
            pause_limited: false,
            failures: 0,
            breaks: 0,
            connect_failures: 0,
            last_surplus: None,
            indexed: None,
            contribution: EndpointTotals::default(),
        });
        index
    }

    /// Applies the endpoints of new settings. Endpoints that are missing there finish their running
    /// requests and get no new ones.
    pub fn adopt(&mut self, now: Moment, policy: &ShardPolicy) {
        let initial_share = self.initial_share;
        let per_token = self.default_per_token(now, policy.planned_pace);
        let per_step = self.learnt_per_step();
        self.plan_model(policy.planned_pace);
        self.cold_limits = policy.cold;
        self.copy_link.configure(&policy.engine);
        for index in self.indices() {
            self.unindex(index);
            self.state_mut(index).availability.settings = true;
        }
        for spec in &policy.endpoints {
            let index = self.ensure(&spec.name);
            self.state_mut(index).apply_spec(now, spec);
            self.state_mut(index).configure_engine(
                spec.memory_tokens,
                initial_share,
                per_token,
                policy.engine.event_tokens,
            );
            self.state_mut(index).engine.iter_mut().for_each(|engine| engine.assume_step(per_step));
            if !spec.cold.is_zero() {
                self.cold.insert(index);
            }
        }
        let halls = self.states.iter().map(|state| state.hall + 1).max().unwrap_or(0);
        self.free.resize_with(halls.max(self.free.len()), BTreeSet::new);
        for index in self.indices() {
            self.update_cold_limit(now, index);
        }
    }

    /// The halls that contain an endpoint with slots.
    pub fn halls_present(&self) -> HallMask {
        let present = self.states.iter().filter(|state| state.slots > 0);
        present.fold(HallMask::EMPTY, |mask, state| mask.union(HallMask::single(state.hall)))
    }

    /// The halls with a free endpoint.
    pub fn free_halls(&self) -> HallMask {
        let halls = self.free.iter().enumerate().filter(|(_, set)| !set.is_empty());
        halls.fold(HallMask::EMPTY, |mask, (hall, _)| mask.union(HallMask::single(hall)))
    }

    /// True if the endpoint is free and in one of `halls`.
    pub fn is_free(&self, endpoint: EndpointIndex, halls: HallMask) -> bool {
        let state = self.state(endpoint);
        state.indexed.is_some() && halls.contains(state.hall)
    }

    /// True if the endpoint is known to be leaving or to have left, which explains that its connections
    /// end.
    pub fn is_leaving(&self, endpoint: EndpointIndex) -> bool {
        self.state(endpoint).availability.is_leaving()
    }

    /// Returns whether an endpoint has become free since the last call.
    pub fn take_became_free(&mut self) -> bool {
        std::mem::take(&mut self.became_free)
    }

    /// Applies a cache update to an engine.
    pub fn update_cache(&mut self, endpoint: EndpointIndex, update: &CacheUpdate) {
        let mut changes = std::mem::take(&mut self.part_changes);
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            engine.update_cache(update, &mut changes);
        }
        self.holders.apply_changes(endpoint, &mut changes);
        self.part_changes = changes;
    }

    /// Records a grant of a prompt to an endpoint, with the copy of cached parts that precedes prefill.
    pub fn record_grant(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        request: RequestId,
        prompt: &PromptShape,
        copy: Option<PlannedCopy>,
    ) {
        self.note_mix(endpoint, prompt, copy);
        let mut changes = std::mem::take(&mut self.part_changes);
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            engine.record_grant(now, request, prompt, copy, &mut changes);
        }
        if let Some(copy) = copy {
            self.note_copy_granted(now, endpoint, copy);
        }
        self.holders.apply_changes(endpoint, &mut changes);
        self.part_changes = changes;
        self.update_prefill_limit(now, endpoint);
        self.delay_next_grant(now, endpoint);
    }

    /// Records the first event of a request.
    pub fn note_first_event(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        request: RequestId,
        prompt: &PromptShape,
        timing: Option<RunTiming>,
    ) {
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            match engine.note_first_event(now, request, prompt, timing) {
                Some(FirstEvent::Copied(observation)) => {
                    self.note_copy_observed(now, endpoint, prompt, observation)
                }
                Some(FirstEvent::Prefilled(observation)) => self.learn_prefill(now, endpoint, observation),
                None => {}
            }
            self.update_prefill_limit(now, endpoint);
        }
    }

    /// Records progress of a running request.
    pub fn note_progress(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        request: RequestId,
        delivered: Cost,
    ) {
        let engine = self.state_mut(endpoint).engine.as_mut();
        if engine.is_some_and(|engine| engine.note_progress(now, request, delivered)) {
            self.update_prefill_limit(now, endpoint);
        }
    }

    /// Removes an ended request from the streams of its engine, whose pauses limit further prompts.
    pub fn end_stream(&mut self, now: Moment, endpoint: EndpointIndex, request: RequestId) {
        let engine = self.state_mut(endpoint).engine.as_mut();
        if engine.is_some_and(|engine| engine.end_stream(request)) {
            self.update_prefill_limit(now, endpoint);
        }
    }

    /// Removes a prompt from an engine's pending ones because its request ended before its first event.
    pub fn withdraw(&mut self, now: Moment, endpoint: EndpointIndex, request: RequestId) {
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            engine.withdraw(request);
            self.update_prefill_limit(now, endpoint);
        }
    }

    /// Closes an engine while it has too much queued prefill work or its streams would break their pauses.
    pub(super) fn update_prefill_limit(&mut self, now: Moment, endpoint: EndpointIndex) {
        let state = self.state_mut(endpoint);
        let Some(engine) = &mut state.engine else { return };
        let closed_until = engine.closed_until(now);
        let filled_until = engine.filled_until(now);
        let budget_at = (!engine.has_prefill_budget(now)).then(|| engine.prefill_budget_at(now));
        state.pause_limited = closed_until.is_some() || filled_until.is_some();
        state.prefill_limited = state.pause_limited || budget_at.is_some();
        let wake = budget_at.max(closed_until).max(filled_until).filter(|wake| *wake > now);
        self.wakes.extend(wake.map(|wake| (wake, endpoint)));
        self.reindex(endpoint);
    }

    /// When the next pause ends or the next endpoint may become available.
    pub fn next_wake(&self) -> Option<Moment> {
        let pause = self.pauses.first().map(|(at, _)| *at);
        let wake = self.wakes.first().map(|(at, _)| *at);
        [pause, wake].into_iter().flatten().min()
    }

    /// Takes one slot.
    pub fn occupy(&mut self, endpoint: EndpointIndex) {
        self.state_mut(endpoint).busy += 1;
        self.reindex(endpoint);
    }

    /// Releases one slot and learns from the outcome of the grant.
    pub fn vacate(&mut self, now: Moment, endpoint: EndpointIndex, outcome: GrantOutcome) {
        let state = &mut self.states[endpoint.0 as usize];
        state.busy = state.busy.saturating_sub(1);
        match outcome {
            GrantOutcome::Done | GrantOutcome::Abandoned => {
                state.failures = 0;
                state.breaks = 0;
                self.infer_cold_start(now, endpoint);
            }
            GrantOutcome::Broken | GrantOutcome::Severed if state.breaks < self.tolerated_breaks => {
                state.breaks += 1
            }
            // A single router's report only pauses the endpoint: if its load is not polled, nothing
            // else would reopen it.
            GrantOutcome::Refused
            | GrantOutcome::Unreachable
            | GrantOutcome::Draining
            | GrantOutcome::Broken
            | GrantOutcome::Severed => {
                state.availability.paused_as_leaving = outcome == GrantOutcome::Draining;
                state.connect_failures += u32::from(outcome == GrantOutcome::Unreachable);
                self.pause(now, endpoint)
            }
            GrantOutcome::Unsent | GrantOutcome::NotHeld => {}
        }
        self.reindex(endpoint);
    }

    /// Records the time from a grant to the beginning of the response, for an endpoint without an
    /// engine.
    pub fn note_answer(&mut self, endpoint: EndpointIndex, took: Duration) {
        if self.state(endpoint).engine.is_none() {
            self.answer_time.observe(took);
        }
    }

    /// Records the duration of a completed request, for an endpoint without an engine.
    pub fn note_service(&mut self, endpoint: EndpointIndex, took: Duration) {
        if self.state(endpoint).engine.is_none() {
            self.service_time.observe(took);
        }
    }

    /// Updates which endpoints the platform lists as leaving.
    pub fn set_listed(&mut self, leaving: &BTreeSet<EndpointName>) {
        for index in self.indices() {
            let state = self.state_mut(index);
            state.availability.listed = leaving.contains(&state.name);
            self.reindex(index);
        }
    }

    /// Closes an endpoint that announced to a router that it is leaving. After a restart it has another
    /// name.
    pub fn note_leaving(&mut self, endpoint: EndpointIndex) {
        self.state_mut(endpoint).availability.announced_leaving = true;
        self.reindex(endpoint);
    }

    /// Ends pauses that have expired, and reopens endpoints that may take more work.
    pub fn wake(&mut self, now: Moment) {
        while let Some((at, endpoint)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, endpoint));
            self.update_prefill_limit(now, endpoint);
            self.update_cold_limit(now, endpoint);
        }
        self.end_pauses(now);
    }

    pub(super) fn reindex(&mut self, endpoint: EndpointIndex) {
        self.update_totals(endpoint);
        let state = self.state(endpoint);
        let load = state.free_load();
        if load == state.indexed {
            return;
        }
        self.became_free |= self.state(endpoint).indexed.is_none();
        self.unindex(endpoint);
        if let Some(load) = load {
            let hall = self.state(endpoint).hall;
            self.free[hall].insert((load, endpoint));
            self.state_mut(endpoint).indexed = Some(load);
        }
    }

    fn unindex(&mut self, endpoint: EndpointIndex) {
        let hall = self.state(endpoint).hall;
        if let Some(load) = self.state_mut(endpoint).indexed.take() {
            self.free[hall].remove(&(load, endpoint));
        }
    }

    pub(super) fn state(&self, endpoint: EndpointIndex) -> &EndpointState {
        &self.states[endpoint.0 as usize]
    }

    pub(super) fn state_mut(&mut self, endpoint: EndpointIndex) -> &mut EndpointState {
        &mut self.states[endpoint.0 as usize]
    }
}
