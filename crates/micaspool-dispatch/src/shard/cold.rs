//! How seldom a cold endpoint gets a request.
//!
//! The load this is made for: the endpoints of a whole hall come back at once, all of them cold and free, while every
//! queue is full of short requests. A cold endpoint falls over under what a warm one bears, and the bound holds for
//! the requests of all senders together that arrive within one second. So grants to it are spread evenly: unlike a
//! count of the last second that lets a burst through at its start, what is spread stays spread when its sends are
//! held up for different times. It gets somewhat less than it bears, which leaves the rest to a second dispatcher
//! that does not hear of this one.

use super::endpoints::{EndpointIndex, EndpointTable};
use crate::event::ColdStartLimits;
use micaspool_types::Moment;
use std::time::Duration;

/// The part of what a cold endpoint bears that is given to it, in percent.
const UTILISATION_PERCENT: u32 = 90;
/// A grant that comes this much later than it might have keeps the rhythm: the next one is not later for it.
const MAX_GRANT_DELAY: Duration = Duration::from_millis(40);
/// An endpoint that could not be reached so many times in a row was away, and may have started again.
const ABSENCE_THRESHOLD: u32 = 2;

/// When a cold endpoint may get its next request.
#[derive(Debug, Default)]
pub(super) struct ColdStartLimiter {
    /// Until when it is cold, as it says itself or as its hall was taken back.
    reported_until: Moment,
    /// Until when it is taken for cold since it was away.
    inferred_until: Moment,
    /// When it may get its next request, while it is cold.
    next_grant_at: Moment,
    /// True while that moment has not come.
    pub spaced: bool,
}

impl ColdStartLimiter {
    /// True while the endpoint bears few requests.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.until()
    }

    /// When the endpoint will be warm.
    pub fn until(&self) -> Moment {
        self.reported_until.max(self.inferred_until)
    }

    /// How long until it may get a request.
    pub fn wait(&self, now: Moment) -> Duration {
        if self.is_cold(now) {
            self.next_grant_at.min(self.until()).since(now)
        } else {
            Duration::ZERO
        }
    }

    /// Takes over what is told of it.
    pub fn set_reported(&mut self, now: Moment, cold: Duration) {
        self.reported_until = now + cold;
    }

    /// It was away, and is taken for cold from now on.
    pub fn infer_cold(&mut self, now: Moment, start: Duration) {
        self.inferred_until = now + start;
    }

    /// Notes that it got a request.
    pub fn note_grant(&mut self, now: Moment, spacing: Duration) {
        if self.is_cold(now) {
            let due = if now.since(self.next_grant_at) <= MAX_GRANT_DELAY { self.next_grant_at } else { now };
            self.next_grant_at = due + spacing;
        }
    }
}

impl EndpointTable {
    /// The time between two grants to a cold endpoint; zero where cold endpoints bear anything. A dispatcher that uses
    /// endpoints beside others leaves them their part.
    pub fn cold_spacing(&self) -> Duration {
        let ColdStartLimits { request_time, .. } = self.cold_limits;
        let share = u32::try_from(self.initial_share.clamp(1, 100)).unwrap_or(100);
        request_time * 100 / UTILISATION_PERCENT * 100 / share
    }

    /// How long an endpoint gets nothing because it is cold, if so many other tickets wait for it.
    pub fn cold_wait(&self, now: Moment, endpoint: EndpointIndex, tickets: u32) -> Duration {
        let limiter = &self.state(endpoint).availability.cold;
        if !limiter.is_cold(now) {
            return Duration::ZERO;
        }
        let warm_in = limiter.until().since(now);
        (limiter.wait(now) + self.cold_spacing() * tickets).min(warm_in)
    }

    /// Notes a grant to an endpoint, and closes it for a while if it is cold.
    pub(super) fn delay_next_grant(&mut self, now: Moment, endpoint: EndpointIndex) {
        let spacing = self.cold_spacing();
        self.state_mut(endpoint).availability.cold.note_grant(now, spacing);
        self.update_cold_limit(now, endpoint);
    }

    /// Opens or closes an endpoint as its temperature says, and wakes up when that will change.
    pub(super) fn update_cold_limit(&mut self, now: Moment, endpoint: EndpointIndex) {
        let limiter = &mut self.state_mut(endpoint).availability.cold;
        let wait = limiter.wait(now);
        limiter.spaced = !wait.is_zero();
        if limiter.spaced {
            self.wakes.insert((now + wait, endpoint));
        }
        self.reindex(endpoint);
    }

    /// An endpoint that was away serves again: it may have started meanwhile, and is taken for cold until it says
    /// otherwise.
    pub(super) fn infer_cold_start(&mut self, now: Moment, endpoint: EndpointIndex) {
        let limits = self.cold_limits;
        let state = self.state_mut(endpoint);
        let was_absent = state.connect_failures >= ABSENCE_THRESHOLD;
        state.connect_failures = 0;
        if was_absent && !limits.request_time.is_zero() {
            state.availability.cold.infer_cold(now, limits.start);
            self.delay_next_grant(now, endpoint);
        }
    }
}
