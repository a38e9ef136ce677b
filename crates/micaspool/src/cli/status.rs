//! `micaspool status`: prints the state of daemons.

use super::fetch::fetch_state;
use super::{EXIT_DONE, EXIT_FAILED};
use argh::FromArgs;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Print the state of daemons: role, settings revision, leader, contact with the keepers, and requests per shard.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// status addresses of daemons
    #[argh(positional)]
    addresses: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

pub async fn run(command: StatusCommand) -> i32 {
    let mut failed = false;
    for address in command.addresses {
        match fetch_state(address).await {
            Ok(state) if command.json => {
                println!("{}", json!({ "address": address.to_string(), "state": state }))
            }
            Ok(state) => println!("{address} {}", state_line(&state)),
            Err(error) => {
                eprintln!("{error}");
                failed = true;
            }
        }
    }
    if failed {
        EXIT_FAILED
    } else {
        EXIT_DONE
    }
}

fn state_line(state: &Value) -> String {
    let text = |key: &str| state[key].as_str().unwrap_or("-").to_owned();
    let revision = state["revision"].as_u64().unwrap_or(0);
    match state["process"].as_str() {
        Some("keeper") => {
            let confirmed = if state["confirmed"] == true { "majority heard" } else { "cut off" };
            format!("keeper {} leader={} revision={revision} {confirmed}", text("role"), text("leader"))
        }
        Some(process) => {
            let connection = match state["cut_off_seconds"].as_u64() {
                Some(seconds) => format!("cut off for {seconds} s"),
                None => "in touch".to_owned(),
            };
            let shards = state["shards"].as_array().cloned().unwrap_or_default();
            let shards = shards.iter().map(|shard| {
                let name = shard["service"].as_str().unwrap_or("-");
                format!(" {name}: {} waiting, {} running", shard["waiting"], shard["running"])
            });
            format!("{process} revision={revision} {connection}{}", shards.collect::<String>())
        }
        None => "unknown process".to_owned(),
    }
}
