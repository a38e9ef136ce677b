//! Backpressure from endpoints: requests to pause sending for a while (a rest) or for good (leaving).
//!
//! * [`parse_retry_after`] parses the length of a requested rest,
//! * [`HeaderAdvice`] is the advice in the head of one response,
//! * [`AdviceTable`] stores the advice of each start of an endpoint and decides whether requests may be sent to it,
//! * [`SharedAdvice`] is the table that all senders of one process share. The sending process enforces the advice
//!   itself, so that it is respected even if other processes fail.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod header;
mod retry_after;
mod shared;
mod table;

pub use header::HeaderAdvice;
pub use retry_after::{parse_retry_after, Error, DRAINING_REST, MAX_REST};
pub use shared::{AdviceSource, SharedAdvice};
pub use table::{AdviceChange, AdviceTable, EndedRest, EndpointStanding};
