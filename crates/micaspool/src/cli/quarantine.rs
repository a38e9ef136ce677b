//! `micaspool quarantine`: requests that are quarantined because endpoints crashed while running them.

use super::fetch::fetch_state;
use super::{EXIT_DONE, EXIT_FAILED, EXIT_USAGE};
use argh::FromArgs;
use micaspool::telemetry::traffic::TrafficCounter;
use micaspool::types::RequestDigest;
use micaspool::wire::convert::lift_message;
use micaspool::wire::socket;
use micaspool::wire::v1::dispatch_client::DispatchClient;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// List requests that are quarantined because endpoints crashed while running them, and let them run again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Subcommand {
    List(ListCommand),
    Lift(LiftCommand),
}

/// List suspected and quarantined requests with the endpoints that crashed while running them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
struct ListCommand {
    /// status addresses of dispatchers
    #[argh(positional)]
    addresses: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Let a request run again. After three more crashes it is quarantined again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "lift")]
struct LiftCommand {
    /// the digest of the request, as logs and `quarantine list` print it
    #[argh(positional)]
    digest: String,

    /// wire address of a dispatcher; repeat for each one, since services move between dispatchers
    #[argh(option)]
    dispatcher: Vec<SocketAddr>,
}

pub async fn run(command: QuarantineCommand) -> i32 {
    match command.command {
        Subcommand::List(list) => run_list(list).await,
        Subcommand::Lift(lift) => run_lift(lift).await,
    }
}

async fn run_list(command: ListCommand) -> i32 {
    let mut code = EXIT_DONE;
    for address in command.addresses {
        match fetch_state(address).await {
            Ok(state) => print_shards(address, &state, command.json),
            Err(error) => {
                eprintln!("{error}");
                code = EXIT_FAILED;
            }
        }
    }
    code
}

fn print_shards(address: SocketAddr, state: &Value, as_json: bool) {
    // The status of a core instance, which runs a keeper and a dispatcher, has the shards below `dispatcher`.
    let pages = [&state["shards"], &state["dispatcher"]["shards"]];
    for shard in pages.into_iter().filter_map(Value::as_array).flatten() {
        for suspect in shard["quarantine"].as_array().into_iter().flatten() {
            if as_json {
                println!(
                    "{}",
                    json!({ "address": address.to_string(), "service": shard["service"], "request": suspect })
                );
            } else {
                println!("{address} {}", suspect_line(shard["service"].as_str().unwrap_or("-"), suspect));
            }
        }
    }
}

fn suspect_line(service: &str, suspect: &Value) -> String {
    let text = |key: &str| suspect[key].as_str().unwrap_or("-").to_owned();
    let crashes = suspect["crashes"].as_array().cloned().unwrap_or_default();
    let crashes = crashes.iter().map(|crash| {
        let seconds = crash["ms_ago"].as_u64().unwrap_or(0) / 1_000;
        format!("{} {seconds} s ago", crash["endpoint"].as_str().unwrap_or("-"))
    });
    format!(
        "{service}: {} of {} {}, {} s left; ended: {}",
        text("digest"),
        text("customer"),
        text("standing"),
        suspect["remaining_s"].as_u64().unwrap_or(0),
        crashes.collect::<Vec<_>>().join(", ")
    )
}

async fn run_lift(command: LiftCommand) -> i32 {
    let digest = match RequestDigest::parse(&command.digest) {
        Ok(digest) => digest,
        Err(error) => {
            eprintln!("{error}");
            return EXIT_USAGE;
        }
    };
    if command.dispatcher.is_empty() {
        eprintln!("give --dispatcher with the wire address of each dispatcher");
        return EXIT_USAGE;
    }
    let mut code = EXIT_DONE;
    for address in command.dispatcher {
        match lift_at(address, digest).await {
            Ok(services) if services.is_empty() => println!("{address} held nothing against {digest}"),
            Ok(services) => println!("{address} lifted {digest} for {}", services.join(", ")),
            Err(error) => {
                eprintln!("{address}: {error}; give the wire address of a running dispatcher");
                code = EXIT_FAILED;
            }
        }
    }
    code
}

async fn lift_at(address: SocketAddr, digest: RequestDigest) -> Result<Vec<String>, String> {
    let channel = socket::connect(address, TrafficCounter::default()).await;
    let channel = channel.map_err(|error| format!("can't be reached ({error})"))?;
    let reply = DispatchClient::new(channel).lift(lift_message(digest)).await;
    Ok(reply.map_err(|status| status.message().to_owned())?.into_inner().services)
}
