//! Models of language model engines, learnt from what a shard observes of them.
//!
//! Prefill and decode steps are two kinds of work that take time from each other.
//!
//! * [`PrefillRate`] is how fast an engine prefills prompts, with the steps done in between,
//! * [`DecodeRate`] is how long it needs for a decode step while it prefills nothing,
//! * [`PrefillClock`], [`StreamMark`] and [`StreamSpan`] tell the two apart in the progress of a stream,
//! * [`OutputEstimate`] expects the output of a request from what its caller states,
//! * [`RequestMix`] and [`EngineGroup`] give the requests that the slots of engines sustain.
//!
//! Everything here is free of I/O, clocks and randomness.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod capacity;
mod decode;
mod load;
mod output;
mod prefill;

pub use capacity::{EngineGroup, RequestMix};
pub use decode::DecodeRate;
pub use load::{PrefillClock, PrefillWork, StreamMark, StreamSpan};
pub use output::{OutputEstimate, StatedOutput};
pub use prefill::PrefillRate;
