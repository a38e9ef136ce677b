//! `micaspool settings`: reads, checks and changes the settings tree.

use super::{keeper_client, EXIT_DONE, EXIT_FAILED, EXIT_REJECTED, EXIT_USAGE};
use argh::FromArgs;
use micaspool::settings::diff::diff_trees;
use micaspool::settings::document::join_faults;
use micaspool::settings::key::KeyDigest;
use micaspool::settings::merge::merge_patch;
use micaspool::settings::policy::{compile_tree, effective_values};
use micaspool::types::Revision;
use micaspool::wire::v1;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The time limit of a call to the keepers.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Read, check and change the settings tree.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "settings")]
pub struct SettingsCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Subcommand {
    Apply(ApplyCommand),
    Get(GetCommand),
    Check(CheckCommand),
    Diff(DiffCommand),
    Key(KeyCommand),
}

/// Change the tree with a JSON Merge Patch (null removes a key).
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
struct ApplyCommand {
    /// patch file; a whole tree is a valid patch
    #[argh(positional)]
    patch: PathBuf,

    /// wire address of a keeper; repeat for each keeper
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// the operator who makes the change
    #[argh(option)]
    operator: String,

    /// revision that the change is based on, as printed by 'settings get'
    #[argh(option)]
    base: u64,

    /// id of the change; to repeat a call whose answer was lost, use the same id
    #[argh(option)]
    id: Option<String>,
}

/// Print the tree that a majority of keepers has.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "get")]
struct GetCommand {
    /// wire address of a keeper; repeat for each keeper
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// CUSTOMER/SERVICE: print each effective value and the level that sets it
    #[argh(option)]
    effective: Option<String>,

    /// print the revision and the tree as JSON
    #[argh(switch)]
    json: bool,
}

/// Check a tree file without changing anything.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// the tree file
    #[argh(positional)]
    tree: PathBuf,
}

/// Print the changes that a patch would make.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
struct DiffCommand {
    /// the patch file
    #[argh(positional)]
    patch: PathBuf,

    /// wire address of a keeper; repeat for each keeper
    #[argh(option)]
    keeper: Vec<SocketAddr>,
}

/// Read a customer key from standard input and print its digest, the form in which it is stored.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "key")]
struct KeyCommand {}

pub async fn run(command: SettingsCommand) -> i32 {
    let result = match command.command {
        Subcommand::Apply(command) => apply(command).await,
        Subcommand::Get(command) => get(command).await,
        Subcommand::Check(command) => check(&command),
        Subcommand::Diff(command) => diff(command).await,
        Subcommand::Key(_) => key(),
    };
    match result {
        Ok(()) => EXIT_DONE,
        Err((code, message)) => {
            eprintln!("{message}");
            code
        }
    }
}

type CommandResult = Result<(), (i32, String)>;

fn read_json(path: &Path) -> Result<Value, (i32, String)> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| (EXIT_USAGE, format!("cannot read {} ({error}); check the path", path.display())))?;
    serde_json::from_str(&text).map_err(|error| {
        (EXIT_USAGE, format!("{} is not valid JSON ({error}); correct the file", path.display()))
    })
}

async fn apply(command: ApplyCommand) -> CommandResult {
    let patch = read_json(&command.patch)?;
    let id = command.id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let request = v1::ApplyRequest {
        change: id.clone(),
        operator: command.operator,
        base: command.base,
        patch: patch.to_string(),
    };
    let reply = keeper_client(&command.keeper)?.apply(request, CALL_LIMIT).await;
    let reply = reply.map_err(|error| (EXIT_FAILED, format!("{error} (--id {id})")))?;
    match reply.outcome {
        Some(v1::apply_reply::Outcome::Revision(revision)) => {
            println!("accepted as revision {revision} (id {id})");
            Ok(())
        }
        Some(v1::apply_reply::Outcome::Rejected(reason)) => Err((EXIT_REJECTED, reason)),
        _ => Err((
            EXIT_FAILED,
            "the keepers returned no outcome; send the change again with the same --id".to_owned(),
        )),
    }
}

async fn read_tree(keepers: &[SocketAddr]) -> Result<(u64, Value), (i32, String)> {
    let reply = keeper_client(keepers)?.get_confirmed(CALL_LIMIT).await;
    let reply = reply.map_err(|error| (EXIT_FAILED, error.to_string()))?;
    let Some(v1::get_reply::Outcome::Settings(update)) = reply.outcome else {
        return Err((EXIT_FAILED, "the keepers returned no settings; try again".to_owned()));
    };
    let tree = if update.tree.is_empty() {
        json!({})
    } else {
        serde_json::from_str(&update.tree).unwrap_or_default()
    };
    Ok((update.revision, tree))
}

async fn get(command: GetCommand) -> CommandResult {
    let (revision, tree) = read_tree(&command.keeper).await?;
    if let Some(path) = command.effective {
        return print_effective(&tree, &path);
    }
    if command.json {
        println!("{}", json!({ "revision": revision, "tree": tree }));
    } else {
        println!("revision {revision}");
        println!("{}", serde_json::to_string_pretty(&tree).unwrap_or_default());
    }
    Ok(())
}

fn print_effective(tree: &Value, path: &str) -> CommandResult {
    let values =
        path.split_once('/').and_then(|(customer, service)| effective_values(tree, customer, service));
    let unknown_path = || {
        (
            EXIT_USAGE,
            format!("{path:?} is not a customer and service of the tree; use the form CUSTOMER/SERVICE"),
        )
    };
    for value in values.ok_or_else(unknown_path)? {
        let text = value.value.map_or_else(|| "(default)".to_owned(), |value| value.to_string());
        println!("{:<20} {text:<24} from {}", value.field, value.layer);
    }
    Ok(())
}

fn check(command: &CheckCommand) -> CommandResult {
    let tree = read_json(&command.tree)?;
    let policy = compile_tree(Revision(1), &tree).map_err(|faults| (EXIT_USAGE, join_faults(&faults)))?;
    let (customers, services) = (policy.customers.len(), policy.services.len());
    println!("no faults: {customers} customers, {services} services, {} data halls", policy.halls.len());
    Ok(())
}

async fn diff(command: DiffCommand) -> CommandResult {
    let patch = read_json(&command.patch)?;
    let (revision, before) = read_tree(&command.keeper).await?;
    let mut after = before.clone();
    merge_patch(&mut after, &patch);
    println!("against revision {revision}");
    for difference in diff_trees(&before, &after) {
        let text =
            |value: Option<Value>| value.map_or_else(|| "(none)".to_owned(), |value| value.to_string());
        println!("{}: {} -> {}", difference.path, text(difference.before), text(difference.after));
    }
    Ok(())
}

fn key() -> CommandResult {
    let mut line = String::new();
    let read = std::io::stdin().read_line(&mut line);
    let key = line.trim();
    if read.is_err() || key.is_empty() {
        return Err((EXIT_USAGE, "write the key to standard input".to_owned()));
    }
    println!("{}", KeyDigest::of(key).to_hex());
    Ok(())
}
