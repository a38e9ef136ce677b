//! Logs grants and refusals by customer: one line for each of the most refused customers and one for the most served,
//! so that an unfair distribution can be recognised and explained.

use micaspool_dispatch::{CustomerCounters, CustomerStatus};
use micaspool_fair::LEVEL_SCALE;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{CustomerName, ServiceName};
use std::collections::HashMap;

/// The maximum number of lines about refused customers.
const MAX_REFUSED_LINES: usize = 3;

/// Holds the counters of each customer at the last report.
#[derive(Debug)]
pub(crate) struct CustomerLog {
    service: ServiceName,
    reported: HashMap<CustomerName, CustomerCounters>,
}

/// A customer's status, and its counters since the last report.
struct RecentCounters<'a> {
    status: &'a CustomerStatus,
    counters: CustomerCounters,
}

impl CustomerLog {
    pub fn new(service: ServiceName) -> CustomerLog {
        CustomerLog { service, reported: HashMap::new() }
    }

    /// Logs the counters since the last call if any ticket was refused.
    pub fn report(&mut self, customers: &[CustomerStatus]) {
        let mut recent: Vec<RecentCounters<'_>> =
            customers.iter().map(|status| self.recent(status)).collect();
        recent.sort_by_key(|customer| std::cmp::Reverse(customer.counters.refused()));
        let refused =
            recent.iter().take(MAX_REFUSED_LINES).filter(|customer| customer.counters.refused() > 0);
        let logged: Vec<&CustomerName> = refused.clone().map(|customer| &customer.status.name).collect();
        refused.for_each(|customer| self.log_customer(customer));
        let most_served = recent.iter().max_by_key(|customer| customer.counters.granted_load);
        let unlogged = most_served
            .filter(|most_served| !logged.is_empty() && !logged.contains(&&most_served.status.name));
        unlogged.into_iter().for_each(|customer| self.log_customer(customer));
        self.reported = customers.iter().map(|status| (status.name.clone(), status.counters)).collect();
    }

    fn recent<'a>(&self, status: &'a CustomerStatus) -> RecentCounters<'a> {
        let previous = self.reported.get(&status.name).copied().unwrap_or_default();
        RecentCounters { status, counters: status.counters.since(&previous) }
    }

    fn log_customer(&self, customer: &RecentCounters<'_>) {
        let RecentCounters { status, counters } = customer;
        let fields = [
            field("service", &self.service),
            field("customer", &status.name),
            field("granted", counters.granted),
            field("granted_load", counters.granted_load),
            field("begun_load", counters.begun_load),
            field("lost_load", counters.lost_load),
            field("lifted", counters.lifted.0 / LEVEL_SCALE),
            field("refused_on_arrival", counters.refused_on_arrival),
            field("refused_after_wait", counters.refused_after_wait),
            field("refused_unread", counters.refused_unread),
            field("routers", status.routers),
            field("waiting", status.waiting),
            field("running", status.running),
            field("behind", status.behind.0 / LEVEL_SCALE),
        ];
        record(&events::CUSTOMER_DECIDED, &fields);
    }
}
