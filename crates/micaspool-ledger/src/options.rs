//! Limits and durations of the ledger.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits and durations of the ledger. All keepers of a group must use the same values.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LedgerOptions {
    /// How long a key is remembered after its call has ended.
    pub retention: Duration,
    /// The time after its claim at which a call that has not ended is considered to have an unknown outcome.
    pub running_limit: Duration,
    /// The maximum number of keys. New keys are refused beyond it, since evicting one could let a call run twice.
    pub max_keys: usize,
    /// The maximum total size of stored answers in bytes. Beyond it the oldest answers are dropped, but not their keys.
    pub max_answer_bytes: usize,
    /// The maximum size of one stored answer in bytes.
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
