//! The clock by which leases, lives, deadlines and ages are reckoned.
//!
//! * [`BootInstant`] is a moment on the system's clock since boot, which also counts while the machine is suspended;
//!   [`std::time::Instant`] does not, so that a process that wakes would take all that it believed for as young as
//!   before,
//! * [`SuspensionWatch`] tells from the difference of the two clocks that the machine was suspended, and for how long.
//!
//! Neither clock ever steps back, and neither follows the time of day.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod instant;
mod suspension;

pub use instant::{counts_suspended_time, BootInstant};
pub use suspension::{ClockPair, SuspensionWatch};
