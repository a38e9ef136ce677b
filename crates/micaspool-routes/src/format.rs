//! Plans as text.

use crate::check::Error;
use crate::plan::{PlanParts, RoutePlan};
use serde::Deserialize;
use std::fmt;
use std::sync::Arc;

/// A plan under the number that its operator gave it.
#[derive(Clone, Debug, Default)]
pub struct NumberedPlan {
    /// The number; a higher one replaces a lower one. Zero means that none is known.
    pub number: u64,
    /// The plan.
    pub plan: Arc<RoutePlan>,
}

/// Why a text is not a plan.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FormatError {
    /// The text cannot be read whole; the message names the place.
    Malformed(String),
    /// What it says contradicts itself.
    Faulty(Error),
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FormatError::Malformed(place) => {
                write!(f, "the plan cannot be read: {place}; correct it and send it again")
            }
            FormatError::Faulty(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for FormatError {}

impl From<Error> for FormatError {
    fn from(error: Error) -> Self {
        FormatError::Faulty(error)
    }
}

/// A text form of plans.
pub trait PlanFormat: fmt::Debug + Send + Sync + 'static {
    /// Reads and checks a plan.
    fn decode(&self, text: &str) -> Result<NumberedPlan, FormatError>;
}

/// The product's own form: `{"number": N, "plan": {...}}` with the fields of [`PlanParts`].
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
