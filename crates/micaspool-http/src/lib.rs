//! HTTP/1.1 servers and clients for callers, endpoints and operators.
//!
//! [`edge`] serves callers and [`pool`] calls endpoints over persistent connections. Both are based on `hyper`, frame
//! bodies exactly and detect a peer that closes its connection (design 006). [`pressure`] selects the connections
//! that an overloaded server serves. [`body`] bounds the memory of request bodies, and [`framing`] tells how the end of a
//! response is known, and [`sends`] which connection carried it.
//!
//! [`server`] and [`client`] are older and based on `async-h1`. They add checks that it lacks: `async-h1` treats a
//! body that ends early as complete, accepts two different lengths, and closes the connection without a response
//! after a malformed head. [`head`] checks each request head before `async-h1` decodes it, [`server`] and [`client`]
//! compare every body with its length, and no connection is reused after an error.
//!
//! [`response_head`] checks each response head that [`pool`] and [`client`] read, before either decodes it.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
mod call;
pub mod chunk_scanner;
pub mod client;
pub mod edge;
pub mod framing;
pub mod head;
mod idle;
pub mod pool;
pub mod pressure;
mod read_meter;
pub mod refusal;
pub mod replay;
pub mod response_head;
mod response_watch;
pub mod sends;
pub mod server;
pub mod socket;
pub mod stall;
pub mod status;
