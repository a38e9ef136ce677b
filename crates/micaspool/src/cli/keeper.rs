//! `micaspool keeper`: operations on keepers that need the decision of an operator.

use super::{EXIT_DONE, EXIT_FAILED, EXIT_USAGE};
use argh::FromArgs;
use micaspool::client::KeeperClient;
use micaspool::telemetry::traffic::TrafficCounter;
use micaspool::wire::v1;
use std::net::SocketAddr;

/// Operate keepers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keeper")]
pub struct KeeperCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Subcommand {
    Recover(RecoverCommand),
}

/// Make one keeper a group of its own after a majority of keepers has lost its disks for good.
/// Settings and claims that only the lost keepers had are lost; the other keepers must be started
/// with empty data folders.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "recover")]
struct RecoverCommand {
    /// the wire address of the keeper with the newest settings
    #[argh(option)]
    keeper: SocketAddr,

    /// the operator who gives the order
    #[argh(option)]
    operator: String,

    /// required confirmation, since settings and claims that only the lost keepers had are lost
    #[argh(switch)]
    others_are_lost: bool,
}

pub async fn run(command: KeeperCommand) -> i32 {
    let Subcommand::Recover(recover) = command.command;
    if !recover.others_are_lost {
        eprintln!(
            "add --others-are-lost once it is certain that a majority of keepers lost its disks for good"
        );
        return EXIT_USAGE;
    }
    let client = KeeperClient::new(Vec::new(), TrafficCounter::default());
    let Some(mut keeper) = client.client(recover.keeper).await else {
        eprintln!("{} can't be reached; give the wire address of a running keeper", recover.keeper);
        return EXIT_FAILED;
    };
    match keeper.recover(v1::RecoverRequest { operator: recover.operator }).await {
        Ok(reply) => {
            println!("{}", reply.into_inner().text);
            EXIT_DONE
        }
        Err(status) => {
            eprintln!("{}", status.message());
            EXIT_FAILED
        }
    }
}
