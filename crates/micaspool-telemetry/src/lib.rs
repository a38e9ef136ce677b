//! Numbered log events, trace spans, and the metrics that all processes share.
//!
//! * [`events`] is the catalogue of log events; `docs/EVENTS.md` explains each entry,
//! * [`limit`] limits the rate of log lines of a kind,
//! * [`logging`] sets up the log output,
//! * [`metrics`] encodes metrics as text,
//! * [`panics`] logs and counts panics,
//! * [`spans`] writes a span for each hop of a request as JSON lines,
//! * [`traffic`] counts the bytes of control traffic.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod events;
pub mod limit;
pub mod logging;
pub mod metrics;
pub mod panics;
pub mod spans;
pub mod traffic;
