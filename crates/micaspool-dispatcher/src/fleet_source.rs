//! Derives the policies of shards from the route plan and the registered endpoints.

use crate::policy_source::PolicySource;
use crate::probe::ProbedEndpoint;
use crate::probe_selection::ProbeSelection;
use crate::subset::EngineSubset;
use async_std::channel::Receiver;
use micaspool_client::FleetMirror;
use micaspool_dispatch::{ColdStartLimits, EndpointSpec, EngineTraits, ShardCustomer, ShardPolicy};
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::{ColdProfile, EngineProfile, RoutePlan};
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallMask, Incarnation, Revision, ServiceName, SoftwareVersion, Weight,
};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The customer to which requests of public routes are charged.
pub const PUBLIC_CUSTOMER: &str = "_public";
/// The credit that a customer keeps while it has no waiting requests, in milliseconds of the capacity of all
/// endpoints: one or two large requests. Without a credit, a returning customer starts at the level of a flooding one
/// and is refused before its turn. With a credit of one second, a customer that used capacity nobody else wanted is
/// starved when all others return.
const IDLE_CREDIT_MILLIS: u64 = 100;
/// The maximum number of waiting requests of one customer. They wait in the routers' memory with bodies of about
/// 20 KB, so 16 customers may occupy 80 MB in all routers together.
const MAX_WAITING: u32 = 256;

/// A policy source that reads the fleet mirror. Each policy has a higher revision than the one before.
#[derive(Debug)]
pub struct FleetSource {
    mirror: Arc<FleetMirror>,
    /// Selects the engines to use; all are used if it is not set.
    subset: Option<EngineSubset>,
    next_revision: AtomicU64,
}

impl FleetSource {
    /// Creates a source that reads this mirror.
    pub fn new(mirror: Arc<FleetMirror>, subset: Option<EngineSubset>) -> FleetSource {
        FleetSource { mirror, subset, next_revision: AtomicU64::new(1) }
    }

    /// Returns the engines of a service to use. A subset is chosen from the engines outside evacuated halls, or from
    /// all engines if there are none outside.
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

    /// Returns the record of an endpoint of a service, unless the endpoint left.
    fn present_of(&self, service: &ServiceName, name: &EndpointName) -> Option<EndpointRecord> {
        let is_present =
            |record: &EndpointRecord| record.service == *service && record.stage != EndpointStage::Left;
        self.mirror.endpoint(name).filter(is_present)
    }

    /// Returns how much longer an endpoint is treated as cold.
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
            version: record.version,
            name: record.name,
        });
        let endpoints = endpoints.collect();
        let planned_pace = planned_pace(plan.parts().capacity, self.mirror.endpoint_count(service));
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
            engine: engine.map_or(EngineTraits::default(), engine_traits),
        }
    }

    fn subscribe(&self) -> Receiver<()> {
        self.mirror.subscribe()
    }

    /// Returns only engines, since the load of other endpoints affects no decision, and none in evacuated halls.
    fn probed_endpoints(&self, service: &ServiceName, selection: &ProbeSelection) -> Vec<ProbedEndpoint> {
        let plan = self.mirror.plan().plan;
        let is_engine = plan.service(service.as_str()).is_some_and(|rule| rule.engine.is_some());
        let mut records = match selection {
            _ if !is_engine => Vec::new(),
            ProbeSelection::All => self.engines_of(service),
            ProbeSelection::Only(names) => {
                names.iter().filter_map(|name| self.present_of(service, name)).collect()
            }
        };
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

    /// A dispatcher inside a router decides while the router is cut off, so that it knows of no version that came since.
    fn sole_version(&self, service: &ServiceName, span: Duration) -> Option<SoftwareVersion> {
        match self.subset {
            Some(_) => None,
            None => self.mirror.sole_version(service, span),
        }
    }
}

/// Converts the profile of a service's engines.
fn engine_traits(profile: EngineProfile) -> EngineTraits {
    const BYTES_PER_MEGABIT: u64 = 125_000;
    EngineTraits {
        event_tokens: profile.event_tokens,
        token_bytes: profile.token_bytes,
        link_bytes_per_second: profile.link_mbps.saturating_mul(BYTES_PER_MEGABIT),
    }
}

/// Returns one engine's share of the planned capacity of all engines, in tokens per millisecond. `capacity` is in tokens
/// per second.
fn planned_pace(capacity: u64, engines: usize) -> f64 {
    capacity as f64 / engines.max(1) as f64 / 1_000.0
}

/// Returns every customer of the plan and [`PUBLIC_CUSTOMER`], with equal weights and all halls allowed.
fn customers(plan: &RoutePlan) -> Vec<ShardCustomer> {
    let public = CustomerName::parse(PUBLIC_CUSTOMER).expect("the constant is a valid name");
    let named = plan.parts().customers.iter().map(|customer| customer.name.clone());
    let all = named.chain([public]).map(|name| ShardCustomer {
        name,
        weight: Weight::ONE,
        halls: HallMask(u32::MAX),
        max_waiting: MAX_WAITING,
    });
    all.collect()
}
