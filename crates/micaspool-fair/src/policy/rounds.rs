//! Baseline: customers take turns, one request at a time.

use super::OrderPolicy;
use crate::account::{ServiceAccount, ServiceLevel};
use micaspool_types::Cost;

/// Weighted round robin over requests, regardless of their cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestRounds;

impl OrderPolicy for RequestRounds {
    fn name(&self) -> &'static str {
        "rounds"
    }

    fn level(&self, account: &ServiceAccount) -> ServiceLevel {
        ServiceLevel::from_cost(Cost(account.granted_count()), account.weight())
    }
}
