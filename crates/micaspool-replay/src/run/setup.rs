//! The initial state of a replay: scheduled inputs, the dispatcher, its policy and the names that it uses.

use super::queue::ReplayEvent;
use super::{ReplayRun, HEARTBEAT_INTERVAL, PROBE_INTERVAL, TICK_INTERVAL};
use micaspool_dispatch::{
    ColdStartLimits, EndpointSpec, EngineTraits, SessionId, ShardCore, ShardCustomer, ShardEvent,
    ShardOptions, ShardPolicy,
};
use micaspool_fair::policy_named;
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallMask, HallName, Moment, Revision, SoftwareVersion, Weight,
};
use std::time::Duration;

impl ReplayRun<'_> {
    /// Starts the dispatcher and schedules the arrivals, the faults and the first periodic events.
    pub(super) fn schedule_inputs(&mut self) {
        self.start_dispatcher(true);
        for (index, request) in self.trace.requests.iter().enumerate() {
            self.schedule_at(Moment::from_millis(request.at_millis + 1_000), ReplayEvent::Arrive(index));
        }
        for fault in self.options.faults.clone() {
            self.schedule_at(Moment::from_millis(fault.at_millis + 1_000), ReplayEvent::Fault(fault.kind));
        }
        self.schedule_after(TICK_INTERVAL, ReplayEvent::Tick);
        self.schedule_after(PROBE_INTERVAL, ReplayEvent::Probe);
        self.schedule_after(HEARTBEAT_INTERVAL, ReplayEvent::SendHeartbeats);
    }

    /// Starts a dispatcher and lets every router join it.
    pub(super) fn start_dispatcher(&mut self, restore_state: bool) {
        let policy = policy_named(&self.options.policy).expect("the caller checked the name of the policy");
        let options = ShardOptions::builder()
            .policy(policy)
            .use_held_state(restore_state)
            .use_prefixes(self.options.use_prefixes)
            .expected_routers(self.routers.names())
            .cost_ceiling(Cost(self.trace.largest_cost()))
            .build();
        self.core = Some(ShardCore::new(self.now, options));
        self.step(ShardEvent::Policy(self.policy()));
        for router in 0..self.trace.header.routers {
            let (session, hello) = self.routers.join(router);
            let bytes = self.wire.count_hello(&hello);
            self.measures.record_hello(bytes);
            self.schedule_after(self.wire_delay(), ReplayEvent::ToShard(ShardEvent::Joined(session, hello)));
        }
    }

    fn policy(&self) -> ShardPolicy {
        let header = &self.trace.header;
        let hall =
            |number: usize| HallName::parse(&format!("hall-{number}")).expect("the name is well-formed");
        let customers = header.customers.iter().map(|customer| ShardCustomer {
            name: CustomerName::parse(&customer.name).expect("the trace has well-formed names"),
            weight: Weight::new(customer.weight).unwrap_or(Weight::ONE),
            halls: HallMask(customer.halls),
            max_waiting: self.options.max_waiting,
        });
        let endpoints = (0..header.endpoints).map(|number| EndpointSpec {
            name: endpoint_name(number),
            hall: number % header.halls,
            slots: header.slots,
            version: SoftwareVersion::default(),
            leaving: false,
            evacuated: false,
            cold: Duration::ZERO,
            memory_tokens: 0,
        });
        ShardPolicy {
            revision: Revision(1),
            idle_credit: Cost(0),
            planned_pace: 0.0,
            cold: ColdStartLimits::default(),
            engine: EngineTraits::default(),
            halls: (0..header.halls).map(hall).collect(),
            endpoints: endpoints.collect(),
            customers: customers.collect(),
        }
    }
}

/// The name of the endpoint with this index.
pub(super) fn endpoint_name(number: usize) -> EndpointName {
    EndpointName::parse(&format!("endpoint-{number}")).expect("the name is well-formed")
}

/// The index of the endpoint with this name.
pub(super) fn endpoint_number(name: &EndpointName) -> usize {
    let digits = name.as_str().trim_start_matches("endpoint-");
    digits.parse().expect("the replay named the endpoint")
}

/// The session id of a router after `joins` joins; unique among the sessions of all `routers` routers.
pub(super) fn session_number(router: usize, joins: u64, routers: usize) -> SessionId {
    SessionId(joins * routers as u64 + router as u64)
}
