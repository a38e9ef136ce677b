//! Common parts of the daemons: arguments, the identity of the build, the settings file, logs, spans, signals, the ready
//! line and start errors.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod arguments;

mod error;
mod identity;
mod signals;
mod suspension;

pub use arguments::{report_ready, start, DaemonStart};
pub use error::{open_spans, StartError};
pub use identity::{answer_version_request, BuildIdentity};
pub use signals::{watch_signals, watch_stop_signals, ReloadSignal, StopSignal};
pub use suspension::watch_suspensions;

/// The exit code for wrong arguments and settings.
pub const EXIT_USAGE: i32 = 2;
/// The exit code for a daemon that failed to start or had to stop.
pub const EXIT_FAILED: i32 = 1;
