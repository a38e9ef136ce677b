//! Measures the resource usage of a keeper by settings watchers, and the time until a change reaches all of them.

use super::usage::Usage;
use crate::harness::{milk, wait_for, Deployment};
use async_std::task;
use micaspool::client::{KeeperClient, SettingsMirror};
use micaspool::settings::process::PeerAddress;
use micaspool::telemetry::traffic::TrafficCounter;
use micaspool::types::InstanceName;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

const IDLE_TIME: Duration = Duration::from_secs(5);
/// The number of settings changes.
const CHANGES: u64 = 20;

pub async fn run() {
    println!("watchers on one keeper (the group has three), idle and with {CHANGES} changes");
    println!(
        "{:>9} {:>12} {:>12} {:>12} {:>14} {:>14} {:>14}",
        "watchers",
        "idle core %",
        "idle KB/s",
        "resident MB",
        "us a change",
        "bytes a change",
        "ms to all, max"
    );
    for count in [50, 150, 420] {
        let deployment = Deployment::start(milk(), Duration::from_millis(1)).await;
        let keeper = deployment.keepers[0].as_ref().expect("it runs");
        let mirrors: Vec<Arc<SettingsMirror>> =
            (0..count).map(|number| watcher(&deployment, number)).collect();
        wait_for(|| async { mirrors.iter().all(|mirror| mirror.is_ready()) }).await;
        task::sleep(Duration::from_secs(2)).await;
        let start = Usage::read(keeper).await;
        task::sleep(IDLE_TIME).await;
        let idle = Usage::read(keeper).await;
        let mut longest_delay = Duration::ZERO;
        for number in 0..CHANGES {
            let patch = json!({ "policy": { "weight": 2 + number } });
            let started = Instant::now();
            let revision =
                deployment.apply(&format!("w{number}"), 1 + number, &patch).await.expect("accepted");
            while mirrors.iter().any(|mirror| mirror.policy().revision.0 < revision) {
                task::sleep(Duration::from_millis(1)).await;
            }
            longest_delay = longest_delay.max(started.elapsed());
        }
        let end = Usage::read(keeper).await;
        let (idle_usage, change_usage) = (idle.since(&start), end.since(&idle));
        let idle_cpu = idle_usage.cpu_micros / idle_usage.seconds * change_usage.seconds;
        println!(
            "{count:>9} {:>12.2} {:>12.2} {:>12.1} {:>14.0} {:>14.0} {:>14.1}",
            idle_usage.core_percent(),
            idle_usage.kilobytes_per_second(),
            end.resident as f64 / 1e6,
            (change_usage.cpu_micros - idle_cpu) / CHANGES as f64,
            change_usage.bytes / CHANGES as f64,
            longest_delay.as_secs_f64() * 1e3
        );
    }
}

fn watcher(deployment: &Deployment, number: usize) -> Arc<SettingsMirror> {
    let address = format!("{}:7601", deployment.ip).parse().expect("an address");
    let keeper = PeerAddress { name: InstanceName::parse("entry-0").expect("a name"), address };
    let client = KeeperClient::new(vec![keeper], TrafficCounter::default());
    SettingsMirror::start(Arc::new(client), &format!("watcher-{number}"))
}
