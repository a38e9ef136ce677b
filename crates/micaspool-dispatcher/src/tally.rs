//! Logs the decisions of a shard: a periodic summary, and a limited number of lines for single refusals.

use crate::closures::ClosureLog;
use crate::constraints::ConstraintTally;
use crate::customer_log::CustomerLog;
use crate::objectives::ObjectiveTally;
use crate::standings::StandingLog;
use micaspool_clock::BootInstant;
use micaspool_dispatch::{
    CacheCopyStatus, EndpointClosure, EndpointStatus, IntakeStatus, PrefillStatus, ShardAction, ShardStatus,
};
use micaspool_telemetry::events::{self, field, record, EventField};
use micaspool_types::ServiceName;
use micaspool_wire::convert::reason_text;
use std::time::Duration;

/// The interval of the periodic lines.
const LOG_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of refusals logged one by one in an interval; others are only counted. A flood causes 700
/// refusals a second, and writing a line takes about 5 us.
const MAX_REFUSAL_LINES: u64 = 40;

/// Counts grants and refusals since the last summary, and holds the other periodic logs of a shard.
#[derive(Debug)]
pub(crate) struct ShardTally {
    service: ServiceName,
    grants: u64,
    /// The copies between engines at the last summary.
    reported_copies: CacheCopyStatus,
    refusals: RefusalCounts,
    /// How late the shard was with its inputs since the last summary.
    lateness: IntakeStatus,
    /// The submissions refused without a decision at the last summary.
    reported_unread: u64,
    /// The number of refusals when endpoint constraints were last sampled.
    sampled_refusals: u64,
    constraints: ConstraintTally,
    objectives: ObjectiveTally,
    closures: ClosureLog,
    customers: CustomerLog,
    standings: StandingLog,
    due: BootInstant,
}

/// Counts refusals since the last summary.
#[derive(Debug, Default)]
struct RefusalCounts {
    total: u64,
    /// Refusals of tickets that had waited.
    waited: u64,
    /// The sum of the waiting times of refused tickets.
    total_wait: Duration,
}

impl ShardTally {
    pub fn new(service: ServiceName) -> ShardTally {
        ShardTally {
            closures: ClosureLog::new(service.clone()),
            customers: CustomerLog::new(service.clone()),
            objectives: ObjectiveTally::new(service.clone()),
            standings: StandingLog::new(service.clone()),
            service,
            grants: 0,
            reported_copies: CacheCopyStatus::default(),
            refusals: RefusalCounts::default(),
            lateness: IntakeStatus::default(),
            reported_unread: 0,
            sampled_refusals: 0,
            constraints: ConstraintTally::default(),
            due: BootInstant::now() + LOG_INTERVAL,
        }
    }

    /// Counts a decision, and logs it if it is a refusal within the limit or a change of standing.
    pub fn count(&mut self, action: &ShardAction) {
        match action {
            ShardAction::Grant { objective, .. } => {
                self.grants += 1;
                self.objectives.count_grant(*objective);
            }
            ShardAction::Refuse { waited, objective, .. } => {
                self.refusals.add(*waited);
                self.objectives.count_refusal(*objective, *waited);
                if self.refusals.total <= MAX_REFUSAL_LINES {
                    self.log_refusal(action);
                }
            }
            ShardAction::ReportStanding { record, before, after, cause } => {
                self.standings.log_change(record, *before, *after, *cause)
            }
            _ => {}
        }
    }

    /// Updates the logs from the shard's status, and writes the periodic lines when they are due.
    pub fn report(&mut self, status: &ShardStatus) {
        let now = BootInstant::now();
        self.closures.update(now, &status.endpoints);
        self.lateness = self.lateness.joined(status.intake);
        if status.waiting > 0 || self.refusals.total > self.sampled_refusals {
            self.constraints.sample(status);
        }
        self.sampled_refusals = self.refusals.total;
        if now < self.due {
            return;
        }
        self.due = now + LOG_INTERVAL;
        if self.grants + self.refusals.total > 0 {
            self.log_decisions(now, status);
        }
        self.objectives.report();
        self.customers.report(&status.customers);
        self.standings.start_interval();
        self.grants = 0;
        self.refusals = RefusalCounts::default();
        self.reported_unread = self.lateness.refused_unread;
        self.lateness = IntakeStatus::default();
        self.sampled_refusals = 0;
    }

    fn log_refusal(&self, action: &ShardAction) {
        let ShardAction::Refuse {
            request,
            reason,
            retry_after,
            waited,
            awaited,
            objective,
            expected_wait,
            ..
        } = action
        else {
            return;
        };
        let mut fields = vec![
            field("service", &self.service),
            field("ticket", request),
            field("reason", reason_text(*reason)),
            field("waited_ms", waited.as_millis()),
            field("expected_wait_ms", expected_wait.as_millis()),
            field("retry_after_ms", retry_after.as_millis()),
        ];
        fields.extend(objective.map(|objective| field("objective_ms", objective.as_millis())));
        fields.extend(awaited.as_ref().map(|engine| field("awaited", engine)));
        record(&events::TICKET_REFUSED, &fields);
    }

    fn log_decisions(&mut self, now: BootInstant, status: &ShardStatus) {
        let mut fields = vec![
            field("service", &self.service),
            field("revision", status.revision.0),
            field("grants", self.grants),
            field("refusals", self.refusals.total),
            field("refused_after_wait", self.refusals.waited),
            field("mean_refused_wait_ms", self.refusals.mean_wait().as_millis()),
            field("waiting", status.waiting),
            field("awaiting", status.awaiting),
            field("awaited_engines", status.awaited_engines),
            field("running", status.running),
            field("routers", status.routers),
        ];
        fields.extend(self.lateness_fields());
        fields.extend(endpoint_fields(status));
        fields.extend(self.constraints.take_fields());
        fields.push(field("longest_closed_ms", self.closures.longest_closure(now).as_millis()));
        fields.extend(prefill_fields(status));
        fields.extend(self.copy_fields(status));
        record(&events::SHARD_DECIDED, &fields);
    }

    /// Returns how late the shard was with its inputs since the last summary.
    fn lateness_fields(&self) -> [EventField; 4] {
        let IntakeStatus { late, late_submissions, waiting_submissions, refused_unread } = self.lateness;
        [
            field("late_ms", late.as_millis()),
            field("late_submissions_ms", late_submissions.as_millis()),
            field("unread", waiting_submissions),
            field("refused_unread", refused_unread - self.reported_unread),
        ]
    }

    /// Returns the copies between engines since the last summary, if they copy any.
    fn copy_fields(&mut self, status: &ShardStatus) -> Vec<EventField> {
        let Some(copies) = status.copies else { return Vec::new() };
        let before = std::mem::replace(&mut self.reported_copies, copies);
        vec![
            field("copy_grants", copies.grants.saturating_sub(before.grants)),
            field("copied_tokens", copies.tokens.saturating_sub(before.tokens)),
            field("missed_copies", copies.missed.saturating_sub(before.missed)),
            field("suspended_sources", copies.suspensions.saturating_sub(before.suspensions)),
            field("copy_slowdown", format!("{:.2}", copies.slowdown)),
        ]
    }
}

impl RefusalCounts {
    fn add(&mut self, waited: Duration) {
        self.total += 1;
        self.waited += u64::from(!waited.is_zero());
        self.total_wait += waited;
    }

    fn mean_wait(&self) -> Duration {
        self.total_wait / u32::try_from(self.waited).unwrap_or(u32::MAX).max(1)
    }
}

/// Returns how many endpoints are in each state, and how many slots others use.
fn endpoint_fields(status: &ShardStatus) -> Vec<EventField> {
    let known = || status.endpoints.iter().filter(|endpoint| endpoint.slots > 0);
    let count = |wanted: fn(&EndpointStatus) -> bool| known().filter(|e| wanted(e)).count();
    vec![
        field("endpoints_open", count(EndpointStatus::is_open)),
        field("endpoints_paused", count(|endpoint| endpoint.closure == Some(EndpointClosure::Paused))),
        field("endpoints_draining", count(|endpoint| endpoint.closure == Some(EndpointClosure::Draining))),
        field("endpoints_evacuated", count(|endpoint| endpoint.closure == Some(EndpointClosure::Evacuated))),
        field("endpoints_cold", count(|endpoint| !endpoint.cold.is_zero())),
        field("endpoints_resting", count(|endpoint| endpoint.resting_routers > 0)),
        field("endpoints_free", count(|endpoint| endpoint.free)),
        field("endpoints_reading", count(|endpoint| endpoint.prefill_limited)),
        field("endpoints_spaced", status.pause_limited),
        field("endpoints_failing", count(|endpoint| endpoint.failures > 0)),
        field("foreign", status.endpoints.iter().map(|endpoint| endpoint.foreign).sum::<u32>()),
    ]
}

/// Returns the number of learnt prefill rates, their extremes and the mean latency.
fn prefill_fields(status: &ShardStatus) -> Vec<EventField> {
    let statuses = status.endpoints.iter().filter_map(|endpoint| endpoint.prefill);
    let observed: Vec<PrefillStatus> = statuses.filter(|pace| pace.age.is_some()).collect();
    let rates = || observed.iter().map(|pace| pace.tokens_per_milli);
    let latencies: Duration = observed.iter().map(|pace| pace.latency).sum();
    let engines = u32::try_from(observed.len()).unwrap_or(u32::MAX).max(1);
    vec![
        field("paces_learnt", observed.len()),
        field("slowest_tokens_per_ms", format!("{:.1}", rates().reduce(f64::min).unwrap_or(0.0))),
        field("fastest_tokens_per_ms", format!("{:.1}", rates().reduce(f64::max).unwrap_or(0.0))),
        field("mean_latency_ms", (latencies / engines).as_millis()),
    ]
}
