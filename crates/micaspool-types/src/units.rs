//! Units of work and time.

use serde::{Deserialize, Serialize};
use std::ops::Add;
use std::time::Duration;

/// Work done for a request: tokens for a model, units of work for a plain service.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Cost(pub u64);

impl Cost {
    /// Returns the sum of two costs, saturating at `u64::MAX`.
    pub fn saturating_add(self, other: Cost) -> Cost {
        Cost(self.0.saturating_add(other.0))
    }

    /// Returns the difference of two costs, saturating at zero.
    pub fn saturating_sub(self, other: Cost) -> Cost {
        Cost(self.0.saturating_sub(other.0))
    }
}

/// The weight of a customer's share relative to the others; at least 1.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Weight(u32);

impl Weight {
    /// The weight of a customer without a weight in its settings.
    pub const ONE: Weight = Weight(1);

    /// Creates a weight of at least 1, or returns `None` for zero.
    pub fn new(value: u32) -> Option<Weight> {
        (value > 0).then_some(Weight(value))
    }

    /// Returns the weight as a number, which is at least 1.
    pub fn get(self) -> u32 {
        self.0
    }
}

/// A point in time, in microseconds since an origin that each process chooses for itself.
///
/// State machines without a clock of their own are driven with moments from a real or a virtual clock that never steps
/// back. Moments of two processes must not be compared.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Moment(pub u64);

impl Moment {
    /// Creates the moment that many milliseconds after the origin.
    pub fn from_millis(millis: u64) -> Moment {
        Moment(millis * 1_000)
    }

    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(micros))
    }
}
