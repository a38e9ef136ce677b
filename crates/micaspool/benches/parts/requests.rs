//! Measures the resource usage of routers and the dispatcher per request.

use super::usage::{wait_until_due, Usage};
use crate::harness::calls::Call;
use crate::harness::{milk, wait_for, Deployment};
use async_std::task;
use futures::future::join_all;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SECONDS: u64 = 5;
/// Requests per second.
const RATES: [u64; 3] = [20, 60, 180];

pub async fn run() {
    println!("streamed model calls of 64 tokens over three routers, for {SECONDS} s at each rate");
    println!(
        "{:>10} {:>8} {:>14} {:>16} {:>15} {:>18} {:>14} {:>12}",
        "requests/s",
        "complete",
        "router us/req",
        "router bytes/req",
        "dispatch us/req",
        "dispatch bytes/req",
        "router MB",
        "dispatch MB"
    );
    for rate in RATES {
        let deployment = Arc::new(Deployment::start(milk(), Duration::from_millis(4)).await);
        let warm =
            Call::chat(deployment.router(0), "coop-01", "modelo-acopio", "warm", 2, false).send().await;
        assert!(warm.is_some());
        wait_for(|| async { deployment.serving_dispatcher("modelo-acopio").await.is_some() }).await;
        let serving = deployment.serving_dispatcher("modelo-acopio").await.expect("a dispatcher serves");
        if rate == RATES[0] {
            print_idle(&deployment).await;
        }
        let before = (routers(&deployment).await, dispatcher(&deployment, serving).await);
        let completed = call_at(&deployment, rate).await;
        let after = (routers(&deployment).await, dispatcher(&deployment, serving).await);
        let count = (rate * SECONDS) as f64;
        let usage_deltas: Vec<_> =
            after.0.iter().zip(&before.0).map(|(after, before)| after.since(before)).collect();
        let dispatch = after.1.since(&before.1);
        println!(
            "{rate:>10} {completed:>8} {:>14.0} {:>16.0} {:>15.0} {:>18.0} {:>14.1} {:>12.1}",
            usage_deltas.iter().map(|delta| delta.cpu_micros).sum::<f64>() / count,
            usage_deltas.iter().map(|delta| delta.bytes).sum::<f64>() / count,
            dispatch.cpu_micros / count,
            dispatch.bytes / count,
            after.0[0].resident as f64 / 1e6,
            after.1.resident as f64 / 1e6
        );
    }
}

/// Prints the resource usage of an idle router with one shard.
async fn print_idle(deployment: &Deployment) {
    let before = routers(deployment).await;
    task::sleep(Duration::from_secs(SECONDS)).await;
    let usage_delta = routers(deployment).await[0].since(&before[0]);
    let (core, bytes) = (usage_delta.core_percent(), usage_delta.kilobytes_per_second());
    println!(
        "a router at rest with one shard: {core:.2} percent of a core, {bytes:.2} KB/s of control traffic"
    );
}

async fn routers(deployment: &Deployment) -> Vec<Usage> {
    let reads = deployment.routers.iter().map(|daemon| Usage::read(daemon.as_ref().expect("it runs")));
    join_all(reads).await
}

async fn dispatcher(deployment: &Deployment, number: usize) -> Usage {
    Usage::read(deployment.dispatchers[number].as_ref().expect("it runs")).await
}

async fn call_at(deployment: &Arc<Deployment>, rate: u64) -> usize {
    let started = Instant::now();
    let calls = (0..rate * SECONDS).map(|number| {
        let deployment = deployment.clone();
        task::spawn(async move {
            wait_until_due(started, number, rate).await;
            let customer = format!("farm-{:02}", 1 + number % 10);
            let router = deployment.router(number as usize % 3);
            let call = Call::chat(router, &customer, "modelo-acopio", "a question at the tank", 64, true);
            call.send().await.is_some_and(|answer| answer.status == 200)
        })
    });
    join_all(calls.collect::<Vec<_>>()).await.into_iter().filter(|completed| *completed).count()
}
