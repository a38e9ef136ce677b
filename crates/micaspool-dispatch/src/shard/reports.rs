//! What endpoints say of their load, and for how long it counts.

use super::endpoints::EndpointTable;
use crate::event::LoadReport;
use micaspool_types::{EndpointName, Moment};
use std::time::Duration;

/// How long a load report counts.
const REPORT_LIFE: Duration = Duration::from_secs(3);

impl EndpointTable {
    /// Takes a load report in. Slots count as used by others only when two reports in a row
    /// agree, since a report may be older than our newest grants.
    pub fn report(&mut self, now: Moment, report: &LoadReport) {
        let Some(endpoint) = self.by_name(&report.endpoint) else { return };
        let state = self.state_mut(endpoint);
        let surplus = report.running.saturating_sub(state.busy);
        let before = state.last_surplus.filter(|(_, at)| now.since(*at) < REPORT_LIFE);
        state.foreign = before.map_or(0, |(earlier, _)| earlier.min(surplus));
        let (busy, foreign) = (state.busy, state.foreign);
        state.last_surplus = Some((surplus, now));
        if let Some(engine) = &mut state.engine {
            engine.note_waiting(now, report.waiting);
            if before.is_some() {
                engine.share_with(busy, foreign);
            }
        }
        if report.draining {
            state.doors.draining_since = Some(now);
        } else if state.doors.draining_since.is_some_and(|since| report.asked_at > since) {
            state.doors.draining_since = None;
        }
        self.watch_reading(now, endpoint);
        self.reindex(endpoint);
    }

    /// Forgets what reports said of others' requests where no report followed: an endpoint that is not heard any
    /// more would stay full for ever.
    pub fn forget_old_reports(&mut self, now: Moment) {
        let first_share = self.first_share;
        for endpoint in self.indices() {
            let state = self.state_mut(endpoint);
            if state.last_surplus.is_none_or(|(_, at)| now.since(at) < REPORT_LIFE) {
                continue;
            }
            state.last_surplus = None;
            state.foreign = 0;
            if let Some(engine) = &mut state.engine {
                engine.assume_share(first_share);
            }
            self.reindex(endpoint);
        }
    }

    /// An endpoint did not answer when asked for its load.
    pub fn fail_probe(&mut self, now: Moment, name: &EndpointName) {
        if let Some(endpoint) = self.by_name(name) {
            self.state_mut(endpoint).foreign = 0;
            self.pause(now, endpoint);
            self.reindex(endpoint);
        }
    }
}
