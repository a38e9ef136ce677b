//! Client-side throttling of requests from a router to its dispatcher.
//!
//! A customer may request many times its share through all routers at once. The shard refuses nearly
//! all of these requests on arrival, but each one still costs it an incoming and an outgoing message.
//! With 1,100 requests per second that were served and 3,500 that were not, the dispatcher used up its
//! 0.3 of a core, which delayed the requests of all customers.
//!
//! A router therefore refuses a part of such a customer's requests itself. The part follows from the
//! recent ratio of accepted to submitted requests: the dispatcher is sent about twice as many as it
//! accepts, so its queue stays full and it still chooses which requests are served. This is client-side
//! throttling as in chapter 21 of *Site Reliability Engineering* (Beyer et al., 2016).
//!
//! The limits prevent the refusal of requests that could be served. Only customers with a very recent
//! refusal are throttled, so throttling ends half a second after the last one. A customer with a few
//! requests per second at a router is never throttled there.
//!
//! The ratio alone says little about requests that were not sent. After a scarcity it takes seconds to
//! recover, the longer the fewer routers a customer uses, and it never does while most requests are
//! refused for another reason than a long queue, for example late retries. A customer is therefore not
//! throttled while the dispatcher says that its queue is short.

use crate::queue_fill::QueueFill;
use micaspool_types::{CustomerName, Moment};
use std::collections::HashMap;
use std::time::Duration;

/// Time constant after which counts have decayed to about a third. It is long enough to see several
/// requests of a customer that spreads thousands per second over hundreds of routers.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// How many times the accepted requests are sent to the dispatcher. Below two its queue might run empty
/// between two requests; a much larger value would throttle little.
const OVERCOMMIT: f64 = 2.0;
/// How many requests within the time constant are never throttled.
const FREE_REQUESTS: f64 = 2.0;
/// How long a customer may be throttled after a refusal by the dispatcher. After that its next request
/// is sent to the dispatcher.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(500);
/// How long a queue fill told by the dispatcher is considered current.
const FILL_LIFETIME: Duration = Duration::from_millis(500);
/// The maximum number of customers tracked; beyond it the least recently active one is evicted.
const MAX_CUSTOMERS: usize = 1_024;

/// Decaying counts of a customer's requests here and of those that the dispatcher accepted.
#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    requests: f64,
    accepts: f64,
    at: Moment,
    refused_at: Option<Moment>,
    /// When a refused request may be retried, according to the dispatcher's latest refusal.
    retry_after: Duration,
    /// The latest known fill of the customer's queue.
    queue: Option<FillReport>,
}

/// The fill of a queue when a request arrived there.
#[derive(Clone, Copy, Debug)]
struct FillReport {
    /// When the request was sent.
    sent_at: Moment,
    fill: QueueFill,
}

impl RequestRecord {
    fn new(now: Moment) -> RequestRecord {
        RequestRecord {
            requests: 0.0,
            accepts: 0.0,
            at: now,
            refused_at: None,
            retry_after: Duration::ZERO,
            queue: None,
        }
    }

    fn decay(&mut self, now: Moment) {
        let factor = (-now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.requests *= factor;
        self.accepts *= factor;
        self.at = now;
    }

    fn has_short_queue(&self, now: Moment) -> bool {
        let current = self.queue.filter(|queue| now.since(queue.sent_at) < FILL_LIFETIME);
        current.is_some_and(|queue| queue.fill.is_short())
    }

    /// The probability that a request of the customer is refused here.
    fn refusal_probability(&self, now: Moment) -> f64 {
        if self.refused_at.is_none_or(|at| now.since(at) >= REFUSAL_LIFETIME) || self.has_short_queue(now) {
            return 0.0;
        }
        let excess = self.requests - OVERCOMMIT * self.accepts - FREE_REQUESTS;
        (excess / (self.requests + 1.0)).max(0.0)
    }
}

/// Refuses requests that the dispatcher would probably refuse.
#[derive(Clone, Debug, Default)]
pub struct RequestThrottle {
    customers: HashMap<CustomerName, RequestRecord>,
}

impl RequestThrottle {
    /// Counts a request and decides whether it is sent to the dispatcher; the error is the time after
    /// which to retry. `draw` is uniform between 0 and 1.
    pub fn admit(&mut self, now: Moment, customer: &CustomerName, draw: f64) -> Result<(), Duration> {
        self.evict_oldest(customer);
        let record = self.customers.entry(customer.clone()).or_insert_with(|| RequestRecord::new(now));
        record.decay(now);
        let probability = record.refusal_probability(now);
        record.requests += 1.0;
        if draw < probability {
            Err(record.retry_after)
        } else {
            Ok(())
        }
    }

    /// Records a request that the dispatcher granted.
    pub fn note_granted(&mut self, now: Moment, customer: &CustomerName) {
        if let Some(record) = self.customers.get_mut(customer) {
            record.decay(now);
            record.accepts += 1.0;
        }
    }

    /// Records a refusal by the dispatcher.
    pub fn note_refused(&mut self, now: Moment, customer: &CustomerName, retry_after: Duration) {
        if let Some(record) = self.customers.get_mut(customer) {
            record.refused_at = Some(now);
            record.retry_after = retry_after;
        }
    }

    /// Records the fill of the customer's queue that the dispatcher saw when a request sent at `sent_at`
    /// arrived.
    pub fn note_queue_fill(&mut self, sent_at: Moment, customer: &CustomerName, fill: QueueFill) {
        let Some(record) = self.customers.get_mut(customer) else { return };
        if record.queue.is_none_or(|known| known.sent_at <= sent_at) {
            record.queue = Some(FillReport { sent_at, fill });
        }
    }

    fn evict_oldest(&mut self, customer: &CustomerName) {
        if self.customers.len() < MAX_CUSTOMERS || self.customers.contains_key(customer) {
            return;
        }
        let oldest = self.customers.iter().min_by_key(|(_, record)| record.at).map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.customers.remove(&oldest);
        }
    }
}
