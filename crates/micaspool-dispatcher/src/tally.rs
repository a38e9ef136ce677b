//! What a shard decided lately, as one log line now and then.

use micaspool_dispatch::{EndpointStatus, PaceStatus, ShardAction, ShardStatus};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::ServiceName;
use std::time::{Duration, Instant};

/// How often a shard that is used says what it decided.
const INTERVAL: Duration = Duration::from_secs(2);

/// Grants and refusals since the last line.
#[derive(Debug)]
pub(crate) struct ShardTally {
    service: ServiceName,
    grants: u64,
    refusals: u64,
    due: Instant,
}

impl ShardTally {
    pub fn new(service: ServiceName) -> ShardTally {
        ShardTally { service, grants: 0, refusals: 0, due: Instant::now() + INTERVAL }
    }

    /// Counts a decision.
    pub fn count(&mut self, action: &ShardAction) {
        match action {
            ShardAction::Grant { .. } => self.grants += 1,
            ShardAction::Refuse { .. } => self.refusals += 1,
            _ => {}
        }
    }

    /// Writes the line when it is due and anything was decided.
    pub fn tell(&mut self, status: &ShardStatus) {
        if Instant::now() < self.due {
            return;
        }
        self.due = Instant::now() + INTERVAL;
        if self.grants + self.refusals > 0 {
            self.write(status);
        }
        self.grants = 0;
        self.refusals = 0;
    }

    fn write(&self, status: &ShardStatus) {
        let count =
            |wanted: fn(&EndpointStatus) -> bool| status.endpoints.iter().filter(|e| wanted(e)).count();
        let paces = status.endpoints.iter().filter_map(|endpoint| endpoint.pace);
        let observed: Vec<PaceStatus> = paces.filter(|pace| pace.age.is_some()).collect();
        let speeds = || observed.iter().map(|pace| pace.tokens_per_milli);
        let latencies: Duration = observed.iter().map(|pace| pace.latency).sum();
        let engines = u32::try_from(observed.len()).unwrap_or(u32::MAX).max(1);
        let fields = [
            field("service", &self.service),
            field("revision", status.revision.0),
            field("grants", self.grants),
            field("refusals", self.refusals),
            field("waiting", status.waiting),
            field("running", status.running),
            field("routers", status.routers),
            field("endpoints_open", count(|endpoint| endpoint.open && endpoint.slots > 0)),
            field("endpoints_free", count(|endpoint| endpoint.free)),
            field("endpoints_reading", count(|endpoint| endpoint.reading)),
            field("endpoints_failing", count(|endpoint| endpoint.failures > 0)),
            field("foreign", status.endpoints.iter().map(|endpoint| endpoint.foreign).sum::<u32>()),
            field("paces_learnt", observed.len()),
            field("slowest_tokens_per_ms", format!("{:.1}", speeds().reduce(f64::min).unwrap_or(0.0))),
            field("fastest_tokens_per_ms", format!("{:.1}", speeds().reduce(f64::max).unwrap_or(0.0))),
            field("mean_latency_ms", (latencies / engines).as_millis()),
        ];
        record(&events::SHARD_DECIDED, &fields);
    }
}
