//! Arguments and settings of a daemon.

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

/// What a daemon starts with.
#[derive(Debug)]
pub struct DaemonStart {
    /// Its checked settings.
    pub settings: ProcessSettings,
    /// A random number for this life of the process.
    pub incarnation: Incarnation,
}

/// Reads arguments and settings and sets the log up; call it before the first task runs. Ends the process with code 2 when the
/// settings have a fault, and with code 0 after `--check`.
pub fn start(role: ProcessRole) -> DaemonStart {
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
    limit_threads(settings.worker_threads);
    DaemonStart { settings, incarnation: Incarnation(rand::random()) }
}

/// Tells both runtimes how many threads to start; they read it when the first task runs.
fn limit_threads(count: usize) {
    for variable in ["ASYNC_STD_THREAD_COUNT", "TOKIO_WORKER_THREADS"] {
        std::env::set_var(variable, count.to_string());
    }
}

/// Prints the one line that says that the daemon is ready, with its bound addresses.
pub fn announce(process: &str, addresses: &[(&str, SocketAddr)]) {
    let pairs: Vec<String> = addresses.iter().map(|(key, address)| format!(" {key}={address}")).collect();
    println!("ready {process}{}", pairs.concat());
    record(&events::PROCESS_READY, &[field("process", process)]);
    crate::watch_suspensions();
}
