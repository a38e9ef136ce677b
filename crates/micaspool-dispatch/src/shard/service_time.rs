//! How long endpoints without an engine work on a request.

use std::time::Duration;

/// What one observation moves the mean, as a part of the distance.
const GAIN: f64 = 1.0 / 32.0;

/// How many mean deviations above the mean most requests stay, as for retransmission time-outs (Jacobson, 1988).
const DEVIATIONS: f64 = 2.0;

/// A mean that follows the newest requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTime {
    /// In seconds; `None` before the first request ended.
    mean: Option<f64>,
    /// How far requests lie from the mean, in seconds.
    deviation: f64,
}

impl ServiceTime {
    /// Takes in how long a request took from its grant to its end.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let distance = self.mean.map_or(took / 2.0, |mean| (took - mean).abs());
        self.deviation = self.mean.map_or(distance, |_| self.deviation + (distance - self.deviation) * GAIN);
        let mean = self.mean.map_or(took, |mean| mean + (took - mean) * GAIN);
        self.mean = Some(mean);
    }

    /// The mean; zero before any request ended.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default())
    }

    /// What most requests take at most; zero before any request ended.
    pub fn upper_estimate(&self) -> Duration {
        self.mean() + Duration::from_secs_f64(self.deviation * DEVIATIONS)
    }

    /// How many requests a second so many slots take; infinite before any request ended.
    pub fn requests_per_second(&self, slots: u32) -> f64 {
        let mean = self.mean.unwrap_or_default();
        if mean > 0.0 {
            f64::from(slots) / mean
        } else {
            f64::INFINITY
        }
    }
}
