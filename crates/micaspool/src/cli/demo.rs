//! `micaspool demo`: runs a whole deployment in one process.

use super::{EXIT_DONE, EXIT_FAILED};
use argh::FromArgs;
use async_std::io::ReadExt;
use http_types::{Method, Request, Url};
use micaspool::fleet::{EmbeddedFleet, FleetOptions};
use micaspool::http::client::{call, CallLimits};
use micaspool_daemon::watch_stop_signals;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// The settings tree of the milk collector, which the demo runs.
const TREE: &str = include_str!("../../../../examples/milk/tree.json");

/// Run the milk collector's three data halls on loopback, send a few requests, and print which endpoint
/// answered each of them or why it was refused.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// keep running after the demo requests, for calls with curl
    #[argh(switch)]
    stay: bool,

    /// the base port; each role listens at an offset from it
    #[argh(option, default = "7600")]
    port: u16,
}

struct DemoCall {
    customer: &'static str,
    description: &'static str,
    target: &'static str,
    body: String,
    key: Option<&'static str>,
}

pub async fn run(command: DemoCommand) -> i32 {
    let folder = std::env::temp_dir().join(format!("micaspool-demo-{}", std::process::id()));
    let code = match run_in(&command, folder.clone()).await {
        Ok(()) => EXIT_DONE,
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILED
        }
    };
    let _ = std::fs::remove_dir_all(folder);
    code
}

async fn run_in(command: &DemoCommand, data_folder: PathBuf) -> Result<(), String> {
    let stop = watch_stop_signals().map_err(|error| error.to_string())?;
    let options = FleetOptions {
        tree: serde_json::from_str(TREE).expect("the example is JSON"),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        base_port: command.port,
        data_folder,
        token_time: Duration::from_millis(2),
    };
    println!("starting 3 keepers, 3 dispatchers, 3 routers and 12 stand-in endpoints");
    let fleet = EmbeddedFleet::start(options).await.map_err(|error| error.to_string())?;
    for (number, router) in fleet.routers.iter().enumerate() {
        println!("router {} serves callers on {}, status on {}", number + 1, router.callers, router.status);
    }
    let callers: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.callers).collect();
    for (number, demo_call) in demo_calls().into_iter().enumerate() {
        let router = callers[number % callers.len()];
        println!("{}", send(router, &demo_call).await);
    }
    if command.stay {
        println!("running until Ctrl-C; try:");
        println!(
            "  curl -s http://{}/v1/chat/completions -H 'Authorization: Bearer demo-coop-01' -d \
             '{{\"model\":\"modelo-acopio\",\"messages\":[{{\"role\":\"user\",\"content\":\"hola\"}}]}}'",
            callers[0]
        );
        stop.wait().await;
    }
    Ok(())
}

fn demo_calls() -> Vec<DemoCall> {
    let chat = |content: &str| {
        json!({ "model": "modelo-acopio", "max_tokens": 20,
                "messages": [{ "role": "user", "content": content }] })
        .to_string()
    };
    let model = "/v1/chat/completions";
    let calls = [
        ("coop-01", "a large co-op may use every hall", model, chat("draft a quality dispute"), None),
        ("farm-11", "farm-11 may only use sala-ubate", model, chat("what is my tank reading?"), None),
        ("farm-12", "farm-12 overrides its hall for this model only", model, chat("settlement letter"), None),
        ("farm-12", "and keeps its halls for the route application", "/rutas/horario", "{}".to_owned(), None),
        (
            "coop-02",
            "a pickup record with a key",
            "/rutas/recogidas",
            "{\"litros\":900}".to_owned(),
            Some("demo-1"),
        ),
        (
            "coop-02",
            "the same key again: no second run",
            "/rutas/recogidas",
            "{\"litros\":900}".to_owned(),
            Some("demo-1"),
        ),
        (
            "coop-02",
            "the same key, another body: refused",
            "/rutas/recogidas",
            "{\"litros\":1}".to_owned(),
            Some("demo-1"),
        ),
        ("nobody", "an unknown key: refused", model, chat("hello"), None),
    ];
    let to_call =
        |(customer, description, target, body, key)| DemoCall { customer, description, target, body, key };
    calls.into_iter().map(to_call).collect()
}

async fn send(router: SocketAddr, demo_call: &DemoCall) -> String {
    match try_send(router, demo_call).await {
        Ok(outcome) => format!("{:<8} {:<50} -> {outcome}", demo_call.customer, demo_call.description),
        Err(error) => format!("{:<8} {:<50} -> failed: {error}", demo_call.customer, demo_call.description),
    }
}

async fn try_send(router: SocketAddr, demo_call: &DemoCall) -> Result<String, String> {
    let url =
        Url::parse(&format!("http://{router}{}", demo_call.target)).map_err(|error| error.to_string())?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("authorization", format!("Bearer demo-{}", demo_call.customer));
    request.insert_header("content-type", "application/json");
    request.insert_header("connection", "close");
    if let Some(key) = demo_call.key {
        request.insert_header("idempotency-key", key);
    }
    request.set_body(demo_call.body.clone());
    let limits = CallLimits { connect: Duration::from_secs(1), silence: Duration::from_secs(20) };
    let mut response = call(router, request, limits).await.map_err(|error| error.to_string())?;
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await.map_err(|error| error.to_string())?;
    let header = |name: &str| response.header(name).map(|values| values.last().as_str().to_owned());
    let status = u16::from(response.status());
    if let Some(endpoint) = header("micaspool-endpoint") {
        return Ok(format!("{status} from {endpoint}, {} bytes", body.len()));
    }
    if header("micaspool-replayed").is_some() {
        return Ok(format!("{status} from the ledger, {} bytes", body.len()));
    }
    Ok(format!("{status} {}", String::from_utf8_lossy(&body)))
}
