//! Derives the policy of a shard from the settings tree.

use micaspool_dispatch::{ColdStartLimits, EndpointSpec, EngineTraits, ShardCustomer, ShardPolicy};
use micaspool_settings::policy::FleetPolicy;
use micaspool_types::{Cost, ServiceName, SoftwareVersion};
use std::time::Duration;

/// Returns the policy of a service's shard, without endpoints and customers if the settings do not contain the service.
pub fn shard_policy(fleet: &FleetPolicy, service: &ServiceName) -> ShardPolicy {
    let halls = fleet.halls.iter().map(|hall| hall.name.clone()).collect();
    let Some(index) = fleet.service_index(service.as_str()) else {
        return ShardPolicy { revision: fleet.revision, halls, ..ShardPolicy::default() };
    };
    let endpoints = fleet.services[index].endpoints.iter().map(|endpoint| EndpointSpec {
        name: endpoint.name.clone(),
        hall: endpoint.hall,
        slots: endpoint.slots,
        version: SoftwareVersion::default(),
        leaving: endpoint.leaving,
        evacuated: false,
        cold: Duration::ZERO,
        memory_tokens: 0,
    });
    let customers = fleet.customers.iter().map(|customer| {
        let policy = &customer.services[index];
        ShardCustomer {
            name: customer.name.clone(),
            weight: policy.weight,
            halls: policy.halls,
            max_waiting: policy.max_waiting,
        }
    });
    ShardPolicy {
        revision: fleet.revision,
        halls,
        endpoints: endpoints.collect(),
        customers: customers.collect(),
        idle_credit: Cost(0),
        planned_pace: 0.0,
        cold: ColdStartLimits::default(),
        engine: EngineTraits::default(),
    }
}
