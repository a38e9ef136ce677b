//! The time until keepers that start together have a leader again, and their followers a plan.

use async_std::task;
use micaspool_client::{
    AddressDirectory, FleetMirror, FleetMirrorOptions, KeeperClient, PeerDirectory, StaticDirectory,
};
use micaspool_keeper::{start_keeper, KeeperDaemon, KeeperOptions};
use micaspool_quorum::OpenGroupOptions;
use micaspool_routes::JsonFormat;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::v1::PublishRequest;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const FIRST_PORT: u16 = 17_660;
const ROUNDS: u16 = 5;
/// The shortest election timeout. Keepers that wait one out take longer in every round.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// A data folder that is removed on drop.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address of this process, so that two runs at the same time don't bind the same one.
fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 77, (std::process::id() % 251) as u8, number))
}

fn name(number: u8) -> InstanceName {
    AddressDirectory::name(address(number)).expect("an address is a valid name")
}

async fn keeper(number: u8, port: u16, folder: &TemporaryFolder) -> KeeperDaemon {
    let directory: Arc<dyn PeerDirectory> = Arc::new(AddressDirectory { port });
    let options = KeeperOptions::builder(name(number), (1..=3).map(name).collect(), directory)
        .wire(SocketAddr::new(address(number), port))
        .data_folder(folder.0.clone())
        .open_group(OpenGroupOptions::tolerating(1))
        .build();
    start_keeper(options).await.expect("the keeper starts")
}

fn is_confirmed(keeper: &KeeperDaemon) -> bool {
    let state: serde_json::Value =
        serde_json::from_str(&keeper.status_source().state()).expect("the state is JSON");
    state["confirmed"] == true
}

/// Starts all keepers from their folders, stops them once all are confirmed, and returns how long that took.
async fn start_and_stop(port: u16, folders: &[TemporaryFolder]) -> Duration {
    let started = Instant::now();
    let mut keepers = Vec::new();
    for (number, folder) in (1..).zip(folders) {
        keepers.push(keeper(number, port, folder).await);
    }
    while !keepers.iter().all(is_confirmed) {
        assert!(started.elapsed() < Duration::from_secs(15), "no confirmed group within 15 s");
        task::sleep(Duration::from_millis(5)).await;
    }
    let took = started.elapsed();
    for keeper in keepers {
        keeper.stop().await;
    }
    took
}

/// Guards against keepers that wait out an election timeout after a power loss of all of them, for example because probes
/// are sent too rarely or lost while streams are opened. The median leaves room for a busy machine.
#[test]
fn keepers_that_restart_together_are_confirmed_within_an_election_timeout() {
    let folder = |number: u8| {
        TemporaryFolder(
            std::env::temp_dir().join(format!("micaspool-restart-{}-{number}", std::process::id())),
        )
    };
    let folders: Vec<TemporaryFolder> = (1..=3).map(folder).collect();
    task::block_on(start_and_stop(FIRST_PORT, &folders));
    let mut times: Vec<Duration> =
        (1..=ROUNDS).map(|round| task::block_on(start_and_stop(FIRST_PORT + round, &folders))).collect();
    println!("confirmed after {times:?}");
    times.sort();
    assert!(times[times.len() / 2] < ELECTION_TIMEOUT, "confirmed only after {times:?}");
}

/// The bound on the time from the start of all processes to a plan in force, for most of them: of the second in which a
/// fleet is to be back, the streams to shards, their recovery window and the engines' lists need more than half.
const PLAN_BOUND: Duration = Duration::from_millis(400);
const FOLLOWERS: usize = 12;

fn peers(port: u16) -> Vec<PeerAddress> {
    let peer = |number| PeerAddress { name: name(number), address: SocketAddr::new(address(number), port) };
    (1..=3).map(peer).collect()
}

async fn publish(port: u16) {
    let client = KeeperClient::new(peers(port), TrafficCounter::default());
    let document = "{\"number\":1,\"plan\":{\"routes\":[],\"services\":[],\"customers\":[],\"capacity\":0,\
                    \"limits\":{\"head_bytes\":1,\"body_bytes\":1,\"head_ms\":1,\"idle_ms\":1}}}";
    let request = PublishRequest { number: 1, document: document.to_owned() };
    let start = Instant::now();
    while client.publish(request.clone(), Duration::from_secs(1)).await.is_err() {
        assert!(start.elapsed() < Duration::from_secs(10), "the keepers take the plan");
        task::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts followers and, a moment later, all keepers. Returns how long after the start each follower has a plan.
async fn start_with_followers(port: u16, folders: &[TemporaryFolder]) -> Vec<Duration> {
    let started = Instant::now();
    let follow = |number: usize| {
        FleetMirror::start(FleetMirrorOptions {
            follower: format!("gateway-{number}"),
            seeds: (1..=3).map(name).collect(),
            directory: Arc::new(StaticDirectory(peers(port))),
            format: Arc::new(JsonFormat),
            counter: TrafficCounter::default(),
            max_endpoint_silence: Duration::from_secs(10),
        })
    };
    let mirrors: Vec<Arc<FleetMirror>> = (0..FOLLOWERS).map(follow).collect();
    let mut keepers = Vec::new();
    for (number, folder) in (1..).zip(folders) {
        keepers.push(keeper(number, port, folder).await);
    }
    let mut times = vec![None; FOLLOWERS];
    while times.contains(&None) {
        assert!(started.elapsed() < Duration::from_secs(15), "no plan within 15 s");
        for (time, mirror) in times.iter_mut().zip(&mirrors) {
            if time.is_none() && mirror.has_plan() {
                *time = Some(started.elapsed());
            }
        }
        task::sleep(Duration::from_millis(2)).await;
    }
    for keeper in keepers {
        keeper.stop().await;
    }
    times.into_iter().flatten().collect()
}

/// Guards against waiting times between the start of all processes and a plan in force that are not those of an election:
/// late reconnects, and followers that wait for the keeper that they prefer. The plan is in the log and not in a snapshot,
/// so that no keeper announces it before a majority has committed the first entry of a leader.
#[test]
fn followers_have_the_plan_soon_after_all_processes_restart() {
    let folder = |number: u8| {
        TemporaryFolder(std::env::temp_dir().join(format!("micaspool-plan-{}-{number}", std::process::id())))
    };
    let folders: Vec<TemporaryFolder> = (1..=3).map(folder).collect();
    let first_port = FIRST_PORT + 10;
    task::block_on(async {
        let mut keepers = Vec::new();
        for (number, folder) in (1..).zip(&folders) {
            keepers.push(keeper(number, first_port, folder).await);
        }
        publish(first_port).await;
        for keeper in keepers {
            keeper.stop().await;
        }
    });
    let mut medians = Vec::new();
    for round in 1..=ROUNDS {
        let mut times = task::block_on(start_with_followers(first_port + round, &folders));
        times.sort();
        println!("plan in force after {times:?}");
        medians.push(times[times.len() / 2]);
    }
    medians.sort();
    assert!(medians[medians.len() / 2] < PLAN_BOUND, "plan in force only after {medians:?}");
}
