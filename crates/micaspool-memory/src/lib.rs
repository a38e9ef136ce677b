//! The memory account of a process: what is in use, what admitted work may still take, and whether more fits.
//!
//! What a connection or a request costs varies several times over with what its peers send, so a bound on their number
//! bounds the memory only if each counts with its worst case. A [`MemoryAccount`] goes by what is measured instead, and
//! counts only work that has not taken its memory yet by an estimate, a [`MemoryPromise`].
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod account;
mod gauge;

pub use account::{MemoryAccount, MemoryPromise, MemoryState};
pub use gauge::{counting_heap, resident_bytes, CountingHeap, MemoryGauge};
