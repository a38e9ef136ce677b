//! The clock for leases, lifetimes, deadlines and ages.
//!
//! * [`BootInstant`] is an instant of the system's boot-time clock, which also advances while the machine is suspended.
//!   [`std::time::Instant`] does not, so that after a resume a process would consider its state as fresh as before,
//! * [`SuspensionWatch`] detects from the difference of the two clocks that the machine was suspended, and for how long,
//! * [`DutyCycle`] paces recurring work by what it takes.
//!
//! Neither clock ever steps back or follows the wall clock.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod duty;
mod instant;
mod suspension;

pub use duty::DutyCycle;
pub use instant::{counts_suspended_time, BootInstant};
pub use suspension::{ClockPair, SuspensionWatch};
