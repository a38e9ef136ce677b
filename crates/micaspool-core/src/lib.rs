//! The core of a fleet: a keeper and a dispatcher in one process, and the desk at which operators and
//! endpoints are served.
//!
//! * [`ControlService`] takes route plans, reads them back, and takes records of endpoints,
//! * [`start_core`] puts a daemon together.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod control;
mod daemon;

pub use control::{ControlService, OrderError};
pub use daemon::{start_core, CoreDaemon, CoreOptions, CoreOptionsBuilder};
