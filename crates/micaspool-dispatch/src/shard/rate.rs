//! An exponentially decaying rate.

use micaspool_types::Moment;

/// Time constant of the decay in microseconds: long enough to cover several grants of a small customer,
/// short enough to follow a customer whose service drops from one second to the next.
const TIME_CONSTANT: f64 = 500_000.0;

/// An amount per second, weighted towards the most recent additions.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingRate {
    amount: f64,
    newest: Moment,
}

impl DecayingRate {
    /// Adds an amount at a moment.
    pub fn add(&mut self, now: Moment, amount: u64) {
        self.amount = self.decayed(now) + amount as f64;
        self.newest = now;
    }

    /// The rate at a moment.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.decayed(now) * 1_000_000.0 / TIME_CONSTANT
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = now.since(self.newest).as_micros() as f64;
        self.amount * (-age / TIME_CONSTANT).exp()
    }
}
