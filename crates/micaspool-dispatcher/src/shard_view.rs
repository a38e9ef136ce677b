//! Metrics and JSON status of the shards of a dispatcher.

use crate::host::ShardHost;
use micaspool_dispatch::{
    CacheCopyStatus, EndpointClosure, PrefillStatus, RequestStanding, ShardStatus, SuspectStatus,
};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::json;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShardLabels {
    service: String,
}

/// Gauges of every shard, labelled by service.
#[derive(Default)]
pub(crate) struct ShardGauges {
    waiting: Family<ShardLabels, Gauge>,
    running: Family<ShardLabels, Gauge>,
    open_slots: Family<ShardLabels, Gauge>,
    gap: Family<ShardLabels, Gauge>,
    slowest_prefill_rate: Family<ShardLabels, Gauge>,
    suspected: Family<ShardLabels, Gauge>,
    quarantined: Family<ShardLabels, Gauge>,
    copy_grants: Family<ShardLabels, Gauge>,
    copied_tokens: Family<ShardLabels, Gauge>,
    missed_copies: Family<ShardLabels, Gauge>,
    late: Family<ShardLabels, Gauge>,
    late_submissions: Family<ShardLabels, Gauge>,
    refused_unread: Family<ShardLabels, Gauge>,
    /// The revision of the settings or the number of the plan in force.
    pub revision: Gauge,
}

impl ShardGauges {
    /// Creates the gauges and registers them.
    pub fn register(registry: &mut Registry) -> ShardGauges {
        let gauges = ShardGauges::default();
        registry.register("micaspool_waiting_requests", "Waiting requests", gauges.waiting.clone());
        registry.register("micaspool_running_requests", "Running requests", gauges.running.clone());
        registry.register("micaspool_open_slots", "Slots that may take work", gauges.open_slots.clone());
        let gap_help = "Difference of service levels of waiting customers, in cost at weight 1";
        registry.register("micaspool_fairness_gap", gap_help, gauges.gap.clone());
        let prefill_rate_help = "Slowest learnt reading pace of an engine, in tokens a second";
        registry.register(
            "micaspool_slowest_engine_pace",
            prefill_rate_help,
            gauges.slowest_prefill_rate.clone(),
        );
        let suspected_help =
            "Requests that run apart since several endpoints ended under them, or are shut out";
        registry.register("micaspool_suspected_requests", suspected_help, gauges.suspected.clone());
        let quarantined_help = "Requests that are shut out since endpoints ended under them";
        registry.register("micaspool_quarantined_requests", quarantined_help, gauges.quarantined.clone());
        let copy_grants_help = "Grants that named an engine to copy cached prompt parts from";
        registry.register("micaspool_cache_copy_grants", copy_grants_help, gauges.copy_grants.clone());
        let copied_help = "Tokens that engines were to copy instead of prefilling them";
        registry.register("micaspool_cache_copy_tokens", copied_help, gauges.copied_tokens.clone());
        let missed_help = "First events as late as if nothing had been copied";
        registry.register("micaspool_cache_copies_missed", missed_help, gauges.missed_copies.clone());
        let late_help = "How late a shard handled what frees endpoints, in milliseconds";
        registry.register("micaspool_shard_late_ms", late_help, gauges.late.clone());
        let submissions_help = "How late a shard handled submissions, in milliseconds";
        let late_submissions = gauges.late_submissions.clone();
        registry.register("micaspool_shard_late_submissions_ms", submissions_help, late_submissions);
        let unread_help = "Submissions that a shard refused without a decision, as it was late";
        registry.register("micaspool_shard_refused_unread", unread_help, gauges.refused_unread.clone());
        registry.register("micaspool_settings_revision", "Revision in force", gauges.revision.clone());
        gauges
    }

    /// Sets the gauges from the latest status of every shard.
    pub fn refresh(&self, host: &ShardHost) {
        for (service, status) in host.statuses() {
            let labels = ShardLabels { service: service.to_string() };
            let open: u32 = status.endpoints.iter().filter(|e| e.is_open()).map(|e| e.slots).sum();
            self.waiting.get_or_create(&labels).set(status.waiting as i64);
            self.running.get_or_create(&labels).set(status.running as i64);
            self.open_slots.get_or_create(&labels).set(i64::from(open));
            self.suspected.get_or_create(&labels).set(status.suspects.len() as i64);
            self.quarantined.get_or_create(&labels).set(quarantined(&status) as i64);
            if let Some(copies) = status.copies {
                self.copy_grants.get_or_create(&labels).set(copies.grants as i64);
                self.copied_tokens.get_or_create(&labels).set(copies.tokens as i64);
                self.missed_copies.get_or_create(&labels).set(copies.missed as i64);
            }
            let intake = status.intake;
            self.late.get_or_create(&labels).set(intake.late.as_millis() as i64);
            self.late_submissions.get_or_create(&labels).set(intake.late_submissions.as_millis() as i64);
            self.refused_unread.get_or_create(&labels).set(intake.refused_unread as i64);
            self.gap.get_or_create(&labels).set(level_gap(&status) as i64);
            self.slowest_prefill_rate
                .get_or_create(&labels)
                .set((slowest_prefill_rate(&status) * 1_000.0) as i64);
        }
    }
}

/// Encodes the learnt prefill rate of an engine as JSON; the age is null while the rate is assumed.
fn prefill_json(prefill: PrefillStatus) -> serde_json::Value {
    json!({
        "tokens_per_ms": prefill.tokens_per_milli,
        "latency_ms": prefill.latency.as_secs_f64() * 1_000.0,
        "age_ms": prefill.age.map(|age| age.as_millis() as u64),
        "spread": prefill.spread,
        "step_ms": prefill.step.map(|step| step.as_secs_f64() * 1_000.0),
    })
}

/// Encodes the copies between engines as JSON.
fn copies_json(copies: CacheCopyStatus) -> serde_json::Value {
    json!({
        "grants": copies.grants,
        "tokens": copies.tokens,
        "missed": copies.missed,
        "suspensions": copies.suspensions,
        "slowdown": copies.slowdown,
    })
}

/// Encodes a suspected or quarantined request as JSON.
fn suspect_json(suspect: &SuspectStatus) -> serde_json::Value {
    let crashes =
        suspect.record.crashes.iter().map(
            |crash| json!({ "endpoint": crash.endpoint.as_str(), "ms_ago": crash.age.as_millis() as u64 }),
        );
    json!({
        "digest": suspect.record.digest.to_string(),
        "customer": suspect.record.customer.as_str(),
        "standing": suspect.standing.as_str(),
        "remaining_s": suspect.remaining.as_secs(),
        "crashes": crashes.collect::<Vec<_>>(),
    })
}

/// Returns the number of quarantined requests of a shard.
fn quarantined(status: &ShardStatus) -> usize {
    let is_quarantined =
        |suspect: &&SuspectStatus| matches!(suspect.standing, RequestStanding::Quarantined { .. });
    status.suspects.iter().filter(is_quarantined).count()
}

/// Returns the lowest learnt prefill rate of a shard's engines in tokens per millisecond, or zero if none is learnt.
fn slowest_prefill_rate(status: &ShardStatus) -> f64 {
    let learnt = status.endpoints.iter().filter_map(|endpoint| endpoint.prefill);
    let learnt = learnt.filter(|pace| pace.age.is_some()).map(|pace| pace.tokens_per_milli);
    learnt.reduce(f64::min).unwrap_or(0.0)
}

/// Returns the difference between the highest and lowest level of waiting customers, in cost at weight 1.
fn level_gap(status: &ShardStatus) -> u64 {
    let levels = || status.customers.iter().filter(|customer| customer.waiting > 0).map(|c| c.level.0);
    let spread = levels().max().unwrap_or(0) - levels().min().unwrap_or(0);
    spread / micaspool_fair::LEVEL_SCALE
}

/// Encodes the status of every shard as JSON.
pub(crate) fn shards_json(host: &ShardHost) -> serde_json::Value {
    let shards = host.statuses().into_iter().map(|(service, status)| {
        let customers = status.customers.iter().map(|customer| {
            json!({
                "name": customer.name.as_str(),
                "waiting": customer.waiting,
                "running": customer.running,
                "level": customer.level.0 / micaspool_fair::LEVEL_SCALE,
            })
        });
        let endpoints = status.endpoints.iter().map(|endpoint| {
            json!({
                "name": endpoint.name.as_str(),
                "busy": endpoint.busy,
                "foreign": endpoint.foreign,
                "slots": endpoint.slots,
                "open": endpoint.is_open(),
                "closed_by": endpoint.closure.map(EndpointClosure::as_str),
                "failures": endpoint.failures,
                "cold_ms": endpoint.cold.as_millis() as u64,
                "rests_for_routers": endpoint.resting_routers,
                "pace": endpoint.prefill.map(prefill_json),
            })
        });
        json!({
            "service": service.as_str(),
            "revision": status.revision.0,
            "recovering": status.recovering,
            "routers": status.routers,
            "waiting": status.waiting,
            "running": status.running,
            "late_ms": status.intake.late.as_millis() as u64,
            "late_submissions_ms": status.intake.late_submissions.as_millis() as u64,
            "unread": status.intake.waiting_submissions,
            "refused_unread": status.intake.refused_unread,
            "rounds": status.passes,
            "cache_copies": status.copies.map(copies_json),
            "gap": level_gap(&status),
            "customers": customers.collect::<Vec<_>>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
            "quarantine": status.suspects.iter().map(suspect_json).collect::<Vec<_>>(),
        })
    });
    shards.collect()
}
