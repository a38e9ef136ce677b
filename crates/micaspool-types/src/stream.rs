//! Streams and the software versions that began them.

use crate::names::CustomerName;
use crate::version::SoftwareVersion;
use std::fmt;
use std::time::Duration;

/// Identifies a stream by the customer and the attempt that began it; the same at any router and in any process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// Returns the key of the stream that a customer's attempt with this id began.
    pub fn of(customer: &CustomerName, attempt: &str) -> StreamKey {
        let mut hasher = blake3::Hasher::new();
        // The length separates the parts.
        hasher.update(&(customer.as_str().len() as u64).to_be_bytes());
        hasher.update(customer.as_str().as_bytes());
        hasher.update(attempt.as_bytes());
        let mut prefix = [0; 16];
        hasher.finalize_xof().fill(&mut prefix);
        StreamKey(u128::from_be_bytes(prefix))
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s{:08x}", self.0 >> 96)
    }
}

/// Which software version began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version that wrote its first event.
    pub version: SoftwareVersion,
    /// How much longer its caller may take it up.
    pub keep: Duration,
}
