//! The keeper: durable, replicated settings and claims.
//!
//! [`KeeperEngine`] owns the log core, the files and the state machines, and works on a thread
//! of its own; [`KeeperService`] is the protocol side; [`run_keeper`] puts a daemon together.
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

pub use daemon::{
    run_keeper, start_keeper, Error, ExchangeAddresses, KeeperDaemon, KeeperOptions, KeeperOptionsBuilder,
};
pub use engine::{EngineError, EngineInput, EngineOptions, EngineReply, KeeperEngine, ReopenOptions};
pub use registry_hub::RegistryHub;
pub use service::KeeperService;
pub use state::{KeeperCommand, KeeperReply, KeeperState, PlanDocument};
