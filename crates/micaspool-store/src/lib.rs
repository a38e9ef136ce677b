//! Persistent storage of a keeper in one data folder.
//!
//! * `identity` holds the name of the keeper and the incarnation of the folder,
//! * `snapshot` holds the latest snapshot,
//! * `log` holds checksummed records of entries, truncations and hard states.
//!
//! [`KeeperFiles::save`] returns only after everything is synced. A torn record at the end of the
//! log is truncated when the folder is opened; an invalid record that is followed by valid ones is
//! reported as [`Error::Damaged`].
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod error;
mod files;
mod record;
mod scan;

pub use error::Error;
pub use files::{KeeperFiles, OpenOutcome, StoreOptions};
