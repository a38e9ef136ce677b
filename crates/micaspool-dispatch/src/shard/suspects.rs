//! Requests under which endpoints end: who is held off, kept apart or shut out.
//!
//! A fault that travels with a request meets each place anew, unless one place adds up what all have seen. Every
//! ticket of a service passes its shard, so the shard does. Routers keep what they saw themselves and what is shut out,
//! and tell the next dispatcher.

use super::endpoints::EndpointIndex;
use super::grants::RunningGrant;
use super::routers::RouterIndex;
use super::status::SuspectStatus;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{ReleaseReason, ShardAction, StandingCause};
use crate::event::{GrantFate, LoadReport, RequestTicket, SessionId};
use micaspool_fair::CustomerIndex;
use micaspool_quarantine::{CrashRecord, CrashTable, QuarantineOptions, RequestStanding, TableChange};
use micaspool_types::{CustomerName, Moment, OrderNumber, RequestDigest, RequestId};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How long after the end of an endpoint news of its runs may still come: routers told of breaks up to 0.7 s after the
/// first. What comes later shows that it is alive.
const STRAGGLING: Duration = Duration::from_secs(1);
/// For how long a load report tells whether an endpoint ended before it was asked for. Its address may be another's
/// some two seconds after its end.
const REPORT_WINDOW: Duration = Duration::from_millis(1_500);
/// When a copy of a request in doubt may come back; a run takes a second or two.
const COPY_WAIT: Duration = Duration::from_secs(1);
/// When one may come back that was just shut out: it may turn out that an endpoint is alive.
const UNPROVEN_WAIT: Duration = Duration::from_secs(2);
/// How often old records are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The routers that hold a record of a request.
#[derive(Debug)]
enum RecordHolders {
    /// Those that saw an endpoint end under it.
    Witnesses(BTreeSet<RouterIndex>),
    /// All, since it is or was shut out.
    All,
}

/// The requests in doubt, and who has to hear of changes.
#[derive(Debug)]
pub(super) struct SuspectWatch {
    table: CrashTable,
    holders: HashMap<RequestDigest, RecordHolders>,
    next_expiry: Moment,
}

impl SuspectWatch {
    pub fn new(options: QuarantineOptions) -> SuspectWatch {
        SuspectWatch { table: CrashTable::new(options), holders: HashMap::new(), next_expiry: Moment(0) }
    }

    /// How a request stands; clear when its router does not tell what it asks for.
    fn standing(&self, now: Moment, digest: Option<RequestDigest>) -> RequestStanding {
        match digest {
            Some(digest) if !self.table.is_empty() => self.table.standing(now, digest),
            _ => RequestStanding::Clear,
        }
    }

    /// What is known of the requests that are suspected or shut out.
    pub fn suspected(&self, now: Moment) -> Vec<SuspectStatus> {
        let suspects = self.table.suspects(now).into_iter();
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

    fn note_witness(&mut self, digest: RequestDigest, router: RouterIndex) {
        let witnesses = || RecordHolders::Witnesses(BTreeSet::new());
        if let RecordHolders::Witnesses(routers) = self.holders.entry(digest).or_insert_with(witnesses) {
            routers.insert(router);
        }
    }
}

/// A grant that has ended, as far as it concerns what it asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedRun {
    digest: Option<RequestDigest>,
    customer: CustomerIndex,
    endpoint: EndpointIndex,
    router: RouterIndex,
}

impl EndedRun {
    pub fn of(grant: &RunningGrant) -> EndedRun {
        EndedRun {
            digest: grant.digest,
            customer: grant.customer,
            endpoint: grant.endpoint,
            router: grant.router,
        }
    }
}

/// Why a ticket is not taken, and when its caller may come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeepOut {
    reason: ReleaseReason,
    retry_after: Duration,
}

impl KeepOut {
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
        }
    }
}

impl ShardCore {
    /// Why a ticket is not taken for what it asks for. Without this one request ended 34 to 82 endpoints in 40 s,
    /// at most four with it (nine endpoints, one to eight callers that repeat it). With copies side by side up to six.
    pub(super) fn reason_to_keep_out(&self, now: Moment, ticket: &RequestTicket) -> Option<KeepOut> {
        let digest = ticket.digest?;
        let standing = self.suspects.standing(now, Some(digest));
        match standing {
            RequestStanding::Clear => None,
            RequestStanding::Quarantined { until } => {
                let retry_after = self.wait_for_end(now, digest, until);
                Some(KeepOut { reason: ReleaseReason::Quarantined, retry_after })
            }
            // Its router would send it on from the endpoint that has just ended.
            RequestStanding::Suspected if ticket.attempt > 0 => {
                Some(KeepOut { reason: ReleaseReason::Quarantined, retry_after: COPY_WAIT })
            }
            RequestStanding::Doubted | RequestStanding::Suspected => {
                let copies = self.runs(digest) || self.waits(digest);
                copies.then_some(KeepOut { reason: ReleaseReason::CopyRunning, retry_after: COPY_WAIT })
            }
        }
    }

    fn wait_for_end(&self, now: Moment, digest: RequestDigest, until: Moment) -> Duration {
        let newest = self.suspects.table.newest_crash(digest);
        let is_fresh = newest.is_some_and(|newest| now.since(newest) < REPORT_WINDOW);
        if is_fresh {
            return UNPROVEN_WAIT;
        }
        until.since(now)
    }

    fn runs(&self, digest: RequestDigest) -> bool {
        self.running.values().any(|grant| grant.digest == Some(digest))
    }

    fn waits(&self, digest: RequestDigest) -> bool {
        self.waiting.values().any(|ticket| ticket.digest == Some(digest))
    }

    /// The endpoints that a ticket is kept from for what it asks for; `None` when it may not run now. Suspected
    /// requests never share an endpoint: whoever ran beside the guilty one is told apart by its next end. Sharing
    /// shuts a harmless request out in 12 of 300 draws (nine endpoints with thirty runs each, whose callers
    /// repeat at once), in none so.
    pub(super) fn kept_apart(&self, now: Moment, ticket: &WaitingTicket) -> Option<BTreeSet<EndpointIndex>> {
        let standing = self.suspects.standing(now, ticket.digest);
        match (standing, ticket.digest) {
            (RequestStanding::Clear, _) | (_, None) => Some(BTreeSet::new()),
            (RequestStanding::Quarantined { .. }, _) => None,
            (_, Some(digest)) if self.runs(digest) => None,
            (RequestStanding::Doubted, _) => Some(BTreeSet::new()),
            (RequestStanding::Suspected, _) => {
                let is_suspected =
                    |grant: &&RunningGrant| self.suspects.standing(now, grant.digest).is_suspected();
                Some(self.running.values().filter(is_suspected).map(|grant| grant.endpoint).collect())
            }
        }
    }

    /// Learns from how a run ended, as its router says.
    pub(super) fn judge(
        &mut self,
        now: Moment,
        ended: &EndedRun,
        fate: GrantFate,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.suspects.standing(now, ended.digest).is_in_doubt() {
            // A copy that waits may run now, though no endpoint was full.
            self.fill_due = now;
        }
        match fate {
            GrantFate::Severed => self.note_severed(now, ended, actions),
            GrantFate::Done => {
                self.hear_endpoint(now, ended.endpoint, actions);
                self.acquit(now, ended.digest, StandingCause::Answered, actions);
            }
            _ => {}
        }
    }

    fn note_severed(&mut self, now: Moment, ended: &EndedRun, actions: &mut Vec<ShardAction>) {
        let Some(digest) = ended.digest else { return };
        let endpoint = self.endpoints.name(ended.endpoint).clone();
        let customer = self.customers.get(ended.customer).name.clone();
        if self.endpoints.is_leaving(ended.endpoint) {
            // It ends since it was told to. The router that saw it is told that nothing is held against the request.
            let record = self.record_of(now, digest, &customer);
            let session = self.routers.session(ended.router);
            actions.extend(session.map(|session| ShardAction::TellRecord { session, record }));
            return;
        }
        if !self.suspects.table.has_endpoint(&endpoint) {
            actions.push(ShardAction::AskEndpoint { endpoint: endpoint.clone() });
        }
        let change = self.suspects.table.note_crash(now, digest, &customer, &endpoint);
        self.suspects.note_witness(digest, ended.router);
        self.note_worse(now, change, StandingCause::EndpointEnded, actions);
    }

    /// A router joins with what it knows of requests under which endpoints ended.
    pub(super) fn join_suspects(
        &mut self,
        now: Moment,
        router: RouterIndex,
        records: &[CrashRecord],
        actions: &mut Vec<ShardAction>,
    ) {
        for record in records {
            let change = self.suspects.table.merge(now, record);
            self.suspects.note_witness(record.digest, router);
            if change.before != change.after {
                self.note_worse(now, change, StandingCause::RouterJoined, actions);
            }
        }
        self.tell_shut_out(now, router, actions);
    }

    /// A router that joins hears of all that is shut out.
    fn tell_shut_out(&self, now: Moment, router: RouterIndex, actions: &mut Vec<ShardAction>) {
        if self.suspects.table.is_empty() {
            return;
        }
        let Some(session) = self.routers.session(router) else { return };
        for (standing, record) in self.suspects.table.suspects(now) {
            if matches!(standing, RequestStanding::Quarantined { .. }) {
                actions.push(ShardAction::TellRecord { session, record });
            }
        }
    }

    /// More is held against a request than before.
    fn note_worse(
        &mut self,
        now: Moment,
        change: TableChange,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        self.note_standing(now, &change, cause, actions);
        if matches!(change.after, RequestStanding::Quarantined { .. }) {
            self.suspects.holders.insert(change.digest, RecordHolders::All);
            self.tell_holders(now, &change, actions);
        }
        self.refuse_copies(now, &change, actions);
    }

    /// Less is held against a request than before.
    fn note_better(
        &mut self,
        now: Moment,
        change: TableChange,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        self.note_standing(now, &change, cause, actions);
        self.tell_holders(now, &change, actions);
        if change.after == RequestStanding::Clear {
            self.suspects.holders.remove(&change.digest);
        }
        self.fill_due = now;
    }

    fn note_standing(
        &self,
        now: Moment,
        change: &TableChange,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        let record = self.record_of(now, change.digest, &change.customer);
        let (before, after) = (change.before, change.after);
        actions.push(ShardAction::NoteStanding { record, before, after, cause });
    }

    /// Refuses waiting copies of a request: all once it is shut out, else all but one.
    fn refuse_copies(&mut self, now: Moment, change: &TableChange, actions: &mut Vec<ShardAction>) {
        let digest = change.digest;
        let copies = self.waiting.iter().filter(|(_, ticket)| ticket.digest == Some(digest));
        let mut copies: Vec<(OrderNumber, RequestId)> =
            copies.map(|(request, ticket)| (ticket.place.order, *request)).collect();
        copies.sort_unstable();
        let (reason, kept, retry_after) = match change.after {
            RequestStanding::Quarantined { .. } => (ReleaseReason::Quarantined, 0, UNPROVEN_WAIT),
            _ => (ReleaseReason::CopyRunning, usize::from(!self.runs(digest)), COPY_WAIT),
        };
        for (_, request) in copies.into_iter().skip(kept) {
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
            });
        }
    }

    fn acquit(
        &mut self,
        now: Moment,
        digest: Option<RequestDigest>,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(digest) = digest.filter(|_| !self.suspects.table.is_empty()) else { return };
        if let Some(change) = self.suspects.table.clear(now, digest) {
            self.note_better(now, change, cause, actions);
        }
    }

    /// An operator holds nothing against a request any more.
    pub(super) fn lift_suspicion(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        actions: &mut Vec<ShardAction>,
    ) {
        self.acquit(now, Some(digest), StandingCause::Lifted, actions);
    }

    /// News of a run come from an endpoint: it is alive, if they come too late to be stragglers.
    pub(super) fn hear_endpoint(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.suspects.table.is_empty() {
            return;
        }
        let until = Moment(now.0.saturating_sub(micros(STRAGGLING)));
        self.note_alive(now, endpoint, Moment(0), until, actions);
    }

    /// An endpoint answered when it was asked for its load.
    pub(super) fn hear_report(&mut self, now: Moment, report: &LoadReport, actions: &mut Vec<ShardAction>) {
        if self.suspects.table.is_empty() {
            return;
        }
        let Some(endpoint) = self.endpoints.by_name(&report.endpoint) else { return };
        let from = Moment(report.asked_at.0.saturating_sub(micros(REPORT_WINDOW)));
        self.note_alive(now, endpoint, from, report.asked_at, actions);
    }

    fn note_alive(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        from: Moment,
        until: Moment,
        actions: &mut Vec<ShardAction>,
    ) {
        let name = self.endpoints.name(endpoint).clone();
        for change in self.suspects.table.note_alive(now, &name, &(from..=until)) {
            self.note_better(now, change, StandingCause::EndpointAlive, actions);
        }
    }

    /// Forgets what is long ago.
    pub(super) fn expire_suspects(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        if now < self.suspects.next_expiry || self.suspects.table.is_empty() {
            return;
        }
        self.suspects.next_expiry = now + EXPIRY_INTERVAL;
        for change in self.suspects.table.expire(now) {
            self.note_better(now, change, StandingCause::Expired, actions);
        }
    }

    /// Tells the routers that hold a record of a request what is known now.
    fn tell_holders(&self, now: Moment, change: &TableChange, actions: &mut Vec<ShardAction>) {
        let mut sessions: Vec<SessionId> = match self.suspects.holders.get(&change.digest) {
            Some(RecordHolders::All) => self.routers.sessions().collect(),
            Some(RecordHolders::Witnesses(routers)) => {
                routers.iter().filter_map(|router| self.routers.session(*router)).collect()
            }
            None => Vec::new(),
        };
        // In a fixed order, so that the same events give the same actions.
        sessions.sort_unstable();
        let record = self.record_of(now, change.digest, &change.customer);
        actions.extend(
            sessions.into_iter().map(|session| ShardAction::TellRecord { session, record: record.clone() }),
        );
    }

    /// What is known of a request; without crashes when nothing is held against it.
    fn record_of(&self, now: Moment, digest: RequestDigest, customer: &CustomerName) -> CrashRecord {
        let known = self.suspects.table.record(now, digest);
        known.unwrap_or_else(|| CrashRecord { digest, customer: customer.clone(), crashes: Vec::new() })
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
