//! Tells whether a dispatcher that leaves its router without answers is late or lost.
//!
//! A shard that has more to do than its machine bears answers tickets after seconds. A router that took
//! it for lost would bring its requests to another dispatcher, which grants the same engines beside the
//! first and knows less of the customers. The process of a late shard still answers heartbeats, so a
//! router without an answer to a ticket sends one, and leaves only if nothing at all comes back.

use micaspool_types::Moment;
use std::time::Duration;

/// Timing of a [`SessionWatch`].
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// How long a ticket may be unanswered, with nothing heard, before a heartbeat is due.
    pub question_delay: Duration,
    /// How long after that heartbeat the dispatcher is lost if nothing was heard.
    pub reply_timeout: Duration,
    /// The same time since anything was heard, while no ticket is unanswered.
    pub silence_timeout: Duration,
}

impl Default for WatchOptions {
    fn default() -> Self {
        WatchOptions {
            question_delay: Duration::from_millis(250),
            reply_timeout: Duration::from_millis(900),
            silence_timeout: Duration::from_millis(2_500),
        }
    }
}

/// What a router does next about its dispatcher.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WatchStep {
    /// Nothing before this moment.
    Wait(Moment),
    /// Send a heartbeat.
    Ask,
    /// The dispatcher is lost: nothing was heard after a ticket and a heartbeat.
    LeaveUnanswered,
    /// The dispatcher is lost: nothing was heard although no ticket is unanswered.
    LeaveSilent,
}

/// Watches one session. The caller reports what it sends and hears.
#[derive(Clone, Copy, Debug)]
pub struct SessionWatch {
    options: WatchOptions,
    heard_at: Moment,
    /// Since when a ticket has been unanswered with nothing heard.
    unanswered_since: Option<Moment>,
    /// When the first heartbeat since then was sent.
    asked_at: Option<Moment>,
}

impl SessionWatch {
    /// Begins to watch a session that opens now.
    pub fn new(now: Moment, options: WatchOptions) -> SessionWatch {
        SessionWatch { options, heard_at: now, unanswered_since: None, asked_at: None }
    }

    /// Records that a ticket was sent.
    pub fn note_ticket(&mut self, now: Moment) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a heartbeat was sent.
    pub fn note_heartbeat(&mut self, now: Moment) {
        self.asked_at.get_or_insert(now);
    }

    /// Records that a message came, and whether tickets are still unanswered after it.
    pub fn note_message(&mut self, now: Moment, awaits_answer: bool) {
        self.heard_at = now;
        self.asked_at = None;
        self.unanswered_since = awaits_answer.then_some(now);
    }

    /// Records that the router itself came this much later to look than it meant to. What the dispatcher
    /// sent meanwhile may still be unread.
    pub fn note_own_delay(&mut self, delay: Duration) {
        self.heard_at = self.heard_at + delay;
        self.unanswered_since = self.unanswered_since.map(|since| since + delay);
        self.asked_at = self.asked_at.map(|at| at + delay);
    }

    /// Returns how long nothing has been heard.
    pub fn silent_for(&self, now: Moment) -> Duration {
        now.since(self.heard_at)
    }

    /// Returns the next step.
    pub fn next(&self, now: Moment) -> WatchStep {
        let Some(since) = self.unanswered_since else {
            let lost_at = self.heard_at + self.options.silence_timeout;
            return if now >= lost_at { WatchStep::LeaveSilent } else { WatchStep::Wait(lost_at) };
        };
        let Some(asked_at) = self.asked_at else {
            let ask_at = since + self.options.question_delay;
            return if now >= ask_at { WatchStep::Ask } else { WatchStep::Wait(ask_at) };
        };
        let lost_at = asked_at.max(since) + self.options.reply_timeout;
        if now >= lost_at {
            WatchStep::LeaveUnanswered
        } else {
            WatchStep::Wait(lost_at)
        }
    }
}
