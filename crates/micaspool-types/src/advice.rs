//! What endpoints say of themselves in the heads of their answers, and how processes pass it on.

use crate::EndpointName;
use std::time::Duration;

/// What the head of an endpoint's answer says beside the answer itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointAdvice {
    /// It wants nothing more from whoever asked for so long; zero when it does not say.
    pub rest: Duration,
    /// It is about to end and takes nothing new; final for this start of the endpoint.
    pub leaving: bool,
}

impl EndpointAdvice {
    /// True when nothing was said.
    pub fn is_empty(&self) -> bool {
        *self == EndpointAdvice::default()
    }
}

/// What one process has been told by an endpoint and keeps to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRecord {
    /// The start of the endpoint that said so.
    pub endpoint: EndpointName,
    /// What is left of it.
    pub advice: EndpointAdvice,
}
