//! The router fleet as a library: re-exports every crate, for embedding single parts.
//!
//! The decision cores ([`dispatch`], [`quorum`], [`ledger`], [`fair`]) perform no I/O and read no clock.
//! [`router`], [`dispatcher`] and [`keeper`] serve them over the network. [`fleet`] runs a whole deployment in
//! one process, for demonstrations and tests.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fleet;

pub use micaspool_client as client;
pub use micaspool_dispatch as dispatch;
pub use micaspool_dispatcher as dispatcher;
pub use micaspool_fair as fair;
pub use micaspool_halls as halls;
pub use micaspool_http as http;
pub use micaspool_keeper as keeper;
pub use micaspool_ledger as ledger;
pub use micaspool_quorum as quorum;
pub use micaspool_replay as replay;
pub use micaspool_router as router;
pub use micaspool_settings as settings;
pub use micaspool_store as store;
pub use micaspool_telemetry as telemetry;
pub use micaspool_types as types;
pub use micaspool_wire as wire;
