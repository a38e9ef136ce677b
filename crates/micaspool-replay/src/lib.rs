//! Stand-in endpoints, recorded traces and the measures that they give.
//!
//! * [`standin`] is an endpoint that behaves like a model engine or a plain service,
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod standin;
