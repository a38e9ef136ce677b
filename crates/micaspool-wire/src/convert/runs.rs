//! Conversions of what routers report of the first event of a run.

use crate::v1;
use micaspool_dispatch::FirstEventTime;
use micaspool_types::Moment;
use std::time::Duration;

/// Encodes when the first event of a run came.
pub fn first_event_message(first_event: &FirstEventTime) -> v1::FirstEvent {
    v1::FirstEvent {
        at_micros: first_event.router_clock.0,
        after_micros: u64::try_from(first_event.after.as_micros()).unwrap_or(u64::MAX),
    }
}

/// Decodes when the first event of a run came.
pub(super) fn first_event_time(message: &v1::FirstEvent) -> FirstEventTime {
    FirstEventTime {
        router_clock: Moment(message.at_micros),
        after: Duration::from_micros(message.after_micros),
    }
}
