//! Advice that endpoints give in response heads, and the form in which processes pass it on.

use crate::EndpointName;
use std::time::Duration;

/// Advice from an endpoint to those that send requests to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointAdvice {
    /// How long no requests may be sent to the endpoint; zero if not given.
    pub rest: Duration,
    /// True if the endpoint is about to stop and accepts no new requests; final for this start of the endpoint.
    pub leaving: bool,
}

impl EndpointAdvice {
    /// Returns true if no advice was given.
    pub fn is_empty(&self) -> bool {
        *self == EndpointAdvice::default()
    }
}

/// Advice that one process got from an endpoint and follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRecord {
    /// The name of the start of the endpoint that gave the advice.
    pub endpoint: EndpointName,
    /// The advice, with the remaining rest.
    pub advice: EndpointAdvice,
}
