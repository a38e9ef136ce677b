//! The validated form of a settings tree.
//!
//! A tree has five kinds of policy layer. For one customer and one service they apply in this
//! order, each overriding only the values that it sets: fleet (`policy`), service (`services.S.policy`),
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

/// A data hall and its region.
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
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// True if an operator has taken it out of use.
    pub leaving: bool,
}

/// A method and path prefix whose calls must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceRule {
    /// The HTTP method in upper case.
    pub method: String,
    /// The path prefix.
    pub path: String,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The name of the service; for a model also the value of the `model` field in requests.
    pub name: ServiceName,
    /// How callers reach the service.
    pub kind: ServiceKind,
    /// The path prefix of a plain service.
    pub path_prefix: Option<String>,
    /// The calls that must run at most once.
    pub once: Vec<OnceRule>,
    /// The endpoints in name order.
    pub endpoints: Vec<EndpointPolicy>,
    /// The data halls that contain an endpoint of this service.
    pub halls: HallMask,
}

/// The policy for the requests of one customer to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPolicy {
    /// The weight of the customer's share.
    pub weight: Weight,
    /// The data halls in which the requests may run.
    pub halls: HallMask,
    /// The maximum number of the customer's requests that may wait in the shard.
    pub max_waiting: u32,
    /// The maximum number of request bytes of the customer that may wait in one router.
    pub max_waiting_bytes: u64,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// The maximum time that a request may wait for an endpoint.
    pub wait_limit: Duration,
    /// The maximum time that an endpoint may send nothing during a response.
    pub silence_limit: Duration,
    /// The priority among the requests of the customer; lower runs first.
    pub priority: u8,
    /// False if no request may be repeated.
    pub repeatable: bool,
}

/// One customer.
#[derive(Debug, Clone)]
pub struct CustomerPolicy {
    /// The name of the customer.
    pub name: CustomerName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// The policy for each service, by the index of the service.
    pub services: Vec<RequestPolicy>,
}

/// A whole settings tree in validated form.
#[derive(Debug, Clone, Default)]
pub struct FleetPolicy {
    /// The revision of the tree.
    pub revision: Revision,
    /// The data halls; an index into this list is the number of the bit in a [`HallMask`].
    pub halls: Vec<HallPolicy>,
    /// The services in name order.
    pub services: Vec<ServicePolicy>,
    /// The customers in name order.
    pub customers: Vec<CustomerPolicy>,
    /// The indices of the customers by key.
    keys: HashMap<KeyDigest, usize>,
    /// The indices of the customers by name.
    names: HashMap<CustomerName, usize>,
}

impl FleetPolicy {
    /// Returns the index of the customer that holds this key.
    pub fn customer_of_key(&self, key: &str) -> Option<usize> {
        let digest = KeyDigest::of(key);
        let index = *self.keys.get(&digest)?;
        let stored = &self.customers[index].keys;
        stored.iter().any(|candidate| candidate.matches(&digest)).then_some(index)
    }

    /// Returns the index of the customer with this name.
    pub fn customer_index(&self, name: &CustomerName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the index of the service with this name.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()
    }

    /// Returns the index of the service with the longest prefix that matches this path.
    pub fn service_of_path(&self, path: &str) -> Option<usize> {
        let matching = self.services.iter().enumerate().filter_map(|(index, service)| {
            let prefix = service.path_prefix.as_deref()?;
            path.starts_with(prefix).then_some((prefix.len(), index))
        });
        matching.max().map(|(_, index)| index)
    }

    /// Returns the index of the data hall with this name.
    pub fn hall_index(&self, name: &str) -> Option<usize> {
        self.halls.iter().position(|hall| hall.name.as_str() == name)
    }

    /// Returns the policy for a customer and a service, both given by index.
    pub fn request_policy(&self, customer: usize, service: usize) -> &RequestPolicy {
        &self.customers[customer].services[service]
    }
}

/// A policy shared by many tasks.
pub type SharedPolicy = Arc<FleetPolicy>;
