//! Decides which share of the requests a late gateway turns away.
//!
//! A request passes through many turns of the gateway's tasks, so where each runs some ten milliseconds late its answer
//! comes too late altogether, and the processor time that it took is lost as well. Refused at once, its caller is
//! served by another gateway. The share that is refused follows the lateness by a proportional and an integral part,
//! as in active queue management (RFC 8033).

use std::time::Duration;

/// The lateness that is aimed at. Over the ten turns or so that a request takes it adds up to a tenth of a second.
const TARGET: Duration = Duration::from_millis(10);
/// The share that is refused more for each [`TARGET`] of lateness above it.
const PROPORTIONAL: f64 = 0.2;
/// By how much the lasting part of the share grows with each observation, for each [`TARGET`] of lateness above it.
const INTEGRAL: f64 = 0.02;
/// The bounds of the lateness above [`TARGET`], in targets. A single long pause of the process says little.
const EXCESS_BOUNDS: (f64, f64) = (-1.0, 4.0);
/// The largest share that is refused. The rest shows whether the gateway is still late.
const MAX_SHARE: f64 = 0.98;

/// The share of requests that is refused while tasks run late.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntakeControl {
    lasting: f64,
    share: f64,
}

impl IntakeControl {
    /// Updates the share from how late tasks run. To be called at a regular interval of some 50 ms.
    pub fn observe(&mut self, lag: Duration) {
        let (lowest, highest) = EXCESS_BOUNDS;
        let excess = (lag.as_secs_f64() / TARGET.as_secs_f64() - 1.0).clamp(lowest, highest);
        self.lasting = (self.lasting + INTEGRAL * excess).clamp(0.0, MAX_SHARE);
        self.share = (self.lasting + PROPORTIONAL * excess).clamp(0.0, MAX_SHARE);
    }

    /// Returns the share of requests to refuse.
    pub fn refused_share(&self) -> f64 {
        self.share
    }

    /// Decides about one request. `draw` is uniform between 0 and 1.
    pub fn refuses(&self, draw: f64) -> bool {
        draw < self.share
    }
}
