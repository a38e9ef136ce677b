//! The checked form of a settings tree.
//!
//! A tree has four kinds of policy layer. For one customer and one service they apply in this
//! order, each overriding only what it names: fleet (`policy`), service (`services.S.policy`),
//! group (`groups.G.policy`), customer (`groups.G.customers.C.policy`), and the customer's own
//! layer for the service (`groups.G.customers.C.services.S`).

mod compile;
mod effective;
mod layer;

pub use compile::compile_tree;
pub(crate) use compile::parse_address;
pub use effective::{effective_values, EffectiveValue};
pub use layer::{PolicyLayer, LAYER_FIELDS};

use crate::key::KeyDigest;
use micaspool_types::{
    CustomerName, EndpointName, HallMask, HallName, RegionName, Revision, ServiceName, Weight,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A data hall and the region that it is in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallPolicy {
    /// The name of the hall.
    pub name: HallName,
    /// The region of the hall.
    pub region: RegionName,
}

/// How callers reach a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// A language model behind the chat-completions path; cost is counted in tokens.
    Model,
    /// An application behind a path prefix; cost is counted in calls.
    Plain,
}

/// One endpoint of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointPolicy {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// The index of its data hall.
    pub hall: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// True when operators have taken it out of use.
    pub leaving: bool,
}

/// A method and path prefix whose calls may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceRule {
    /// The HTTP method in capitals.
    pub method: String,
    /// The path prefix.
    pub path: String,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The name of the service; for a model also the value of `model`.
    pub name: ServiceName,
    /// How callers reach it.
    pub kind: ServiceKind,
    /// The path prefix of a plain service.
    pub path_prefix: Option<String>,
    /// Calls that may not be repeated.
    pub once: Vec<OnceRule>,
    /// The endpoints in name order.
    pub endpoints: Vec<EndpointPolicy>,
    /// The data halls that have an endpoint of this service.
    pub halls: HallMask,
}

/// What holds for one customer's requests to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPolicy {
    /// The customer's share.
    pub weight: Weight,
    /// The data halls in which its requests may run.
    pub halls: HallMask,
    /// The most requests of the customer that may wait in the shard.
    pub max_waiting: u32,
    /// The most request bytes of the customer that may wait in one router.
    pub max_waiting_bytes: u64,
    /// The largest request body in bytes.
    pub max_body_bytes: u64,
    /// How long a request may wait for an endpoint.
    pub wait_limit: Duration,
    /// How long an endpoint may be silent while it answers.
    pub silence_limit: Duration,
    /// The priority of its requests among its own; lower runs first.
    pub priority: u8,
    /// False when no request may be repeated.
    pub repeatable: bool,
}

/// One customer.
#[derive(Debug, Clone)]
pub struct CustomerPolicy {
    /// The name of the customer.
    pub name: CustomerName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// What holds for each service, by the service's index.
    pub services: Vec<RequestPolicy>,
}

/// A whole settings tree in checked form.
#[derive(Debug, Clone, Default)]
pub struct FleetPolicy {
    /// The revision that the tree has.
    pub revision: Revision,
    /// The data halls; an index into this list is the bit in a [`HallMask`].
    pub halls: Vec<HallPolicy>,
    /// The services in name order.
    pub services: Vec<ServicePolicy>,
    /// The customers in name order.
    pub customers: Vec<CustomerPolicy>,
    keys: HashMap<KeyDigest, usize>,
    names: HashMap<CustomerName, usize>,
}

impl FleetPolicy {
    /// The index of the customer that has this key.
    pub fn customer_of_key(&self, key: &str) -> Option<usize> {
        let digest = KeyDigest::of(key);
        let index = *self.keys.get(&digest)?;
        let stored = &self.customers[index].keys;
        stored.iter().any(|candidate| candidate.matches(&digest)).then_some(index)
    }

    /// The index of the customer with this name.
    pub fn customer_index(&self, name: &CustomerName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// The index of the service with this name.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()
    }

    /// The index of the plain service with the longest prefix of this path.
    pub fn service_of_path(&self, path: &str) -> Option<usize> {
        let matching = self.services.iter().enumerate().filter_map(|(index, service)| {
            let prefix = service.path_prefix.as_deref()?;
            path.starts_with(prefix).then_some((prefix.len(), index))
        });
        matching.max().map(|(_, index)| index)
    }

    /// The index of the data hall with this name.
    pub fn hall_index(&self, name: &str) -> Option<usize> {
        self.halls.iter().position(|hall| hall.name.as_str() == name)
    }

    /// The policy for a customer and a service, both given by index.
    pub fn request_policy(&self, customer: usize, service: usize) -> &RequestPolicy {
        &self.customers[customer].services[service]
    }
}

/// A policy that many tasks read.
pub type SharedPolicy = Arc<FleetPolicy>;
