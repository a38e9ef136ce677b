//! Which data halls this process sends into.

use micaspool_clock::BootInstant;
use micaspool_halls::{HallOrder, HallOrders, HallState};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{HallName, InstanceName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The orders about halls, and when this process heard that one was taken back.
#[derive(Debug, Default)]
pub(super) struct HallTable {
    pub orders: HallOrders,
    returned: BTreeMap<HallName, BootInstant>,
}

impl HallTable {
    /// Takes over what a keeper tells of a hall; true when it is news.
    pub fn take(&mut self, from: &InstanceName, hall: HallName, order: HallOrder) -> bool {
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
            HallState::Open => self.returned.insert(hall, BootInstant::now()),
            HallState::Evacuated => self.returned.remove(&hall),
        };
        true
    }

    /// How much longer the endpoints of a hall are taken for cold, if each is for `start` after the hall was taken
    /// back. A process that was not there then counts from when it first heard of it.
    pub fn presumed_cold(&self, hall: &HallName, start: Duration) -> Duration {
        let returned = self.returned.get(hall).map(BootInstant::elapsed);
        returned.map_or(Duration::ZERO, |ago| start.saturating_sub(ago))
    }
}
