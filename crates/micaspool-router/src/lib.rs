//! The router accepts requests from callers, asks a dispatcher for an endpoint for each, forwards the request
//! and streams the answer back.
//!
//! * [`ShardClient`] holds this router's waiting and running requests of one service and moves them from one
//!   dispatcher to the next.
//! * [`RequestRouter`] handles requests.
//! * [`EndpointClient`] and [`ClaimLedger`] abstract the connections to endpoints and keepers.
//! * [`run_router`] assembles and starts a router daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod call;
mod claims;
mod cost;
mod daemon;
mod endpoint;
mod limits;
mod metrics;
mod relay;
mod router;
mod shard_client;

pub use call::{CallPlan, IdempotencyKey};
pub use claims::{ClaimLedger, ClaimOutcome, KeeperLedger};
pub use cost::{meter_for, CostMeter};
pub use daemon::{run_router, RouterDaemon};
pub use endpoint::{EndpointAnswer, EndpointCall, EndpointClient, EndpointError, HttpEndpointClient};
pub use router::{RequestRouter, RouterParts};
pub use shard_client::{
    DispatcherAddress, DispatcherCandidate, DispatcherList, GrantLease, ListedDispatchers, LocalDispatcher,
    MessageStream, ShardClient, ShardClientOptions,
};
