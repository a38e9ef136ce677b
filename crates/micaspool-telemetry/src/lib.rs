//! Numbered log events, spans and the counters that every process has.
//!
//! * [`events`] is the catalogue; `docs/EVENTS.md` explains each entry,
//! * [`limit`] bounds how many lines of a kind are written,
//! * [`logging`] sets the log output up,
//! * [`metrics`] writes metrics as text,
//! * [`spans`] writes a span for each hop of a request as JSON lines,
//! * [`traffic`] counts control bytes and messages.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod events;
pub mod limit;
pub mod logging;
pub mod metrics;
pub mod spans;
pub mod traffic;
