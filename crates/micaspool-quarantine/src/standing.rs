//! The standing of a request, as derived from the endpoints that crashed while running it.

use micaspool_types::Moment;

/// The standing of a request, in order of severity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum RequestStanding {
    /// No crash is on record.
    #[default]
    Clear,
    /// One endpoint crashed while running it, which also casts doubt on every request that ran there at the time. Only
    /// one copy of it runs at a time.
    Doubted,
    /// Several endpoints crashed, or an earlier quarantine has ended. In addition to the limit on copies, it runs on
    /// no endpoint together with another suspected request, so that the next crash tells the two apart.
    Suspected,
    /// It is refused.
    Quarantined {
        /// The end of the quarantine.
        until: Moment,
    },
}

impl RequestStanding {
    /// Returns true if the request is doubted, suspected or quarantined: at most one copy of it may run at a time.
    pub fn is_doubted(self) -> bool {
        self != RequestStanding::Clear
    }

    /// Returns true if the request is suspected or quarantined: it may not run on an endpoint together with another such
    /// request.
    pub fn is_suspected(self) -> bool {
        self >= RequestStanding::Suspected
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestStanding::Clear => "clear",
            RequestStanding::Doubted => "doubted",
            RequestStanding::Suspected => "suspected",
            RequestStanding::Quarantined { .. } => "quarantined",
        }
    }
}
