//! Load reports of endpoints, and how long each is valid.

use super::endpoints::{EndpointIndex, EndpointTable};
use crate::event::LoadReport;
use micaspool_types::{EndpointName, Moment};
use std::time::Duration;

/// The minimum lifetime of a load report.
const MIN_LIFETIME: Duration = Duration::from_secs(3);
/// The lifetime of a report in intervals between two reports, which allows one to be lost. The more
/// engines there are, the less often each is polled: 320 every 3.2 s, 600 every 6 s.
const LIFETIME_INTERVALS: u32 = 2;
/// A longer interval does not show how often the endpoint is polled, only that it was unreachable.
const MAX_INTERVAL: Duration = Duration::from_secs(8);

/// The requests of others at an endpoint according to its latest load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedSurplus {
    /// Requests at the endpoint beyond those of this shard.
    requests: u32,
    at: Moment,
    /// How long the report is valid.
    lifetime: Duration,
}

impl ReportedSurplus {
    /// Creates a record from a report and the one before it.
    fn new(now: Moment, requests: u32, before: Option<ReportedSurplus>) -> ReportedSurplus {
        let interval = before.map(|before| now.since(before.at)).filter(|gap| *gap <= MAX_INTERVAL);
        let lifetime =
            interval.map_or(MAX_INTERVAL, |interval| MIN_LIFETIME.max(interval * LIFETIME_INTERVALS));
        ReportedSurplus { requests, at: now, lifetime }
    }

    fn is_current(&self, now: Moment) -> bool {
        now.since(self.at) < self.lifetime
    }
}

impl EndpointTable {
    /// Applies a load report. Slots count as used by others only if two successive reports agree,
    /// because a report may be older than the latest grants.
    pub fn report(&mut self, now: Moment, report: &LoadReport) {
        let Some(endpoint) = self.by_name(&report.endpoint) else { return };
        let state = self.state_mut(endpoint);
        let surplus = report.running.saturating_sub(state.busy);
        let before = state.last_surplus.filter(|seen| seen.is_current(now));
        state.foreign = before.map_or(0, |seen| seen.requests.min(surplus));
        let (busy, foreign) = (state.busy, state.foreign);
        state.last_surplus = Some(ReportedSurplus::new(now, surplus, before));
        self.reported.insert(endpoint);
        let state = self.state_mut(endpoint);
        if let Some(engine) = &mut state.engine {
            engine.note_waiting(now, report.waiting);
            if before.is_some() {
                engine.update_share(busy, foreign);
            }
        }
        if report.draining {
            state.availability.draining_since = Some(now);
        } else if state.availability.draining_since.is_some_and(|since| report.requested_at > since) {
            state.availability.draining_since = None;
        }
        self.update_prefill_limit(now, endpoint);
        self.reindex(endpoint);
    }

    /// Discards load reports that were not followed by another one. Otherwise an endpoint that stops
    /// reporting would stay full for ever.
    pub fn expire_reports(&mut self, now: Moment) {
        let initial_share = self.initial_share;
        let is_outdated = |endpoint: &EndpointIndex| {
            !self.state(*endpoint).last_surplus.is_some_and(|seen| seen.is_current(now))
        };
        let outdated: Vec<EndpointIndex> = self.reported.iter().copied().filter(is_outdated).collect();
        for endpoint in outdated {
            self.reported.remove(&endpoint);
            let state = self.state_mut(endpoint);
            state.last_surplus = None;
            state.foreign = 0;
            if let Some(engine) = &mut state.engine {
                engine.reset_share(initial_share);
            }
            self.reindex(endpoint);
        }
    }

    /// Handles an endpoint that did not answer a load request.
    pub fn fail_probe(&mut self, now: Moment, name: &EndpointName) {
        if let Some(endpoint) = self.by_name(name) {
            self.state_mut(endpoint).foreign = 0;
            self.pause(now, endpoint);
            self.reindex(endpoint);
        }
    }
}
