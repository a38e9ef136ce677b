//! Budgets that keep retries from multiplying an outage.

use micaspool_fair::CustomerIndex;
use std::collections::HashMap;

/// What one first attempt adds to a budget, in thousandths of a retry.
const DEPOSIT: u32 = 100;
/// What one retry takes from a budget.
const PRICE: u32 = 1_000;
/// The most that a customer's budget holds.
const CUSTOMER_CEILING: u32 = 10 * PRICE;
/// The most that the shard's budget holds.
const SHARD_CEILING: u32 = 100 * PRICE;

/// One budget for each customer and one for the shard; a retry needs both.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    customers: HashMap<CustomerIndex, u32>,
    shard: u32,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        RetryBudgets { customers: HashMap::new(), shard: SHARD_CEILING }
    }
}

impl RetryBudgets {
    /// True when the attempt may wait: first attempts always, retries while there is budget.
    pub fn admit(&mut self, customer: CustomerIndex, attempt: u32) -> bool {
        let own = self.customers.entry(customer).or_insert(CUSTOMER_CEILING);
        if attempt == 0 {
            *own = (*own + DEPOSIT).min(CUSTOMER_CEILING);
            self.shard = (self.shard + DEPOSIT).min(SHARD_CEILING);
            return true;
        }
        if *own < PRICE || self.shard < PRICE {
            return false;
        }
        *own -= PRICE;
        self.shard -= PRICE;
        true
    }
}
