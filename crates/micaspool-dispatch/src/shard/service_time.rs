//! Service times of endpoints without an engine.

use std::time::Duration;

/// The weight of one observation in the mean.
const GAIN: f64 = 1.0 / 32.0;

/// How many mean deviations above the mean the upper estimate lies, as for retransmission time-outs
/// (Jacobson, 1988).
const DEVIATIONS: f64 = 2.0;

/// A moving average of service times and their deviation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTime {
    /// In seconds; `None` before the first observation.
    mean: Option<f64>,
    /// Mean absolute deviation, in seconds.
    deviation: f64,
}

impl ServiceTime {
    /// Records a service time.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let distance = self.mean.map_or(took / 2.0, |mean| (took - mean).abs());
        self.deviation = self.mean.map_or(distance, |_| self.deviation + (distance - self.deviation) * GAIN);
        let mean = self.mean.map_or(took, |mean| mean + (took - mean) * GAIN);
        self.mean = Some(mean);
    }

    /// The mean; zero before the first observation.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default())
    }

    /// A bound that most requests stay below; zero before the first observation.
    pub fn upper_estimate(&self) -> Duration {
        self.mean() + Duration::from_secs_f64(self.deviation * DEVIATIONS)
    }

    /// The number of requests per second that `slots` slots complete; infinite before the first
    /// observation.
    pub fn requests_per_second(&self, slots: u32) -> f64 {
        let mean = self.mean.unwrap_or_default();
        if mean > 0.0 {
            f64::from(slots) / mean
        } else {
            f64::INFINITY
        }
    }
}
