//! Whether an endpoint may get a request now, and if not, until when and why.

use super::cold::ColdStartLimiter;
use super::status::EndpointClosure;
use micaspool_types::Moment;

/// Why an endpoint takes nothing new, apart from full slots and what it has to read.
#[derive(Debug, Default)]
pub(super) struct EndpointAvailability {
    /// Settings no longer have it, or say that it leaves.
    pub settings: bool,
    /// The platform lists it as leaving.
    pub listed: bool,
    /// Its newest load report said so, at this moment. Only a later report opens it.
    pub draining_since: Option<Moment>,
    /// It told a router that it leaves, which is final.
    pub said_leaving: bool,
    /// Its data hall is evacuated.
    pub evacuated: bool,
    /// It failed, refused or answered that it leaves, and is left alone until this moment.
    pub paused_until: Option<Moment>,
    /// True when it is paused since a router was told that it leaves.
    pub paused_as_leaving: bool,
    /// How seldom it may get a request while it is cold.
    pub cold: ColdStartLimiter,
}

impl EndpointAvailability {
    /// True when the endpoint is known to be leaving, or gone for a reason of its own.
    pub fn is_leaving(&self) -> bool {
        self.settings || self.listed || self.draining_since.is_some() || self.said_leaving
    }

    /// True when it may take new work once it has a slot, be it one request at a time.
    pub fn is_open(&self) -> bool {
        self.closure().is_none()
    }

    /// Why it takes nothing new; the most lasting cause if there are several.
    pub fn closure(&self) -> Option<EndpointClosure> {
        let causes = [
            (self.settings, EndpointClosure::Settings),
            (self.listed, EndpointClosure::Listed),
            (self.draining_since.is_some() || self.said_leaving, EndpointClosure::Draining),
            (self.evacuated, EndpointClosure::Evacuated),
            (self.paused_until.is_some(), EndpointClosure::Paused),
        ];
        causes.into_iter().find(|(closed, _)| *closed).map(|(_, cause)| cause)
    }
}
