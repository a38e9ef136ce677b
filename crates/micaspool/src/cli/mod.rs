//! The commands. Exit codes: 0 done, 1 failed, 2 invalid arguments or settings, 3 rejected.

mod customers;
mod demo;
mod endpoint;
mod fetch;
mod halls;
mod keeper;
mod quarantine;
mod replay;
mod settings;
mod status;

use argh::FromArgs;
use async_std::task;
use micaspool::client::KeeperClient;
use micaspool::settings::process::PeerAddress;
use micaspool::telemetry::traffic::TrafficCounter;
use micaspool::types::InstanceName;
use std::net::SocketAddr;

/// The exit code of a command that succeeded.
pub const EXIT_DONE: i32 = 0;
/// The exit code if a process could not be reached or the command failed.
pub const EXIT_FAILED: i32 = 1;
/// The exit code for invalid arguments or settings.
pub const EXIT_USAGE: i32 = 2;
/// The exit code if the keepers rejected the change or order.
pub const EXIT_REJECTED: i32 = 3;

/// Operate a micaspool router fleet.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Settings(settings::SettingsCommand),
    Status(status::StatusCommand),
    Customers(customers::CustomersCommand),
    Halls(halls::HallsCommand),
    Keeper(keeper::KeeperCommand),
    Quarantine(quarantine::QuarantineCommand),
    Demo(demo::DemoCommand),
    Replay(replay::ReplayCommand),
    Endpoint(endpoint::EndpointCommand),
}

/// Creates a client of these keepers. Returns an exit code and an error message if there are none.
fn keeper_client(keepers: &[SocketAddr]) -> Result<KeeperClient, (i32, String)> {
    if keepers.is_empty() {
        return Err((EXIT_USAGE, "give --keeper ADDRESS, once for each keeper".to_owned()));
    }
    let peer = |(number, address): (usize, &SocketAddr)| PeerAddress {
        name: InstanceName::parse(&format!("keeper-{number}")).expect("the name is well-formed"),
        address: *address,
    };
    Ok(KeeperClient::new(keepers.iter().enumerate().map(peer).collect(), TrafficCounter::default()))
}

/// Runs a command and returns its exit code.
pub fn run(arguments: Arguments) -> i32 {
    task::block_on(async {
        match arguments.command {
            Command::Settings(command) => settings::run(command).await,
            Command::Status(command) => status::run(command).await,
            Command::Customers(command) => customers::run(command).await,
            Command::Quarantine(command) => quarantine::run(command).await,
            Command::Halls(command) => halls::run(command).await,
            Command::Keeper(command) => keeper::run(command).await,
            Command::Replay(command) => replay::run(&command),
            Command::Demo(command) => demo::run(command).await,
            Command::Endpoint(command) => endpoint::run(command).await,
        }
    })
}
