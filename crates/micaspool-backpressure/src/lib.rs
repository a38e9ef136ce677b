//! What endpoints ask of those that send to them: to leave them alone for a while, or for good.
//!
//! * [`parse_retry_after`] reads how long an endpoint wants to be left alone,
//! * [`HeaderAdvice`] is all that the head of one answer says,
//! * [`AdviceTable`] remembers what each start of an endpoint said, and what may be sent by that,
//! * [`AdviceBoard`] is the table that everything in one process shares which sends to endpoints, so that the promise
//!   is kept by the one who sends, whatever becomes of other processes.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod board;
mod header;
mod retry_after;
mod table;

pub use board::{AdviceBoard, AdviceSource};
pub use header::HeaderAdvice;
pub use retry_after::{parse_retry_after, Error, DRAINING_REST, MAX_REST};
pub use table::{AdviceChange, AdviceTable, EndedRest, EndpointStanding};
