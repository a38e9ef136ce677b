//! `micaspool customers top`: the waiting and running requests and the service level of each customer.

use super::fetch::fetch_state;
use super::{EXIT_DONE, EXIT_FAILED};
use argh::FromArgs;
use serde_json::Value;
use std::net::SocketAddr;

/// Inspect customers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "customers")]
pub struct CustomersCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Subcommand {
    Top(TopCommand),
}

/// List customers with waiting or running requests, those with the most waiting requests first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "top")]
struct TopCommand {
    /// status addresses of dispatchers
    #[argh(positional)]
    dispatchers: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

pub async fn run(command: CustomersCommand) -> i32 {
    let Subcommand::Top(top) = command.command;
    let mut code = EXIT_DONE;
    for address in top.dispatchers {
        match fetch_state(address).await {
            Ok(state) if top.json => println!("{}", state["shards"]),
            Ok(state) => print_shards(&state),
            Err(error) => {
                eprintln!("{error}");
                code = EXIT_FAILED;
            }
        }
    }
    code
}

fn print_shards(state: &Value) {
    for shard in state["shards"].as_array().into_iter().flatten() {
        println!(
            "{} gap={} recovering={}",
            shard["service"].as_str().unwrap_or("-"),
            shard["gap"],
            shard["recovering"]
        );
        let mut customers: Vec<&Value> = shard["customers"].as_array().into_iter().flatten().collect();
        customers.sort_by_key(|customer| std::cmp::Reverse(customer["waiting"].as_u64()));
        println!("  {:<24} {:>8} {:>8} {:>14}", "customer", "waiting", "running", "service level");
        for customer in customers {
            let name = customer["name"].as_str().unwrap_or("-");
            let number = |key: &str| customer[key].as_u64().unwrap_or(0);
            println!(
                "  {name:<24} {:>8} {:>8} {:>14}",
                number("waiting"),
                number("running"),
                number("level")
            );
        }
    }
}
