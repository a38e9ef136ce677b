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

/// The connections over which a request was sent.
///
/// An endpoint may answer a request twice, the second time late. On a connection that carried an earlier send of the same
/// request, such an answer can't be told from the answer to the next send: both have the id of the request.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    connections: Vec<ConnectionNumber>,
}

impl SendHistory {
    /// Notes that the request was sent over a connection.
    pub fn note(&mut self, connection: ConnectionNumber) {
        self.connections.push(connection);
    }

    /// Returns true if the request was sent over this connection.
    pub fn contains(&self, connection: ConnectionNumber) -> bool {
        self.connections.contains(&connection)
    }
}
