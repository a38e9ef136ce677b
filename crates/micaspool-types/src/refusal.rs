//! Refusals: the responses that a router gives in place of an endpoint.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether a refused request may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RunState {
    /// No byte of the request reached an endpoint.
    NotRun,
    /// At least one byte may have reached an endpoint.
    Unknown,
}

impl RunState {
    /// Returns the value of the `micaspool-run` header and of the `run` field in the body.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        }
    }
}

/// The kinds of refusal, each with one HTTP status and one remedy.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub enum RefusalKind {
    /// The request is not well-formed HTTP.
    MalformedRequest,
    /// The request head is larger than the limit.
    HeadTooLarge,
    /// The request head or body did not arrive in time.
    SlowRequest,
    /// The body is not the JSON that the service requires.
    MalformedBody,
    /// The body is larger than the customer's limit.
    BodyTooLarge,
    /// The bearer key is missing or belongs to no customer.
    UnknownKey,
    /// No service has this model name or path.
    UnknownService,
    /// The customer's settings allow no data hall for this service.
    PlacementForbidden,
    /// No endpoint in an allowed data hall accepts requests.
    NoEndpoint,
    /// The customer has as many waiting requests as its limits allow.
    CustomerBacklogFull,
    /// The router or shard has reached its limit of waiting work.
    FleetBacklogFull,
    /// The service has more work than it can start in time.
    Overloaded,
    /// The dispatcher refuses so many of the customer's requests that the router refused this one itself.
    Throttled,
    /// Endpoints crashed while running the same request, so that it is not run again for a while.
    Quarantined,
    /// An endpoint crashed while running the same request; until the request is cleared, only one copy of it may run at
    /// a time.
    CopyRunning,
    /// Every endpoint that may run the request is resting for longer than the request can wait.
    EndpointsRest,
    /// Every endpoint that may run the request is in a data hall that an operator has evacuated.
    HallsEvacuated,
    /// The request goes on with a stream, and no endpoint runs the software version that began it.
    VersionGone,
    /// The request goes on with a stream, and it is not known which software version began it.
    StreamUnknown,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The attempts of the request or the retry budget are used up.
    RetriesExhausted,
    /// No dispatcher can be reached.
    NoDispatcher,
    /// No settings have been received yet.
    NoSettings,
    /// The keepers that record claims cannot be reached, have no majority, or hold the maximum number of keys.
    NoLedger,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
    /// A request with the same idempotency key is running.
    KeyRunning,
    /// A request with the same idempotency key may have run, but its outcome was lost.
    KeyOutcomeUnknown,
    /// The idempotency key was used before for a request with another method, path or body.
    KeyReused,
    /// The request with this key ran, but its answer was too large or too old to be kept.
    KeyAnswerDropped,
    /// The router is stopping.
    Draining,
    /// The router has reached its limit of open connections.
    TooManyConnections,
    /// The gateway has no memory left for the request.
    MemoryFull,
    /// A fault of the router itself ended the handling of the request.
    InternalError,
}

impl RefusalKind {
    /// Returns the HTTP status of the kind, without regard to the run state; see [`RefusalKind::status_for`].
    pub fn status(self) -> u16 {
        use RefusalKind::*;
        match self {
            MalformedRequest | MalformedBody => 400,
            UnknownKey => 401,
            PlacementForbidden => 403,
            UnknownService => 404,
            SlowRequest => 408,
            KeyRunning | KeyOutcomeUnknown => 409,
            KeyAnswerDropped => 410,
            BodyTooLarge => 413,
            KeyReused => 422,
            CustomerBacklogFull | FleetBacklogFull => 429,
            HeadTooLarge => 431,
            EndpointFailed | InternalError => 502,
            NoEndpoint | NoDispatcher | NoSettings | NoLedger | Overloaded | Throttled => 503,
            Quarantined | CopyRunning | EndpointsRest | HallsEvacuated => 503,
            VersionGone | StreamUnknown => 503,
            RetriesExhausted | Draining | TooManyConnections | MemoryFull => 503,
            DeadlinePassed => 504,
        }
    }

    /// Returns the HTTP status of a refusal with this run state. A request that may have run never
    /// gets a status from which callers conclude that it has not run.
    pub fn status_for(self, run: RunState) -> u16 {
        match (run, self.status()) {
            (RunState::Unknown, 408 | 421 | 429 | 503) => 502,
            (_, status) => status,
        }
    }

    /// Returns the value of the `kind` field in the response body.
    pub fn as_str(self) -> &'static str {
        use RefusalKind::*;
        match self {
            MalformedRequest => "malformed-request",
            HeadTooLarge => "head-too-large",
            SlowRequest => "slow-request",
            MalformedBody => "malformed-body",
            BodyTooLarge => "body-too-large",
            UnknownKey => "unknown-key",
            UnknownService => "unknown-service",
            PlacementForbidden => "placement-forbidden",
            NoEndpoint => "no-endpoint",
            CustomerBacklogFull => "customer-backlog-full",
            FleetBacklogFull => "fleet-backlog-full",
            Overloaded => "overloaded",
            Throttled => "throttled",
            Quarantined => "quarantined",
            CopyRunning => "copy-running",
            EndpointsRest => "endpoints-rest",
            HallsEvacuated => "halls-evacuated",
            VersionGone => "version-gone",
            StreamUnknown => "stream-unknown",
            DeadlinePassed => "deadline-passed",
            RetriesExhausted => "retries-exhausted",
            NoDispatcher => "no-dispatcher",
            NoSettings => "no-settings",
            NoLedger => "no-ledger",
            EndpointFailed => "endpoint-failed",
            KeyRunning => "key-running",
            KeyOutcomeUnknown => "key-outcome-unknown",
            KeyReused => "key-reused",
            KeyAnswerDropped => "key-answer-dropped",
            Draining => "draining",
            TooManyConnections => "too-many-connections",
            MemoryFull => "memory-full",
            InternalError => "internal-error",
        }
    }

    /// Returns what the caller or the operator can do about the refusal.
    pub fn remedy(self) -> &'static str {
        use RefusalKind::*;
        match self {
            MalformedRequest => {
                "send one well-formed HTTP/1.1 request with a Host header and one body length"
            }
            HeadTooLarge => "send fewer or shorter headers",
            SlowRequest => "send the whole request within the time limit",
            MalformedBody => "send a JSON object with a text field 'model'",
            BodyTooLarge => "send a smaller body, or ask the operator to raise max_body_bytes",
            UnknownKey => "send 'Authorization: Bearer KEY' with a key that the settings hold",
            UnknownService => "use a model name or path that the settings list under services",
            PlacementForbidden => "ask the operator to allow a data hall that has this service",
            NoEndpoint => "come back after the given time, or ask the operator to add endpoints",
            CustomerBacklogFull => "come back after the given time; fewer requests at once help",
            FleetBacklogFull => "come back after the given time",
            Overloaded => "come back after the given time; the operator should add endpoints",
            Throttled => "come back after the given time; fewer requests at once help",
            Quarantined => {
                "endpoints ended while this request ran; change it, or ask the operator to lift its quarantine"
            }
            CopyRunning => "come back after the given time, once the other request with the same body has ended",
            EndpointsRest => "come back after the given time; the operator should add endpoints",
            HallsEvacuated => {
                "come back after the given time; the operator should take the data hall back ('halls return')"
            }
            VersionGone | StreamUnknown => "send the request anew, from the beginning of its stream",
            DeadlinePassed => "come back after the given time, or allow a longer deadline",
            RetriesExhausted => "come back after the given time",
            NoDispatcher => "come back after the given time; the operator should check the dispatchers",
            NoSettings => "come back after the given time; the operator should check the keepers",
            NoLedger => "come back after the given time; the operator should check the keepers",
            EndpointFailed | InternalError => "find out whether the request took effect before sending it again",
            KeyRunning => "ask again with the same key after the given time",
            KeyOutcomeUnknown => "find out whether the request took effect; use a new key to run it again",
            KeyReused => "use a new idempotency key for a new body",
            KeyAnswerDropped => "the request ran once; read its effect from the service itself",
            Draining => "send the request to another instance",
            TooManyConnections => "come back after the given time, or reuse connections",
            MemoryFull => "come back after the given time",
        }
    }
}

/// A refusal of a request.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub run: RunState,
    /// The time after which a retry may succeed; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request of which no byte reached an endpoint.
    pub fn not_run(kind: RefusalKind) -> Refusal {
        Refusal { kind, run: RunState::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(kind: RefusalKind) -> Refusal {
        Refusal { kind, run: RunState::Unknown, retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    pub fn after(mut self, wait: Duration) -> Refusal {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.as_str(), self.kind.remedy())
    }
}

impl std::error::Error for Refusal {}
