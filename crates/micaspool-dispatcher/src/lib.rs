//! The dispatcher runs one shard core for each service, serves the sessions of routers, and polls endpoints and the
//! platform.
//!
//! [`ShardHost`] starts a shard when a router first needs it. [`EndpointProbe`] is the interface to endpoints,
//! [`InstanceList`] that to the platform, and [`PolicySource`] that to the fleet's state. [`run_dispatcher`] starts a
//! daemon configured by the settings tree; [`FleetDispatcher`] is for a fleet whose endpoints register themselves.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod cache_follower;
mod closures;
mod constraints;
mod customer_log;
mod daemon;
mod driver;
mod fleet;
mod fleet_source;
mod host;
mod inputs;
mod objectives;
mod platform;
mod policy_source;
mod probe;
mod probe_selection;
mod service;
mod session_replies;
mod shard_policy;
mod shard_view;
mod sharing;
mod sole_versions;
mod standings;
mod subset;
mod tally;

pub use daemon::{run_dispatcher, DispatcherDaemon};
pub use fleet::{FleetDispatcher, FleetDispatcherOptions};
pub use fleet_source::{FleetSource, PUBLIC_CUSTOMER};
pub use host::{HostOptions, ShardHost};
pub use platform::{HttpInstanceList, InstanceList};
pub use policy_source::{PolicySource, TreeSource};
pub use probe::{
    CacheChanges, CacheCursor, CacheSnapshot, EndpointProbe, HttpEndpointProbe, ProbeAnswer, ProbedEndpoint,
};
pub use probe_selection::{ProbeSelection, UsedEngines};
pub use service::DispatchService;
pub use session_replies::SessionReplies;
pub use shard_policy::shard_policy;
pub use subset::EngineSubset;
