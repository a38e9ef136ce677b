//! The command line and settings of a daemon.

use crate::identity::{answer_version_request, BuildIdentity};
use crate::{EXIT_FAILED, EXIT_USAGE};
use argh::FromArgs;
use micaspool_settings::process::{read_file, ProcessRole, ProcessSettings};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::logging::{self, LogOptions, LogTarget};
use micaspool_types::Incarnation;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A process of the router fleet.
#[derive(FromArgs, Debug)]
struct DaemonArguments {
    /// the settings file of this process (JSON)
    #[argh(option)]
    settings: PathBuf,

    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

/// The settings and identity with which a daemon starts.
#[derive(Debug)]
pub struct DaemonStart {
    /// The validated settings.
    pub settings: ProcessSettings,
    /// A random number that distinguishes restarts of the process.
    pub incarnation: Incarnation,
}

/// Parses the arguments, reads the settings and starts logging. Must be called before the first task runs. Exits with
/// code 2 if the settings are invalid, with code 1 if logging cannot be started, and with code 0 after `--check` and `--version`.
pub fn start(role: ProcessRole) -> DaemonStart {
    answer_version_request();
    let arguments: DaemonArguments = argh::from_env();
    let settings = match read_file(&arguments.settings, role) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", arguments.settings.display());
            }
            std::process::exit(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        std::process::exit(0);
    }
    let options = LogOptions {
        target: settings.log_file.clone().map_or(LogTarget::Stderr, LogTarget::File),
        level: settings.log_level.clone(),
        instance: settings.instance.to_string(),
    };
    if let Err(error) = logging::start(options) {
        eprintln!("{error}");
        std::process::exit(EXIT_FAILED);
    }
    set_thread_counts(settings.worker_threads);
    DaemonStart { settings, incarnation: Incarnation(rand::random()) }
}

/// Sets the number of worker threads of both runtimes, which read these variables when the first task runs.
fn set_thread_counts(count: usize) {
    for variable in ["ASYNC_STD_THREAD_COUNT", "TOKIO_WORKER_THREADS"] {
        std::env::set_var(variable, count.to_string());
    }
}

/// Prints the line that reports the daemon as ready, with its bound addresses, logs it and starts to watch for
/// suspensions of the machine.
pub fn report_ready(process: &str, addresses: &[(&str, SocketAddr)]) {
    let formatted: Vec<String> = addresses.iter().map(|(key, address)| format!(" {key}={address}")).collect();
    println!("ready {process}{}", formatted.concat());
    let build = BuildIdentity::current();
    let fields = [field("process", process), field("commit", build.commit), field("sources", build.sources)];
    record(&events::PROCESS_READY, &fields);
    crate::watch_suspensions();
}
