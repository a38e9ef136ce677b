//! How a request stands by the endpoints that ended under it.

use micaspool_types::Moment;

/// How a request stands.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum RequestStanding {
    /// Nothing is held against it.
    #[default]
    Clear,
    /// One endpoint ended while it ran there, as under all that ran beside it. Only one copy of it runs at a time.
    Doubted,
    /// More ended, or it was shut out before. Besides, no other suspected request runs beside it: so the next end of
    /// an endpoint tells them apart.
    Suspected,
    /// It is shut out until then.
    Quarantined {
        /// The end of the quarantine.
        until: Moment,
    },
}

impl RequestStanding {
    /// True when copies of it have to wait for each other.
    pub fn is_in_doubt(self) -> bool {
        self != RequestStanding::Clear
    }

    /// True when it may not run beside others of which the same is true.
    pub fn is_suspected(self) -> bool {
        self >= RequestStanding::Suspected
    }

    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestStanding::Clear => "clear",
            RequestStanding::Doubted => "doubted",
            RequestStanding::Suspected => "suspected",
            RequestStanding::Quarantined { .. } => "quarantined",
        }
    }
}
