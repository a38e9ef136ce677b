//! What operators and tests may see of a shard.

use super::ShardCore;
use micaspool_fair::ServiceLevel;
use micaspool_types::{CustomerName, EndpointName, HallMask, Moment, Revision};

/// One customer in a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerStatus {
    /// The name of the customer.
    pub name: CustomerName,
    /// Its waiting requests.
    pub waiting: usize,
    /// Its running requests.
    pub running: u32,
    /// Its level; the gap between two waiting customers is the difference of theirs.
    pub level: ServiceLevel,
}

/// One endpoint in a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// Grants that hold a slot.
    pub busy: u32,
    /// Slots that something else uses.
    pub foreign: u32,
    /// All slots.
    pub slots: u32,
    /// True when it may take new work.
    pub open: bool,
    /// True when it has a free slot and little enough to read.
    pub free: bool,
    /// True while its engine has too much to read to get more.
    pub reading: bool,
    /// Failures in a row.
    pub failures: u32,
}

/// A whole shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardStatus {
    /// The revision of the settings in force.
    pub revision: Revision,
    /// True while the shard collects what routers hold.
    pub recovering: bool,
    /// The routers that have joined.
    pub routers: usize,
    /// All waiting tickets.
    pub waiting: usize,
    /// All running grants.
    pub running: usize,
    /// The customers that wait or run.
    pub customers: Vec<CustomerStatus>,
    /// The endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

impl ShardCore {
    /// The state of the shard.
    pub fn status(&self) -> ShardStatus {
        let active = self.customers.iter().filter(|state| !state.queue.is_empty() || state.running > 0);
        let customers = active.map(|state| CustomerStatus {
            name: state.name.clone(),
            waiting: state.queue.len(),
            running: state.running,
            level: state.level(self.options.policy.as_ref()),
        });
        let endpoints = self.endpoints.iter().map(|state| EndpointStatus {
            name: state.name.clone(),
            busy: state.busy,
            foreign: state.foreign,
            slots: state.slots,
            open: state.is_open(),
            free: state.is_free(),
            reading: state.reading,
            failures: state.failures,
        });
        ShardStatus {
            revision: self.revision,
            recovering: self.recovering_until.is_some(),
            routers: self.routers.count(),
            waiting: self.waiting.len(),
            running: self.running.len(),
            customers: customers.collect(),
            endpoints: endpoints.collect(),
        }
    }

    /// The halls that some waiting ticket may use.
    pub fn waiting_halls(&self) -> HallMask {
        let waiting = self.customers.iter().filter(|state| !state.queue.is_empty());
        waiting.fold(HallMask::EMPTY, |halls, state| halls.union(state.halls))
    }

    /// The number of waiting tickets.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// True when a slot is free that a waiting ticket may use, which no step leaves behind.
    pub fn has_idle_slot(&self, now: Moment) -> bool {
        self.recovering_until.is_none() && self.pair_exists(now)
    }
}
