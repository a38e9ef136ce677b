//! What the daemons share: arguments, the settings file, logs, spans, signals, the ready line, and
//! why one cannot start.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod arguments;
mod error;
mod signals;
mod suspension;

pub use arguments::{announce, start, DaemonStart};
pub use error::{open_spans, StartError};
pub use signals::{stop_requested, watch_signals, ReloadSignal, StopSignal};
pub use suspension::watch_suspensions;

/// The exit code for wrong arguments and settings.
pub const EXIT_USAGE: i32 = 2;
/// The exit code for a daemon that could not start or had to stop.
pub const EXIT_FAILED: i32 = 1;
