//! Measures the resource usage of the leading keeper and a follower per claim.

use super::usage::{wait_until_due, Usage, UsageDelta};
use crate::harness::{milk, wait_for, Deployment};
use async_std::task;
use futures::future::join_all;
use micaspool::wire::v1;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The duration of each rate.
const SECONDS: u64 = 5;
const CALL_LIMIT: Duration = Duration::from_secs(10);

pub async fn run() {
    println!("claims and their outcomes (256 bytes of answer), for {SECONDS} s at each rate");
    println!(
        "{:>9} {:>9} {:>12} {:>14} {:>13} {:>15} {:>13} {:>12} {:>12}",
        "claims/s",
        "reached",
        "p99 ms",
        "leader us/claim",
        "leader core %",
        "follower us",
        "leader KB/s",
        "syncs/claim",
        "resident MB"
    );
    for rate in [50, 150, 340] {
        let deployment = Arc::new(Deployment::start(milk(), Duration::from_millis(1)).await);
        wait_for(|| async { deployment.leader().await.is_some() }).await;
        let leader = deployment.leader().await.expect("a keeper leads");
        let follower = (leader + 1) % 3;
        let before = (read(&deployment, leader).await, read(&deployment, follower).await);
        let sync_count = sync_count(&deployment, leader).await;
        let delays = claim_at(&deployment, rate).await;
        let after = (read(&deployment, leader).await, read(&deployment, follower).await);
        let count = delays.len() as f64;
        let (leader_usage, follower_usage): (UsageDelta, UsageDelta) =
            (after.0.since(&before.0), after.1.since(&before.1));
        let new_syncs = self::sync_count(&deployment, leader).await - sync_count;
        let mut sorted = delays;
        sorted.sort();
        println!(
            "{rate:>9} {:>9.0} {:>12.1} {:>14.0} {:>13.2} {:>15.0} {:>13.1} {:>12.2} {:>12.1}",
            count / leader_usage.seconds,
            sorted[sorted.len() * 99 / 100].as_secs_f64() * 1e3,
            leader_usage.cpu_micros / count,
            leader_usage.core_percent(),
            follower_usage.cpu_micros / count,
            leader_usage.kilobytes_per_second(),
            new_syncs as f64 / count,
            after.0.resident as f64 / 1e6
        );
    }
}

async fn read(deployment: &Deployment, number: usize) -> Usage {
    Usage::read(deployment.keepers[number].as_ref().expect("it runs")).await
}

async fn sync_count(deployment: &Deployment, number: usize) -> u64 {
    deployment.state(&deployment.keepers[number]).await["syncs"].as_u64().unwrap_or(0)
}

async fn claim_at(deployment: &Arc<Deployment>, rate: u64) -> Vec<Duration> {
    let started = Instant::now();
    let calls = (0..rate * SECONDS).map(|number| {
        let deployment = deployment.clone();
        task::spawn(async move {
            wait_until_due(started, number, rate).await;
            claim(&deployment, rate, number).await
        })
    });
    join_all(calls.collect::<Vec<_>>()).await
}

async fn claim(deployment: &Deployment, rate: u64, number: u64) -> Duration {
    let key = format!("{rate}-{number}");
    let request = v1::ClaimRequest {
        customer: "coop-01".to_owned(),
        key: key.clone(),
        body_hash: vec![7; 32],
        token: number,
        traceparent: String::new(),
    };
    let started = Instant::now();
    deployment.client.claim(request, CALL_LIMIT).await.expect("a verdict");
    let delay = started.elapsed();
    let answer =
        v1::StoredAnswer { status: 200, content_type: "application/json".to_owned(), body: vec![1; 256] };
    let request = v1::FinishRequest {
        customer: "coop-01".to_owned(),
        key,
        token: number,
        kind: v1::FinishKind::FinishAnswered.into(),
        answer: Some(answer),
    };
    deployment.client.finish(request, CALL_LIMIT).await.expect("it is recorded");
    delay
}
