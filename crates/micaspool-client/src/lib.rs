//! How a process reaches the keepers and keeps the newest state of the fleet at hand.
//!
//! * [`KeeperClient`] finds the leader and repeats calls that may be repeated,
//! * [`SettingsMirror`] follows the settings tree and only ever moves to a higher revision,
//! * [`FleetMirror`] follows every keeper at once: route plan, endpoints and members,
//! * [`PeerDirectory`] is the border to how instances are found by name.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod directory;
mod fleet;
mod keeper;
mod mirror;

pub use directory::{AddressDirectory, PeerDirectory, StaticDirectory};
pub use fleet::{FleetMirror, FleetMirrorOptions, KeeperReach, KeeperStatus, MAX_ENDPOINT_SILENCE};
pub use keeper::{CallError, KeeperClient};
pub use mirror::{MirrorState, SettingsMirror};
