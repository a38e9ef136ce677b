//! Whether an endpoint may take a request now, and if not, why and until when.

use super::cold::ColdStartLimiter;
use super::status::EndpointClosure;
use micaspool_types::Moment;

/// The causes that keep an endpoint from taking new work, other than full slots and queued prefill
/// work.
#[derive(Debug, Default)]
pub(super) struct EndpointAvailability {
    /// The settings do not contain it or mark it as leaving.
    pub settings: bool,
    /// The platform lists it as leaving.
    pub listed: bool,
    /// When its latest load report said that it is draining. Only a report requested later reopens it.
    pub draining_since: Option<Moment>,
    /// It announced to a router that it is leaving, which is final.
    pub announced_leaving: bool,
    /// Its data hall is evacuated.
    pub evacuated: bool,
    /// It failed, refused a request or said that it is leaving, and gets no requests until this moment.
    pub paused_until: Option<Moment>,
    /// True if the pause follows a report that it is leaving.
    pub paused_as_leaving: bool,
    /// Limits its requests while it is cold.
    pub cold: ColdStartLimiter,
}

impl EndpointAvailability {
    /// True if the endpoint is known to be leaving or to have left, which explains that its connections
    /// end.
    pub fn is_leaving(&self) -> bool {
        self.settings || self.listed || self.draining_since.is_some() || self.announced_leaving
    }

    /// True if it may take new work once it has a slot, even if only one request at a time.
    pub fn is_open(&self) -> bool {
        self.closure().is_none()
    }

    /// Why it takes no new work; the most permanent cause if there are several.
    pub fn closure(&self) -> Option<EndpointClosure> {
        let causes = [
            (self.settings, EndpointClosure::Settings),
            (self.listed, EndpointClosure::Listed),
            (self.draining_since.is_some() || self.announced_leaving, EndpointClosure::Draining),
            (self.evacuated, EndpointClosure::Evacuated),
            (self.paused_until.is_some(), EndpointClosure::Paused),
        ];
        causes.into_iter().find(|(closed, _)| *closed).map(|(_, cause)| cause)
    }
}
