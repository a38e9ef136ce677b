//! Shares the memory of a gateway among customers.
//!
//! While memory is tight, a customer with more open calls than its even share is refused first. Otherwise a flood of one
//! customer would take what is left, and the others' requests would be refused beside it.

use micaspool_types::CustomerName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// The open calls of each customer.
#[derive(Debug, Default)]
pub struct OpenCalls {
    counts: Mutex<CallCounts>,
}

#[derive(Debug, Default)]
struct CallCounts {
    total: usize,
    by_customer: HashMap<CustomerName, usize>,
}

/// An open call of a customer, until it is dropped.
#[derive(Debug)]
pub struct OpenCall {
    calls: Arc<OpenCalls>,
    customer: CustomerName,
}

impl OpenCalls {
    /// Counts a call as open.
    pub fn begin(self: &Arc<Self>, customer: CustomerName) -> OpenCall {
        let mut counts = self.lock();
        counts.total += 1;
        *counts.by_customer.entry(customer.clone()).or_default() += 1;
        OpenCall { calls: self.clone(), customer }
    }

    /// Returns true if a customer has more calls open than its even share, if one more customer had a share.
    pub fn exceeds_even_share(&self, customer: &CustomerName) -> bool {
        let counts = self.lock();
        let open = counts.by_customer.get(customer).copied().unwrap_or_default();
        open * (counts.by_customer.len() + 1) > counts.total
    }

    fn end(&self, customer: &CustomerName) {
        let mut counts = self.lock();
        counts.total -= 1;
        if let Some(open) = counts.by_customer.get_mut(customer) {
            *open -= 1;
            if *open == 0 {
                counts.by_customer.remove(customer);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, CallCounts> {
        self.counts.lock().expect("no thread panics while it holds the lock")
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.calls.end(&self.customer);
    }
}
