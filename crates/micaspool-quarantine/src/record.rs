//! What is remembered of one request.

use micaspool_types::{CustomerName, EndpointName, RequestDigest};
use std::time::Duration;

/// A start of an endpoint that ended under a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EndpointCrash {
    /// Its name. Where starts have names of their own it is the start's; else one that ends again later counts again.
    pub endpoint: EndpointName,
    /// How long ago it ended.
    pub age: Duration,
}

/// Which endpoints ended under a request, as one process tells another.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CrashRecord {
    /// What was asked for.
    pub digest: RequestDigest,
    /// Whose request it is.
    pub customer: CustomerName,
    /// The endpoints that ended under it; none once nothing is held against it any more.
    pub crashes: Vec<EndpointCrash>,
}
