//! The inputs of a shard that wait to be handled, in the order of their arrival, as its driver keeps them.

use crate::action::RefusalReason;
use crate::event::{RequestTicket, SessionId, ShardEvent};
use micaspool_types::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// What a shard handles next.
#[derive(Debug)]
pub enum IntakeItem {
    /// An event, and when it arrived.
    Event(Moment, Box<ShardEvent>),
    /// A submission that is refused without a decision.
    Refusal(UnreadTicket),
}

/// A submission that the shard refuses without a decision.
#[derive(Debug)]
pub struct UnreadTicket {
    /// The session of its router.
    pub session: SessionId,
    /// The ticket.
    pub ticket: RequestTicket,
    /// When it arrived.
    pub arrived_at: Moment,
    /// Why it is refused.
    pub reason: RefusalReason,
}

/// How late a shard is with its inputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeStatus {
    /// The longest time that an event other than a submission waited since the previous status.
    pub late: Duration,
    /// The longest time that a submission waited since the previous status.
    pub late_submissions: Duration,
    /// The number of waiting submissions.
    pub waiting_submissions: usize,
    /// The number of submissions that were refused without a decision since the start.
    pub refused_unread: u64,
}

/// The waiting inputs of a shard.
#[derive(Debug, Default)]
pub struct ShardIntake {
    events: VecDeque<(Moment, Box<ShardEvent>)>,
    status: IntakeStatus,
}

impl ShardIntake {
    /// Adds an event that arrived at a moment.
    pub fn push(&mut self, arrived_at: Moment, event: Box<ShardEvent>) {
        self.status.waiting_submissions += usize::from(matches!(*event, ShardEvent::Submit(..)));
        self.events.push_back((arrived_at, event));
    }

    /// Takes what is to be handled now.
    pub fn take(&mut self, now: Moment) -> Option<IntakeItem> {
        let (arrived_at, event) = self.events.pop_front()?;
        let late = now.since(arrived_at);
        if let ShardEvent::Submit(..) = *event {
            self.status.waiting_submissions -= 1;
            self.status.late_submissions = self.status.late_submissions.max(late);
        } else {
            self.status.late = self.status.late.max(late);
        }
        Some(IntakeItem::Event(arrived_at, event))
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// How late the shard was since the previous call.
    pub fn take_status(&mut self, _now: Moment) -> IntakeStatus {
        let status = self.status;
        self.status.late = Duration::ZERO;
        self.status.late_submissions = Duration::ZERO;
        status
    }
}
