//! The route plan and its lookup tables.

use crate::check::{check_parts, Error};
use crate::split::ServiceShare;
use micaspool_types::{CustomerName, RegionLimit, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether and how a request of a route may be sent again.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RunRule {
    /// The request may be sent again after any failure.
    Repeatable,
    /// The request runs at most once; it may be sent again only if it provably has not run.
    Once,
    /// The response is a stream of events; the request runs at most once.
    Stream,
    /// The response is a stream of events that another endpoint may continue after the last event received.
    ResumableStream,
}

impl RunRule {
    /// Returns true if a request may be sent again although it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RunRule::Repeatable | RunRule::ResumableStream)
    }

    /// Returns true if the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RunRule::Stream | RunRule::ResumableStream)
    }
}

/// One route: a host, a path prefix, and the rules for the requests that match them.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RouteRule {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host, compared without case and port.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The services that its requests are split over.
    pub shares: Vec<ServiceShare>,
    /// Whether and how a request may be sent again.
    pub run: RunRule,
    /// The maximum time that a request may be held, in milliseconds.
    pub time_limit_ms: u64,
    /// The target latency of the response, or of the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// The maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// The priority of its requests; lower is more urgent.
    pub priority: u8,
    /// True if no customer key is needed.
    pub public: bool,
    /// The target for the longest pause between two events of a stream, in milliseconds; zero if there is none.
    pub pause_ms: u64,
    /// The regions in which its requests may run.
    #[serde(default)]
    pub regions: RegionLimit,
}

impl RouteRule {
    /// Returns the maximum time that a request may be held.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// Returns the target latency of the response, or of the first event of a stream.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Returns the target for the longest pause between two events of a stream; `None` if there is none.
    pub fn pause(&self) -> Option<Duration> {
        (self.pause_ms > 0).then(|| Duration::from_millis(self.pause_ms))
    }
}

/// The capacity of a language model engine; the same for every endpoint of a service.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineProfile {
    /// The number of requests that run in one batch.
    pub batch: u32,
    /// The number of tokens that fit into its memory, for running requests and cached prompt prefixes together.
    pub memory_tokens: u64,
    /// The number of tokens in one event of a stream.
    pub event_tokens: u32,
    /// The size of one cached token in bytes, when an engine copies cached prompt parts from another; zero if engines
    /// copy none.
    #[serde(default)]
    pub token_bytes: u64,
    /// The throughput of the link of one engine, in megabits per second; zero if engines copy no cached parts.
    #[serde(default)]
    pub link_mbps: u64,
}

/// One service: a set of endpoints that register under its name.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceRule {
    /// The name of the service.
    pub name: ServiceName,
    /// The path of the health check.
    pub health_path: Arc<str>,
    /// The maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Set if the service is a language model.
    pub engine: Option<EngineProfile>,
    /// Set if endpoints can take only few requests for a while after they start.
    #[serde(default)]
    pub cold: Option<ColdProfile>,
}

/// The capacity of an endpoint while it is cold.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ColdProfile {
    /// How long the endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// The processing time of each request, which run one after the other, in microseconds.
    pub request_us: u64,
}

impl ColdProfile {
    /// Returns how long an endpoint is cold after its start.
    pub fn start(&self) -> Duration {
        Duration::from_millis(self.start_ms)
    }

    /// Returns the processing time of each request while the endpoint is cold.
    pub fn request_time(&self) -> Duration {
        Duration::from_micros(self.request_us)
    }
}

/// A customer and the API keys that identify it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CustomerKeys {
    /// The name of the customer.
    pub name: CustomerName,
    /// The API keys of the customer.
    pub keys: Vec<Arc<str>>,
    /// The priority of its requests, which is compared before that of the route; lower is more urgent.
    pub priority: u8,
    /// The regions in which its requests may run, in addition to the limit of the route.
    #[serde(default)]
    pub regions: RegionLimit,
}

/// Limits on the size and slowness of what callers send.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: u64,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum time for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// The maximum idle time of a kept-alive connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits { head_bytes: 16_384, body_bytes: 4 * 1024 * 1024, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// The data that a plan is built from, not validated yet.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct PlanParts {
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// The customers; if there are none, every route is public.
    pub customers: Vec<CustomerKeys>,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// The throughput of all endpoints together, in units of cost per second; zero if unknown.
    pub capacity: u64,
}

/// A validated plan.
#[derive(Clone, Debug, Default)]
pub struct RoutePlan {
    parts: PlanParts,
    /// The indices of the routes by host in lower case, ordered by prefix length, longest first.
    hosts: HashMap<Box<str>, Vec<usize>>,
    /// The indices of the customers by key.
    keys: HashMap<Arc<str>, usize>,
}

impl RoutePlan {
    /// Validates the parts and builds the lookup tables.
    pub fn build(parts: PlanParts) -> Result<RoutePlan, Error> {
        check_parts(&parts)?;
        let mut hosts: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            hosts.entry(host_key(&route.host)).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(parts.routes[*index].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, customer) in parts.customers.iter().enumerate() {
            keys.extend(customer.keys.iter().map(|key| (key.clone(), index)));
        }
        Ok(RoutePlan { parts, hosts, keys })
    }

    /// Returns the route of a request: the one of its host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let routes = self.hosts.get(&host_key(host))?.iter();
        routes.map(|index| &self.parts.routes[*index]).find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the customer that holds a key.
    pub fn customer_of_key(&self, key: &str) -> Option<&CustomerKeys> {
        self.keys.get(key).map(|index| &self.parts.customers[*index])
    }

    /// Returns true if requests to routes that are not public need a key.
    pub fn has_customers(&self) -> bool {
        !self.parts.customers.is_empty()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.parts.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns the data that the plan was built from.
    pub fn parts(&self) -> &PlanParts {
        &self.parts
    }
}

/// Returns a host without its port, in lower case.
fn host_key(host: &str) -> Box<str> {
    let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
    name.map_or(host, |(name, _)| name).to_ascii_lowercase().into_boxed_str()
}
