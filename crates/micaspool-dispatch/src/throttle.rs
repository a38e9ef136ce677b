//! Which requests a router does not take to its dispatcher at all.
//!
//! The load this is made for is a customer that asks for many times its share, through all routers at
//! once. The shard turns nearly all of it away on arrival, and each such request still costs it a message in
//! and one out: at 1,100 requests a second that were served and 3,500 that were not, the dispatcher's 0.3 of
//! a core were used up, and with them the time of everyone else's requests.
//!
//! A router therefore turns a part of such a customer's requests away itself. The part follows from what the
//! dispatcher lately took of what was asked: it is sent about twice what it takes, so its queue stays full
//! and it goes on to choose what is served. This is client-side throttling as in chapter 21 of *Site
//! Reliability Engineering* (Beyer et al., 2016).
//!
//! The limits keep it from refusing what could be served. It acts on a customer that was refused a moment
//! ago only, so it ends half a second after the last refusal. A customer with a few requests a second at a
//! router is never throttled there.

use micaspool_types::{CustomerName, Moment};
use std::collections::HashMap;
use std::time::Duration;

/// For how long what was asked and taken counts, as the time in which it fades to a third: long enough to see
/// some requests of a customer that spreads thousands a second over hundreds of routers.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// How many times what the dispatcher takes it is sent. Below two its queue might run empty between two
/// requests; far above, little is kept from it.
const OVERCOMMIT: f64 = 2.0;
/// How many requests within the memory are never throttled.
const FREE_REQUESTS: f64 = 2.0;
/// How long after a refusal a customer may be throttled. Its next request is taken to the dispatcher then.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(500);
/// How many customers are remembered; those that were quiet for longest are forgotten beyond that.
const MAX_CUSTOMERS: usize = 1_024;

/// What was asked for a customer here and what the dispatcher took of it, fading.
#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    requests: f64,
    accepts: f64,
    at: Moment,
    refused_at: Option<Moment>,
    /// When a refused request may come back, as the dispatcher said last.
    retry_after: Duration,
}

impl RequestRecord {
    fn new(now: Moment) -> RequestRecord {
        RequestRecord { requests: 0.0, accepts: 0.0, at: now, refused_at: None, retry_after: Duration::ZERO }
    }

    fn decay(&mut self, now: Moment) {
        let factor = (-now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.requests *= factor;
        self.accepts *= factor;
        self.at = now;
    }

    /// The part of the customer's requests that is turned away here.
    fn refusal_probability(&self, now: Moment) -> f64 {
        if self.refused_at.is_none_or(|at| now.since(at) >= REFUSAL_LIFETIME) {
            return 0.0;
        }
        let excess = self.requests - OVERCOMMIT * self.accepts - FREE_REQUESTS;
        (excess / (self.requests + 1.0)).max(0.0)
    }
}

/// Keeps from a dispatcher what it would refuse.
#[derive(Clone, Debug, Default)]
pub struct RequestThrottle {
    customers: HashMap<CustomerName, RequestRecord>,
}

impl RequestThrottle {
    /// Notes a request and says whether it is taken to the dispatcher; else when it may come back. `draw` is
    /// uniform from 0 to 1.
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

    /// The dispatcher granted a request.
    pub fn note_granted(&mut self, now: Moment, customer: &CustomerName) {
        if let Some(record) = self.customers.get_mut(customer) {
            record.decay(now);
            record.accepts += 1.0;
        }
    }

    /// The dispatcher refused a request.
    pub fn note_refused(&mut self, now: Moment, customer: &CustomerName, retry_after: Duration) {
        if let Some(record) = self.customers.get_mut(customer) {
            record.refused_at = Some(now);
            record.retry_after = retry_after;
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
