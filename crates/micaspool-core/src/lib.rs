//! The core daemon of a fleet: a keeper and a dispatcher in one process, with a control service for
//! operators and endpoints.
//!
//! * [`ControlService`] publishes and reads route plans, orders the evacuation of data halls, and
//!   registers endpoints,
//! * [`start_core`] starts a daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod control;
mod daemon;

pub use control::{ControlService, OrderError};
pub use daemon::{start_core, CoreDaemon, CoreOptions, CoreOptionsBuilder};
