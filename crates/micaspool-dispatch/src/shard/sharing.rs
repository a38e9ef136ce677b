//! Accounts for service that other regions deliver to the same customers.
//!
//! The shards of a service in different regions exchange the cost that they have delivered. What a
//! customer receives in another region raises its level here, so that levels cover all of a customer's
//! service.

use super::ShardCore;
use crate::event::{CustomerTotal, RegionTotals};
use micaspool_fair::ServiceLevel;
use micaspool_types::{Cost, CustomerName, Incarnation, RegionName};
use std::collections::HashMap;

/// The most that one message raises a customer's level, in requests of maximum cost. After a long
/// partition the rest is ignored, so that a customer that was served by the other region does not
/// starve here.
const MAX_RAISE_REQUESTS: u64 = 16;

/// The latest totals of other regions.
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
    /// Records a region's totals and returns their increases. The first totals of an incarnation only
    /// set the baseline.
    fn increase(&mut self, totals: &RegionTotals) -> Vec<CustomerTotal> {
        let region = self.regions.entry(totals.region.clone()).or_insert_with(|| RemoteRegion::new(totals));
        if region.incarnation != totals.incarnation {
            *region = RemoteRegion::new(totals);
        }
        totals.totals.iter().filter_map(|total| region.increase_of(total)).collect()
    }
}

impl RemoteRegion {
    fn new(totals: &RegionTotals) -> RemoteRegion {
        let known = totals.totals.iter().map(|total| (total.customer.clone(), total.served));
        RemoteRegion { incarnation: totals.incarnation, known: known.collect() }
    }

    fn increase_of(&mut self, total: &CustomerTotal) -> Option<CustomerTotal> {
        let known = self.known.entry(total.customer.clone()).or_default();
        let increased = total.served.saturating_sub(*known);
        *known = total.served.max(*known);
        (increased > Cost(0)).then(|| CustomerTotal { customer: total.customer.clone(), served: increased })
    }
}

impl ShardCore {
    /// The cost that this shard has delivered to each customer since it started.
    pub fn totals(&self) -> Vec<CustomerTotal> {
        let served = self.customers.iter().filter(|state| state.served > Cost(0));
        served.map(|state| CustomerTotal { customer: state.name.clone(), served: state.served }).collect()
    }

    /// Raises the levels of customers that another region has served.
    pub(super) fn apply_region_totals(&mut self, totals: &RegionTotals) {
        let max_raise = Cost(self.options.cost_ceiling.0.saturating_mul(MAX_RAISE_REQUESTS));
        for increase in self.remote.increase(totals) {
            let customer = self.customers.ensure(&increase.customer);
            let state = self.customers.get_mut(customer);
            let level = ServiceLevel::from_cost(increase.served.min(max_raise), state.account.weight());
            state.account.add_remote(level);
            self.reindex(customer);
        }
    }
}
