//! The inputs of a shard that wait to be handled.
//!
//! A shard that gets less processor time than it needs is late: its inputs wait. What waits then decides who is served,
//! so it is ordered here, before the shard core sees it. Events other than submissions come first, since they free
//! endpoints and tell how the fleet is. Submissions wait in one line for each customer, and customers take turns so that
//! the same load is read for each. A submission that would wait too long for its turn, or did, is refused without a decision.

mod customer_lines;
mod event_lane;
mod handling_time;

use crate::action::RefusalReason;
use crate::event::{SessionId, ShardEvent};
use customer_lines::{CustomerLines, Submission};
use event_lane::EventLane;
use handling_time::HandlingTime;
use micaspool_types::{Cost, CustomerName, Moment, RequestId, VersionLimit};
use std::collections::VecDeque;
use std::time::Duration;

/// The part of its objective that a submission may wait in its line.
const OBJECTIVE_PARTS: u32 = 4;
/// The minimum time that a submission may wait in its line, also if its router has used up its objective. Without it a short
/// pause of the process would end all submissions of routers that are late.
const MIN_LINE_TIME: Duration = Duration::from_millis(100);
/// The maximum time that a submission may wait in its line. Routers take a dispatcher that answers nothing for much
/// longer for a lost one.
const MAX_LINE_TIME: Duration = Duration::from_millis(500);
/// A submission is accepted into a line if its turn is expected within this part of the time that it may still wait, so
/// that few are refused after waiting.
const EXPECTED_PARTS: u32 = 2;
/// The maximum number of submissions in all lines.
const MAX_SUBMISSIONS: usize = 16_384;

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
    /// The request.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// The number of tokens in the prompt; zero if unknown.
    pub prompt_tokens: Cost,
    /// The time within which the first event of the response was due when it arrived.
    pub objective: Option<Duration>,
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
    /// The longest time that a submission waited in its line since the previous status.
    pub late_submissions: Duration,
    /// The number of waiting submissions.
    pub waiting_submissions: usize,
    /// The number of submissions that were refused without a decision since the start.
    pub refused_unread: u64,
}

impl IntakeStatus {
    /// The status over two successive periods, of which `later` is the second.
    pub fn joined(self, later: IntakeStatus) -> IntakeStatus {
        IntakeStatus {
            late: self.late.max(later.late),
            late_submissions: self.late_submissions.max(later.late_submissions),
            ..later
        }
    }
}

/// The waiting inputs of a shard.
#[derive(Debug, Default)]
pub struct ShardIntake {
    events: EventLane,
    lines: CustomerLines,
    /// Submissions to refuse.
    refusals: VecDeque<UnreadTicket>,
    /// True if the latest item was a refusal; refusals and other items alternate.
    refused_last: bool,
    handling: HandlingTime,
    status: IntakeStatus,
}

impl ShardIntake {
    /// Adds an event that arrived at an earlier moment.
    pub fn push(&mut self, now: Moment, arrived_at: Moment, event: Box<ShardEvent>) {
        match &*event {
            ShardEvent::Submit(session, ticket) => {
                let submission = Submission {
                    session: *session,
                    request: ticket.request,
                    customer: ticket.customer.clone(),
                    arrived_at,
                    load: ticket.prompt_tokens.0.max(1),
                    refuse_at: arrived_at + line_time(ticket.objective),
                    continues: ticket.order.is_some() || ticket.versions != VersionLimit::Any,
                    event,
                };
                self.push_submission(now, submission);
            }
            ShardEvent::Cancel(session, request) if self.lines.remove(*session, *request) => {}
            ShardEvent::Left(session) | ShardEvent::Goodbye(session) => {
                self.lines.remove_session(*session);
                self.refusals.retain(|unread| unread.session != *session);
                self.events.push(arrived_at, event);
            }
            _ => self.events.push(arrived_at, event),
        }
    }

    /// Takes what is to be handled now.
    pub fn take(&mut self, now: Moment) -> Option<IntakeItem> {
        self.refuse_expired(now);
        let is_other_next = self.refused_last && !(self.events.is_empty() && self.lines.is_empty());
        self.refused_last = !is_other_next && !self.refusals.is_empty();
        if self.refused_last {
            return self.refusals.pop_front().map(IntakeItem::Refusal);
        }
        if let Some((arrived_at, event)) = self.events.pop() {
            self.status.late = self.status.late.max(now.since(arrived_at));
            return Some(IntakeItem::Event(arrived_at, event));
        }
        let submission = self.lines.pop()?;
        self.handling.note_taken(now);
        self.note_late_submission(now, &submission);
        Some(IntakeItem::Event(submission.arrived_at, submission.event))
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.lines.is_empty() && self.refusals.is_empty()
    }

    /// How late the shard was since the previous call, including what waits now.
    pub fn take_status(&mut self, now: Moment) -> IntakeStatus {
        let late = self.events.oldest().map_or(Duration::ZERO, |at| now.since(at));
        let late_submissions = self.lines.oldest().map_or(Duration::ZERO, |at| now.since(at));
        let status = IntakeStatus {
            late: self.status.late.max(late),
            late_submissions: self.status.late_submissions.max(late_submissions),
            waiting_submissions: self.lines.len(),
            refused_unread: self.status.refused_unread,
        };
        self.status.late = Duration::ZERO;
        self.status.late_submissions = Duration::ZERO;
        status
    }

    fn push_submission(&mut self, now: Moment, submission: Submission) {
        if self.lines.is_empty() {
            self.handling.pause(now);
        }
        if submission.continues || self.has_room_for(now, &submission) {
            self.lines.push(submission);
        } else {
            self.refuse(submission, RefusalReason::ShardFull);
        }
    }

    /// True if the turn of a further submission of its customer is expected soon enough.
    fn has_room_for(&self, now: Moment, submission: &Submission) -> bool {
        let own = self.lines.len_of(&submission.customer);
        if own == 0 {
            return true;
        }
        if own >= MAX_SUBMISSIONS / self.lines.customers().max(1) {
            return false;
        }
        let expected_within = submission.refuse_at.since(now) / EXPECTED_PARTS;
        self.handling.time_for(self.lines.len() + 1) <= expected_within
            || self.handling.time_for(self.lines.read_before(&submission.customer) + 1) <= expected_within
    }

    fn refuse_expired(&mut self, now: Moment) {
        while let Some(submission) = self.lines.pop_expired(now) {
            self.note_late_submission(now, &submission);
            self.refuse(submission, RefusalReason::Overdue);
        }
    }

    fn refuse(&mut self, submission: Submission, reason: RefusalReason) {
        let ShardEvent::Submit(_, ticket) = *submission.event else { return };
        self.status.refused_unread += 1;
        self.refusals.push_back(UnreadTicket {
            session: submission.session,
            request: submission.request,
            customer: submission.customer,
            prompt_tokens: ticket.prompt_tokens,
            objective: ticket.objective,
            arrived_at: submission.arrived_at,
            reason,
        });
    }

    fn note_late_submission(&mut self, now: Moment, submission: &Submission) {
        let late = now.since(submission.arrived_at);
        self.status.late_submissions = self.status.late_submissions.max(late);
    }
}

/// How long a submission with this objective may wait in its line.
fn line_time(objective: Option<Duration>) -> Duration {
    objective
        .map_or(MAX_LINE_TIME, |objective| (objective / OBJECTIVE_PARTS).clamp(MIN_LINE_TIME, MAX_LINE_TIME))
}
