//! The keeper daemon, which stores settings, claims, route plans and data hall orders in a replicated
//! log.
//!
//! [`KeeperEngine`] owns the consensus state machine, the files and the replicated state, and runs on
//! a dedicated thread. [`KeeperService`] implements the gRPC service. [`run_keeper`] starts a daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod clock;
mod daemon;
mod engine;
mod follow;
mod peers;
mod registry_hub;
mod service;
mod state;
mod status;
mod watch;

pub use daemon::{
    run_keeper, start_keeper, Error, ExchangeAddresses, KeeperDaemon, KeeperOptions, KeeperOptionsBuilder,
};
pub use engine::{EngineError, EngineInput, EngineOptions, EngineReply, KeeperEngine, ReopenOptions};
pub use registry_hub::RegistryHub;
pub use service::KeeperService;
pub use state::{KeeperCommand, KeeperReply, KeeperState, PlanDocument};
