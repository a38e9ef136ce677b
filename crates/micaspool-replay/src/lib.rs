//! Stand-in endpoints for tests, and a simulator that replays request traces through the shard core.
//!
//! * [`standin`] serves HTTP like a model engine or a plain service,
//! * [`trace`] reads and writes trace files, and [`generate`] creates traces from a seed,
//! * [`run`] replays a trace in virtual time, optionally with injected faults,
//! * [`report`] formats the results: fairness gap, utilisation and control traffic.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod generate;
pub mod report;
pub mod run;
pub mod standin;
pub mod trace;
