//! Limits the rate of requests to cold endpoints.
//!
//! When the endpoints of a whole hall come back at once, all of them are cold and free while every
//! queue is full of short requests. A cold endpoint fails under a load that a warm one handles, and its
//! limit applies to the requests of all senders that arrive within one second. Grants to it are
//! therefore spaced evenly. Counting the grants of the last second would admit a burst at its start,
//! whereas spaced grants stay apart even if their sends are delayed by different times. An endpoint is
//! granted slightly less than its limit, which leaves the rest for a second dispatcher that is unaware
//! of this one.

use super::endpoints::{EndpointIndex, EndpointTable};
use crate::event::ColdStartLimits;
use micaspool_types::Moment;
use std::time::Duration;

/// The share of a cold endpoint's capacity that is used, in percent.
const UTILISATION_PERCENT: u32 = 90;
/// A grant that is late by up to this much does not delay the next one.
const MAX_GRANT_DELAY: Duration = Duration::from_millis(40);
/// An endpoint that was unreachable this many times in a row may have restarted.
const ABSENCE_THRESHOLD: u32 = 2;

/// Decides when a cold endpoint may get its next request.
#[derive(Debug, Default)]
pub(super) struct ColdStartLimiter {
    /// Until when it is cold, as reported by itself or because its hall was taken back into use.
    reported_until: Moment,
    /// Until when it is assumed to be cold because it was unreachable.
    inferred_until: Moment,
    /// When it may get its next request while it is cold.
    next_grant_at: Moment,
    /// True if that moment had not come when the limit was last updated.
    pub limited: bool,
}

impl ColdStartLimiter {
    /// True while the endpoint is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.until()
    }

    /// When the endpoint will be warm.
    pub fn until(&self) -> Moment {
        self.reported_until.max(self.inferred_until)
    }

    /// The time until it may get its next request.
    pub fn wait(&self, now: Moment) -> Duration {
        if self.is_cold(now) {
            self.next_grant_at.min(self.until()).since(now)
        } else {
            Duration::ZERO
        }
    }

    /// Sets how much longer the endpoint is cold, as reported.
    pub fn set_reported(&mut self, now: Moment, cold: Duration) {
        self.reported_until = now + cold;
    }

    /// Assumes that the endpoint has restarted and is cold from now on.
    pub fn infer_cold(&mut self, now: Moment, start: Duration) {
        self.inferred_until = now + start;
    }

    /// Records a grant and schedules the next one.
    pub fn note_grant(&mut self, now: Moment, spacing: Duration) {
        if self.is_cold(now) {
            let due = if now.since(self.next_grant_at) <= MAX_GRANT_DELAY { self.next_grant_at } else { now };
            self.next_grant_at = due + spacing;
        }
    }
}

impl EndpointTable {
    /// The time between two grants to a cold endpoint; zero if cold endpoints are not limited. It is
    /// longer for a dispatcher that shares endpoints with others.
    pub fn cold_spacing(&self) -> Duration {
        let ColdStartLimits { request_time, .. } = self.cold_limits;
        let share = u32::try_from(self.initial_share.clamp(1, 100)).unwrap_or(100);
        request_time * 100 / UTILISATION_PERCENT * 100 / share
    }

    /// How long a cold endpoint is unavailable for a ticket behind `tickets` others.
    pub fn cold_wait(&self, now: Moment, endpoint: EndpointIndex, tickets: u32) -> Duration {
        let limiter = &self.state(endpoint).availability.cold;
        if !limiter.is_cold(now) {
            return Duration::ZERO;
        }
        let warm_in = limiter.until().since(now);
        (limiter.wait(now) + self.cold_spacing() * tickets).min(warm_in)
    }

    /// Records a grant to an endpoint, and closes the endpoint until the next one is due if it is cold.
    pub(super) fn delay_next_grant(&mut self, now: Moment, endpoint: EndpointIndex) {
        let spacing = self.cold_spacing();
        self.state_mut(endpoint).availability.cold.note_grant(now, spacing);
        self.update_cold_limit(now, endpoint);
    }

    /// Forgets the endpoints that have become warm.
    pub(super) fn forget_warm(&mut self, now: Moment) {
        let states = &self.states;
        self.cold.retain(|endpoint| states[endpoint.position()].availability.cold.is_cold(now));
    }

    /// Opens or closes an endpoint according to its cold limit, and schedules the next change.
    pub(super) fn update_cold_limit(&mut self, now: Moment, endpoint: EndpointIndex) {
        let limiter = &mut self.state_mut(endpoint).availability.cold;
        let wait = limiter.wait(now);
        limiter.limited = !wait.is_zero();
        if limiter.limited {
            self.wakes.insert((now + wait, endpoint));
        }
        self.reindex(endpoint);
    }

    /// Treats an endpoint as cold if it serves again after it was unreachable, because it may have
    /// restarted.
    pub(super) fn infer_cold_start(&mut self, now: Moment, endpoint: EndpointIndex) {
        let limits = self.cold_limits;
        let state = self.state_mut(endpoint);
        let was_absent = state.connect_failures >= ABSENCE_THRESHOLD;
        state.connect_failures = 0;
        if was_absent && !limits.request_time.is_zero() {
            state.availability.cold.infer_cold(now, limits.start);
            self.cold.insert(endpoint);
            self.delay_next_grant(now, endpoint);
        }
    }
}
