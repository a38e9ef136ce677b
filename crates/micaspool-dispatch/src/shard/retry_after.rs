//! When refused callers shall come back.

use super::customers::CustomerState;
use super::ShardCore;
use micaspool_fair::CustomerIndex;
use micaspool_types::Moment;
use std::time::Duration;

/// The span for which what a customer asks for is compared with what it is served.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The longest time that is told by that: nobody knows how much is asked for by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

impl ShardCore {
    /// When a refused request of the customer may find room: once the waiting tickets before it are granted, and not
    /// before what the customer asks for in a span has been served. Queues stay short while all that comes is
    /// refused; the second time grows as capacity falls.
    pub(super) fn retry_after(&self, now: Moment, customer: CustomerIndex) -> Duration {
        let state = self.customers.get(customer);
        let ahead = state.queue.len() + 1;
        let queue = self.throughput.wait_for(ahead * self.backlogged_customers().max(1));
        queue.max(self.demand_service_time(now, state))
    }

    /// How long a customer is served what it asks for in a span.
    fn demand_service_time(&self, now: Moment, state: &CustomerState) -> Duration {
        let asked = state.demand_rate.per_second(now) * DEMAND_WINDOW.as_secs_f64();
        let seconds = asked / self.service_rate(now, state);
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }
}
