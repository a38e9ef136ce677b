//! What a shard granted and refused its customers lately: a line each for those that were refused most and for the one
//! that was served most, from which an unfair share can be told and explained.

use micaspool_dispatch::{CustomerCounters, CustomerStatus};
use micaspool_fair::LEVEL_SCALE;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{CustomerName, ServiceName};
use std::collections::HashMap;

/// How many of the customers that were refused most have a line.
const MOST_REFUSED_LINES: usize = 3;

/// Remembers what became of each customer's tickets until the last lines.
#[derive(Debug)]
pub(crate) struct CustomerLog {
    service: ServiceName,
    told: HashMap<CustomerName, CustomerCounters>,
}

/// A customer and what became of its tickets since the last lines.
struct RecentFlow<'a> {
    status: &'a CustomerStatus,
    flow: CustomerCounters,
}

impl CustomerLog {
    pub fn new(service: ServiceName) -> CustomerLog {
        CustomerLog { service, told: HashMap::new() }
    }

    /// Writes what came since the last call, if anything was refused.
    pub fn tell(&mut self, customers: &[CustomerStatus]) {
        let mut recent: Vec<RecentFlow<'_>> = customers.iter().map(|status| self.recent(status)).collect();
        recent.sort_by_key(|customer| std::cmp::Reverse(customer.flow.refused()));
        let refused = recent.iter().take(MOST_REFUSED_LINES).filter(|customer| customer.flow.refused() > 0);
        let named: Vec<&CustomerName> = refused.clone().map(|customer| &customer.status.name).collect();
        refused.for_each(|customer| self.write(customer));
        let served = recent.iter().max_by_key(|customer| customer.flow.granted_load);
        let unnamed = served.filter(|served| !named.is_empty() && !named.contains(&&served.status.name));
        unnamed.into_iter().for_each(|customer| self.write(customer));
        self.told = customers.iter().map(|status| (status.name.clone(), status.counters)).collect();
    }

    fn recent<'a>(&self, status: &'a CustomerStatus) -> RecentFlow<'a> {
        let before = self.told.get(&status.name).copied().unwrap_or_default();
        RecentFlow { status, flow: status.counters.since(&before) }
    }

    fn write(&self, customer: &RecentFlow<'_>) {
        let RecentFlow { status, flow } = customer;
        let fields = [
            field("service", &self.service),
            field("customer", &status.name),
            field("granted", flow.granted),
            field("granted_load", flow.granted_load),
            field("refused_on_arrival", flow.refused_on_arrival),
            field("refused_after_wait", flow.refused_after_wait),
            field("waiting", status.waiting),
            field("running", status.running),
            field("behind", status.behind.0 / LEVEL_SCALE),
        ];
        record(&events::CUSTOMER_DECIDED, &fields);
    }
}
