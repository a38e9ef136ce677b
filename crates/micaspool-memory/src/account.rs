//! What is in use and promised, against a limit.

use crate::gauge::MemoryGauge;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The share of the limit from which memory counts as tight, in percent.
const TIGHT_PERCENT: u64 = 80;

/// The memory of a process, with a limit on what it admits.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: Option<MemoryLimit>,
    promised: AtomicU64,
}

struct MemoryLimit {
    bytes: u64,
    gauge: Arc<dyn MemoryGauge>,
}

impl fmt::Debug for MemoryLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryLimit").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

/// Memory that admitted work is expected to take. Dropped when it has taken it, and is measured, or has ended.
#[derive(Debug)]
pub struct MemoryPromise {
    account: Arc<MemoryAccount>,
    bytes: u64,
}

impl Drop for MemoryPromise {
    fn drop(&mut self) {
        self.account.promised.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The figures of an account at one moment, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryState {
    /// What is measured as in use.
    pub in_use: u64,
    /// What admitted work is expected to take.
    pub promised: u64,
    /// What may be in use and promised together; zero without a limit.
    pub limit: u64,
}

impl MemoryState {
    /// Returns true if little is left, so that what nobody waits for should be freed.
    pub fn is_tight(&self) -> bool {
        self.limit > 0 && self.in_use.saturating_add(self.promised) > self.limit / 100 * TIGHT_PERCENT
    }
}

impl MemoryAccount {
    /// Creates an account with a limit on the bytes that `gauge` measures and those that are promised, together.
    pub fn new(bytes: u64, gauge: Arc<dyn MemoryGauge>) -> Arc<MemoryAccount> {
        Arc::new(MemoryAccount { limit: Some(MemoryLimit { bytes, gauge }), promised: AtomicU64::default() })
    }

    /// Creates an account that admits everything.
    pub fn unlimited() -> Arc<MemoryAccount> {
        Arc::new(MemoryAccount { limit: None, promised: AtomicU64::default() })
    }

    /// Promises memory to work that is to be admitted. Returns `None` if it does not fit.
    pub fn promise(self: &Arc<Self>, bytes: u64) -> Option<MemoryPromise> {
        self.promised.fetch_add(bytes, Ordering::Relaxed);
        // Dropped, and so taken back, if it does not fit.
        let promise = MemoryPromise { account: self.clone(), bytes };
        let state = self.state();
        let fits = state.limit == 0 || state.in_use.saturating_add(state.promised) <= state.limit;
        fits.then_some(promise)
    }

    /// Returns the figures of this moment.
    pub fn state(&self) -> MemoryState {
        let promised = self.promised.load(Ordering::Relaxed);
        match &self.limit {
            Some(limit) => MemoryState { in_use: limit.gauge.bytes_in_use(), promised, limit: limit.bytes },
            None => MemoryState { promised, ..MemoryState::default() },
        }
    }
}
