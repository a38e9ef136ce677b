//! When refused callers should retry.

use super::customers::CustomerState;
use super::ShardCore;
use micaspool_fair::CustomerIndex;
use micaspool_types::Moment;
use std::time::Duration;

/// The period whose demand is compared with the service rate.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The longest retry time derived from that, because demand can't be predicted further ahead.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

impl ShardCore {
    /// When a refused request of the customer may be accepted: once the tickets queued before it are
    /// granted, and no earlier than it takes to serve the customer's demand of one `DEMAND_WINDOW`. The
    /// first time alone would be too short, because queues stay short while everything that arrives is
    /// refused; the second time grows as capacity falls.
    pub(super) fn retry_after(&self, now: Moment, customer: CustomerIndex) -> Duration {
        let state = self.customers.get(customer);
        let ahead = state.queue.len() + 1;
        let queue = self.throughput.wait_for(ahead * self.backlogged_customers().max(1));
        queue.max(self.demand_service_time(now, state))
    }

    /// How long it takes to serve the customer's demand of one window.
    fn demand_service_time(&self, now: Moment, state: &CustomerState) -> Duration {
        let demand = state.demand_rate.per_second(now) * DEMAND_WINDOW.as_secs_f64();
        let seconds = demand / self.service_rate(now, state);
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }
}
