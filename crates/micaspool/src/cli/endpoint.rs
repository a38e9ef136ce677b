//! `micaspool endpoint`: runs a stand-in endpoint for trial deployments.

use super::{EXIT_DONE, EXIT_FAILED};
use argh::FromArgs;
use micaspool::replay::standin::{FaultMode, StandInEndpoint, StandInOptions};
use micaspool_daemon::watch_stop_signals;
use std::net::SocketAddr;
use std::time::Duration;

/// Run a stand-in endpoint that answers like a model engine or a plain service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "endpoint")]
pub struct EndpointCommand {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// the name that it sends in answers
    #[argh(option, default = "String::from(\"stand-in\")")]
    name: String,

    /// the number of requests that it runs at once
    #[argh(option, default = "8")]
    slots: usize,

    /// the time per token or plain call, in milliseconds
    #[argh(option, default = "5")]
    token_ms: u64,

    /// refuse every request with a retry-after header of this many seconds
    #[argh(option)]
    ask_for_rest_s: Option<u32>,
}

pub async fn run(command: EndpointCommand) -> i32 {
    let options = StandInOptions {
        name: command.name,
        slots: command.slots,
        token_time: Duration::from_millis(command.token_ms),
    };
    let stop = watch_stop_signals().expect("the signal handlers can be installed");
    match StandInEndpoint::start(command.listen, options).await {
        Ok(endpoint) => {
            if let Some(seconds) = command.ask_for_rest_s {
                endpoint.set_fault(FaultMode::RetryAfter(seconds));
            }
            println!("ready endpoint listen={}", endpoint.address());
            stop.wait().await;
            EXIT_DONE
        }
        Err(error) => {
            eprintln!("{} can't be bound ({error}); choose a free port", command.listen);
            EXIT_FAILED
        }
    }
}
