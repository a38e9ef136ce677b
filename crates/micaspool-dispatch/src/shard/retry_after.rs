//! When refused callers shall come back.

use super::customers::CustomerState;
use super::ShardCore;
use micaspool_fair::CustomerIndex;
use micaspool_types::Moment;
use std::time::Duration;

/// The span for which what a customer asks for is compared with what it is served.
const SPAN: Duration = Duration::from_secs(1);
/// The longest time that is told by that: nobody knows how much is asked for by then.
const LONGEST: Duration = Duration::from_secs(10);

impl ShardCore {
    /// When a refused request of the customer may find room: once the waiting tickets before it are granted, and not
    /// before what the customer asks for in a span has been served. Queues stay short while all that comes is
    /// refused; the second time grows as capacity falls.
    pub(super) fn retry_after(&self, now: Moment, customer: CustomerIndex) -> Duration {
        let state = self.customers.get(customer);
        let ahead = state.queue.len() + 1;
        let queue = self.throughput.wait_for(ahead * self.backlogged().max(1));
        queue.max(self.time_for_a_span(now, state))
    }

    /// How long a customer is served what it asks for in a span.
    fn time_for_a_span(&self, now: Moment, state: &CustomerState) -> Duration {
        let asked = state.ask_rate.per_second(now) * SPAN.as_secs_f64();
        let seconds = asked / self.service_rate(now, state);
        Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST).min(LONGEST)
    }
}
