//! A rate that forgets.

use micaspool_types::Moment;

/// How fast a rate forgets, in microseconds: long enough for some grants of a small customer, short enough to
/// follow one that is served less from one second to the next.
const MEMORY: f64 = 500_000.0;

/// An amount a second, weighted towards the newest.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FadingRate {
    amount: f64,
    newest: Moment,
}

impl FadingRate {
    /// Adds an amount at a moment.
    pub fn add(&mut self, now: Moment, amount: u64) {
        self.amount = self.faded(now) + amount as f64;
        self.newest = now;
    }

    /// The rate as of a moment.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.faded(now) * 1_000_000.0 / MEMORY
    }

    fn faded(&self, now: Moment) -> f64 {
        let age = now.since(self.newest).as_micros() as f64;
        self.amount * (-age / MEMORY).exp()
    }
}
