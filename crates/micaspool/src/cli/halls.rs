//! `micaspool halls`: evacuates data halls, returns them to service, and lists the orders.

use super::{keeper_client, EXIT_DONE, EXIT_FAILED, EXIT_REJECTED, EXIT_USAGE};
use argh::FromArgs;
use micaspool::client::KeeperClient;
use micaspool::halls::OrderVerdict;
use micaspool::types::HallName;
use micaspool::wire::convert::order_verdict;
use micaspool::wire::v1;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// The time limit of a call to the keepers.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Evacuate data halls so that their endpoints get no requests, return them to service, and list the orders.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "halls")]
pub struct HallsCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Subcommand {
    Evacuate(EvacuateCommand),
    Return(ReturnCommand),
    List(ListCommand),
}

/// Send no new requests to the endpoints of a data hall. Requests that run there are not interrupted.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "evacuate")]
struct EvacuateCommand {
    /// the data hall
    #[argh(positional)]
    hall: String,

    /// wire address of a keeper; repeat for each keeper
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// the operator who gives the order
    #[argh(option)]
    operator: String,
}

/// Return a data hall to service, so that its endpoints get requests again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "return")]
struct ReturnCommand {
    /// the data hall
    #[argh(positional)]
    hall: String,

    /// wire address of a keeper; repeat for each keeper
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// the operator who gives the order
    #[argh(option)]
    operator: String,
}

/// List the data halls with an order, as known to a majority of keepers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
struct ListCommand {
    /// wire address of a keeper; repeat for each keeper
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// An order of an operator for a data hall.
struct RequestedOrder {
    hall: String,
    evacuate: bool,
    operator: String,
}

type CommandResult = Result<(), (i32, String)>;

pub async fn run(command: HallsCommand) -> i32 {
    let result = match command.command {
        Subcommand::Evacuate(EvacuateCommand { hall, keeper, operator }) => {
            order(&keeper, RequestedOrder { hall, evacuate: true, operator }).await
        }
        Subcommand::Return(ReturnCommand { hall, keeper, operator }) => {
            order(&keeper, RequestedOrder { hall, evacuate: false, operator }).await
        }
        Subcommand::List(command) => list(command).await,
    };
    match result {
        Ok(()) => EXIT_DONE,
        Err((code, message)) => {
            eprintln!("{message}");
            code
        }
    }
}

async fn read(client: &KeeperClient) -> Result<v1::HallsReply, (i32, String)> {
    client.halls_confirmed(CALL_LIMIT).await.map_err(|error| (EXIT_FAILED, error.to_string()))
}

/// Sends an order that is based on the newest order known to a majority, so that an order that is delayed on the
/// way doesn't revert a later one.
async fn order(keepers: &[SocketAddr], requested: RequestedOrder) -> CommandResult {
    HallName::parse(&requested.hall).map_err(|error| (EXIT_USAGE, error.to_string()))?;
    let client = keeper_client(keepers)?;
    let known = read(&client).await?.newest;
    let request = v1::OrderHallRequest {
        hall: requested.hall.clone(),
        evacuate: requested.evacuate,
        known,
        ordered_by: requested.operator,
    };
    let reply = client.order_hall(request, CALL_LIMIT).await;
    let reply = reply.map_err(|error| (EXIT_FAILED, error.to_string()))?;
    let new_use = if requested.evacuate { "evacuated" } else { "open" };
    match order_verdict(&reply) {
        Some(OrderVerdict::InForce(number)) => {
            println!("{} is {new_use} since order {number}", requested.hall);
            Ok(())
        }
        Some(OrderVerdict::Overtaken(number)) => {
            let hint = "check 'halls list' and repeat the order if it still applies";
            Err((EXIT_REJECTED, format!("order {number}, given meanwhile, orders the opposite; {hint}")))
        }
        Some(OrderVerdict::TooManyHalls) => Err((
            EXIT_REJECTED,
            "orders exist for the largest number of data halls that a fleet may have".to_owned(),
        )),
        None => Err((EXIT_FAILED, "the keepers returned no verdict; send the order again".to_owned())),
    }
}

async fn list(command: ListCommand) -> CommandResult {
    let reply = read(&keeper_client(&command.keeper)?).await?;
    for hall in &reply.halls {
        let current_use = if hall.evacuated { "evacuated" } else { "open" };
        if command.json {
            let line = json!({
                "hall": hall.hall, "use": current_use, "order": hall.number,
                "ordered_by": hall.ordered_by, "at_ms": hall.at_millis,
            });
            println!("{line}");
        } else {
            println!("{} {current_use} since order {} by {}", hall.hall, hall.number, hall.ordered_by);
        }
    }
    Ok(())
}
