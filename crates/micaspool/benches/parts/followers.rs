//! Measures what the followers of a keeper cost when many endpoints are registered: the first messages, and rest.
//!
//! Keeper and followers share this process, so that the figures include both sides.

use super::usage::{cpu_time, resident};
use async_std::task;
use micaspool::client::{AddressDirectory, PeerDirectory};
use micaspool::keeper::{start_keeper, KeeperDaemon, KeeperOptions, RegistryHub};
use micaspool::telemetry::traffic::TrafficCounter;
use micaspool::types::{EndpointName, HallName, Incarnation, InstanceName, ServiceName, SoftwareVersion};
use micaspool::wire::socket;
use micaspool::wire::v1::{keeper_client::KeeperClient, FollowRequest};
use micaspool_registry::{EndpointRecord, EndpointStage};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The endpoints that register at this keeper.
const ENDPOINTS: usize = 10_000;
/// The interval at which each endpoint registers again.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(1_200);
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The largest message accepted from a keeper, in bytes.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;

/// What all followers have received.
#[derive(Debug, Default)]
struct Received {
    messages: AtomicUsize,
    records: AtomicUsize,
}

pub async fn run() {
    println!("followers of one keeper at which {ENDPOINTS} endpoints register, both sides together");
    println!(
        "{:>9} {:>12} {:>12} {:>12} {:>16} {:>16}",
        "followers", "s to know", "resident MB", "idle core %", "messages/s each", "records/s each"
    );
    for count in [50, 150, 420, 985, 1_970] {
        measure(count).await;
    }
}

async fn measure(followers: usize) {
    let folder = std::env::temp_dir().join(format!("micaspool-followers-{}-{followers}", std::process::id()));
    let name = InstanceName::parse("127.0.0.1").expect("a name");
    let directory: Arc<dyn PeerDirectory> = Arc::new(AddressDirectory { port: 1 });
    let options = KeeperOptions::builder(name.clone(), vec![name], directory).data_folder(folder.clone());
    let keeper = start_keeper(options.build()).await.expect("the keeper starts");
    let registering = task::spawn(register_all(keeper.hub().clone()));
    task::sleep(REGISTRATION_INTERVAL).await;
    let started = Instant::now();
    let received: Arc<Received> = Arc::default();
    let streams: Vec<_> =
        (0..followers).map(|_| task::spawn(follow(keeper.wire, received.clone()))).collect();
    while received.records.load(Ordering::Relaxed) < followers * ENDPOINTS {
        task::sleep(Duration::from_millis(10)).await;
    }
    let known_after = started.elapsed();
    task::sleep(Duration::from_secs(2)).await;
    let (cpu, messages, records) = snapshot(&received);
    task::sleep(IDLE_TIME).await;
    let (cpu_after, messages_after, records_after) = snapshot(&received);
    let each = |total: usize| total as f64 / IDLE_TIME.as_secs_f64() / followers as f64;
    println!(
        "{followers:>9} {:>12.2} {:>12.1} {:>12.2} {:>16.2} {:>16.2}",
        known_after.as_secs_f64(),
        resident(std::process::id()) as f64 / 1e6,
        (cpu_after - cpu).as_secs_f64() / IDLE_TIME.as_secs_f64() * 100.0,
        each(messages_after - messages),
        each(records_after - records),
    );
    for stream in streams {
        stream.cancel().await;
    }
    registering.cancel().await;
    stop(keeper, folder).await;
}

fn snapshot(received: &Received) -> (Duration, usize, usize) {
    let messages = received.messages.load(Ordering::Relaxed);
    (cpu_time(std::process::id()), messages, received.records.load(Ordering::Relaxed))
}

async fn stop(keeper: KeeperDaemon, folder: std::path::PathBuf) {
    keeper.stop().await;
    let _ = std::fs::remove_dir_all(folder);
}

/// Registers every endpoint once per interval, spread over the interval.
async fn register_all(hub: Arc<RegistryHub>) {
    const STEPS: usize = 100;
    for sequence in 1.. {
        for step in 0..STEPS {
            for number in (step..ENDPOINTS).step_by(STEPS) {
                hub.register(endpoint(number, sequence));
            }
            task::sleep(REGISTRATION_INTERVAL / STEPS as u32).await;
        }
    }
}

/// Follows the keeper and counts what arrives. A connection that can't be made at once is tried again.
async fn follow(address: SocketAddr, received: Arc<Received>) {
    let channel = loop {
        match socket::connect(address, TrafficCounter::default()).await {
            Ok(channel) => break channel,
            Err(_) => task::sleep(Duration::from_millis(100)).await,
        }
    };
    let request = FollowRequest { follower: "bench".to_owned() };
    let mut client = KeeperClient::new(channel).max_decoding_message_size(MAX_MESSAGE);
    let mut news = client.follow(request).await.expect("the keeper answers").into_inner();
    while let Ok(Some(message)) = news.message().await {
        received.messages.fetch_add(1, Ordering::Relaxed);
        received.records.fetch_add(message.endpoints.len(), Ordering::Relaxed);
    }
}

fn endpoint(number: usize, sequence: u64) -> EndpointRecord {
    let name = EndpointName::parse(&format!("engine-{number}")).expect("a name");
    EndpointRecord {
        identity: name.clone(),
        name,
        incarnation: Incarnation(0),
        service: ServiceName::parse("modelo").expect("a name"),
        hall: HallName::parse("sala").expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        stage: EndpointStage::Serving,
        slots: 16,
        sequence,
        cold: Duration::ZERO,
        version: SoftwareVersion::default(),
    }
}
