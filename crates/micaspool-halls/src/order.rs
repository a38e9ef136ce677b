//! Orders about data halls and their outcomes.

use micaspool_types::HallName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whether requests may be sent to the endpoints of a data hall.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub enum HallState {
    /// Requests may be sent.
    #[default]
    Open,
    /// No requests may be sent.
    Evacuated,
}

impl HallState {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            HallState::Open => "open",
            HallState::Evacuated => "evacuated",
        }
    }
}

/// The order in force for a hall.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HallOrder {
    /// The number of the order; each later change of any hall has a higher one.
    pub number: u64,
    /// The ordered state of the hall.
    pub wanted: HallState,
    /// The operator who gave the order; informational.
    pub ordered_by: Arc<str>,
    /// When the order was proposed, in milliseconds since the Unix epoch by the clock of the leading keeper;
    /// informational.
    pub at_millis: u64,
}

/// A replicated command that carries an order.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OrderCommand {
    /// The data hall.
    pub hall: HallName,
    /// The ordered state of the hall.
    pub wanted: HallState,
    /// The number of the newest order about any hall that was known where this order was received.
    pub known: u64,
    /// The operator who gives the order.
    pub ordered_by: Arc<str>,
    /// When the order was proposed, in milliseconds since the Unix epoch.
    pub at_millis: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderVerdict {
    /// The hall is in the ordered state, as of the order with this number; zero if no order was ever given.
    InForce(u64),
    /// The opposite was ordered, under this number, after this order was received; nothing was changed.
    Overtaken(u64),
    /// There are already orders about as many halls as a fleet may have.
    TooManyHalls,
}
