//! The registry of self-registered endpoints: soft state without I/O or a clock.
//!
//! Each endpoint sends records with increasing sequence numbers to any keeper. Followers of the keepers merge the
//! records that each of them received: [`EndpointRegistry::merge`] keeps the newest record of each endpoint, whatever
//! the order of arrival. An endpoint may restart under the same identity; records of earlier starts are ignored from
//! then on. An endpoint that left is remembered as left for a while, so that a late record does not bring it back.
//!
//! Departures alone are more than soft state: [`ConfirmedDepartures`] is replicated by the keepers, so that one that was
//! acknowledged is not lost with the keeper that acknowledged it.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod departures;
mod record;
mod registry;

pub use departures::{ConfirmedDepartures, DepartureCommand};
pub use record::{EndpointRecord, EndpointStage};
pub use registry::{EndpointRegistry, MergeOutcome};
