//! Faults that can be injected into a replay.

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayFault {
    /// The time, in milliseconds from the start of the trace.
    pub at_millis: u64,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The dispatcher fails and another one takes over.
    DispatcherLost {
        /// Whether the new dispatcher restores its state from everything that routers report. If false, it
        /// takes only their waiting requests, which serves as a baseline.
        restore_state: bool,
    },
    /// Endpoints fail, and the requests that run there fail with them.
    EndpointsLost {
        /// The index of the first endpoint that fails.
        from: usize,
        /// The number of endpoints that fail.
        count: usize,
    },
    /// All failed endpoints come back.
    EndpointsRestored,
}
