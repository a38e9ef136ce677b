//! Log output as JSON lines, based on `fern`.

mod queue;

use crate::panics;
use log::LevelFilter;
use queue::LineQueue;
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Where log lines go.
#[derive(Debug, Clone, Default)]
pub enum LogTarget {
    /// Standard error, written synchronously by the logging thread.
    #[default]
    Stderr,
    /// Standard output, written by a dedicated thread. Logging never blocks: lines that cannot be written fast
    /// enough are dropped and counted.
    Stdout,
    /// A file to append to.
    File(PathBuf),
}

/// Where and how much to log.
#[derive(Debug, Clone, Default)]
pub struct LogOptions {
    /// Where log lines go.
    pub target: LogTarget,
    /// The most verbose level that is logged: off, error, warn, info, debug or trace. Info if it is none of these.
    pub level: String,
    /// The instance name in each line.
    pub instance: String,
}

/// Why the log could not be set up.
#[derive(Debug)]
pub enum Error {
    /// The log file cannot be opened.
    File(PathBuf, std::io::Error),
    /// The process already has a logger.
    AlreadyStarted,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => {
                write!(
                    f,
                    "the log file {} cannot be opened ({error}); make its folder writable",
                    path.display()
                )
            }
            Error::AlreadyStarted => f.write_str("logging is already set up; set it up once per process"),
        }
    }
}

impl std::error::Error for Error {}

#[derive(Serialize)]
struct LogLine<'a> {
    at_ms: u64,
    level: &'a str,
    instance: &'a str,
    event: &'a str,
    text: String,
}

/// The line queue of the process, if it logs to standard output.
static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Sets up the logger of the process. Only records of events are logged, among them each panic from now on. To be called
/// on the main thread.
pub fn start(options: LogOptions) -> Result<(), Error> {
    let level = options.level.parse().unwrap_or(LevelFilter::Info);
    let instance = options.instance;
    let dispatch = fern::Dispatch::new()
        .filter(|metadata| metadata.target().starts_with("MP"))
        .level(level)
        .format(move |out, message, record| {
            let line = LogLine {
                at_ms: unix_millis(),
                level: record.level().as_str(),
                instance: &instance,
                event: record.target(),
                text: message.to_string(),
            };
            out.finish(format_args!("{}", serde_json::to_string(&line).unwrap_or_default()));
        });
    let dispatch = match &options.target {
        LogTarget::File(path) => dispatch.chain(open(path)?),
        LogTarget::Stderr => dispatch.chain(std::io::stderr()),
        LogTarget::Stdout => {
            let queue = QUEUE.get_or_init(LineQueue::start).clone();
            dispatch.chain(fern::Output::writer(Box::new(queue), "\n"))
        }
    };
    dispatch.apply().map_err(|_| Error::AlreadyStarted)?;
    panics::watch();
    Ok(())
}

/// Waits for a bounded time until all queued lines are written. To be called before the process ends.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.drain();
    }
}

fn open(path: &Path) -> Result<std::fs::File, Error> {
    fern::log_file(path).map_err(|error| Error::File(path.to_owned(), error))
}

pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
