//! The router fleet as a library: every crate under one name, for those who embed its parts.
//!
//! The decision cores ([`dispatch`], [`quorum`], [`ledger`], [`fair`]) are free of I/O and clocks.
//! [`router`], [`dispatcher`] and [`keeper`] put them behind sockets; [`fleet`] runs a whole
//! deployment in one process, for trying it out and for tests.
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
