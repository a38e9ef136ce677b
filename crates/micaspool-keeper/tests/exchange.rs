//! A group of keepers whose processes are at work on everything else.
//!
//! Symptom: after all keepers had been away for two seconds, leaders lasted 0.5 to 1.3 s for the rest of the
//! day, and plans waited. Sequence: 295 gateways and 325 endpoints came back at once; the executor worked
//! through what they sent in the order of arrival; the leader's messages waited there for longer than the
//! 500 ms after which it steps down. Cause: the exchange between keepers shared that executor.

use async_std::task;
use micaspool_client::{AddressDirectory, PeerDirectory};
use micaspool_keeper::{start_keeper, ExchangeAddresses, KeeperDaemon, KeeperOptions};
use micaspool_quorum::OpenGroupOptions;
use micaspool_types::InstanceName;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PORT: u16 = 17_640;
const EXCHANGE_PORT: u16 = 17_641;
/// How long a piece of other work takes. At 0.3 of a core 50 ms of work take 170 ms.
const WORK: Duration = Duration::from_millis(170);
/// How much other work waits at any time.
const WAITING_WORK: usize = 8;

/// A data folder that is removed at the end.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 76, number))
}

fn name(number: u8) -> InstanceName {
    AddressDirectory::name(address(number)).expect("addresses are names")
}

fn directory(port: u16) -> Arc<dyn PeerDirectory> {
    Arc::new(AddressDirectory { port })
}

async fn keeper(number: u8) -> (KeeperDaemon, TemporaryFolder) {
    let folder = std::env::temp_dir().join(format!("micaspool-exchange-{}-{number}", std::process::id()));
    let seeds = (1..=3).map(name).collect();
    let options = KeeperOptions::builder(name(number), seeds, directory(PORT))
        .wire(SocketAddr::new(address(number), PORT))
        .exchange(Some(ExchangeAddresses {
            own: SocketAddr::new(address(number), EXCHANGE_PORT),
            directory: directory(EXCHANGE_PORT),
        }))
        .data_folder(folder.clone())
        .open_group(OpenGroupOptions::tolerating(1))
        .build();
    (start_keeper(options).await.expect("it starts"), TemporaryFolder(folder))
}

fn state(keeper: &KeeperDaemon) -> serde_json::Value {
    serde_json::from_str(&keeper.status_source().state()).expect("the state is JSON")
}

/// The term, once all keepers confirm it.
async fn confirmed_term(keepers: &[KeeperDaemon]) -> u64 {
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        let states: Vec<_> = keepers.iter().map(state).collect();
        if states.iter().all(|state| state["confirmed"] == true) {
            return states[0]["term"].as_u64().expect("a number");
        }
        assert!(Instant::now() < end, "no group within 15 s: {states:?}");
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Work that never ends, in pieces.
async fn work() {
    loop {
        let end = Instant::now() + WORK;
        while Instant::now() < end {
            std::hint::spin_loop();
        }
        task::yield_now().await;
    }
}

#[test]
fn a_leader_stays_while_its_process_has_more_other_work_than_it_can_do() {
    for variable in ["ASYNC_STD_THREAD_COUNT", "TOKIO_WORKER_THREADS"] {
        std::env::set_var(variable, "1");
    }
    let started = task::block_on(async { [keeper(1).await, keeper(2).await, keeper(3).await] });
    let (keepers, _folders): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    let before = task::block_on(confirmed_term(&keepers));
    task::block_on(async {
        for _ in 0..WAITING_WORK {
            task::spawn(work());
            tokio::spawn(work());
        }
    });
    std::thread::sleep(Duration::from_secs(4));
    let after: Vec<u64> =
        keepers.iter().map(|keeper| state(keeper)["term"].as_u64().expect("a number")).collect();
    assert_eq!(after, [before; 3], "no other election");
    assert!(keepers.iter().all(|keeper| state(keeper)["confirmed"] == true));
}
