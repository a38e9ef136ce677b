//! Measures the resource usage of a dispatcher per idle router session and per request.

use super::usage::Usage;
use crate::harness::{milk, Deployment};
use async_std::channel::{unbounded, Sender};
use async_std::task::{self, JoinHandle};
use micaspool::telemetry::traffic::TrafficCounter;
use micaspool::wire::socket;
use micaspool::wire::v1::{self, dispatch_client::DispatchClient, router_message::Body};
use std::time::{Duration, Instant};

const IDLE_TIME: Duration = Duration::from_secs(5);
const BUSY_TIME: Duration = Duration::from_secs(5);
/// Progress reports per request: a request of 441 tokens reports every 128 tokens.
const PROGRESS_REPORTS: u64 = 3;

struct FakeRouter {
    outgoing: Sender<v1::RouterMessage>,
    reader: JoinHandle<()>,
    heartbeats: JoinHandle<()>,
}

pub async fn run() {
    println!("router streams on one dispatcher and shard; requests with {PROGRESS_REPORTS} progress reports");
    println!(
        "{:>8} {:>12} {:>10} {:>12} {:>10} {:>14} {:>16} {:>12}",
        "routers",
        "idle core %",
        "idle KB/s",
        "resident MB",
        "requests/s",
        "us a request",
        "bytes a request",
        "busy core %"
    );
    for (count, rate) in [(50, 40), (150, 80), (420, 170)] {
        let deployment = Deployment::start(milk(), Duration::from_millis(1)).await;
        let dispatcher = deployment.dispatchers[0].as_ref().expect("it runs");
        let address = dispatcher.addresses["wire"];
        let mut routers = Vec::new();
        for number in 0..count {
            routers.push(join(address, number).await);
        }
        task::sleep(Duration::from_secs(1)).await;
        let start = Usage::read(dispatcher).await;
        task::sleep(IDLE_TIME).await;
        let idle = Usage::read(dispatcher).await;
        let done = submit_at(&routers, rate).await;
        let end = Usage::read(dispatcher).await;
        let (idle_usage, busy_usage) = (idle.since(&start), end.since(&idle));
        let idle_cpu = idle_usage.cpu_micros / idle_usage.seconds * busy_usage.seconds;
        let idle_bytes = idle_usage.bytes / idle_usage.seconds * busy_usage.seconds;
        println!(
            "{count:>8} {:>12.2} {:>10.2} {:>12.1} {:>10.0} {:>14.0} {:>16.0} {:>12.2}",
            idle_usage.core_percent(),
            idle_usage.kilobytes_per_second(),
            end.resident as f64 / 1e6,
            done as f64 / busy_usage.seconds,
            (busy_usage.cpu_micros - idle_cpu) / done as f64,
            (busy_usage.bytes - idle_bytes) / done as f64,
            busy_usage.core_percent()
        );
        for router in routers {
            router.reader.cancel().await;
            router.heartbeats.cancel().await;
        }
    }
}

fn message(body: Body) -> v1::RouterMessage {
    v1::RouterMessage { body: Some(body) }
}

/// Joins as a router that answers each grant with progress reports and settles it at once.
async fn join(address: std::net::SocketAddr, number: usize) -> FakeRouter {
    let channel = socket::connect(address, TrafficCounter::default()).await.expect("it listens");
    let (outgoing, receiver) = unbounded();
    let hello = v1::Hello {
        service: "modelo-acopio".to_owned(),
        router: format!("router-{number}"),
        hall: "sala-sabana".to_owned(),
        incarnation: 1,
        heartbeat: 1,
        ..v1::Hello::default()
    };
    outgoing.try_send(message(Body::Hello(hello))).expect("it is open");
    let reply = DispatchClient::new(channel).session(receiver).await.expect("it takes the stream");
    let mut messages = reply.into_inner();
    let answers = outgoing.clone();
    let reader = task::spawn(async move {
        while let Ok(Some(incoming)) = messages.message().await {
            if let Some(v1::dispatcher_message::Body::Grant(grant)) = incoming.body {
                for step in 1..=PROGRESS_REPORTS {
                    let progress = v1::Progress {
                        request: grant.request.clone(),
                        delivered: step * 128,
                        began: None,
                        first_event: None,
                    };
                    let _ = answers.try_send(message(Body::Progress(progress)));
                }
                let settle = v1::Settle { request: grant.request, cost: 441, ..Default::default() };
                let _ = answers.try_send(message(Body::Settle(settle)));
            }
        }
    });
    let heartbeat_sender = outgoing.clone();
    let heartbeats = task::spawn(async move {
        for number in 2.. {
            task::sleep(Duration::from_secs(1)).await;
            let heartbeat_body = v1::Heartbeat { number, revision: 1, advice: Vec::new() };
            if heartbeat_sender.try_send(message(Body::Heartbeat(heartbeat_body))).is_err() {
                return;
            }
        }
    });
    FakeRouter { outgoing, reader, heartbeats }
}

async fn submit_at(routers: &[FakeRouter], rate: u64) -> u64 {
    let started = Instant::now();
    let mut sent = 0;
    while started.elapsed() < BUSY_TIME {
        let due = started.elapsed().as_micros() as u64 * rate / 1_000_000;
        while sent < due {
            sent += 1;
            let submit = v1::Submit {
                request: u128::from(sent)
                    .wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c834)
                    .to_be_bytes()
                    .to_vec(),
                customer: format!("farm-{:02}", 1 + sent % 10),
                hint: 400,
                priority: 5,
                prefixes: vec![sent, sent + 1, sent + 2],
                ..v1::Submit::default()
            };
            let router = &routers[sent as usize % routers.len()];
            let _ = router.outgoing.try_send(message(Body::Submit(submit)));
        }
        task::sleep(Duration::from_millis(2)).await;
    }
    sent
}
