//! Tickets, routers and settings of a shard without engines.

use micaspool_dispatch::{
    ColdStartLimits, EndpointSpec, EngineTraits, GenerationOutline, RequestTicket, RouterHello,
    ShardCustomer, ShardPolicy,
};
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallLimit, HallMask, HallName, Incarnation, InstanceName, RequestId,
    Revision, SoftwareVersion, VersionLimit, Weight,
};
use std::time::Duration;

pub fn customer(name: &str) -> CustomerName {
    CustomerName::parse(name).expect("a valid name")
}

pub fn ticket(number: u128, name: &str, objective: Option<Duration>) -> RequestTicket {
    RequestTicket {
        request: RequestId(number),
        customer: customer(name),
        digest: None,
        hint: Cost(10),
        priority: 5,
        attempt: 0,
        avoid: None,
        prefixes: Vec::new(),
        prefix_tokens: Vec::new(),
        prompt_tokens: Cost(0),
        objective,
        patience: objective,
        order: None,
        halls: HallLimit::Anywhere,
        versions: VersionLimit::Any,
        generation: GenerationOutline::default(),
    }
}

pub fn hello(router: u64) -> RouterHello {
    RouterHello {
        router: InstanceName::parse(&format!("r{router}")).expect("a valid name"),
        incarnation: Incarnation(1),
        waiting: Vec::new(),
        running: Vec::new(),
        levels: Vec::new(),
        crashes: Vec::new(),
        advice: Vec::new(),
        streams: Vec::new(),
        heartbeat: 1,
    }
}

pub fn policy(endpoints: usize, slots: u32, customers: &[String]) -> ShardPolicy {
    let specs = (0..endpoints).map(|number| EndpointSpec {
        name: EndpointName::parse(&format!("e{number}")).expect("a valid name"),
        hall: 0,
        slots,
        version: SoftwareVersion::default(),
        leaving: false,
        evacuated: false,
        cold: Duration::ZERO,
        memory_tokens: 0,
    });
    let named = customers.iter().map(|name| ShardCustomer {
        name: customer(name),
        weight: Weight::ONE,
        halls: HallMask(1),
        max_waiting: 10_000,
    });
    ShardPolicy {
        revision: Revision(1),
        idle_credit: Cost(0),
        planned_pace: 0.0,
        cold: ColdStartLimits::default(),
        engine: EngineTraits::default(),
        halls: vec![HallName::parse("h0").expect("a valid name")],
        endpoints: specs.collect(),
        customers: named.collect(),
    }
}
