//! The endpoints of a shard: slots, and whether they may take new work.

use super::availability::EndpointAvailability;
use super::engine::{EngineState, PartChange, PromptShape};
use super::holders::PartHolders;
use super::reports::ReportedSurplus;
use super::service_time::ServiceTime;
use super::status::EndpointClosure;
use crate::event::{CacheUpdate, ColdStartLimits, EndpointSpec, GrantOutcome, ShardPolicy};
use micaspool_types::{EndpointName, HallMask, Moment, RequestId};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Load is compared in this many parts of an endpoint's slots.
const LOAD_PARTS: u32 = 1_000;

/// The position of an endpoint in its shard's list.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub(super) struct EndpointIndex(u32);

#[derive(Debug)]
pub(super) struct EndpointState {
    pub name: EndpointName,
    pub hall: usize,
    pub slots: u32,
    /// Grants of this shard that hold a slot.
    pub busy: u32,
    /// Slots that something else uses, as two reports in a row agree.
    pub foreign: u32,
    pub(super) availability: EndpointAvailability,
    /// Set for a language model whose memory size is known.
    pub(super) engine: Option<EngineState>,
    /// True while its engine has too much to read to get more.
    pub reading: bool,
    /// Failures in a row.
    pub failures: u32,
    /// Requests in a row that broke and were tolerated.
    breaks: u32,
    /// How often in a row it could not be reached.
    pub(super) connect_failures: u32,
    /// The surplus of the last report over our own grants, and when it came.
    pub(super) last_surplus: Option<ReportedSurplus>,
    /// The load under which the endpoint stands in its hall's set of free endpoints.
    indexed: Option<u32>,
}

/// Every endpoint that the shard has met, and which have a free slot.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    /// How many requests in a row may break before an endpoint is paused.
    tolerated_breaks: u32,
    /// The part of an engine's pace that is used before reports came, in percent.
    pub(super) initial_share: u64,
    pub(super) states: Vec<EndpointState>,
    names: HashMap<EndpointName, EndpointIndex>,
    pub(super) free: Vec<BTreeSet<(u32, EndpointIndex)>>,
    pub(super) pauses: BTreeSet<(Moment, EndpointIndex)>,
    /// When endpoints may get more: engines that will have read enough, and cold ones whose next request is due.
    pub(super) wakes: BTreeSet<(Moment, EndpointIndex)>,
    /// What endpoints bear while they are cold.
    pub(super) cold_limits: ColdStartLimits,
    pub(super) holders: PartHolders,
    /// Reused to carry what changed about an engine's kept parts.
    part_changes: Vec<PartChange>,
    /// True when an endpoint has become free since this was last asked for.
    became_free: bool,
    /// How long endpoints without an engine work on a request.
    pub(super) service_time: ServiceTime,
    /// The same until an answer begins.
    pub(super) answer_time: ServiceTime,
}

impl EndpointState {
    /// True when the endpoint may take new work once it has a slot.
    pub fn is_open(&self) -> bool {
        self.availability.is_open()
    }

    /// Why the endpoint takes nothing new; the most lasting cause if there are several.
    pub fn closure(&self) -> Option<EndpointClosure> {
        self.availability.closure()
    }

    /// True when it has a free slot and little enough to read.
    pub fn is_free(&self) -> bool {
        self.indexed.is_some()
    }

    /// Takes over what settings and the endpoint itself say.
    fn apply_spec(&mut self, now: Moment, spec: &EndpointSpec) {
        self.hall = spec.hall;
        self.slots = spec.slots;
        self.availability.settings = spec.leaving;
        self.availability.evacuated = spec.evacuated;
        self.availability.cold.set_reported(now, spec.cold);
    }

    fn configure_engine(&mut self, memory: u64, initial_share: u64, per_token: Option<f64>) {
        match &mut self.engine {
            Some(engine) => {
                engine.resize(memory);
                engine.assume_pace(per_token);
            }
            None if memory > 0 => self.engine = Some(EngineState::new(memory, initial_share, per_token)),
            None => {}
        }
    }

    /// The slots that may be used now. After failures an endpoint gets one request at a time
    /// until one succeeds.
    fn usable_slots(&self) -> u32 {
        if self.failures > 0 {
            self.slots.min(1)
        } else {
            self.slots
        }
    }

    /// True when it is open and not all its slots are taken.
    pub(super) fn has_slot(&self) -> bool {
        self.is_open() && self.busy + self.foreign < self.usable_slots()
    }

    /// The load in parts of the slots, when there is a free one and an engine has not too much to
    /// read.
    fn free_load(&self) -> Option<u32> {
        let taken = self.busy + self.foreign;
        let free = self.has_slot() && !self.reading && !self.availability.cold.spaced;
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

    /// The index of every endpoint.
    pub fn indices(&self) -> impl Iterator<Item = EndpointIndex> {
        (0..self.states.len() as u32).map(EndpointIndex)
    }

    pub fn name(&self, endpoint: EndpointIndex) -> &EndpointName {
        &self.state(endpoint).name
    }

    pub fn hall(&self, endpoint: EndpointIndex) -> usize {
        self.state(endpoint).hall
    }

    /// The endpoint with this name. One that the settings do not name takes nothing new.
    pub fn ensure(&mut self, name: &EndpointName) -> EndpointIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = EndpointIndex(self.states.len() as u32);
        self.names.insert(name.clone(), index);
        self.states.push(EndpointState {
            name: name.clone(),
            hall: 0,
            slots: 0,
            busy: 0,
            foreign: 0,
            availability: EndpointAvailability { settings: true, ..EndpointAvailability::default() },
            engine: None,
            reading: false,
            failures: 0,
            breaks: 0,
            connect_failures: 0,
            last_surplus: None,
            indexed: None,
        });
        index
    }

    /// Takes over the endpoints of new settings; others get nothing new and finish what runs.
    pub fn adopt(&mut self, now: Moment, policy: &ShardPolicy) {
        let initial_share = self.initial_share;
        let per_token = self.default_per_token(now, policy.planned_pace);
        self.cold_limits = policy.cold;
        for index in self.indices() {
            self.unindex(index);
            self.state_mut(index).availability.settings = true;
        }
        for spec in &policy.endpoints {
            let index = self.ensure(&spec.name);
            self.state_mut(index).apply_spec(now, spec);
            self.state_mut(index).configure_engine(spec.memory_tokens, initial_share, per_token);
        }
        let halls = self.states.iter().map(|state| state.hall + 1).max().unwrap_or(0);
        self.free.resize_with(halls.max(self.free.len()), BTreeSet::new);
        for index in self.indices() {
            self.update_cold_limit(now, index);
        }
    }

    /// The halls that have an endpoint in the settings in force.
    pub fn halls_present(&self) -> HallMask {
        let present = self.states.iter().filter(|state| state.slots > 0);
        present.fold(HallMask::EMPTY, |mask, state| mask.union(HallMask::single(state.hall)))
    }

    /// The halls that have a free slot.
    pub fn free_halls(&self) -> HallMask {
        let halls = self.free.iter().enumerate().filter(|(_, set)| !set.is_empty());
        halls.fold(HallMask::EMPTY, |mask, (hall, _)| mask.union(HallMask::single(hall)))
    }

    /// True when the endpoint has a free slot and is in one of `halls`.
    pub fn is_free(&self, endpoint: EndpointIndex, halls: HallMask) -> bool {
        let state = self.state(endpoint);
        state.indexed.is_some() && halls.contains(state.hall)
    }

    /// True when an endpoint is known to be leaving, or gone for a reason of its own.
    pub fn is_leaving(&self, endpoint: EndpointIndex) -> bool {
        self.state(endpoint).availability.is_leaving()
    }

    /// True when an endpoint has become free since the last call.
    pub fn take_became_free(&mut self) -> bool {
        std::mem::take(&mut self.became_free)
    }

    /// Takes over which prompt parts an engine keeps or dropped.
    pub fn learn_kept(&mut self, endpoint: EndpointIndex, update: &CacheUpdate) {
        let mut changes = std::mem::take(&mut self.part_changes);
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            engine.learn_kept(update, &mut changes);
        }
        self.holders.take(endpoint, &mut changes);
        self.part_changes = changes;
    }

    /// Notes that an engine got a prompt.
    pub fn admit(&mut self, now: Moment, endpoint: EndpointIndex, request: RequestId, prompt: &PromptShape) {
        let mut changes = std::mem::take(&mut self.part_changes);
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            engine.admit(now, request, prompt, &mut changes);
        }
        self.holders.take(endpoint, &mut changes);
        self.part_changes = changes;
        self.update_prefill_limit(now, endpoint);
        self.delay_next_grant(now, endpoint);
    }

    /// Notes that a request has begun at its engine.
    pub fn begin(&mut self, now: Moment, endpoint: EndpointIndex, request: RequestId) {
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            engine.begin(now, request);
            self.update_prefill_limit(now, endpoint);
        }
    }

    /// Notes that an engine has a prompt no longer before it, though it did not begin.
    pub fn withdraw(&mut self, now: Moment, endpoint: EndpointIndex, request: RequestId) {
        if let Some(engine) = &mut self.state_mut(endpoint).engine {
            engine.withdraw(request);
            self.update_prefill_limit(now, endpoint);
        }
    }

    /// Closes an engine while it has too much to read.
    pub(super) fn update_prefill_limit(&mut self, now: Moment, endpoint: EndpointIndex) {
        let state = self.state_mut(endpoint);
        let Some(engine) = &state.engine else { return };
        state.reading = !engine.has_prefill_budget(now);
        let wake = engine.prefill_budget_at(now);
        if state.reading && wake > now {
            self.wakes.insert((wake, endpoint));
        }
        self.reindex(endpoint);
    }

    /// When something will be due without any event.
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

    /// Gives one slot back and learns from how the grant ended.
    pub fn vacate(&mut self, now: Moment, endpoint: EndpointIndex, fate: GrantOutcome) {
        let state = &mut self.states[endpoint.0 as usize];
        state.busy = state.busy.saturating_sub(1);
        match fate {
            GrantOutcome::Done | GrantOutcome::Abandoned => {
                state.failures = 0;
                state.breaks = 0;
                self.infer_cold_start(now, endpoint);
            }
            GrantOutcome::Broken | GrantOutcome::Severed if state.breaks < self.tolerated_breaks => {
                state.breaks += 1
            }
            // One router's word is no more than a pause: endpoints that are not asked for their load would never
            // be opened again.
            GrantOutcome::Refused
            | GrantOutcome::Unreachable
            | GrantOutcome::Draining
            | GrantOutcome::Broken
            | GrantOutcome::Severed => {
                state.availability.paused_as_leaving = fate == GrantOutcome::Draining;
                state.connect_failures += u32::from(fate == GrantOutcome::Unreachable);
                self.pause(now, endpoint)
            }
            GrantOutcome::Unsent | GrantOutcome::NotHeld => {}
        }
        self.reindex(endpoint);
    }

    /// Learns from a request whose answer began at an endpoint without an engine, this long after its grant.
    pub fn note_answer(&mut self, endpoint: EndpointIndex, took: Duration) {
        if self.state(endpoint).engine.is_none() {
            self.answer_time.observe(took);
        }
    }

    /// Learns from a request that ran to its end there.
    pub fn note_service(&mut self, endpoint: EndpointIndex, took: Duration) {
        if self.state(endpoint).engine.is_none() {
            self.service_time.observe(took);
        }
    }

    /// Takes the platform's list in.
    pub fn set_listed(&mut self, leaving: &BTreeSet<EndpointName>) {
        for index in self.indices() {
            let state = self.state_mut(index);
            state.availability.listed = leaving.contains(&state.name);
            self.reindex(index);
        }
    }

    /// Closes an endpoint that told a router that it leaves. Its next start has another name.
    pub fn note_leaving(&mut self, endpoint: EndpointIndex) {
        self.state_mut(endpoint).availability.said_leaving = true;
        self.reindex(endpoint);
    }

    /// Ends the pauses whose time has come, and opens endpoints that may get more.
    pub fn wake(&mut self, now: Moment) {
        while let Some((at, endpoint)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, endpoint));
            self.update_prefill_limit(now, endpoint);
            self.update_cold_limit(now, endpoint);
        }
        self.end_pauses(now);
    }

    pub(super) fn reindex(&mut self, endpoint: EndpointIndex) {
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
