//! Route plan and registered endpoints as the policy of shards.

use crate::policy_source::PolicySource;
use crate::probe::ProbedEndpoint;
use crate::subset::EngineSubset;
use async_std::channel::Receiver;
use micaspool_client::FleetMirror;
use micaspool_dispatch::{ColdStartLimits, EndpointSpec, ShardCustomer, ShardPolicy};
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::{ColdProfile, RoutePlan};
use micaspool_types::{Cost, CustomerName, HallMask, Incarnation, Revision, ServiceName, Weight};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The customer under which requests of public routes wait.
pub const PUBLIC_CUSTOMER: &str = "_public";
/// The credit that a customer keeps while it does not wait, in milliseconds of what all endpoints
/// deliver: one or two large requests. Without any, a customer that comes back stands level with a
/// flood and is refused before it is next; with a second of it, a customer that took what nobody
/// wanted is starved when all others come back.
const IDLE_CREDIT_MILLIS: u64 = 100;
/// The most waiting requests of one customer. They wait in the routers' memory with bodies of some
/// 20 KB, so 16 customers may hold 80 MB in all routers together.
const MAX_WAITING: u32 = 256;

/// The fleet as a source. Every policy that it gives has a higher revision than the one before.
#[derive(Debug)]
pub struct FleetSource {
    mirror: Arc<FleetMirror>,
    /// The engines to use; all when not set.
    subset: Option<EngineSubset>,
    next_revision: AtomicU64,
}

impl FleetSource {
    /// A source that follows a mirror.
    pub fn new(mirror: Arc<FleetMirror>, subset: Option<EngineSubset>) -> FleetSource {
        FleetSource { mirror, subset, next_revision: AtomicU64::new(1) }
    }

    /// The engines of a service that are used. A few are chosen among those outside of evacuated halls, if there are
    /// any.
    fn engines_of(&self, service: &ServiceName) -> Vec<EndpointRecord> {
        let engines = self.mirror.endpoints_of(service);
        let Some(subset) = &self.subset else { return engines };
        let orders = self.mirror.hall_orders();
        let is_available = |engine: &EndpointRecord| !orders.is_evacuated(&engine.hall);
        if engines.iter().any(is_available) {
            subset.choose(engines.into_iter().filter(is_available).collect())
        } else {
            subset.choose(engines)
        }
    }

    /// How much longer an endpoint is taken for cold.
    fn remaining_cold(&self, record: &EndpointRecord, profile: Option<ColdProfile>) -> Duration {
        let Some(profile) = profile else { return Duration::ZERO };
        record.cold.max(self.mirror.presumed_cold(&record.hall, profile.start()))
    }
}

impl PolicySource for FleetSource {
    fn policy(&self, service: &ServiceName) -> ShardPolicy {
        let revision = Revision(self.next_revision.fetch_add(1, Ordering::SeqCst));
        let plan = self.mirror.plan().plan;
        let halls = self.mirror.halls();
        let rule = plan.service(service.as_str());
        let (engine, cold) = (rule.and_then(|rule| rule.engine), rule.and_then(|rule| rule.cold));
        let orders = self.mirror.hall_orders();
        let records = match engine {
            Some(_) => self.engines_of(service),
            None => self.mirror.endpoints_of(service),
        };
        let endpoints = records.into_iter().map(|record| EndpointSpec {
            hall: halls.iter().position(|hall| *hall == record.hall).unwrap_or_default(),
            leaving: record.stage != EndpointStage::Serving,
            evacuated: orders.is_evacuated(&record.hall),
            cold: self.remaining_cold(&record, cold),
            slots: record.slots,
            memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
            name: record.name,
        });
        let endpoints = endpoints.collect();
        let planned_pace = planned_pace(plan.parts().capacity, self.mirror.endpoints_of(service).len());
        let idle_credit = Cost(plan.parts().capacity * IDLE_CREDIT_MILLIS / 1_000);
        let cold = cold.map_or(ColdStartLimits::default(), |cold| ColdStartLimits {
            start: cold.start(),
            request_time: cold.request_time(),
        });
        ShardPolicy {
            revision,
            endpoints,
            customers: customers(&plan),
            halls,
            idle_credit,
            planned_pace,
            cold,
        }
    }

    fn subscribe(&self) -> Receiver<()> {
        self.mirror.subscribe()
    }

    /// Engines only: others have no load that would decide anything. Nothing is asked in a hall that is evacuated.
    fn probed(&self, service: &ServiceName) -> Vec<ProbedEndpoint> {
        let plan = self.mirror.plan().plan;
        let is_engine = plan.service(service.as_str()).is_some_and(|rule| rule.engine.is_some());
        let mut records = if is_engine { self.engines_of(service) } else { Vec::new() };
        let orders = self.mirror.hall_orders();
        records.retain(|record| !orders.is_evacuated(&record.hall));
        let probed = |record: EndpointRecord| ProbedEndpoint {
            name: record.name,
            service: record.service,
            address: record.address,
            start: (record.incarnation != Incarnation(0)).then_some(record.incarnation),
        };
        records.into_iter().map(probed).collect()
    }
}

/// An engine's part of what all engines together deliver, in tokens a millisecond.
fn planned_pace(capacity: u64, engines: usize) -> f64 {
    capacity as f64 / engines.max(1) as f64 / 1_000.0
}

/// Every customer of the plan and the one of public routes, with equal weights in every hall.
fn customers(plan: &RoutePlan) -> Vec<ShardCustomer> {
    let public = CustomerName::parse(PUBLIC_CUSTOMER).expect("a constant of valid characters");
    let named = plan.parts().customers.iter().map(|customer| customer.name.clone());
    let all = named.chain([public]).map(|name| ShardCustomer {
        name,
        weight: Weight::ONE,
        halls: HallMask(u32::MAX),
        max_waiting: MAX_WAITING,
    });
    all.collect()
}
