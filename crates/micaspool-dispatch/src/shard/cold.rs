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
const USED_PERCENT: u32 = 90;
/// A grant that comes this much later than it might have keeps the rhythm: the next one is not later for it.
const LATE_GRANT: Duration = Duration::from_millis(40);
/// An endpoint that could not be reached so many times in a row was away, and may have started again.
const ABSENT_FAILURES: u32 = 2;

/// When a cold endpoint may get its next request.
#[derive(Debug, Default)]
pub(super) struct ColdGate {
    /// Until when it is cold, as it says itself or as its hall was taken back.
    told_until: Moment,
    /// Until when it is taken for cold since it was away.
    presumed_until: Moment,
    /// When it may get its next request, while it is cold.
    next: Moment,
    /// True while that moment has not come.
    pub spaced: bool,
}

impl ColdGate {
    /// True while the endpoint bears few requests.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.until()
    }

    /// When the endpoint will be warm.
    pub fn until(&self) -> Moment {
        self.told_until.max(self.presumed_until)
    }

    /// How long until it may get a request.
    pub fn wait(&self, now: Moment) -> Duration {
        if self.is_cold(now) {
            self.next.min(self.until()).since(now)
        } else {
            Duration::ZERO
        }
    }

    /// Takes over what is told of it.
    pub fn tell(&mut self, now: Moment, cold: Duration) {
        self.told_until = now + cold;
    }

    /// It was away, and is taken for cold from now on.
    pub fn presume(&mut self, now: Moment, start: Duration) {
        self.presumed_until = now + start;
    }

    /// Notes that it got a request.
    pub fn note_grant(&mut self, now: Moment, spacing: Duration) {
        if self.is_cold(now) {
            let due = if now.since(self.next) <= LATE_GRANT { self.next } else { now };
            self.next = due + spacing;
        }
    }
}

impl EndpointTable {
    /// The time between two grants to a cold endpoint; zero where cold endpoints bear anything. A dispatcher that uses
    /// endpoints beside others leaves them their part.
    pub fn cold_spacing(&self) -> Duration {
        let ColdStartLimits { request_time, .. } = self.cold_terms;
        let share = u32::try_from(self.initial_share.clamp(1, 100)).unwrap_or(100);
        request_time * 100 / USED_PERCENT * 100 / share
    }

    /// How long an endpoint gets nothing because it is cold, if so many other tickets wait for it.
    pub fn cold_wait(&self, now: Moment, endpoint: EndpointIndex, tickets: u32) -> Duration {
        let gate = &self.state(endpoint).doors.cold;
        if !gate.is_cold(now) {
            return Duration::ZERO;
        }
        let warm_in = gate.until().since(now);
        (gate.wait(now) + self.cold_spacing() * tickets).min(warm_in)
    }

    /// Notes a grant to an endpoint, and closes it for a while if it is cold.
    pub(super) fn space_out(&mut self, now: Moment, endpoint: EndpointIndex) {
        let spacing = self.cold_spacing();
        self.state_mut(endpoint).doors.cold.note_grant(now, spacing);
        self.watch_cold(now, endpoint);
    }

    /// Opens or closes an endpoint as its temperature says, and wakes up when that will change.
    pub(super) fn watch_cold(&mut self, now: Moment, endpoint: EndpointIndex) {
        let gate = &mut self.state_mut(endpoint).doors.cold;
        let wait = gate.wait(now);
        gate.spaced = !wait.is_zero();
        if gate.spaced {
            self.wakes.insert((now + wait, endpoint));
        }
        self.reindex(endpoint);
    }

    /// An endpoint that was away serves again: it may have started meanwhile, and is taken for cold until it says
    /// otherwise.
    pub(super) fn presume_cold(&mut self, now: Moment, endpoint: EndpointIndex) {
        let terms = self.cold_terms;
        let state = self.state_mut(endpoint);
        let was_absent = state.absences >= ABSENT_FAILURES;
        state.absences = 0;
        if was_absent && !terms.request_time.is_zero() {
            state.doors.cold.presume(now, terms.start);
            self.space_out(now, endpoint);
        }
    }
}
