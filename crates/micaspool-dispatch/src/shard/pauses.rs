//! Pauses of endpoints after failures.

use super::endpoints::{EndpointIndex, EndpointTable};
use micaspool_types::Moment;
use std::time::Duration;

/// The pause after the first failure or refusal; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(16);
/// While less than half of a service's endpoints are open, the paused ones together are tried this
/// often per second. This finds a few returning endpoints soon without spending a request on each of
/// hundreds that are down.
const RETRIES_PER_SECOND: u32 = 6;

impl EndpointTable {
    /// Pauses an endpoint, longer after each successive failure.
    pub(super) fn pause(&mut self, now: Moment, endpoint: EndpointIndex) {
        let state = self.state_mut(endpoint);
        if state.availability.paused_until.is_some() {
            return;
        }
        let doublings = state.failures.min(8);
        let until = now + (FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE);
        state.failures += 1;
        state.availability.paused_until = Some(until);
        self.update_totals(endpoint);
        self.pauses.insert((until, endpoint));
        self.shorten_pauses(now);
    }

    /// Shortens the pauses after failures while most endpoints of the service are paused: the others
    /// can't carry the load, so returning endpoints must be found soon.
    fn shorten_pauses(&mut self, now: Moment) {
        let totals = self.totals();
        if totals.open * 2 >= totals.in_use {
            return;
        }
        let paused = u32::try_from(self.pauses.len()).unwrap_or(u32::MAX);
        let max_pause = (Duration::from_secs(1) * paused / RETRIES_PER_SECOND).clamp(FIRST_PAUSE, MAX_PAUSE);
        let latest = now + max_pause;
        let later = self.pauses.iter().rev().take_while(|(until, _)| *until > latest).copied();
        let failed = later.filter(|(_, endpoint)| !self.state(*endpoint).availability.paused_as_leaving);
        for (until, endpoint) in failed.collect::<Vec<_>>() {
            self.pauses.remove(&(until, endpoint));
            self.pauses.insert((latest, endpoint));
            self.state_mut(endpoint).availability.paused_until = Some(latest);
        }
    }

    /// Ends the pauses that have expired.
    pub(super) fn end_pauses(&mut self, now: Moment) {
        while let Some((until, endpoint)) = self.pauses.first().copied().filter(|(until, _)| *until <= now) {
            self.pauses.remove(&(until, endpoint));
            self.state_mut(endpoint).availability.paused_until = None;
            self.reindex(endpoint);
        }
    }
}
