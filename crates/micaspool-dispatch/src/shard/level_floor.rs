//! Limits how far the service level of a customer may lag behind those of the others.
//!
//! A customer may have been served while others, with lower levels, had no use for the capacity. They
//! are not owed that service later: otherwise, when capacity falls, a customer that had used spare
//! capacity would get nothing until all others had caught up.

use super::ShardCore;
use micaspool_fair::{CustomerIndex, ServiceLevel, LEVEL_SCALE};
use micaspool_types::{Cost, HallMask, Moment};
use std::time::Duration;

/// How long a customer counts as still waiting after a refusal. Callers retry after a second or two.
const REFUSAL_MEMORY: Duration = Duration::from_secs(3);
/// How many idle credits a customer with recent refusals may lag behind.
const REFUSED_CREDITS: u64 = 5;
/// Upper limit of the lag: a customer's even share of what the shard delivers in this time. All waiting
/// customers together catch up within it.
const CATCH_UP: Duration = Duration::from_millis(500);

impl ShardCore {
    /// Raises the level of a waiting customer that lags too far behind. A customer with recent refusals
    /// is treated as if it had been waiting all along, and may lag further than one that was idle.
    pub(super) fn raise_to_floor(&mut self, now: Moment, customer: CustomerIndex) {
        if !self.options.policy.lifts_returning() || self.recovering_until.is_some() {
            return;
        }
        let state = self.customers.get(customer);
        let refused_recently = state.refused_at.is_some_and(|at| now.since(at) < REFUSAL_MEMORY);
        let level = self.options.policy.level(&state.account);
        if let Some(floor) = self.minimum_level(now, customer, refused_recently) {
            let state = self.customers.get_mut(customer);
            let lift = state.account.lift(level, floor);
            state.counters.note_lift(lift);
        }
    }

    /// The minimum level of a waiting customer. With an idle credit it is relative to the highest level
    /// served. Relative to the lowest waiting level, each returning customer would start one credit
    /// below the previous one.
    fn minimum_level(
        &self,
        now: Moment,
        customer: CustomerIndex,
        refused_recently: bool,
    ) -> Option<ServiceLevel> {
        let state = self.customers.get(customer);
        if self.idle_credit == Cost(0) {
            let begins = state.queue.is_empty() && !refused_recently;
            return begins.then(|| self.floor_for(state.halls)).flatten().map(|floor| ServiceLevel(floor.0));
        }
        let credits = if refused_recently { REFUSED_CREDITS } else { 1 };
        let credit = ServiceLevel::from_cost(Cost(self.idle_credit.0 * credits), state.account.weight());
        let lag = credit.min(self.catch_up_limit(now));
        let served = self.highest_served(state.halls)?;
        Some(ServiceLevel(served.0.saturating_sub(lag.0)))
    }

    /// The highest level served in any of these halls.
    pub(super) fn highest_served(&self, halls: HallMask) -> Option<ServiceLevel> {
        let served = halls.indices().filter_map(|hall| self.floors.get(hall)).max()?;
        Some(ServiceLevel(served.0))
    }

    /// How far a customer's level rises if the shard's deliveries within `CATCH_UP` are shared evenly
    /// among the waiting customers.
    fn catch_up_limit(&self, now: Moment) -> ServiceLevel {
        let waiting = self.customers.iter().filter(|state| !state.queue.is_empty());
        let weights: f64 = waiting.map(|state| f64::from(state.account.weight().get())).sum();
        let delivered = self.delivered.per_second(now) * CATCH_UP.as_secs_f64();
        ServiceLevel((delivered * LEVEL_SCALE as f64 / weights.max(1.0)) as u64)
    }
}
