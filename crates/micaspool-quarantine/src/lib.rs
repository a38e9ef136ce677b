//! Quarantine of requests that crash the endpoints that run them.
//!
//! * [`CrashTable`] records which endpoints crashed while running a request and derives the standing of the request,
//! * [`CrashRecord`] is the form in which processes exchange the crashes of a request,
//! * [`QuarantineOptions`] holds limits and durations.
//!
//! Requests are identified by their digest. The count that matters is the number of *starts of endpoints* that crashed
//! while running a request: two copies of it at one endpoint count once. A complete response from any endpoint clears
//! the request; an endpoint that turns out to be alive retracts the crashes attributed to it. Nothing here performs
//! I/O or reads a clock.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod options;
mod record;
mod standing;
mod table;

pub use options::{QuarantineOptions, QuarantineOptionsBuilder};
pub use record::{CrashRecord, EndpointCrash};
pub use standing::RequestStanding;
pub use table::{CrashTable, StandingChange};
