//! Evidence for and against a suspected request: the outcomes of its runs, and responses that show that
//! its endpoints are alive.

use super::endpoints::EndpointIndex;
use super::routers::RouterIndex;
use super::suspects::{EndedRun, RecordHolders};
use super::ShardCore;
use crate::action::{ShardAction, StandingCause};
use crate::event::{GrantOutcome, LoadReport};
use micaspool_quarantine::{CrashRecord, RequestStanding, StandingChange};
use micaspool_types::{Moment, RequestDigest};
use std::time::Duration;

/// How long after a crash events of the endpoint's other runs may still arrive. Routers reported broken
/// runs up to 0.7 s after the first. Later events show that the endpoint is alive.
const STRAGGLER_WINDOW: Duration = Duration::from_secs(1);
/// A load report refutes crashes recorded up to this long before it was requested. The endpoint's
/// address may belong to another one some two seconds after its crash.
pub(super) const REPORT_WINDOW: Duration = Duration::from_millis(1_500);
/// The interval between checks for expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

impl ShardCore {
    /// Updates the records with the outcome of a run, as reported by its router.
    pub(super) fn record_outcome(
        &mut self,
        now: Moment,
        ended: &EndedRun,
        outcome: GrantOutcome,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.suspects.standing(now, ended.digest).is_doubted() {
            // A waiting copy may be allowed to run now, though no endpoint has become free.
            self.next_pass_due = now;
        }
        match outcome {
            GrantOutcome::Severed => self.note_severed(now, ended, actions),
            GrantOutcome::Done => {
                self.note_endpoint_response(now, ended.endpoint, actions);
                self.clear_suspicion(now, ended.digest, StandingCause::Answered, actions);
                if ended.has_begun {
                    self.exonerate_parts(now, &ended.parts, actions);
                }
            }
            _ => {}
        }
    }

    fn note_severed(&mut self, now: Moment, ended: &EndedRun, actions: &mut Vec<ShardAction>) {
        let Some(digest) = ended.digest else { return };
        let endpoint = self.endpoints.name(ended.endpoint).clone();
        let customer = self.customers.get(ended.customer).name.clone();
        if self.endpoints.is_leaving(ended.endpoint) {
            // An endpoint that is leaving is expected to end, so this is no crash. The router that
            // reported it gets the record without it.
            let record = self.record_of(now, digest, &customer);
            let session = self.routers.session(ended.router);
            actions.extend(session.map(|session| ShardAction::SendRecord { session, record }));
            return;
        }
        if !self.suspects.table.has_endpoint(&endpoint) {
            actions.push(ShardAction::ProbeEndpoint { endpoint: endpoint.clone() });
        }
        let change = self.suspects.table.record_crash(now, digest, &customer, &endpoint);
        self.suspects.note_witness(digest, ended.router);
        self.worsen_standing(now, change, StandingCause::EndpointCrashed, actions);
        self.record_part_crashes(now, ended, &customer, &endpoint, actions);
    }

    /// Merges the crash records of a router that joins.
    pub(super) fn merge_suspects(
        &mut self,
        now: Moment,
        router: RouterIndex,
        records: &[CrashRecord],
        actions: &mut Vec<ShardAction>,
    ) {
        for record in records {
            let change = self.suspects.table.merge(now, record);
            self.suspects.note_limit(record.digest);
            self.suspects.note_witness(record.digest, router);
            if change.before != change.after {
                self.worsen_standing(now, change, StandingCause::RouterJoined, actions);
            }
        }
        self.send_quarantined(now, router, actions);
    }

    /// Sends the records of all quarantined requests to a router that joins.
    fn send_quarantined(&self, now: Moment, router: RouterIndex, actions: &mut Vec<ShardAction>) {
        if self.suspects.table.is_empty() {
            return;
        }
        let Some(session) = self.routers.session(router) else { return };
        for (standing, record) in self.suspects.table.suspect_records(now) {
            if matches!(standing, RequestStanding::Quarantined { .. }) {
                actions.push(ShardAction::SendRecord { session, record });
            }
        }
    }

    /// Handles a standing that has become worse.
    pub(super) fn worsen_standing(
        &mut self,
        now: Moment,
        change: StandingChange,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        self.report_standing(now, &change, cause, actions);
        if matches!(change.after, RequestStanding::Quarantined { .. }) {
            self.suspects.holders.insert(change.digest, RecordHolders::All);
            self.notify_holders(now, &change, actions);
        }
        self.refuse_copies(now, &change, actions);
    }

    /// Handles a standing that has become better.
    fn improve_standing(
        &mut self,
        now: Moment,
        change: StandingChange,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        self.report_standing(now, &change, cause, actions);
        self.notify_holders(now, &change, actions);
        if change.after == RequestStanding::Clear {
            self.suspects.holders.remove(&change.digest);
        }
        self.next_pass_due = now;
    }

    fn report_standing(
        &self,
        now: Moment,
        change: &StandingChange,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        let record = self.record_of(now, change.digest, &change.customer);
        let (before, after) = (change.before, change.after);
        actions.push(ShardAction::ReportStanding { record, before, after, cause });
    }

    pub(super) fn clear_suspicion(
        &mut self,
        now: Moment,
        digest: Option<RequestDigest>,
        cause: StandingCause,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(digest) = digest.filter(|_| !self.suspects.table.is_empty()) else { return };
        if let Some(change) = self.suspects.table.clear(now, digest) {
            self.improve_standing(now, change, cause, actions);
        }
    }

    /// Clears a request's record on behalf of an operator.
    pub(super) fn lift_suspicion(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        actions: &mut Vec<ShardAction>,
    ) {
        self.clear_suspicion(now, Some(digest), StandingCause::Lifted, actions);
    }

    /// Handles an event of a run on an endpoint. The endpoint is alive if the event arrives later than
    /// `STRAGGLER_WINDOW` after a crash.
    pub(super) fn note_endpoint_response(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.suspects.table.is_empty() {
            return;
        }
        let until = Moment(now.0.saturating_sub(micros(STRAGGLER_WINDOW)));
        self.retract_crashes(now, endpoint, Moment(0), until, actions);
    }

    /// Handles a load report, which shows that the endpoint is alive.
    pub(super) fn note_load_response(
        &mut self,
        now: Moment,
        report: &LoadReport,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.suspects.table.is_empty() {
            return;
        }
        let Some(endpoint) = self.endpoints.by_name(&report.endpoint) else { return };
        let from = Moment(report.requested_at.0.saturating_sub(micros(REPORT_WINDOW)));
        self.retract_crashes(now, endpoint, from, report.requested_at, actions);
    }

    fn retract_crashes(
        &mut self,
        now: Moment,
        endpoint: EndpointIndex,
        from: Moment,
        until: Moment,
        actions: &mut Vec<ShardAction>,
    ) {
        let name = self.endpoints.name(endpoint).clone();
        for change in self.suspects.table.retract_crashes(now, &name, &(from..=until)) {
            self.improve_standing(now, change, StandingCause::EndpointAlive, actions);
        }
    }

    /// Removes expired crash records.
    pub(super) fn expire_suspects(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        if now < self.suspects.next_expiry {
            return;
        }
        self.suspects.next_expiry = now + EXPIRY_INTERVAL;
        self.suspects.exonerated.expire(now);
        for change in self.suspects.table.expire(now) {
            self.improve_standing(now, change, StandingCause::Expired, actions);
        }
        self.suspects.forget_holders();
        self.suspects.forget_limits();
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
