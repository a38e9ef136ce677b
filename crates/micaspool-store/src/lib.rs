//! The files of a keeper, under one data folder.
//!
//! * `identity` tells one life of the folder from the next,
//! * `snapshot` has the newest snapshot,
//! * `log` has checksummed records of entries, cuts and hard states.
//!
//! [`KeeperFiles::save`] returns only when everything is synced. A torn record at the end of the
//! log is cut off at the next start; a damaged record with whole ones after it stops the keeper.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod error;
mod files;
mod record;
mod scan;

pub use error::Error;
pub use files::{KeeperFiles, OpenOutcome, StoreOptions};
