//! How scarce the prefill capacity of a service is, and what an uncached token weighs.
//!
//! Prefilling tokens that another engine has cached takes capacity from all requests. Where engines are
//! busy, a prompt therefore waits for one that caches parts of it. Where most engines are idle, nothing
//! is gained by waiting: the capacity would not be used otherwise.

use super::rate::DecayingRate;
use super::ShardCore;
use micaspool_types::Moment;

/// Weight of an uncached token in percent while capacity is scarce. Besides the capacity that its
/// prefill takes, it evicts other cached parts.
const SCARCE_PERCENT: f64 = 1_000.0;
/// The same weight while nothing is asked for.
const IDLE_PERCENT: f64 = 100.0;
/// Capacity counts as scarce from this ratio of demand to capacity on. Demand includes the cached parts of
/// prompts, which take no capacity, so that engines are busy at several times this ratio only.
const SCARCE_RATIO: f64 = 0.5;

/// The demand for prefill, and the weight that follows from it.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefillScarcity {
    /// The prompt tokens of submitted tickets.
    demand: DecayingRate,
    /// The weight of an uncached token, in percent.
    pub uncached_percent: u64,
}

impl Default for PrefillScarcity {
    fn default() -> Self {
        PrefillScarcity { demand: DecayingRate::default(), uncached_percent: SCARCE_PERCENT as u64 }
    }
}

impl PrefillScarcity {
    /// Records a submitted ticket.
    pub fn note_demand(&mut self, now: Moment, load: u64) {
        self.demand.add(now, load);
    }

    /// Updates the weight for a capacity in tokens per second.
    fn update(&mut self, now: Moment, capacity: f64) {
        let ratio = self.demand.per_second(now) / capacity.max(1.0);
        let scarcity = (ratio / SCARCE_RATIO).min(1.0);
        self.uncached_percent = (IDLE_PERCENT + (SCARCE_PERCENT - IDLE_PERCENT) * scarcity) as u64;
    }
}

impl ShardCore {
    /// Updates what an uncached token weighs.
    pub(super) fn update_scarcity(&mut self, now: Moment) {
        if !self.endpoints.has_no_engine() {
            let capacity = self.endpoints.prefill_per_second(now);
            self.endpoints.scarcity.update(now, capacity);
        }
    }
}
