//! Commands to the ledger and their results.

use micaspool_types::CustomerName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A customer's idempotency key.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct ClaimKey {
    /// The customer that chose the key.
    pub customer: CustomerName,
    /// The key as the caller sent it.
    pub key: Arc<str>,
}

/// The SHA-256 of a request's method, path and body.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct BodyDigest(pub [u8; 32]);

/// Identifies one arrival of a request among all with the same key; random.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ClaimToken(pub u64);

/// Milliseconds since the Unix epoch by the clock of the keeper that was leader when the command was created.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct LedgerTime(pub u64);

/// Requests permission to run a call.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ClaimCommand {
    /// The key of the call.
    pub key: ClaimKey,
    /// The digest of the call.
    pub body: BodyDigest,
    /// The token of this arrival.
    pub token: ClaimToken,
    /// When the command was created.
    pub at: LedgerTime,
}

/// Reports the outcome of a claimed call.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct FinishCommand {
    /// The key of the call.
    pub key: ClaimKey,
    /// The token of the arrival that claimed the call.
    pub token: ClaimToken,
    /// The outcome.
    pub kind: FinishKind,
    /// When the command was created.
    pub at: LedgerTime,
}

/// The outcome of a claimed call.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum FinishKind {
    /// Provably no byte of the call was sent, so that the key is free again.
    Released,
    /// The call ran and gave this answer.
    Answered(StoredAnswer),
    /// The call may have run, but its answer was lost.
    Unknown,
}

/// A stored answer, which later arrivals get without another run.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The decision on an arrival.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ClaimVerdict {
    /// This arrival may run the call.
    Granted,
    /// Another arrival is running the call, or this arrival was released before its claim came in.
    Running,
    /// The call ran; holds its answer.
    Done(StoredAnswer),
    /// The call ran, but its answer was too large or too old to be kept.
    AnswerDropped,
    /// The call may have run.
    MayHaveRun,
    /// The key was used before with another method, path or body.
    KeyReused,
    /// The ledger holds the maximum number of keys.
    Full,
}
