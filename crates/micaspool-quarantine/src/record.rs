//! The crash record of one request, as processes exchange it.

use micaspool_types::{CustomerName, EndpointName, RequestDigest};
use std::time::Duration;

/// The crash of one start of an endpoint while it ran a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EndpointCrash {
    /// The name of the start, or of the endpoint where all its starts share one name; in that case a later crash of
    /// the endpoint counts again.
    pub endpoint: EndpointName,
    /// How long ago it crashed.
    pub age: Duration,
}

/// The endpoints that crashed while running a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CrashRecord {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The customer that sent the request.
    pub customer: CustomerName,
    /// The crashes; empty once the request is cleared.
    pub crashes: Vec<EndpointCrash>,
}
