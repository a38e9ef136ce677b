//! Measures the latency that the fleet adds to a call, compared to calling the stand-ins directly.

use super::usage::Usage;
use crate::harness::calls::Call;
use crate::harness::{milk, Deployment};
use async_std::task;
use futures::future::join_all;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Base of the number of calls: each run sends a quarter of it.
const CALLS: usize = 1_920;

pub async fn run() {
    println!("plain model calls of one token ({CALLS} in all), one router against the stand-in alone");
    println!(
        "{:>8} {:>15} {:>12} {:>15} {:>12} {:>13} {:>11}",
        "callers", "direct p50 ms", "p99 ms", "through p50 ms", "p99 ms", "requests/s", "per core"
    );
    for callers in [1, 16, 64] {
        let deployment = Arc::new(Deployment::start(milk(), Duration::from_micros(200)).await);
        let direct: Vec<SocketAddr> =
            deployment.endpoints.values().take(9).map(|endpoint| endpoint.address()).collect();
        let router = vec![deployment.router(0)];
        let _ = call_all(&router, 1, 20).await;
        let (direct_latencies, _) = call_all(&direct, callers, CALLS / 4).await;
        let daemon = deployment.routers[0].as_ref().expect("it runs");
        let before = Usage::read(daemon).await;
        let (router_latencies, seconds) = call_all(&router, callers, CALLS / 4).await;
        let usage_delta = Usage::read(daemon).await.since(&before);
        let rate = router_latencies.len() as f64 / seconds;
        let per_core = router_latencies.len() as f64 / (usage_delta.cpu_micros / 1e6);
        println!(
            "{callers:>8} {:>15.2} {:>12.2} {:>15.2} {:>12.2} {rate:>13.0} {per_core:>11.0}",
            percentile_millis(&direct_latencies, 50),
            percentile_millis(&direct_latencies, 99),
            percentile_millis(&router_latencies, 50),
            percentile_millis(&router_latencies, 99)
        );
    }
}

fn percentile_millis(sorted: &[Duration], percent: usize) -> f64 {
    sorted[(sorted.len() * percent / 100).min(sorted.len() - 1)].as_secs_f64() * 1e3
}

/// Sends calls from `callers` concurrent callers. Returns the sorted latencies of successful calls and the elapsed
/// seconds.
async fn call_all(targets: &[SocketAddr], callers: usize, calls: usize) -> (Vec<Duration>, f64) {
    let started = Instant::now();
    let tasks = (0..callers).map(|caller| {
        let targets = targets.to_vec();
        task::spawn(async move {
            let mut times = Vec::new();
            for number in 0..calls.div_ceil(callers) {
                let target = targets[(caller + number) % targets.len()];
                let call = Call::chat(target, "coop-01", "modelo-acopio", "q", 1, false);
                let started = Instant::now();
                if call.send().await.is_some_and(|answer| answer.status == 200) {
                    times.push(started.elapsed());
                }
            }
            times
        })
    });
    let mut times: Vec<Duration> = join_all(tasks.collect::<Vec<_>>()).await.into_iter().flatten().collect();
    times.sort();
    (times, started.elapsed().as_secs_f64())
}
