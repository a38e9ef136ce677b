//! The status page of a keeper: metrics and state.

use crate::engine::KeeperView;
use micaspool_halls::HallOrders;
use micaspool_http::status::StatusSource;
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::traffic::{TrafficCounter, TrafficMetrics};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::json;
use std::sync::{Arc, Mutex};

/// Counters of control traffic in bytes, by kind of peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeeperCounters {
    pub peers: TrafficCounter,
    pub clients: TrafficCounter,
}

/// Renders the view of a keeper as metrics and as JSON.
pub(crate) struct KeeperStatusSource {
    view: Arc<Mutex<KeeperView>>,
    registry: Registry,
    traffic: TrafficMetrics,
    gauges: KeeperGauges,
}

#[derive(Default)]
struct KeeperGauges {
    revision: Gauge,
    leads: Gauge,
    confirmed: Gauge,
    keys: Gauge,
    answer_bytes: Gauge,
    syncs: Gauge,
    evacuated: Gauge,
}

impl KeeperStatusSource {
    pub fn new(view: Arc<Mutex<KeeperView>>, counters: &KeeperCounters) -> KeeperStatusSource {
        let mut registry = Registry::default();
        let traffic = TrafficMetrics::default().with("keeper", "keeper", counters.peers.clone()).with(
            "keeper",
            "client",
            counters.clients.clone(),
        );
        traffic.register(&mut registry);
        let gauges = KeeperGauges::default();
        registry.register("micaspool_settings_revision", "Revision of the settings", gauges.revision.clone());
        registry.register("micaspool_keeper_leads", "1 while this keeper leads", gauges.leads.clone());
        registry.register(
            "micaspool_keeper_confirmed",
            "1 while a majority is heard",
            gauges.confirmed.clone(),
        );
        registry.register("micaspool_ledger_keys", "Remembered idempotency keys", gauges.keys.clone());
        registry.register(
            "micaspool_ledger_answer_bytes",
            "Bytes of kept answers",
            gauges.answer_bytes.clone(),
        );
        let help = "Data halls that are evacuated by an operator's order";
        registry.register("micaspool_keeper_evacuated_halls", help, gauges.evacuated.clone());
        registry.register("micaspool_keeper_syncs", "Syncs of the log so far", gauges.syncs.clone());
        KeeperStatusSource { view, registry, traffic, gauges }
    }

    fn refresh(&self) {
        let view = self.view.lock().expect("no holder of the view panics");
        let leads = view.status.role == micaspool_quorum::QuorumRole::Leader;
        self.gauges.revision.set(view.settings.revision().0 as i64);
        self.gauges.leads.set(i64::from(leads));
        self.gauges.confirmed.set(i64::from(view.status.confirmed));
        self.gauges.keys.set(view.ledger_keys as i64);
        self.gauges.answer_bytes.set(view.ledger_answer_bytes as i64);
        self.gauges.syncs.set(view.syncs as i64);
        self.gauges.evacuated.set(view.halls.evacuated_count() as i64);
        self.traffic.refresh();
    }
}

impl StatusSource for KeeperStatusSource {
    fn is_ready(&self) -> bool {
        self.view.lock().expect("no holder of the view panics").status.confirmed
    }

    fn metrics(&self) -> String {
        self.refresh();
        encode_text(&self.registry)
    }

    fn state(&self) -> String {
        state_json(&self.view.lock().expect("no holder of the view panics"))
    }
}

/// Returns the latest order for each data hall that has one.
fn halls_json(orders: &HallOrders) -> Vec<serde_json::Value> {
    let halls = orders.iter().map(|(hall, order)| {
        json!({
            "name": hall.as_str(),
            "use": order.wanted.as_str(),
            "order": order.number,
            "ordered_by": &*order.ordered_by,
            "at_ms": order.at_millis,
        })
    });
    halls.collect()
}

/// Returns the state of a keeper as JSON.
pub(crate) fn state_json(view: &KeeperView) -> String {
    let status = &view.status;
    let members = status
        .membership
        .members
        .iter()
        .map(|member| json!({ "name": member.identity.name.as_str(), "voter": member.voter }));
    json!({
        "process": "keeper",
        "role": format!("{:?}", status.role).to_lowercase(),
        "leader": status.leader.as_ref().map(|leader| leader.as_str()),
        "term": status.term.0,
        "commit": status.commit.0,
        "last": status.last.0,
        "revision": view.settings.revision().0,
        "plan": view.plan.number,
        "halls": halls_json(&view.halls),
        "confirmed": status.confirmed,
        "members": members.collect::<Vec<_>>(),
        "ledger_keys": view.ledger_keys,
        "ledger_answer_bytes": view.ledger_answer_bytes,
        "syncs": view.syncs,
        "stopped": view.stopped,
    })
    .to_string()
}
