//! Predicting what a request will cost.

use micaspool_types::Cost;

/// The share of the newest request in the learned averages, as a divisor.
const LEARNING_DIVISOR: u64 = 8;
/// Averages are kept in this many parts of a unit.
const FRACTION: u64 = 256;

/// Predicts the cost of one customer's requests from rough hints and from what earlier ones cost.
///
/// Until a request has ended the hint alone is the prediction. After that it is the mean of the
/// customer's average cost and of the hint corrected by the customer's average error.
#[derive(Clone, Debug)]
pub struct CostEstimator {
    ceiling: Cost,
    average_cost: u64,
    average_hint: u64,
}

impl CostEstimator {
    /// An estimator that never predicts more than `ceiling`.
    pub fn new(ceiling: Cost) -> CostEstimator {
        CostEstimator { ceiling, average_cost: 0, average_hint: 0 }
    }

    /// The prediction for a request with this hint; at least 1.
    pub fn predict(&self, hint: Cost) -> Cost {
        let prediction = match (self.average_cost, hint.0) {
            (0, hint) => hint,
            (average, 0) => average / FRACTION,
            (average, hint) => self.blend(average, hint),
        };
        Cost(prediction.clamp(1, self.ceiling.0.max(1)))
    }

    /// Learns from a request that ended.
    pub fn learn(&mut self, hint: Cost, cost: Cost) {
        let first = self.average_cost == 0;
        self.average_cost = moved(self.average_cost, cost, first);
        self.average_hint = moved(self.average_hint, hint, first);
    }

    fn blend(&self, average: u64, hint: u64) -> u64 {
        let corrected = u128::from(hint) * u128::from(average) / u128::from(self.average_hint.max(1));
        let corrected = u64::try_from(corrected).unwrap_or(u64::MAX);
        (average / FRACTION).saturating_add(corrected) / 2
    }
}

fn moved(average: u64, value: Cost, first: bool) -> u64 {
    let scaled = value.0.saturating_mul(FRACTION);
    if first {
        return scaled;
    }
    average - average / LEARNING_DIVISOR + scaled / LEARNING_DIVISOR
}
