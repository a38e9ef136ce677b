//! Retry budgets, which keep retries from amplifying an outage.

use micaspool_fair::CustomerIndex;
use std::collections::HashMap;

/// The credit per first attempt, in thousandths of a retry.
const RETRY_CREDIT: u32 = 100;
/// The cost of one retry, in the same unit.
const RETRY_COST: u32 = 1_000;
/// The maximum budget of a customer.
const MAX_CUSTOMER_BUDGET: u32 = 10 * RETRY_COST;
/// The maximum budget of the shard.
const MAX_SHARD_BUDGET: u32 = 100 * RETRY_COST;

/// One budget per customer and one for the shard; a retry is charged to both.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    customers: HashMap<CustomerIndex, u32>,
    shard: u32,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        RetryBudgets { customers: HashMap::new(), shard: MAX_SHARD_BUDGET }
    }
}

impl RetryBudgets {
    /// Returns whether the attempt is allowed: first attempts always, retries within both budgets.
    pub fn admit(&mut self, customer: CustomerIndex, attempt: u32) -> bool {
        let own = self.customers.entry(customer).or_insert(MAX_CUSTOMER_BUDGET);
        if attempt == 0 {
            *own = (*own + RETRY_CREDIT).min(MAX_CUSTOMER_BUDGET);
            self.shard = (self.shard + RETRY_CREDIT).min(MAX_SHARD_BUDGET);
            return true;
        }
        if *own < RETRY_COST || self.shard < RETRY_COST {
            return false;
        }
        *own -= RETRY_COST;
        self.shard -= RETRY_COST;
        true
    }
}
