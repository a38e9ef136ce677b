//! `micaspool replay`: replays traces through the shard core and reports fairness, utilisation and control traffic.

use super::{EXIT_DONE, EXIT_FAILED, EXIT_USAGE};
use argh::FromArgs;
use micaspool::fair::{policy_named, POLICY_NAMES};
use micaspool::replay::generate::{generate, GenerateOptions};
use micaspool::replay::report::render_table;
use micaspool::replay::run::{replay, FaultKind, ReplayFault, ReplayOptions, ReplayReport};
use micaspool::replay::trace::RecordedTrace;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

/// Replay traces in virtual time, or generate new ones.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "replay")]
pub struct ReplayCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Subcommand {
    Run(RunCommand),
    Record(RecordCommand),
}

/// Replay traces under scheduling policies and print the fairness gap, utilisation and control traffic.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "run")]
struct RunCommand {
    /// trace files
    #[argh(positional)]
    traces: Vec<PathBuf>,

    /// policy: progress, estimate, hint, settled, rounds or arrival; may be repeated; all by
    /// default
    #[argh(option)]
    policy: Vec<String>,

    /// lose the dispatcher after this many seconds and restore its successor from the state of routers
    #[argh(option)]
    lose_dispatcher: Option<u64>,

    /// restore only waiting requests after losing the dispatcher (baseline)
    #[argh(switch)]
    empty_restart: bool,

    /// lose three endpoints, a third of those of the example traces, after this many seconds
    #[argh(option)]
    lose_third: Option<u64>,

    /// choose endpoints by load alone (baseline)
    #[argh(switch)]
    load_only: bool,

    /// share of cache events that are lost, in percent
    #[argh(option, default = "20")]
    cache_loss: u32,

    /// print one JSON line per report
    #[argh(switch)]
    json: bool,
}

/// Generate a trace from a seed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "record")]
struct RecordCommand {
    /// kind of trace: milk or kilns
    #[argh(positional)]
    kind: String,

    /// file to write
    #[argh(option)]
    out: PathBuf,

    /// seed; by default that of the committed trace
    #[argh(option)]
    seed: Option<u64>,
}

pub fn run(command: &ReplayCommand) -> i32 {
    let result = match &command.command {
        Subcommand::Run(command) => run_traces(command),
        Subcommand::Record(command) => record(command),
    };
    match result {
        Ok(()) => EXIT_DONE,
        Err((code, message)) => {
            eprintln!("{message}");
            code
        }
    }
}

fn run_traces(command: &RunCommand) -> Result<(), (i32, String)> {
    let policies: Vec<String> = match command.policy.as_slice() {
        [] => POLICY_NAMES.iter().map(|name| (*name).to_owned()).collect(),
        named => named.to_vec(),
    };
    if let Some(unknown) = policies.iter().find(|name| policy_named(name).is_none()) {
        return Err((
            EXIT_USAGE,
            format!("unknown policy {unknown:?}; use one of: {}", POLICY_NAMES.join(", ")),
        ));
    }
    if command.traces.is_empty() {
        return Err((EXIT_USAGE, "name at least one trace file".to_owned()));
    }
    let mut reports = Vec::new();
    for path in &command.traces {
        let trace = read_trace(path)?;
        for policy in &policies {
            reports.push(replay(&trace, options(command, policy)));
        }
    }
    print_reports(command, &reports);
    Ok(())
}

fn options(command: &RunCommand, policy: &str) -> ReplayOptions {
    let mut faults = Vec::new();
    if let Some(seconds) = command.lose_dispatcher {
        let kind = FaultKind::DispatcherLost { restore_state: !command.empty_restart };
        faults.push(ReplayFault { at_millis: seconds * 1_000, kind });
    }
    if let Some(seconds) = command.lose_third {
        faults.push(ReplayFault {
            at_millis: seconds * 1_000,
            kind: FaultKind::EndpointsLost { from: 0, count: 3 },
        });
    }
    ReplayOptions {
        policy: policy.to_owned(),
        faults,
        use_prefixes: !command.load_only,
        cache_loss_percent: command.cache_loss,
        ..ReplayOptions::default()
    }
}

fn read_trace(path: &Path) -> Result<RecordedTrace, (i32, String)> {
    let file = File::open(path)
        .map_err(|error| (EXIT_USAGE, format!("{}: {error}; check the path", path.display())))?;
    RecordedTrace::read(BufReader::new(file))
        .map_err(|error| (EXIT_USAGE, format!("{}: {error}", path.display())))
}

fn print_reports(command: &RunCommand, reports: &[ReplayReport]) {
    if command.json {
        for report in reports {
            println!("{}", serde_json::to_string(report).unwrap_or_default());
        }
    } else {
        print!("{}", render_table(reports));
    }
}

fn record(command: &RecordCommand) -> Result<(), (i32, String)> {
    let mut options = match command.kind.as_str() {
        "milk" => GenerateOptions::milk(),
        "kilns" => GenerateOptions::kilns(),
        other => return Err((EXIT_USAGE, format!("unknown kind of trace {other:?}; use milk or kilns"))),
    };
    options.seed = command.seed.unwrap_or(options.seed);
    let trace = generate(&options);
    let file = File::create(&command.out).map_err(|error| (EXIT_FAILED, error.to_string()))?;
    trace.write(std::io::BufWriter::new(file)).map_err(|error| (EXIT_FAILED, error.to_string()))?;
    println!("{} requests", trace.requests.len());
    Ok(())
}
