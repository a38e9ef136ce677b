//! Actions that a shard requests from its driver.

use crate::event::SessionId;
use crate::queue_fill::QueueFill;
use micaspool_fair::ServiceLevel;
use micaspool_quarantine::{CrashRecord, RequestStanding};
use micaspool_types::{Cost, EndpointName, OrderNumber, RequestId, Revision, SoftwareVersion};
use std::time::Duration;

/// Why a ticket was refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalReason {
    /// The customer has reached its limit of waiting requests.
    CustomerFull,
    /// The shard has reached its limit of waiting requests.
    ShardFull,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The request can't be served in time, or waited too long.
    Overdue,
    /// Endpoints crashed while running this request, which is quarantined.
    Quarantined,
    /// An endpoint crashed while running this request, and another copy is waiting or running.
    CopyRunning,
    /// Every endpoint that may run it has asked its router to rest for longer than it may wait.
    EndpointsRest,
    /// Every endpoint that may run it is in an evacuated data hall.
    HallsEvacuated,
    /// No endpoint is in the data halls to which the request is limited.
    NoEndpoint,
    /// No endpoint runs the software version that began the stream with which the request goes on.
    VersionGone,
    /// The request goes on with a stream, and it is not known which software version began it.
    StreamUnknown,
}

/// Why the standing of a request has changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StandingCause {
    /// An endpoint seems to have crashed while running it.
    EndpointCrashed,
    /// A router that joined reported crashes.
    RouterJoined,
    /// It was answered completely.
    Answered,
    /// An endpoint that seemed to have crashed is alive.
    EndpointAlive,
    /// An operator lifted the quarantine or suspicion.
    Lifted,
    /// The crashes are too long ago.
    Expired,
}

impl StandingCause {
    /// The name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StandingCause::EndpointCrashed => "endpoint-ended",
            StandingCause::RouterJoined => "router-joined",
            StandingCause::Answered => "answered",
            StandingCause::EndpointAlive => "endpoint-alive",
            StandingCause::Lifted => "lifted",
            StandingCause::Expired => "expired",
        }
    }
}

/// An action for the driver.
#[derive(Clone, PartialEq, Debug)]
pub enum ShardAction {
    /// Tell the router that its request is queued.
    Accepted {
        /// The session of the router.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// Its position in the arrival order.
        order: OrderNumber,
        /// The fill of the customer's queue on arrival; `None` if unknown.
        queue_fill: Option<QueueFill>,
    },
    /// Tell the router to send its request to an endpoint.
    Grant {
        /// The session of the router.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointName,
        /// The version to which the ticket is bound, if any.
        version: Option<SoftwareVersion>,
        /// The engine from which that endpoint copies cached parts of the prompt, if any.
        cache_source: Option<EndpointName>,
        /// The estimated cost that was charged.
        estimate: Cost,
        /// The customer's level after the charge.
        level: ServiceLevel,
        /// Its position in the arrival order.
        order: OrderNumber,
        /// The router's latest heartbeat known to the dispatcher; the lease starts when the router sent
        /// it.
        heartbeat: u64,
        /// The duration of the lease.
        lease: Duration,
        /// The revision of the settings that the grant is based on.
        revision: Revision,
        /// The time within which the response was due when the ticket arrived.
        objective: Option<Duration>,
        /// The fill of the customer's queue on arrival; `None` if unknown.
        queue_fill: Option<QueueFill>,
    },
    /// Tell the router that its request is refused and was not run.
    Refuse {
        /// The session of the router.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// When a retry may succeed.
        retry_after: Duration,
        /// How long the ticket waited here; zero if refused on arrival.
        waited: Duration,
        /// The busy engine that the ticket was waiting for, if any.
        awaited: Option<EndpointName>,
        /// The time within which the response was due when the ticket arrived.
        objective: Option<Duration>,
        /// The wait that was expected on arrival.
        expected_wait: Duration,
        /// The fill of the customer's queue on arrival; `None` if unknown.
        queue_fill: Option<QueueFill>,
    },
    /// Answer a heartbeat.
    Pulse {
        /// The session of the router.
        session: SessionId,
        /// The number of the heartbeat.
        heartbeat: u64,
    },
    /// Send the router the crash record of a request.
    SendRecord {
        /// The session of the router.
        session: SessionId,
        /// The record; without crashes if it was cleared.
        record: CrashRecord,
    },
    /// Request a load report at once from an endpoint that seems to have crashed. An answer shows that
    /// it is alive.
    ProbeEndpoint {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Log a change of a request's standing for operators.
    ReportStanding {
        /// The current record; without crashes if it was cleared.
        record: CrashRecord,
        /// The previous standing.
        before: RequestStanding,
        /// The new standing.
        after: RequestStanding,
        /// The cause of the change.
        cause: StandingCause,
    },
    /// Ask the router to open a new session and report what it holds.
    Rejoin {
        /// The session of the router.
        session: SessionId,
    },
}
