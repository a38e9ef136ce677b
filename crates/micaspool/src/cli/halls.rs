//! `micaspool halls`: evacuate a data hall, take it back, and see what was ordered.

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

/// How long a call to the keepers may take.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Evacuate a data hall so that its endpoints get no requests, take it back, and see what was ordered.
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

/// Send nothing more to the endpoints of a data hall. What runs there ends by itself.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "evacuate")]
struct EvacuateCommand {
    /// the data hall
    #[argh(positional)]
    hall: String,

    /// wire address of a keeper; give several times
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// who orders
    #[argh(option)]
    operator: String,
}

/// Send to the endpoints of a data hall again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "return")]
struct ReturnCommand {
    /// the data hall
    #[argh(positional)]
    hall: String,

    /// wire address of a keeper; give several times
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// who orders
    #[argh(option)]
    operator: String,
}

/// List the data halls that an order was given about, as a majority of keepers knows them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
struct ListCommand {
    /// wire address of a keeper; give several times
    #[argh(option)]
    keeper: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// What an operator wants of a data hall.
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

/// Orders on what a majority knows now, so that an order that is held up takes nothing back that comes after it.
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
            let hint = "look at 'halls list' and order again if it still holds";
            Err((EXIT_REJECTED, format!("order {number} says the contrary and came meanwhile; {hint}")))
        }
        Some(OrderVerdict::TooManyHalls) => {
            Err((EXIT_REJECTED, "there are orders about as many halls as a fleet may have".to_owned()))
        }
        None => Err((EXIT_FAILED, "the keepers gave no verdict; send the order again".to_owned())),
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
