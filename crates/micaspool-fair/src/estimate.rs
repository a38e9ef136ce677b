//! Prediction of the cost of a request.

use micaspool_types::Cost;

/// The newest request contributes one part in this many to the learnt averages.
const LEARNING_DIVISOR: u64 = 8;
/// Averages are stored in this many parts of a unit of cost.
const AVERAGE_SCALE: u64 = 256;

/// Predicts the cost of one customer's requests from rough hints and from the costs of earlier requests.
///
/// Until a request has ended the prediction is the hint. Afterwards it is the mean of the customer's average
/// cost and of the hint multiplied by the ratio of average cost to average hint; without a hint it is the
/// average cost.
#[derive(Clone, Debug)]
pub struct CostEstimator {
    ceiling: Cost,
    average_cost: u64,
    average_hint: u64,
}

impl CostEstimator {
    /// Creates an estimator that never predicts more than `ceiling`.
    pub fn new(ceiling: Cost) -> CostEstimator {
        CostEstimator { ceiling, average_cost: 0, average_hint: 0 }
    }

    /// Returns the predicted cost of a request with this hint; at least 1.
    pub fn predict(&self, hint: Cost) -> Cost {
        let prediction = match (self.average_cost, hint.0) {
            (0, hint) => hint,
            (average, 0) => average / AVERAGE_SCALE,
            (average, hint) => self.combine_with_hint(average, hint),
        };
        Cost(prediction.clamp(1, self.ceiling.0.max(1)))
    }

    /// Updates the averages with a request that has ended.
    pub fn learn(&mut self, hint: Cost, cost: Cost) {
        let is_first = self.average_cost == 0;
        self.average_cost = updated_average(self.average_cost, cost, is_first);
        self.average_hint = updated_average(self.average_hint, hint, is_first);
    }

    fn combine_with_hint(&self, average: u64, hint: u64) -> u64 {
        let corrected = u128::from(hint) * u128::from(average) / u128::from(self.average_hint.max(1));
        let corrected = u64::try_from(corrected).unwrap_or(u64::MAX);
        (average / AVERAGE_SCALE).saturating_add(corrected) / 2
    }
}

fn updated_average(average: u64, value: Cost, is_first: bool) -> u64 {
    let scaled = value.0.saturating_mul(AVERAGE_SCALE);
    if is_first {
        return scaled;
    }
    average - average / LEARNING_DIVISOR + scaled / LEARNING_DIVISOR
}
