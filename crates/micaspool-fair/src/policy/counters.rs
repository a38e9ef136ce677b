//! Service counters: the customer with the least service for its weight is served next.

use super::OrderPolicy;
use crate::account::{ServiceAccount, ServiceLevel};
use micaspool_types::Cost;

/// The part of a running request's estimated remaining cost that is charged in advance, in percent.
const DEFAULT_REMAINING_PERCENT: u64 = 10;

/// Charges the delivered cost and a part of the estimated remaining cost of running requests.
///
/// Charging all of the remaining cost in advance makes the gap follow the errors of the estimate; charging
/// none of it grants too many requests at once to a customer that starts.
#[derive(Clone, Copy, Debug)]
pub struct ProgressCounters {
    remaining_percent: u64,
}

impl Default for ProgressCounters {
    fn default() -> Self {
        ProgressCounters { remaining_percent: DEFAULT_REMAINING_PERCENT }
    }
}

impl ProgressCounters {
    /// Creates counters that charge this part of the estimated remaining cost in advance, 0 to 100 percent.
    pub fn with_remaining_percent(remaining_percent: u64) -> Self {
        ProgressCounters { remaining_percent: remaining_percent.min(100) }
    }
}

impl OrderPolicy for ProgressCounters {
    fn name(&self) -> &'static str {
        "progress"
    }

    fn level(&self, account: &ServiceAccount) -> ServiceLevel {
        let remaining = Cost(account.running_remaining().0.saturating_mul(self.remaining_percent) / 100);
        let charged = account.settled().saturating_add(account.running_delivered()).saturating_add(remaining);
        ServiceLevel::from_cost(charged, account.weight())
    }
}

/// Charges the whole estimate at the grant and replaces it by the actual cost at the end.
#[derive(Clone, Copy, Debug, Default)]
pub struct EstimateCounters;

impl OrderPolicy for EstimateCounters {
    fn name(&self) -> &'static str {
        "estimate"
    }

    fn level(&self, account: &ServiceAccount) -> ServiceLevel {
        let running = account.running_delivered().saturating_add(account.running_remaining());
        ServiceLevel::from_cost(account.settled().saturating_add(running), account.weight())
    }
}

/// Charges the estimate at the grant and never corrects it.
#[derive(Clone, Copy, Debug, Default)]
pub struct HintCounters;

impl OrderPolicy for HintCounters {
    fn name(&self) -> &'static str {
        "hint"
    }

    fn level(&self, account: &ServiceAccount) -> ServiceLevel {
        ServiceLevel::from_cost(account.granted_estimate(), account.weight())
    }
}

/// Charges the actual cost of a request when it ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettledCounters;

impl OrderPolicy for SettledCounters {
    fn name(&self) -> &'static str {
        "settled"
    }

    fn level(&self, account: &ServiceAccount) -> ServiceLevel {
        ServiceLevel::from_cost(account.settled(), account.weight())
    }
}
