//! Units of work and time.

use serde::{Deserialize, Serialize};
use std::ops::Add;
use std::time::Duration;

/// Work done for a request: tokens of a model, or units of a plain service.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Cost(pub u64);

impl Cost {
    /// The sum of two costs, at most `u64::MAX`.
    pub fn plus(self, other: Cost) -> Cost {
        Cost(self.0.saturating_add(other.0))
    }

    /// The difference of two costs, at least zero.
    pub fn minus(self, other: Cost) -> Cost {
        Cost(self.0.saturating_sub(other.0))
    }
}

/// A customer's share relative to the others; at least 1.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Weight(u32);

impl Weight {
    /// The weight of a customer whose settings give none.
    pub const ONE: Weight = Weight(1);

    /// A weight of at least 1; zero gives `None`.
    pub fn new(value: u32) -> Option<Weight> {
        (value > 0).then_some(Weight(value))
    }

    /// The weight as a number of at least 1.
    pub fn get(self) -> u32 {
        self.0
    }
}

/// A point in time as microseconds since a start that only its owner knows.
///
/// Cores are driven with moments from a monotonic clock or from a virtual one; moments of two
/// processes are never compared.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment that many milliseconds after the start.
    pub fn from_millis(millis: u64) -> Moment {
        Moment(millis * 1_000)
    }

    /// The time from `earlier` to this moment; zero when `earlier` is later.
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
