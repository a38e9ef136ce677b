//! Endpoints that register themselves: soft state without I/O or clock.
//!
//! Each endpoint sends records of itself with rising sequence numbers to any keeper. Whoever
//! follows the keepers merges what each of them heard: [`EndpointRegistry::merge`] keeps the newest
//! record of each endpoint, whatever the order of arrival. An endpoint may start again under its name; records of
//! earlier starts change nothing then. An endpoint that has left stays known as
//! left for a while, so that a late record does not bring it back.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod record;
mod registry;

pub use record::{EndpointRecord, EndpointStage};
pub use registry::{EndpointRegistry, MergeOutcome};
