//! Budgets that keep retries from multiplying an outage.

use micaspool_fair::CustomerIndex;
use std::collections::HashMap;

/// What one first attempt adds to a budget, in thousandths of a retry.
const RETRY_CREDIT: u32 = 100;
/// What one retry takes from a budget.
const RETRY_COST: u32 = 1_000;
/// The most that a customer's budget holds.
const MAX_CUSTOMER_BUDGET: u32 = 10 * RETRY_COST;
/// The most that the shard's budget holds.
const MAX_SHARD_BUDGET: u32 = 100 * RETRY_COST;

/// One budget for each customer and one for the shard; a retry needs both.
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
    /// True when the attempt may wait: first attempts always, retries while there is budget.
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
