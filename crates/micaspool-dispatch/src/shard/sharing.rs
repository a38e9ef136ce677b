//! Service that other regions deliver to the same customers.
//!
//! The shards of a service in different regions tell each other what they have delivered. What a
//! customer receives elsewhere raises its level here, so that levels compare whole customers.

use super::ShardCore;
use crate::event::{CustomerTotal, RegionTotals};
use micaspool_fair::ServiceLevel;
use micaspool_types::{Cost, CustomerName, Incarnation, RegionName};
use std::collections::HashMap;

/// One message raises a customer's level by at most this many of the largest request. After a long
/// cut the rest is forgotten, so that a customer that the other region served does not starve here.
const MOST_REQUESTS: u64 = 16;

/// The newest sums of other regions.
#[derive(Debug, Default)]
pub(super) struct RemoteTotals {
    regions: HashMap<RegionName, RemoteRegion>,
}

#[derive(Debug)]
struct RemoteRegion {
    incarnation: Incarnation,
    known: HashMap<CustomerName, Cost>,
}

impl RemoteTotals {
    /// Notes a region's sums and gives what is new. The first sums of a dispatcher's life only set
    /// the start.
    fn growth(&mut self, totals: &RegionTotals) -> Vec<CustomerTotal> {
        let region = self.regions.entry(totals.region.clone()).or_insert_with(|| RemoteRegion::new(totals));
        if region.incarnation != totals.incarnation {
            *region = RemoteRegion::new(totals);
        }
        totals.totals.iter().filter_map(|total| region.growth_of(total)).collect()
    }
}

impl RemoteRegion {
    fn new(totals: &RegionTotals) -> RemoteRegion {
        let known = totals.totals.iter().map(|total| (total.customer.clone(), total.served));
        RemoteRegion { incarnation: totals.incarnation, known: known.collect() }
    }

    fn growth_of(&mut self, total: &CustomerTotal) -> Option<CustomerTotal> {
        let known = self.known.entry(total.customer.clone()).or_default();
        let grown = total.served.minus(*known);
        *known = total.served.max(*known);
        (grown > Cost(0)).then(|| CustomerTotal { customer: total.customer.clone(), served: grown })
    }
}

impl ShardCore {
    /// What this shard has delivered to each customer since it began.
    pub fn totals(&self) -> Vec<CustomerTotal> {
        let served = self.customers.iter().filter(|state| state.served > Cost(0));
        served.map(|state| CustomerTotal { customer: state.name.clone(), served: state.served }).collect()
    }

    /// Raises the levels of customers that another region has served.
    pub(super) fn take_shared(&mut self, totals: &RegionTotals) {
        let most = Cost(self.options.cost_ceiling.0.saturating_mul(MOST_REQUESTS));
        for growth in self.remote.growth(totals) {
            let customer = self.customers.ensure(&growth.customer);
            let state = self.customers.get_mut(customer);
            let level = ServiceLevel::from_cost(growth.served.min(most), state.account.weight());
            state.account.add_remote(level);
            self.reindex(customer);
        }
    }
}
