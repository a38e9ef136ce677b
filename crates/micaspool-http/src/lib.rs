//! HTTP/1.1 towards callers, endpoints and operators.
//!
//! The fleet's edges stand on `hyper`: [`edge`] serves callers and [`pool`] calls endpoints over
//! kept connections; both frame bodies exactly and follow a peer that leaves (design 006). [`pressure`] decides
//! whom a server that is behind serves.
//!
//! The older edges stand on `async-h1`, with the checks it lacks:
//! `async-h1` takes a body that ends early for a whole one, accepts two different lengths, and
//! closes without an answer on a bad head. [`head`] checks each head before `async-h1` sees it,
//! [`server`] and [`client`] count every body against its length, and no connection is used again
//! after anything went wrong.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod client;
pub mod edge;
pub mod head;
pub mod pool;
pub mod pressure;
pub mod refusal;
pub mod replay;
pub mod server;
pub mod socket;
pub mod stall;
pub mod status;
