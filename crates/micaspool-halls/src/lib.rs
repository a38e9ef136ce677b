//! Operators' orders to evacuate a data hall or to return it to use.
//!
//! [`HallOrders`] is a deterministic state machine that keepers replicate. Every process of the fleet also keeps a
//! copy, into which it merges the orders that keepers publish. Each change has a number. An order carries the newest
//! number known where it was received, so that a delayed order cannot override a newer one for its hall.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod order;
mod orders;

pub use order::{HallOrder, HallState, OrderCommand, OrderVerdict};
pub use orders::HallOrders;
