//! Which data halls this process sends into.

use micaspool_clock::BootInstant;
use micaspool_halls::{HallOrder, HallOrders, HallUse};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{HallName, InstanceName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The orders about halls, and when this process heard that one was taken back.
#[derive(Debug, Default)]
pub(super) struct HallTable {
    pub orders: HallOrders,
    reopened_at: BTreeMap<HallName, BootInstant>,
}

impl HallTable {
    /// Takes over what a keeper tells of a hall; true when it is news.
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
            HallUse::Open => self.reopened_at.insert(hall, BootInstant::now()),
            HallUse::Evacuated => self.reopened_at.remove(&hall),
        };
        true
    }

    /// How much longer the endpoints of a hall are taken for cold, if each is for `start` after the hall was taken
    /// back. A process that was not there then counts from when it first heard of it.
    pub fn presumed_cold(&self, hall: &HallName, start: Duration) -> Duration {
        let since_reopening = self.reopened_at.get(hall).map(BootInstant::elapsed);
        since_reopening.map_or(Duration::ZERO, |elapsed| start.saturating_sub(elapsed))
    }
}
