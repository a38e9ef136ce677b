//! How long and how much the ledger keeps.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bounds of the ledger. All keepers of a group must have the same.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LedgerOptions {
    /// For how long after its end a key is remembered.
    pub retention: Duration,
    /// After this time a call that has not ended counts as one that may have run.
    pub running_limit: Duration,
    /// The most keys; new ones are refused beyond it, since forgetting one could run a call twice.
    pub max_keys: usize,
    /// The most bytes of answers; the oldest answers go first, their keys stay.
    pub max_answer_bytes: usize,
    /// The largest answer that is kept.
    pub max_answer: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        LedgerOptions {
            retention: Duration::from_secs(24 * 3_600),
            running_limit: Duration::from_secs(15 * 60),
            max_keys: 200_000,
            max_answer_bytes: 64 * 1024 * 1024,
            max_answer: 256 * 1024,
        }
    }
}
