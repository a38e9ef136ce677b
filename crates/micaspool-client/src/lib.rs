//! Client of the keepers, with local copies of the settings and of the fleet's state.
//!
//! * [`KeeperClient`] finds the leader and retries calls, all of which are idempotent,
//! * [`SettingsMirror`] tracks the settings tree and never returns to a lower revision,
//! * [`FleetMirror`] tracks the route plan, endpoints, data halls and members, from all keepers at once,
//! * [`PeerDirectory`] resolves the names of instances to addresses.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod directory;
mod fleet;
mod keeper;
mod mirror;

pub use directory::{AddressDirectory, PeerDirectory, StaticDirectory};
pub use fleet::{FleetMirror, FleetMirrorOptions, KeeperConnection, KeeperStatus, MAX_ENDPOINT_SILENCE};
pub use keeper::{CallError, KeeperClient};
pub use mirror::{MirrorState, SettingsMirror};
