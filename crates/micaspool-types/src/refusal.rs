//! What a caller is told when its request gets no answer from an endpoint.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether a refused request may have had an effect.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RunState {
    /// No byte of the request reached an endpoint.
    NotRun,
    /// At least one byte may have reached an endpoint.
    Unknown,
}

impl RunState {
    /// The value of the `micaspool-run` header and body field.
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
    /// The request head is larger than the router reads.
    HeadTooLarge,
    /// The request head or body did not arrive in time.
    SlowRequest,
    /// The body is not the JSON that the service needs.
    MalformedBody,
    /// The body is larger than the customer's limit.
    BodyTooLarge,
    /// The bearer key is missing or belongs to no customer.
    UnknownKey,
    /// No service has this model name or path.
    UnknownService,
    /// The customer's settings allow no data hall for this service.
    PlacementForbidden,
    /// The settings name no endpoint in an allowed data hall that takes work.
    NoEndpoint,
    /// The customer has as many waiting requests as its limits allow.
    CustomerBacklogFull,
    /// The router or shard holds as much waiting work as it may.
    FleetBacklogFull,
    /// The service has more work than it can begin in time.
    Overloaded,
    /// The service takes so little of what the customer asks for that the router refused it itself.
    Throttled,
    /// Endpoints ended while what it asks for ran there, so that it is not run again for a while.
    Quarantined,
    /// An endpoint ended while what it asks for ran there; it runs once at a time until that is settled.
    CopyRunning,
    /// Every endpoint that may run it has asked to be left alone for longer than it can wait.
    EndpointsRest,
    /// Every endpoint that may run it is in a data hall that an operator has evacuated.
    HallsEvacuated,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// Retries are spent, or the retry budget is.
    RetriesExhausted,
    /// No dispatcher can be reached.
    NoDispatcher,
    /// No settings have been received yet.
    NoSettings,
    /// The keepers that record claims cannot be reached or have no majority.
    NoLedger,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
    /// A request with the same idempotency key is running.
    KeyRunning,
    /// A request with the same idempotency key may have run; its outcome was lost.
    KeyOutcomeUnknown,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The request with this key ran, and its answer was too large or too old to be kept.
    KeyAnswerDropped,
    /// The router is stopping.
    Draining,
    /// The router has as many open connections as it takes.
    TooManyConnections,
}

impl RefusalKind {
    /// The HTTP status of the refusal.
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
            EndpointFailed => 502,
            NoEndpoint | NoDispatcher | NoSettings | NoLedger | Overloaded | Throttled => 503,
            Quarantined | CopyRunning | EndpointsRest | HallsEvacuated => 503,
            RetriesExhausted | Draining | TooManyConnections => 503,
            DeadlinePassed => 504,
        }
    }

    /// The HTTP status of a refusal with this run state. One that may have run never gets a status
    /// that callers take for a promise that it has not.
    pub fn status_for(self, run: RunState) -> u16 {
        match (run, self.status()) {
            (RunState::Unknown, 408 | 421 | 429 | 503) => 502,
            (_, status) => status,
        }
    }

    /// The value of the `kind` field in the answer.
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
        }
    }

    /// What the caller, or its operator, can do about it.
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
            DeadlinePassed => "come back after the given time, or allow a longer deadline",
            RetriesExhausted => "come back after the given time",
            NoDispatcher => "come back after the given time; the operator should check the dispatchers",
            NoSettings => "come back after the given time; the operator should check the keepers",
            NoLedger => "come back after the given time; the operator should check the keepers",
            EndpointFailed => "find out whether the request took effect before sending it again",
            KeyRunning => "ask again with the same key after the given time",
            KeyOutcomeUnknown => "find out whether the request took effect; use a new key to run it again",
            KeyReused => "use a new idempotency key for a new body",
            KeyAnswerDropped => "the request ran once; read its effect from the service itself",
            Draining => "send the request to another instance",
            TooManyConnections => "come back after the given time, or reuse connections",
        }
    }
}

/// A refusal with what the caller needs to act on it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// Whether it may have run.
    pub run: RunState,
    /// When coming back may help; `None` where it does not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request of which no byte reached an endpoint.
    pub fn not_run(kind: RefusalKind) -> Refusal {
        Refusal { kind, run: RunState::NotRun, retry_after: None }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(kind: RefusalKind) -> Refusal {
        Refusal { kind, run: RunState::Unknown, retry_after: None }
    }

    /// The same refusal with a time after which to come back.
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
