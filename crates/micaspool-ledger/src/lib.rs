//! Idempotency keys: claims for calls that must run at most once, and their outcomes.
//!
//! [`LedgerState`] is a deterministic state machine that keepers replicate: a claim is committed
//! on a majority before the first byte of a call is sent, and its outcome afterwards. A second
//! arrival with the same key gets the outcome of the first and never a second run.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod command;
mod options;
mod state;

pub use command::{
    BodyDigest, ClaimCommand, ClaimKey, ClaimToken, ClaimVerdict, FinishCommand, FinishKind, LedgerTime,
    StoredAnswer,
};
pub use options::LedgerOptions;
pub use state::{LedgerState, LegacyLedger};
