//! How many request bytes wait in this router.

use micaspool_types::{CustomerName, Refusal, RefusalKind};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The most request bytes that wait in one router, in all.
const MAX_ROUTER_BYTES: u64 = 96 * 1024 * 1024;
/// When a request that found no room may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts the bytes of bodies that are held, for each customer and in all.
#[derive(Debug, Clone, Default)]
pub(crate) struct BodyBudget {
    held: Arc<Mutex<HeldBytes>>,
}

#[derive(Debug, Default)]
struct HeldBytes {
    total: u64,
    customers: HashMap<CustomerName, u64>,
}

/// Bytes that count until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyGuard {
    budget: BodyBudget,
    customer: CustomerName,
    bytes: u64,
}

impl BodyBudget {
    /// Counts a body, or refuses it when the customer or the router holds too much.
    pub fn reserve(&self, customer: &CustomerName, bytes: u64, limit: u64) -> Result<BodyGuard, Refusal> {
        let mut held = self.held.lock().expect("no holder of the counts panics");
        let customer_bytes = held.customers.get(customer).copied().unwrap_or(0);
        if customer_bytes.saturating_add(bytes) > limit {
            return Err(Refusal::not_run(RefusalKind::CustomerBacklogFull).after(RETRY_AFTER));
        }
        if held.total.saturating_add(bytes) > MAX_ROUTER_BYTES {
            return Err(Refusal::not_run(RefusalKind::FleetBacklogFull).after(RETRY_AFTER));
        }
        held.total += bytes;
        held.customers.insert(customer.clone(), customer_bytes + bytes);
        Ok(BodyGuard { budget: self.clone(), customer: customer.clone(), bytes })
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let mut held = self.budget.held.lock().expect("no holder of the counts panics");
        held.total -= self.bytes;
        let customer_bytes =
            held.customers.get(&self.customer).copied().unwrap_or(0).saturating_sub(self.bytes);
        if customer_bytes == 0 {
            held.customers.remove(&self.customer);
        } else {
            held.customers.insert(self.customer.clone(), customer_bytes);
        }
    }
}
