//! Sends that gave no answer to pass on.

use crate::dialect::{AnswerVerdict, NotRunReason};
use http::StatusCode;
use micaspool_dispatch::GrantOutcome;
use micaspool_http::pool::SendError;

/// A send that gave no answer.
pub(super) struct SendFailure {
    /// How its grant ends.
    pub fate: GrantOutcome,
    /// Its name in logs and metrics.
    pub kind: &'static str,
    /// What happened.
    pub cause: String,
    /// True when the request provably did not run.
    pub not_run: bool,
    /// True when the endpoint may have got the request.
    pub arrived: bool,
}

impl SendFailure {
    /// No answer came before nobody waited any more.
    pub fn deadline() -> SendFailure {
        SendFailure {
            fate: GrantOutcome::Broken,
            kind: "deadline",
            cause: "no answer before the deadline".to_owned(),
            not_run: false,
            arrived: true,
        }
    }

    /// No answer came.
    pub fn of_error(error: &SendError) -> SendFailure {
        let (kind, fate) = match error {
            SendError::Unreachable(_) => ("unreachable", GrantOutcome::Unreachable),
            SendError::NotSent => ("not-sent", GrantOutcome::Unreachable),
            SendError::Withheld => ("withheld", GrantOutcome::NotHeld),
            SendError::Broken(_) => ("broken", GrantOutcome::Severed),
        };
        let unsent = error.is_not_sent();
        SendFailure { fate, kind, cause: error.to_string(), not_run: unsent, arrived: !unsent }
    }

    /// An answer came that can't be passed on.
    pub fn of_answer(verdict: AnswerVerdict, status: StatusCode) -> SendFailure {
        let (kind, fate, not_run) = match verdict {
            AnswerVerdict::NotRun(NotRunReason::Full) => ("full", GrantOutcome::Refused, true),
            AnswerVerdict::NotRun(NotRunReason::OtherEndpoint) => {
                ("other-endpoint", GrantOutcome::Draining, true)
            }
            AnswerVerdict::NotRun(NotRunReason::Malformed) => ("malformed", GrantOutcome::Unsent, true),
            AnswerVerdict::Foreign => ("foreign-answer", GrantOutcome::Broken, false),
            AnswerVerdict::Unproven | AnswerVerdict::Answer => {
                ("unproven-answer", GrantOutcome::Broken, false)
            }
        };
        SendFailure { fate, kind, cause: format!("status {status}"), not_run, arrived: true }
    }
}
