//! Models of one language model engine, learnt from what a shard observes of it.
//!
//! * [`PrefillRate`] is how fast it prefills prompts.
//!
//! Everything here is free of I/O, clocks and randomness.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod prefill;

pub use prefill::PrefillRate;
