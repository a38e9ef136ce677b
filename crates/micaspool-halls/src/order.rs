//! One order and what comes of it.

use micaspool_types::HallName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whether the endpoints of a data hall get requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub enum HallUse {
    /// They do.
    #[default]
    Open,
    /// They get none.
    Evacuated,
}

impl HallUse {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            HallUse::Open => "open",
            HallUse::Evacuated => "evacuated",
        }
    }
}

/// The newest order about a hall.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HallOrder {
    /// Its number; each change of any hall has a higher one.
    pub number: u64,
    /// What is wanted.
    pub wanted: HallUse,
    /// Who ordered it, for people.
    pub ordered_by: Arc<str>,
    /// When it was taken, in milliseconds since 1970 by the clock of the keeper that led; for people.
    pub at_millis: u64,
}

/// An order on its way.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OrderCommand {
    /// The hall.
    pub hall: HallName,
    /// What is wanted.
    pub wanted: HallUse,
    /// The number of the newest order of any hall that was known where this one came in.
    pub known: u64,
    /// Who orders it.
    pub ordered_by: Arc<str>,
    /// When it was proposed, in milliseconds since 1970.
    pub at_millis: u64,
}

/// What came of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderVerdict {
    /// The hall is used as was wanted, since the order with this number.
    InForce(u64),
    /// The contrary was ordered, under this number, after the order came in; nothing was changed.
    Overtaken(u64),
    /// There are orders about as many halls as a fleet may have.
    TooManyHalls,
}
