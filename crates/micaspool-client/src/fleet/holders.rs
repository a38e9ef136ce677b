//! Which keepers vouch for which endpoints.
//!
//! A keeper sends a record once and later reports its endpoint as silent. In between it vouches for the endpoint, which
//! registers with any keeper and changes keepers when one is lost. An endpoint is removed once no keeper vouches for it.

use micaspool_types::{EndpointName, InstanceName, Moment};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// The keepers that vouch for each endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointHolders {
    /// The endpoints that each keeper vouches for.
    held: BTreeMap<InstanceName, HashSet<EndpointName>>,
    /// The number of keepers that vouch for each endpoint.
    counts: HashMap<EndpointName, usize>,
    /// The endpoints that no keeper vouches for, and when to remove each.
    unheld: BTreeMap<EndpointName, Moment>,
}

impl EndpointHolders {
    /// Notes that a keeper vouches for an endpoint.
    pub fn hold(&mut self, keeper: &InstanceName, endpoint: &EndpointName) {
        if !self.held.contains_key(keeper) {
            self.held.insert(keeper.clone(), HashSet::new());
        }
        let held = self.held.get_mut(keeper).expect("the entry was just made");
        if held.insert(endpoint.clone()) {
            *self.counts.entry(endpoint.clone()).or_default() += 1;
            self.unheld.remove(endpoint);
        }
    }

    /// Notes that a keeper reports an endpoint as silent. Unless another vouches for it, the endpoint is due for removal
    /// at once.
    pub fn release(&mut self, now: Moment, keeper: &InstanceName, endpoint: &EndpointName) {
        let was_held = self.held.get_mut(keeper).is_some_and(|held| held.remove(endpoint));
        if was_held {
            self.end_hold(endpoint, now);
        }
    }

    /// Notes that a keeper was lost. The endpoints that only it vouched for are due for removal after `max_silence`, by
    /// which time they have registered with another keeper.
    pub fn release_all(&mut self, now: Moment, keeper: &InstanceName, max_silence: Duration) {
        for endpoint in self.held.remove(keeper).unwrap_or_default() {
            self.end_hold(&endpoint, now + max_silence);
        }
    }

    /// Returns the endpoints that are due for removal, and forgets them.
    pub fn take_due(&mut self, now: Moment) -> Vec<EndpointName> {
        let due = self.unheld.iter().filter(|(_, at)| **at <= now).map(|(endpoint, _)| endpoint.clone());
        let due: Vec<EndpointName> = due.collect();
        for endpoint in &due {
            self.unheld.remove(endpoint);
        }
        due
    }

    fn end_hold(&mut self, endpoint: &EndpointName, remove_at: Moment) {
        let Some(count) = self.counts.get_mut(endpoint) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(endpoint);
            self.unheld.insert(endpoint.clone(), remove_at);
        }
    }
}
