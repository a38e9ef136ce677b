//! Failed sends.

use crate::dialect::{AnswerVerdict, NotRunReason};
use http::StatusCode;
use micaspool_dispatch::GrantOutcome;
use micaspool_http::pool::{is_malformed, SendError};
use micaspool_http::sends::ConnectionUse;
use micaspool_types::RefusalKind;

/// A send without an answer that may be passed on.
pub(super) struct SendFailure {
    /// The outcome reported for the grant.
    pub outcome: GrantOutcome,
    /// The kind of failure in logs and metrics.
    pub kind: &'static str,
    /// The error message for the log.
    pub cause: String,
    /// True if the request provably did not run.
    pub not_run: bool,
    /// True if the endpoint may have received the request.
    pub reached_endpoint: bool,
    /// Set if no other endpoint can help, because this process lacks what a send takes.
    pub refusal: Option<RefusalKind>,
    /// The connection that the response came on; `None` without a response.
    pub connection_use: Option<ConnectionUse>,
}

impl SendFailure {
    /// No answer arrived before the deadline.
    pub fn deadline() -> SendFailure {
        SendFailure {
            outcome: GrantOutcome::Broken,
            kind: "deadline",
            cause: "no answer before the deadline".to_owned(),
            not_run: false,
            reached_endpoint: true,
            refusal: None,
            connection_use: None,
        }
    }

    /// No answer arrived before the gateway stops.
    pub fn stopping() -> SendFailure {
        SendFailure {
            outcome: GrantOutcome::Abandoned,
            kind: "stopping",
            cause: "no answer before the gateway stops".to_owned(),
            not_run: false,
            reached_endpoint: true,
            refusal: None,
            connection_use: None,
        }
    }

    /// The send failed without a response.
    pub fn from_error(error: &SendError) -> SendFailure {
        let (kind, outcome) = match error {
            SendError::Unreachable(_) => ("unreachable", GrantOutcome::Unreachable),
            SendError::NotSent => ("not-sent", GrantOutcome::Unreachable),
            SendError::NoConnectionLeft => ("no-connection-left", GrantOutcome::Unsent),
            SendError::Withheld => ("withheld", GrantOutcome::NotHeld),
            SendError::Broken(error) if is_malformed(error) => ("no-http", GrantOutcome::Broken),
            SendError::Broken(_) => ("broken", GrantOutcome::Severed),
        };
        let unsent = error.is_unsent();
        let lacks_connections = matches!(error, SendError::NoConnectionLeft);
        SendFailure {
            outcome,
            kind,
            cause: error.to_string(),
            not_run: unsent,
            reached_endpoint: !unsent,
            refusal: lacks_connections.then_some(RefusalKind::TooManyConnections),
            connection_use: None,
        }
    }

    /// A response arrived that can't be passed on.
    pub fn from_answer(
        verdict: AnswerVerdict,
        status: StatusCode,
        connection_use: ConnectionUse,
    ) -> SendFailure {
        let (kind, outcome, not_run) = match verdict {
            AnswerVerdict::NotRun(NotRunReason::Full) => ("full", GrantOutcome::Refused, true),
            AnswerVerdict::NotRun(NotRunReason::WrongEndpoint) => {
                ("other-endpoint", GrantOutcome::Draining, true)
            }
            AnswerVerdict::NotRun(NotRunReason::Malformed) => ("malformed", GrantOutcome::Unsent, true),
            AnswerVerdict::WrongRequest => ("foreign-answer", GrantOutcome::Broken, false),
            AnswerVerdict::Unverified | AnswerVerdict::Answer => {
                ("unproven-answer", GrantOutcome::Broken, false)
            }
        };
        SendFailure {
            outcome,
            kind,
            cause: format!("status {status}"),
            not_run,
            reached_endpoint: true,
            refusal: None,
            connection_use: Some(connection_use),
        }
    }
}
