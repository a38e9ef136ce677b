//! How far the level of a customer may be below those of the others.
//!
//! Whoever is served while others are further behind took what these had no use for then. That is not owed to them
//! later: when capacity falls, a customer that took what nobody wanted would get nothing until all others have had
//! as much.

use super::ShardCore;
use micaspool_fair::{CustomerIndex, ServiceLevel, LEVEL_SCALE};
use micaspool_types::{Cost, HallMask, Moment};
use std::time::Duration;

/// How long a refused ticket counts as if it still waited. Callers come back after a second or two.
const REFUSAL_MEMORY: Duration = Duration::from_secs(3);
/// How many idle credits a customer whose tickets were refused lately may be behind.
const REFUSED_CREDITS: u64 = 5;
/// What a customer may be behind at most: its even share of what the shard delivers in this time. All that wait
/// together catch up within it.
const CATCH_UP: Duration = Duration::from_millis(500);

impl ShardCore {
    /// Raises the level of a customer that waits, so that it is not too far behind. One whose tickets were refused
    /// lately never ceased to wait, in effect, and may be further behind than one that was idle.
    pub(super) fn lift(&mut self, now: Moment, customer: CustomerIndex) {
        if !self.options.policy.lifts_returning() || self.recovering_until.is_some() {
            return;
        }
        let state = self.customers.get(customer);
        let never_ceased = state.refused_at.is_some_and(|at| now.since(at) < REFUSAL_MEMORY);
        let level = self.options.policy.level(&state.account);
        if let Some(floor) = self.lift_target(now, customer, never_ceased) {
            self.customers.get_mut(customer).account.lift(level, floor);
        }
    }

    /// The level that a customer which waits has at least. With an idle credit it counts from the highest level
    /// that was served: counted from the lowest that waits, each customer that comes back would stand a credit below
    /// the one before.
    fn lift_target(&self, now: Moment, customer: CustomerIndex, never_ceased: bool) -> Option<ServiceLevel> {
        let state = self.customers.get(customer);
        if self.idle_credit == Cost(0) {
            let begins = state.queue.is_empty() && !never_ceased;
            return begins.then(|| self.floor_for(state.halls)).flatten().map(|floor| ServiceLevel(floor.0));
        }
        let credits = if never_ceased { REFUSED_CREDITS } else { 1 };
        let credit = ServiceLevel::from_cost(Cost(self.idle_credit.0 * credits), state.account.weight());
        let lag = credit.min(self.even_share(now));
        let served = self.highest_served(state.halls)?;
        Some(ServiceLevel(served.0.saturating_sub(lag.0)))
    }

    /// The highest level that was served in one of these halls.
    pub(super) fn highest_served(&self, halls: HallMask) -> Option<ServiceLevel> {
        let served = halls.indices().filter_map(|hall| self.floors.get(hall)).max()?;
        Some(ServiceLevel(served.0))
    }

    /// What the shard delivers to each customer that waits while all catch up, shared evenly.
    fn even_share(&self, now: Moment) -> ServiceLevel {
        let waiting = self.customers.iter().filter(|state| !state.queue.is_empty());
        let weights: f64 = waiting.map(|state| f64::from(state.account.weight().get())).sum();
        let delivered = self.delivered.per_second(now) * CATCH_UP.as_secs_f64();
        ServiceLevel((delivered * LEVEL_SCALE as f64 / weights.max(1.0)) as u64)
    }
}
