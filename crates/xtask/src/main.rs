//! Tasks for developers: generates the committed protocol code of `micaspool-wire` from `proto/`, and lists the
//! findings in journal entries.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod findings;
mod protocol;

use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Run a development task.
#[derive(FromArgs)]
struct TaskArgs {
    #[argh(subcommand)]
    task: Task,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Task {
    Protocol(ProtocolArgs),
    Findings(FindingsArgs),
}

/// Generate the protocol code.
#[derive(FromArgs)]
#[argh(subcommand, name = "protocol")]
struct ProtocolArgs {
    /// output folder; by default that of micaspool-wire
    #[argh(positional)]
    folder: Option<PathBuf>,
}

/// Print the broken rules, missed floors, faults and failed gates of the days in journal entries.
#[derive(FromArgs)]
#[argh(subcommand, name = "findings")]
struct FindingsArgs {
    /// journal entries, as JSON files
    #[argh(positional)]
    entries: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let args: TaskArgs = argh::from_env();
    match args.task {
        Task::Protocol(args) => protocol::write(args.folder),
        Task::Findings(args) => return report(&args.entries),
    }
    ExitCode::SUCCESS
}

/// Prints findings. Returns exit code 1 if there are any, or if an entry can't be read.
fn report(entries: &[PathBuf]) -> ExitCode {
    let mut failed = false;
    for entry in entries {
        match findings::read_findings(entry) {
            Ok(found) => {
                failed |= !found.is_empty();
                found.iter().for_each(|finding| println!("{finding}"));
            }
            Err(error) => {
                failed = true;
                eprintln!("{error}");
            }
        }
    }
    ExitCode::from(u8::from(failed))
}
