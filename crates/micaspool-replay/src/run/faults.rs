//! What can go wrong during a replay.

/// A fault and when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayFault {
    /// Milliseconds from the start of the trace.
    pub at_millis: u64,
    /// What happens.
    pub kind: FaultKind,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The dispatcher dies and another takes over.
    DispatcherLost {
        /// True when the next one is rebuilt from what routers hold; false when it takes only
        /// their waiting requests.
        restore_state: bool,
    },
    /// Endpoints end with everything that runs there.
    EndpointsLost {
        /// The first one.
        from: usize,
        /// How many.
        count: usize,
    },
    /// All endpoints are there again.
    EndpointsRestored,
}
