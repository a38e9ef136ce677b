//! Requests during which endpoints crash: limits their copies, isolates them and quarantines them.
//!
//! A request that crashes its endpoint does so on each new one, unless its crashes are counted in one
//! place. Every ticket of a service passes through its shard, so the shard counts them. Routers keep
//! the records of crashes they saw and of quarantined requests, and send them to the next dispatcher.

use super::endpoints::EndpointIndex;
use super::evidence::REPORT_WINDOW;
use super::fatal_parts::ExoneratedParts;
use super::grants::RunningGrant;
use super::routers::RouterIndex;
use super::status::SuspectStatus;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use crate::event::{RequestTicket, SessionId};
use micaspool_fair::CustomerIndex;
use micaspool_quarantine::{CrashRecord, CrashTable, QuarantineOptions, RequestStanding, StandingChange};
use micaspool_types::{CustomerName, Moment, OrderNumber, RequestDigest, RequestId};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// When a copy of a doubted or suspected request may be retried; a run takes a second or two.
pub(super) const COPY_WAIT: Duration = Duration::from_secs(1);
/// When a request may be retried that was quarantined a moment ago: the endpoint may turn out to be
/// alive.
const FRESH_QUARANTINE_WAIT: Duration = Duration::from_secs(2);

/// The routers that hold a record of a request.
#[derive(Debug)]
pub(super) enum RecordHolders {
    /// Those that saw an endpoint crash while it ran the request.
    Witnesses(BTreeSet<RouterIndex>),
    /// All routers, because the request is or was quarantined.
    All,
}

/// The doubted, suspected and quarantined requests, and the routers to notify of changes.
#[derive(Debug)]
pub(super) struct SuspectTracker {
    pub(super) table: CrashTable,
    pub(super) holders: HashMap<RequestDigest, RecordHolders>,
    pub(super) next_expiry: Moment,
    pub(super) exonerated: ExoneratedParts,
    /// The parts that are or were quarantined, and some that are no longer on record.
    limited_parts: BTreeSet<u64>,
}

impl SuspectTracker {
    pub fn new(options: QuarantineOptions) -> SuspectTracker {
        SuspectTracker {
            table: CrashTable::new(options),
            holders: HashMap::new(),
            next_expiry: Moment(0),
            exonerated: ExoneratedParts::default(),
            limited_parts: BTreeSet::new(),
        }
    }

    /// The standing of a request; clear if its router sends no digest.
    pub fn standing(&self, now: Moment, digest: Option<RequestDigest>) -> RequestStanding {
        match digest {
            Some(digest) if !self.table.is_empty() => self.table.standing(now, digest),
            _ => RequestStanding::Clear,
        }
    }

    /// The suspected and quarantined requests.
    pub fn suspected(&self, now: Moment) -> Vec<SuspectStatus> {
        let suspects = self.table.suspect_records(now).into_iter();
        let status = |(standing, record)| SuspectStatus {
            standing,
            remaining: match standing {
                RequestStanding::Quarantined { until } => until.since(now),
                _ => Duration::ZERO,
            },
            record,
        };
        suspects.map(status).collect()
    }

    /// Drops the holders of records that were evicted from the full table; otherwise they would
    /// accumulate without a bound.
    pub fn forget_holders(&mut self) {
        let table = &self.table;
        self.holders.retain(|digest, _| table.contains(*digest));
    }

    /// Notes a part to whose crashes one was added, if they have reached the limit.
    pub fn note_limit(&mut self, digest: RequestDigest) {
        let part = digest.part().filter(|_| self.table.has_reached_limit(digest));
        self.limited_parts.extend(part);
    }

    /// The parts that are or were quarantined.
    pub fn parts_on_trial(&self) -> impl Iterator<Item = u64> + '_ {
        let is_on_trial = |part: &u64| self.table.has_reached_limit(RequestDigest::of_part(*part));
        self.limited_parts.iter().copied().filter(is_on_trial)
    }

    /// Drops the parts that are no longer on record.
    pub fn forget_limits(&mut self) {
        let table = &self.table;
        self.limited_parts.retain(|part| table.has_reached_limit(RequestDigest::of_part(*part)));
    }

    pub fn note_witness(&mut self, digest: RequestDigest, router: RouterIndex) {
        let witnesses = || RecordHolders::Witnesses(BTreeSet::new());
        if let RecordHolders::Witnesses(routers) = self.holders.entry(digest).or_insert_with(witnesses) {
            routers.insert(router);
        }
    }
}

/// The parts of an ended grant that the crash records need.
#[derive(Clone, Debug)]
pub(super) struct EndedRun {
    pub digest: Option<RequestDigest>,
    pub customer: CustomerIndex,
    pub endpoint: EndpointIndex,
    pub router: RouterIndex,
    /// The shared parts of its prompt.
    pub parts: Box<[u64]>,
    /// True if its first event had come.
    pub has_begun: bool,
    /// True if it had got past its beginning.
    pub is_past_beginning: bool,
}

impl EndedRun {
    pub fn of(grant: &RunningGrant) -> EndedRun {
        EndedRun {
            digest: grant.digest,
            customer: grant.customer,
            endpoint: grant.endpoint,
            router: grant.router,
            parts: grant.prompt.shared_parts().into(),
            has_begun: !grant.awaits_first_event,
            is_past_beginning: grant.is_past_beginning,
        }
    }
}

/// Why a ticket is refused, and when its caller may retry.
#[derive(Clone, Copy, Debug)]
pub(super) struct TicketRefusal {
    pub reason: RefusalReason,
    pub retry_after: Duration,
}

impl TicketRefusal {
    pub fn action(self, session: SessionId, ticket: &RequestTicket) -> ShardAction {
        ShardAction::Refuse {
            session,
            request: ticket.request,
            reason: self.reason,
            retry_after: self.retry_after,
            waited: Duration::ZERO,
            awaited: None,
            objective: ticket.objective,
            expected_wait: Duration::ZERO,
            queue_fill: None,
        }
    }
}

impl ShardCore {
    /// Why a ticket is refused because of the crashes of its request. Measured on nine endpoints with
    /// one to eight callers that repeat a crashing request: without this check it crashed 34 to 82
    /// endpoints in 40 s, with it at most four, and up to six if copies run side by side.
    pub(super) fn quarantine_refusal(&self, now: Moment, ticket: &RequestTicket) -> Option<TicketRefusal> {
        self.request_refusal(now, ticket).or_else(|| self.part_refusal(now, ticket))
    }

    fn request_refusal(&self, now: Moment, ticket: &RequestTicket) -> Option<TicketRefusal> {
        let digest = ticket.digest?;
        let standing = self.suspects.standing(now, Some(digest));
        match standing {
            RequestStanding::Clear => None,
            RequestStanding::Quarantined { until } => {
                let retry_after = self.quarantine_retry_after(now, digest, until);
                Some(TicketRefusal { reason: RefusalReason::Quarantined, retry_after })
            }
            // Its router would resend it at once after the crash of the endpoint that ran it.
            RequestStanding::Suspected if ticket.attempt > 0 => {
                Some(TicketRefusal { reason: RefusalReason::Quarantined, retry_after: COPY_WAIT })
            }
            RequestStanding::Doubted | RequestStanding::Suspected => {
                let copies = self.copies.is_running(digest) || self.copies.is_waiting(digest);
                copies.then_some(TicketRefusal { reason: RefusalReason::CopyRunning, retry_after: COPY_WAIT })
            }
        }
    }

    pub(super) fn quarantine_retry_after(
        &self,
        now: Moment,
        digest: RequestDigest,
        until: Moment,
    ) -> Duration {
        let newest = self.suspects.table.newest_crash(digest);
        let is_fresh = newest.is_some_and(|newest| now.since(newest) < REPORT_WINDOW);
        if is_fresh {
            return FRESH_QUARANTINE_WAIT;
        }
        until.since(now)
    }

    /// The endpoints that a ticket must avoid because of the crashes of its request; `None` if it may
    /// not run now. Suspected requests never share an endpoint, so the next crash distinguishes the cause
    /// from a request that ran beside it. If they share, a harmless request is quarantined in 12 of 300
    /// draws (nine endpoints with thirty runs each, whose callers retry at once); if they don't, in
    /// none.
    pub(super) fn isolation_exclusions(
        &self,
        now: Moment,
        ticket: &WaitingTicket,
    ) -> Option<BTreeSet<EndpointIndex>> {
        if self.has_isolated_part(now, &ticket.prompt) {
            return None;
        }
        let standing = self.suspects.standing(now, ticket.digest);
        match (standing, ticket.digest) {
            (RequestStanding::Clear, _) | (_, None) => Some(BTreeSet::new()),
            (RequestStanding::Quarantined { .. }, _) => None,
            (_, Some(digest)) if self.copies.is_running(digest) => None,
            (RequestStanding::Doubted, _) => Some(BTreeSet::new()),
            (RequestStanding::Suspected, _) => {
                let suspected = self.suspects.table.suspect_digests();
                Some(suspected.flat_map(|other| self.copies.running_on(other).iter().copied()).collect())
            }
        }
    }

    /// Refuses waiting copies of a request: all of them once it is quarantined, otherwise all but one;
    /// that one too while a copy runs.
    pub(super) fn refuse_copies(
        &mut self,
        now: Moment,
        change: &StandingChange,
        actions: &mut Vec<ShardAction>,
    ) {
        let digest = change.digest;
        let part = digest.part();
        let may_wait = match part {
            Some(part) => {
                let is_limited = self.may_refuse_parts(now) && self.is_on_trial(digest);
                is_limited && self.part_requests.is_waiting(part)
            }
            None => self.copies.is_waiting(digest),
        };
        if !may_wait {
            return;
        }
        let copies = self.waiting.iter().filter(|(_, ticket)| match part {
            Some(part) => ticket.prompt.shared_parts().contains(&part),
            None => ticket.digest == Some(digest),
        });
        let mut copies: Vec<(OrderNumber, RequestId)> =
            copies.map(|(request, ticket)| (ticket.place.order, *request)).collect();
        copies.sort_unstable();
        let (reason, retained, retry_after) = match change.after {
            RequestStanding::Quarantined { .. } => (RefusalReason::Quarantined, 0, FRESH_QUARANTINE_WAIT),
            _ => {
                let is_running = match part {
                    Some(part) => self.is_part_running(part),
                    None => self.copies.is_running(digest),
                };
                (RefusalReason::CopyRunning, usize::from(!is_running), COPY_WAIT)
            }
        };
        for (_, request) in copies.into_iter().skip(retained) {
            let Some(ticket) = self.drop_waiting(request) else { continue };
            let Some(session) = self.routers.session(ticket.router) else { continue };
            actions.push(ShardAction::Refuse {
                session,
                request,
                reason,
                retry_after,
                waited: now.since(ticket.since),
                awaited: None,
                objective: ticket.objective,
                expected_wait: ticket.expected_wait,
                queue_fill: ticket.queue_fill,
            });
        }
    }

    /// Sends the current record of a request to the routers that hold one.
    pub(super) fn notify_holders(
        &self,
        now: Moment,
        change: &StandingChange,
        actions: &mut Vec<ShardAction>,
    ) {
        let mut sessions: Vec<SessionId> = match self.suspects.holders.get(&change.digest) {
            Some(RecordHolders::All) => self.routers.sessions().collect(),
            Some(RecordHolders::Witnesses(routers)) => {
                routers.iter().filter_map(|router| self.routers.session(*router)).collect()
            }
            None => Vec::new(),
        };
        // Sorted, so that the same events give the same actions.
        sessions.sort_unstable();
        let record = self.record_of(now, change.digest, &change.customer);
        actions.extend(
            sessions.into_iter().map(|session| ShardAction::SendRecord { session, record: record.clone() }),
        );
    }

    /// The record of a request; without crashes if there is none.
    pub(super) fn record_of(
        &self,
        now: Moment,
        digest: RequestDigest,
        customer: &CustomerName,
    ) -> CrashRecord {
        let known = self.suspects.table.record(now, digest);
        known.unwrap_or_else(|| CrashRecord { digest, customer: customer.clone(), crashes: Vec::new() })
    }
}
