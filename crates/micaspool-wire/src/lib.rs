//! The protocols between the processes of the system.
//!
//! [`v1`] is generated from `proto/micaspool.proto` by the `xtask` crate and committed, [`convert`] converts between
//! its messages and the types of the cores, and [`socket`] provides connections that count their bytes.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod convert;
pub mod socket;

/// Messages, clients and servers of version 1 of the protocols.
#[allow(missing_docs, rust_2018_idioms, clippy::all)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/micaspool.v1.rs");
}
