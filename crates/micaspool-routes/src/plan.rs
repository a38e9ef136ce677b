//! The plan and how it is searched.

use crate::check::{check_parts, Error};
use crate::split::ServiceShare;
use micaspool_types::{CustomerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a route may run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RunRule {
    /// It may be sent again after any failure.
    Repeatable,
    /// It runs at most once; it may be sent again only when it provably has not run.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another endpoint may continue after its last event.
    ResumableStream,
}

impl RunRule {
    /// True when a request may be sent again although it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RunRule::Repeatable | RunRule::ResumableStream)
    }

    /// True when the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RunRule::Stream | RunRule::ResumableStream)
    }
}

/// One route: a host, a path prefix, and what holds for the requests that match.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RouteRule {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host, compared without case and port.
    pub host: Arc<str>,
    /// The beginning of the path; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The services that share its requests.
    pub shares: Vec<ServiceShare>,
    /// How often a request may run.
    pub run: RunRule,
    /// The longest time that a request may be held, in milliseconds.
    pub time_limit_ms: u64,
    /// The time within which an answer is wanted, in milliseconds; to the first event of a stream.
    pub objective_ms: u64,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// The rank of its requests; lower is more urgent.
    pub priority: u8,
    /// True when no customer key is needed.
    pub public: bool,
    /// The longest pause between events that is wanted, in milliseconds; zero when none is set.
    pub pause_ms: u64,
}

impl RouteRule {
    /// The longest time that a request may be held.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// The time within which an answer is wanted.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }
}

/// What a language model engine of a service can do; the same for each of its endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineProfile {
    /// How many requests it runs in a batch.
    pub batch: u32,
    /// The tokens that its memory holds, of running requests and kept prompt parts together.
    pub memory_tokens: u64,
    /// How many tokens one event of a stream holds.
    pub event_tokens: u32,
}

/// One service: a set of endpoints that register under its name.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// The path of the health check.
    pub health_path: Arc<str>,
    /// The most connections that one of its endpoints takes from all callers.
    pub max_connections: u32,
    /// Set for a language model.
    pub engine: Option<EngineProfile>,
    /// Set where endpoints bear few requests for a while after their start.
    #[serde(default)]
    pub cold: Option<ColdProfile>,
}

/// What an endpoint bears while it is cold.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ColdProfile {
    /// For how long after its start it is cold, in milliseconds.
    pub start_ms: u64,
    /// The time that each request needs, one after the other, in microseconds.
    pub request_us: u64,
}

impl ColdProfile {
    /// For how long after its start an endpoint is cold.
    pub fn start(&self) -> Duration {
        Duration::from_millis(self.start_ms)
    }

    /// The time that each request needs.
    pub fn request_time(&self) -> Duration {
        Duration::from_micros(self.request_us)
    }
}

/// A customer and the keys that name it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CustomerKeys {
    /// The customer.
    pub name: CustomerName,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// The rank of its requests, before that of the route; lower is more urgent.
    pub priority: u8,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: u64,
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// The longest time that a head may take, in milliseconds.
    pub head_ms: u64,
    /// The longest rest of a kept connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits { head_bytes: 16_384, body_bytes: 4 * 1024 * 1024, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// What a plan is made from, not checked yet.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct PlanParts {
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// The customers; without any, every route is public.
    pub customers: Vec<CustomerKeys>,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// What all endpoints deliver together, in units of cost a second; zero when not known.
    pub capacity: u64,
}

/// A checked plan.
#[derive(Clone, Debug, Default)]
pub struct RoutePlan {
    parts: PlanParts,
    /// For each host in lower case its routes, the longest prefix first.
    hosts: HashMap<Box<str>, Vec<usize>>,
    keys: HashMap<Arc<str>, usize>,
}

impl RoutePlan {
    /// Checks the parts and builds the search tables.
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

    /// The route of a request: the longest prefix among those of its host.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let routes = self.hosts.get(&host_key(host))?.iter();
        routes.map(|index| &self.parts.routes[*index]).find(|route| path.starts_with(&*route.prefix))
    }

    /// The customer that holds a key.
    pub fn customer_of_key(&self, key: &str) -> Option<&CustomerKeys> {
        self.keys.get(key).map(|index| &self.parts.customers[*index])
    }

    /// True when routes that are not public need a key.
    pub fn has_customers(&self) -> bool {
        !self.parts.customers.is_empty()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.parts.services.iter().find(|service| service.name.as_str() == name)
    }

    /// What the plan was made from.
    pub fn parts(&self) -> &PlanParts {
        &self.parts
    }
}

/// A host without its port, in lower case.
fn host_key(host: &str) -> Box<str> {
    let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
    name.map_or(host, |(name, _)| name).to_ascii_lowercase().into_boxed_str()
}
