//! How a process reaches the keepers and keeps the newest settings at hand.
//!
//! [`KeeperClient`] finds the leader and repeats calls that may be repeated; [`SettingsMirror`]
//! follows the settings and only ever moves to a higher revision.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod keeper;
mod mirror;

pub use keeper::{CallError, KeeperClient};
pub use mirror::{MirrorState, SettingsMirror};
