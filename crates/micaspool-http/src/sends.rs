//! Which connections of a pool carried which sends.

use std::fmt;

/// Identifies a connection of a pool, whatever its endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionNumber(pub(crate) u64);

impl fmt::Display for ConnectionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The use that a send made of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionUse {
    /// The connection.
    pub connection: ConnectionNumber,
    /// The number of requests that were sent on it before.
    pub earlier_sends: u64,
}
