//! An exponentially decaying rate.

use micaspool_types::Moment;

/// The usual time constant of the decay in milliseconds: long enough to cover several grants of a small
/// customer, short enough to follow a customer whose service drops from one second to the next.
const USUAL_MILLIS: u64 = 500;

/// An amount per second, weighted towards the most recent additions. Its time constant is `MILLIS`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingRate<const MILLIS: u64 = USUAL_MILLIS> {
    amount: f64,
    newest: Moment,
}

impl<const MILLIS: u64> DecayingRate<MILLIS> {
    const TIME_CONSTANT_MICROS: f64 = MILLIS as f64 * 1_000.0;

    /// Adds an amount at a moment.
    pub fn add(&mut self, now: Moment, amount: u64) {
        self.amount = self.decayed(now) + amount as f64;
        self.newest = now;
    }

    /// The rate at a moment.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.decayed(now) * 1_000_000.0 / Self::TIME_CONSTANT_MICROS
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = now.since(self.newest).as_micros() as f64;
        self.amount * (-age / Self::TIME_CONSTANT_MICROS).exp()
    }
}
