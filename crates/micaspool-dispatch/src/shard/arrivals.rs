//! Events that waited before they were handled.

use super::ShardCore;
use crate::action::ShardAction;
use crate::event::ShardEvent;
use crate::intake::UnreadTicket;
use crate::queue_fill::QueueFill;
use micaspool_types::{Moment, RequestId};
use std::time::Duration;

impl ShardCore {
    /// Applies an event that arrived earlier. The time that a submission waited for this is taken from its objective and
    /// from the patience of its caller.
    pub fn step_arrived(
        &mut self,
        now: Moment,
        arrived_at: Moment,
        event: ShardEvent,
        actions: &mut Vec<ShardAction>,
    ) {
        let submitted = match &event {
            ShardEvent::Submit(_, ticket) if !self.waiting.contains_key(&ticket.request) => {
                Some(ticket.request)
            }
            _ => None,
        };
        self.step(now, event, actions);
        let Some(request) = submitted else { return };
        self.backdate(request, now.since(arrived_at));
        if self.overdue.first().is_some_and(|(refuse_at, _)| *refuse_at <= now) {
            self.step(now, ShardEvent::Wake, actions);
        }
    }

    /// Refuses a submission that was not looked at, unless its ticket waits already. A request that seems to run is submitted
    /// again once its run has ended; the end is still to be handled then.
    pub fn refuse_unread(&mut self, now: Moment, unread: UnreadTicket, actions: &mut Vec<ShardAction>) {
        let UnreadTicket { session, request, reason, .. } = unread;
        if !self.routers.note_contact(session, now) {
            actions.push(ShardAction::Rejoin { session });
            return;
        }
        if self.waiting.contains_key(&request) {
            actions.extend(self.accepted_action(session, request));
            return;
        }
        let customer = self.customers.ensure(&unread.customer);
        let load = unread.prompt_tokens.0.max(1);
        let waited = now.since(unread.arrived_at);
        self.endpoints.scarcity.note_demand(now, load);
        self.first_attempts.note_refused(now);
        let state = self.customers.get_mut(customer);
        state.demand_rate.add(now, load);
        state.refused_at = Some(now);
        state.counters.note_unread(waited);
        actions.push(ShardAction::Refuse {
            session,
            request,
            reason,
            retry_after: self.retry_after(now, customer),
            waited,
            awaited: None,
            objective: unread.objective,
            expected_wait: Duration::ZERO,
            queue_fill: Some(QueueFill::FULL),
        });
    }

    /// Counts the waiting time of a ticket from its arrival, if it waits.
    fn backdate(&mut self, request: RequestId, late: Duration) {
        let Some(ticket) = self.waiting.get_mut(&request).filter(|_| !late.is_zero()) else { return };
        let refuse_at = ticket.refuse_at;
        ticket.since = earlier(ticket.since, late);
        ticket.first_event_due = ticket.first_event_due.map(|due| earlier(due, late));
        ticket.refuse_at = refuse_at.map(|at| earlier(at, late));
        ticket.caller_leaves_at = ticket.caller_leaves_at.map(|at| earlier(at, late));
        if let Some(refuse_at) = refuse_at {
            self.overdue.remove(&(refuse_at, request));
            self.overdue.insert((earlier(refuse_at, late), request));
        }
    }
}

fn earlier(moment: Moment, by: Duration) -> Moment {
    let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
    Moment(moment.0.saturating_sub(micros))
}
