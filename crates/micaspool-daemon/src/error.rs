//! Errors that prevent a daemon from starting.

use micaspool_settings::process::ProcessSettings;
use micaspool_telemetry::spans::SpanSink;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a daemon cannot start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be bound.
    Bind(SocketAddr, io::Error),
    /// The trace file cannot be opened.
    Trace(io::Error),
}

impl StartError {
    /// Returns a function that converts an error of binding this address.
    pub fn bind(address: SocketAddr) -> impl Fn(io::Error) -> StartError {
        move |error| StartError::Bind(address, error)
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Bind(address, error) => {
                write!(f, "{address} cannot be bound ({error}); choose a free port, or 0 for any")
            }
            StartError::Trace(error) => {
                write!(f, "the trace file cannot be opened ({error}); make its folder writable")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Opens the trace file if the settings have one.
pub fn open_spans(settings: &ProcessSettings) -> Result<SpanSink, StartError> {
    SpanSink::open(settings.trace_file.as_deref(), settings.instance.as_str()).map_err(StartError::Trace)
}
