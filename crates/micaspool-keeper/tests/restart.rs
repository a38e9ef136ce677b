//! The time until keepers that start together have a leader again.

use async_std::task;
use micaspool_client::{AddressDirectory, PeerDirectory};
use micaspool_keeper::{start_keeper, KeeperDaemon, KeeperOptions};
use micaspool_quorum::OpenGroupOptions;
use micaspool_types::InstanceName;
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

fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 77, number))
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
