//! Stand-in endpoints, recorded traces and the measures that they give.
//!
//! * [`standin`] is an endpoint that behaves like a model engine or a plain service,
//! * [`trace`] is the format of recorded traces, and [`generate`] records them from a seed,
//! * [`run`] replays a trace through the shard core in virtual time, with faults,
//! * [`report`] shows the measures: fairness gap, utilisation and control traffic.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod generate;
pub mod report;
pub mod run;
pub mod standin;
pub mod trace;
