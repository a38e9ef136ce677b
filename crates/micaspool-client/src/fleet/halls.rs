//! The orders about data halls known to this process.

use micaspool_clock::BootInstant;
use micaspool_halls::{HallOrder, HallOrders, HallState};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{HallName, InstanceName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The orders about halls, and when this process learnt that the evacuation of a hall had ended.
#[derive(Debug, Default)]
pub(super) struct HallTable {
    pub orders: HallOrders,
    reopened_at: BTreeMap<HallName, BootInstant>,
}

impl HallTable {
    /// Applies an order that a keeper reports. Returns true if it is newer than the known one.
    pub fn apply(&mut self, from: &InstanceName, hall: HallName, order: HallOrder) -> bool {
        let fields = [
            field("hall", &hall),
            field("use", order.wanted.as_str()),
            field("order", order.number),
            field("ordered_by", &order.ordered_by),
            field("keeper", from),
        ];
        let wanted = order.wanted;
        if !self.orders.merge(&hall, order) {
            return false;
        }
        record(&events::HALL_USE_CHANGED, &fields);
        match wanted {
            HallState::Open => self.reopened_at.insert(hall, BootInstant::now()),
            HallState::Evacuated => self.reopened_at.remove(&hall),
        };
        true
    }

    /// Returns how much longer the endpoints of a hall are assumed to be cold if each is cold for `start` after the end
    /// of the hall's evacuation. A process that was started later counts from when it learnt of it.
    pub fn presumed_cold(&self, hall: &HallName, start: Duration) -> Duration {
        let since_reopening = self.reopened_at.get(hall).map(BootInstant::elapsed);
        since_reopening.map_or(Duration::ZERO, |age| start.saturating_sub(age))
    }
}
