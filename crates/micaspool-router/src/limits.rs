//! Limits on the request bytes held by this router.

use micaspool_types::{CustomerName, Refusal, RefusalKind};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The maximum number of request bytes held by one router, in total.
const MAX_ROUTER_BYTES: u64 = 96 * 1024 * 1024;
/// `Retry-After` of requests that exceed a limit.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts the bytes of the bodies held, per customer and in total.
#[derive(Debug, Clone, Default)]
pub(crate) struct BodyBudget {
    held: Arc<Mutex<HeldBytes>>,
}

#[derive(Debug, Default)]
struct HeldBytes {
    total: u64,
    customers: HashMap<CustomerName, u64>,
}

/// A reservation of bytes, released on drop.
#[derive(Debug)]
pub(crate) struct BodyGuard {
    budget: BodyBudget,
    customer: CustomerName,
    bytes: u64,
}

impl BodyBudget {
    /// Reserves the bytes of a body, or refuses it if the customer or the router would exceed its limit.
    pub fn reserve(&self, customer: &CustomerName, bytes: u64, limit: u64) -> Result<BodyGuard, Refusal> {
        let mut held = self.held.lock().expect("the lock of the counts is not poisoned");
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
        let mut held = self.budget.held.lock().expect("the lock of the counts is not poisoned");
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
