//! Requests that end the endpoints that run them.
//!
//! * [`CrashTable`] remembers under which requests endpoints ended, and says how a request stands by that,
//! * [`CrashRecord`] is what one process tells another of a request,
//! * [`QuarantineOptions`] has the limits and times.
//!
//! A request is told by its digest. What counts is how many *starts of endpoints* ended under it: two copies at one
//! endpoint are one. An answer that came whole, from any endpoint, acquits it; an endpoint that shows that it is alive
//! takes what was held against requests on its account back. Nothing here performs I/O or reads a clock.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod options;
mod record;
mod standing;
mod table;

pub use options::{QuarantineOptions, QuarantineOptionsBuilder};
pub use record::{CrashRecord, EndpointCrash};
pub use standing::RequestStanding;
pub use table::{CrashTable, TableChange};
