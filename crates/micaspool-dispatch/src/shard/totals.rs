//! Sums over the endpoints of a shard.
//!
//! Each decision needs them, so they are updated with each change of an endpoint instead of being computed from all
//! endpoints.

use super::endpoints::{EndpointIndex, EndpointState, EndpointTable};

/// Resolution of the rate of an engine, as a fraction of a token per second. Whole numbers keep the sums exact.
const RATE_PARTS: f64 = 1_000.0;

/// What one endpoint, or all together, contribute to the capacity of a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct EndpointTotals {
    /// Language model engines.
    pub engines: u64,
    /// Endpoints with slots that are not leaving.
    pub in_use: u64,
    /// Endpoints with slots that may take new work.
    pub open: u64,
    /// Endpoints in evacuated data halls.
    pub evacuated: u64,
    /// The slots of the open endpoints.
    pub open_slots: u64,
    /// The slots of the open endpoints that others use.
    pub foreign_slots: u64,
    /// The learnt prefill rates of the open engines while they are warm, in units of `RATE_PARTS`.
    rate: u64,
    /// The decode steps per second of the open engines while they prefill nothing, in units of `RATE_PARTS`.
    steps: u64,
}

impl EndpointTotals {
    /// The contribution of one endpoint.
    fn of(state: &EndpointState) -> EndpointTotals {
        let is_open = state.is_open() && state.slots > 0;
        let rate = state.engine.as_ref().map_or(0.0, |engine| engine.rate().tokens_per_milli() * 1_000.0);
        let per_step = state.engine.as_ref().and_then(|engine| engine.decode().per_step());
        let steps = per_step.map_or(0.0, |per_step| 1_000_000.0 / per_step);
        EndpointTotals {
            engines: u64::from(state.engine.is_some()),
            in_use: u64::from(state.slots > 0 && !state.availability.is_leaving()),
            open: u64::from(is_open),
            evacuated: u64::from(state.availability.evacuated),
            open_slots: if is_open { u64::from(state.slots) } else { 0 },
            foreign_slots: if is_open { u64::from(state.foreign.min(state.slots)) } else { 0 },
            rate: if state.is_open() { (rate * RATE_PARTS) as u64 } else { 0 },
            steps: if is_open { (steps * RATE_PARTS) as u64 } else { 0 },
        }
    }

    /// The prompt tokens per second that the open engines process while they are warm.
    pub fn tokens_per_second(&self) -> f64 {
        self.rate as f64 / RATE_PARTS
    }

    /// The decode steps per second of the open engines while they prefill nothing; engines without a known
    /// step time count for none.
    pub fn steps_per_second(&self) -> f64 {
        self.steps as f64 / RATE_PARTS
    }

    fn add(&mut self, other: EndpointTotals) {
        self.combine(other, u64::wrapping_add);
    }

    fn subtract(&mut self, other: EndpointTotals) {
        self.combine(other, u64::wrapping_sub);
    }

    fn combine(&mut self, other: EndpointTotals, operation: fn(u64, u64) -> u64) {
        self.engines = operation(self.engines, other.engines);
        self.in_use = operation(self.in_use, other.in_use);
        self.open = operation(self.open, other.open);
        self.evacuated = operation(self.evacuated, other.evacuated);
        self.open_slots = operation(self.open_slots, other.open_slots);
        self.foreign_slots = operation(self.foreign_slots, other.foreign_slots);
        self.rate = operation(self.rate, other.rate);
        self.steps = operation(self.steps, other.steps);
    }
}

impl EndpointTable {
    /// The current sums.
    pub fn totals(&self) -> &EndpointTotals {
        debug_assert_eq!(self.totals, self.sum_of_all(), "every change of an endpoint updates the sums");
        &self.totals
    }

    /// Replaces the contribution of an endpoint by its current one.
    pub(super) fn update_totals(&mut self, endpoint: EndpointIndex) {
        let state = self.state_mut(endpoint);
        let contribution = EndpointTotals::of(state);
        let before = std::mem::replace(&mut state.contribution, contribution);
        self.totals.subtract(before);
        self.totals.add(contribution);
    }

    fn sum_of_all(&self) -> EndpointTotals {
        let mut sum = EndpointTotals::default();
        self.iter().for_each(|state| sum.add(EndpointTotals::of(state)));
        sum
    }
}
