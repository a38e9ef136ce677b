//! What a shard decided lately: one log line now and then, and a bounded number of lines for refusals.

use crate::binding::BindingTally;
use crate::closures::ClosureLog;
use crate::customer_log::CustomerLog;
use crate::objectives::ObjectiveTally;
use crate::standings::StandingLog;
use micaspool_clock::BootInstant;
use micaspool_dispatch::{EndpointClosure, EndpointStatus, PrefillStatus, ShardAction, ShardStatus};
use micaspool_telemetry::events::{self, field, record, EventField};
use micaspool_types::ServiceName;
use micaspool_wire::convert::reason_text;
use std::time::Duration;

/// How often a shard that is used says what it decided.
const INTERVAL: Duration = Duration::from_secs(2);
/// The most refusals that get a line of their own in an interval; the others are only counted. A flood has
/// 700 a second, and a line takes some 5 us.
const MOST_REFUSAL_LINES: u64 = 40;

/// Grants and refusals since the last line.
#[derive(Debug)]
pub(crate) struct ShardTally {
    service: ServiceName,
    grants: u64,
    refusals: RefusalCounts,
    /// The refusals at the last look.
    refusals_seen: u64,
    binding: BindingTally,
    objectives: ObjectiveTally,
    closures: ClosureLog,
    customers: CustomerLog,
    standings: StandingLog,
    due: BootInstant,
}

/// Refusals since the last line.
#[derive(Debug, Default)]
struct RefusalCounts {
    all: u64,
    /// Those that had waited.
    waited: u64,
    /// How long they had waited together.
    wait: Duration,
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
            refusals: RefusalCounts::default(),
            refusals_seen: 0,
            binding: BindingTally::default(),
            due: BootInstant::now() + INTERVAL,
        }
    }

    /// Counts a decision.
    pub fn count(&mut self, action: &ShardAction) {
        match action {
            ShardAction::Grant { objective, .. } => {
                self.grants += 1;
                self.objectives.granted(*objective);
            }
            ShardAction::Refuse { waited, objective, .. } => {
                self.refusals.add(*waited);
                self.objectives.refused(*objective, *waited);
                if self.refusals.all <= MOST_REFUSAL_LINES {
                    self.tell_refusal(action);
                }
            }
            ShardAction::ReportStanding { record, before, after, cause } => {
                self.standings.tell(record, *before, *after, *cause)
            }
            _ => {}
        }
    }

    /// Writes what is due.
    pub fn tell(&mut self, status: &ShardStatus) {
        let now = BootInstant::now();
        self.closures.follow(now, &status.endpoints);
        if status.waiting > 0 || self.refusals.all > self.refusals_seen {
            self.binding.sample(status);
        }
        self.refusals_seen = self.refusals.all;
        if now < self.due {
            return;
        }
        self.due = now + INTERVAL;
        if self.grants + self.refusals.all > 0 {
            self.write(now, status);
        }
        self.objectives.tell();
        self.customers.tell(&status.customers);
        self.standings.renew();
        self.grants = 0;
        self.refusals = RefusalCounts::default();
        self.refusals_seen = 0;
    }

    fn tell_refusal(&self, action: &ShardAction) {
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

    fn write(&mut self, now: BootInstant, status: &ShardStatus) {
        let mut fields = vec![
            field("service", &self.service),
            field("revision", status.revision.0),
            field("grants", self.grants),
            field("refusals", self.refusals.all),
            field("refused_after_wait", self.refusals.waited),
            field("mean_refused_wait_ms", self.refusals.mean_wait().as_millis()),
            field("waiting", status.waiting),
            field("awaiting", status.awaiting),
            field("awaited_engines", status.awaited_engines),
            field("running", status.running),
            field("routers", status.routers),
        ];
        fields.extend(endpoint_fields(status));
        fields.extend(self.binding.take_fields());
        fields.push(field("longest_closed_ms", self.closures.longest(now).as_millis()));
        fields.extend(pace_fields(status));
        record(&events::SHARD_DECIDED, &fields);
    }
}

impl RefusalCounts {
    fn add(&mut self, waited: Duration) {
        self.all += 1;
        self.waited += u64::from(!waited.is_zero());
        self.wait += waited;
    }

    fn mean_wait(&self) -> Duration {
        self.wait / u32::try_from(self.waited).unwrap_or(u32::MAX).max(1)
    }
}

/// How many endpoints are in which state.
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
        field("endpoints_failing", count(|endpoint| endpoint.failures > 0)),
        field("foreign", status.endpoints.iter().map(|endpoint| endpoint.foreign).sum::<u32>()),
    ]
}

/// What is known of the paces of engines.
fn pace_fields(status: &ShardStatus) -> Vec<EventField> {
    let paces = status.endpoints.iter().filter_map(|endpoint| endpoint.prefill);
    let observed: Vec<PrefillStatus> = paces.filter(|pace| pace.age.is_some()).collect();
    let speeds = || observed.iter().map(|pace| pace.tokens_per_milli);
    let latencies: Duration = observed.iter().map(|pace| pace.latency).sum();
    let engines = u32::try_from(observed.len()).unwrap_or(u32::MAX).max(1);
    vec![
        field("paces_learnt", observed.len()),
        field("slowest_tokens_per_ms", format!("{:.1}", speeds().reduce(f64::min).unwrap_or(0.0))),
        field("fastest_tokens_per_ms", format!("{:.1}", speeds().reduce(f64::max).unwrap_or(0.0))),
        field("mean_latency_ms", (latencies / engines).as_millis()),
    ]
}
