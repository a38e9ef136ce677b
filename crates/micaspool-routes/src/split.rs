//! Splitting a route's requests over services by weight.

use crate::plan::RouteRule;
use micaspool_types::{stable_hash, ServiceName};
use serde::{Deserialize, Serialize};

/// A service and its share of a route's requests.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the others of the route.
    pub weight: u32,
}

impl RouteRule {
    /// The service of a request, the same for the same text in every process.
    pub fn choose_service(&self, request: &str) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut place = stable_hash(request.bytes()).rotate_left(32) % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if place < weight {
                return Some(&share.service);
            }
            place -= weight;
        }
        None
    }
}
