//! Weighted split of a route's requests over services.

use crate::plan::RouteRule;
use micaspool_types::{stable_hash, ServiceName};
use serde::{Deserialize, Serialize};

/// A service and its share of a route's requests.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The name of the service.
    pub service: ServiceName,
    /// Its weight relative to the other services of the route.
    pub weight: u32,
}

impl RouteRule {
    /// Returns the service for a request id, or `None` if all weights are zero. The choice is deterministic, so that
    /// every process makes the same one.
    pub fn choose_service(&self, request: &str) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut offset = stable_hash(request.bytes()).rotate_left(32) % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        None
    }
}
