//! The dispatcher: one shard core for each service, its streams to routers, and what it asks of
//! endpoints and the platform.
//!
//! [`ShardHost`] starts shards when routers ask for them; [`EndpointProbe`] and [`InstanceList`]
//! are the borders to endpoints and the platform; [`run_dispatcher`] puts a daemon together.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod daemon;
mod driver;
mod host;
mod platform;
mod probe;
mod service;
mod shard_policy;
mod sharing;

pub use daemon::{run_dispatcher, DispatcherDaemon};
pub use host::{HostOptions, ShardHost};
pub use platform::{HttpInstanceList, InstanceList};
pub use probe::{EndpointProbe, HttpEndpointProbe, ProbeAnswer};
pub use service::DispatchService;
pub use shard_policy::shard_policy;
