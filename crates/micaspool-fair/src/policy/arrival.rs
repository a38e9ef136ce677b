//! Baseline: first come, first served.

use super::{HeadTicket, OrderPolicy, Rank};
use crate::account::{ServiceAccount, ServiceLevel};

/// Serves requests in order of arrival, regardless of their customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalOrder;

impl OrderPolicy for ArrivalOrder {
    fn name(&self) -> &'static str {
        "arrival"
    }

    fn level(&self, _account: &ServiceAccount) -> ServiceLevel {
        ServiceLevel(0)
    }

    fn rank(&self, _account: &ServiceAccount, head: HeadTicket) -> Rank {
        Rank(head.order.0)
    }

    fn lifts_returning(&self) -> bool {
        false
    }
}
