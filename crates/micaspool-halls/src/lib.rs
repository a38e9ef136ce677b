//! Operators' orders about whole data halls: evacuate one, take it back.
//!
//! [`HallOrders`] is a deterministic state machine that keepers replicate, and what every process of the fleet merges
//! from what keepers tell. Each change has a number. An order carries the newest number that was known where it came
//! in, so that one that was held up on its way takes back nothing that was ordered after it.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod order;
mod orders;

pub use order::{HallOrder, HallUse, OrderCommand, OrderVerdict};
pub use orders::HallOrders;
