//! Planned stops of keepers whose successors have never exchanged a message with one another.

use async_std::task;
use micaspool_client::{AddressDirectory, PeerDirectory};
use micaspool_keeper::{start_keeper, KeeperDaemon, KeeperOptions};
use micaspool_quorum::OpenGroupOptions;
use micaspool_types::InstanceName;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const FIRST_PORT: u16 = 17_760;
const ROUNDS: u16 = 3;
/// The keepers that form the group. As many successors join it.
const FORMING: u8 = 3;
/// The shortest election timeout. A hand-over whose votes are lost takes longer.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for a group to form and for successors to join it.
const JOIN_LIMIT: Duration = Duration::from_secs(15);

/// A data folder that is removed on drop.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address of this process, so that two runs at the same time don't bind the same one.
fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 76, (std::process::id() % 251) as u8, number))
}

fn name(number: u8) -> InstanceName {
    AddressDirectory::name(address(number)).expect("an address is a valid name")
}

async fn keeper(number: u8, port: u16, folder: &TemporaryFolder) -> KeeperDaemon {
    let directory: Arc<dyn PeerDirectory> = Arc::new(AddressDirectory { port });
    let options = KeeperOptions::builder(name(number), (1..=FORMING).map(name).collect(), directory)
        .wire(SocketAddr::new(address(number), port))
        .data_folder(folder.0.join(number.to_string()))
        .may_form_group(number <= FORMING)
        .open_group(OpenGroupOptions::tolerating(1))
        .build();
    start_keeper(options).await.expect("the keeper starts")
}

fn voters(keeper: &KeeperDaemon) -> usize {
    let state: serde_json::Value =
        serde_json::from_str(&keeper.status_source().state()).expect("the state is JSON");
    let members = state["members"].as_array().expect("a list of members");
    members.iter().filter(|member| member["voter"] == true).count()
}

/// Moves a group to successors, one keeper after the other, and returns the longest time that a keeper took to leave.
async fn move_group(port: u16, folder: &TemporaryFolder) -> Duration {
    let mut keepers = Vec::new();
    for number in 1..=2 * FORMING {
        keepers.push(keeper(number, port, folder).await);
    }
    let started = Instant::now();
    while !keepers.iter().all(|keeper| voters(keeper) == keepers.len()) {
        assert!(started.elapsed() < JOIN_LIMIT, "the successors have not joined within {JOIN_LIMIT:?}");
        task::sleep(Duration::from_millis(20)).await;
    }
    let mut longest = Duration::ZERO;
    for keeper in keepers.drain(..usize::from(FORMING)) {
        let asked = Instant::now();
        keeper.leave().await;
        longest = longest.max(asked.elapsed());
        keeper.stop().await;
        // The next one leads long enough to hand over at once.
        task::sleep(ELECTION_TIMEOUT).await;
    }
    for keeper in keepers {
        keeper.stop().await;
    }
    longest
}

/// Guards against votes that are lost because they open the stream to their receiver. The median leaves room for a busy
/// machine.
#[test]
fn successors_that_never_met_elect_a_leader_without_a_timeout() {
    let path = std::env::temp_dir().join(format!("micaspool-handover-{}", std::process::id()));
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|round| {
            let folder = TemporaryFolder(path.clone());
            task::block_on(move_group(FIRST_PORT + round, &folder))
        })
        .collect();
    println!("left after {times:?}");
    times.sort();
    assert!(times[times.len() / 2] < ELECTION_TIMEOUT, "left only after {times:?}");
}
