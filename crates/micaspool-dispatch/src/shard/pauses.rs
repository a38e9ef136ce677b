//! For how long endpoints that failed are left alone.

use super::endpoints::{EndpointIndex, EndpointState, EndpointTable};
use micaspool_types::Moment;
use std::time::Duration;

/// The first pause after an endpoint failed or refused; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(16);
/// While fewer than half of a service's endpoints are open, those that are paused are tried so often a second together:
/// a few that come back are found soon, and hundreds that are gone don't cost a request each.
const RETRIES_PER_SECOND: u32 = 6;

impl EndpointTable {
    /// Leaves an endpoint alone for a while, longer after each failure in a row.
    pub(super) fn pause(&mut self, now: Moment, endpoint: EndpointIndex) {
        let state = self.state_mut(endpoint);
        if state.availability.paused_until.is_some() {
            return;
        }
        let doublings = state.failures.min(8);
        let until = now + (FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE);
        state.failures += 1;
        state.availability.paused_until = Some(until);
        self.pauses.insert((until, endpoint));
        self.shorten_pauses(now);
    }

    /// Shortens the pauses after failures while most of the service is paused: what is left can't bear the load, so one
    /// that is back has to be found soon.
    fn shorten_pauses(&mut self, now: Moment) {
        let in_use = |state: &&EndpointState| state.slots > 0 && !state.availability.is_leaving();
        let open = self.states.iter().filter(in_use).filter(|state| state.is_open()).count();
        let all = self.states.iter().filter(in_use).count();
        if open * 2 >= all {
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

    /// Ends the pauses whose time has come.
    pub(super) fn end_pauses(&mut self, now: Moment) {
        while let Some((until, endpoint)) = self.pauses.first().copied().filter(|(until, _)| *until <= now) {
            self.pauses.remove(&(until, endpoint));
            self.state_mut(endpoint).availability.paused_until = None;
            self.reindex(endpoint);
        }
    }
}
