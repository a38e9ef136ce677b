//! Text formats of route plans.

use crate::check::Error;
use crate::plan::{PlanParts, RoutePlan};
use serde::Deserialize;
use std::fmt;
use std::sync::Arc;

/// A plan with the number that its operator assigned to it.
#[derive(Clone, Debug, Default)]
pub struct NumberedPlan {
    /// The number; a plan with a higher number replaces one with a lower number. Zero means that no plan is known.
    pub number: u64,
    /// The plan.
    pub plan: Arc<RoutePlan>,
}

/// The reason why a text could not be decoded as a plan.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FormatError {
    /// The text could not be parsed; holds the reason, with the position where known.
    Malformed(String),
    /// The plan was parsed but is invalid.
    Invalid(Error),
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FormatError::Malformed(reason) => {
                write!(f, "the plan cannot be read: {reason}; correct it and send it again")
            }
            FormatError::Invalid(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for FormatError {}

impl From<Error> for FormatError {
    fn from(error: Error) -> Self {
        FormatError::Invalid(error)
    }
}

/// A text format of plans.
pub trait PlanFormat: fmt::Debug + Send + Sync + 'static {
    /// Parses and validates a plan.
    fn decode(&self, text: &str) -> Result<NumberedPlan, FormatError>;
}

/// The product's own format: `{"number": N, "plan": {...}}` with the fields of [`PlanParts`].
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonFormat;

#[derive(Deserialize)]
struct JsonDocument {
    number: u64,
    plan: PlanParts,
}

impl PlanFormat for JsonFormat {
    fn decode(&self, text: &str) -> Result<NumberedPlan, FormatError> {
        let document: JsonDocument =
            serde_json::from_str(text).map_err(|error| FormatError::Malformed(error.to_string()))?;
        let plan = RoutePlan::build(document.plan)?;
        Ok(NumberedPlan { number: document.number, plan: Arc::new(plan) })
    }
}
