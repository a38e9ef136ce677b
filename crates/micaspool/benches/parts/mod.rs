//! The parts of the `slopes` benchmark.

pub mod claims;
pub mod delay;
pub mod followers;
pub mod requests;
pub mod sessions;
pub mod usage;
pub mod watchers;
