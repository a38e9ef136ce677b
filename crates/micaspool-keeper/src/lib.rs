//! The keeper: durable, replicated settings and claims.
//!
//! [`KeeperEngine`] owns the log core, the files and the state machines, and works on a thread
//! of its own; [`KeeperService`] is the protocol side; [`run_keeper`] puts a daemon together.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod clock;
mod daemon;
mod engine;
mod peers;
mod service;
mod state;

pub use daemon::{run_keeper, Error, KeeperDaemon};
pub use engine::{EngineError, EngineInput, EngineReply, KeeperEngine};
pub use service::KeeperService;
pub use state::{KeeperCommand, KeeperReply, KeeperState};
