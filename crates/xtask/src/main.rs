//! Developers only: writes the committed protocol code of `micaspool-wire` from `proto/`, and reads journal entries
//! for what must not land unseen.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod findings;
mod protocol;

use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Tasks of developers.
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

/// Writes the protocol code.
#[derive(FromArgs)]
#[argh(subcommand, name = "protocol")]
struct ProtocolArgs {
    /// the folder to write to; that of micaspool-wire if none is given
    #[argh(positional)]
    folder: Option<PathBuf>,
}

/// Prints each day of journal entries that broke a rule, had a fault, missed a floor or failed its gate.
#[derive(FromArgs)]
#[argh(subcommand, name = "findings")]
struct FindingsArgs {
    /// the entries to read, JSON files
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

/// Prints findings; fails when there are any, or when an entry can't be read.
fn report(entries: &[PathBuf]) -> ExitCode {
    let mut failed = false;
    for entry in entries {
        match findings::of_entry(entry) {
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
