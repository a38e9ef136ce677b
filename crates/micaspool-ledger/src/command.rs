//! What goes into the ledger and what comes out of it.

use micaspool_types::CustomerName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A customer's idempotency key.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct ClaimKey {
    /// Whose key it is.
    pub customer: CustomerName,
    /// The key as the caller sent it.
    pub key: Arc<str>,
}

/// The SHA-256 of a request's method, path and body.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct BodyDigest(pub [u8; 32]);

/// Tells one arrival of a request from another with the same key; random.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ClaimToken(pub u64);

/// Milliseconds since 1970 by the clock of the keeper that led when the command was made.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct LedgerTime(pub u64);

/// Asks to run a call.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ClaimCommand {
    /// The key of the call.
    pub key: ClaimKey,
    /// Its content.
    pub body: BodyDigest,
    /// This arrival.
    pub token: ClaimToken,
    /// When the command was made.
    pub at: LedgerTime,
}

/// Says how a claimed call ended.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct FinishCommand {
    /// The key of the call.
    pub key: ClaimKey,
    /// The arrival that claimed it.
    pub token: ClaimToken,
    /// How it ended.
    pub kind: FinishKind,
    /// When the command was made.
    pub at: LedgerTime,
}

/// How a claimed call ended.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum FinishKind {
    /// Provably no byte was sent: the key is free again.
    Released,
    /// It ran, with this answer.
    Answered(StoredAnswer),
    /// It may have run; the answer was lost.
    Unknown,
}

/// An answer that later arrivals get.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What an arrival is told.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ClaimVerdict {
    /// Run it now.
    Granted,
    /// Another arrival runs it.
    Running,
    /// It ran; this is its answer.
    Done(StoredAnswer),
    /// It ran; its answer was too large or too old to be kept.
    AnswerDropped,
    /// It may have run.
    MayHaveRun,
    /// The key was used for another call.
    KeyReused,
    /// The ledger holds as many keys as it may.
    Full,
}
