//! The exchange between keepers while the executors of their processes are overloaded.
//!
//! Guards against leaders that step down every 0.5 to 1.3 s and so delay plans. This happened while the
//! exchange shared the executor of the process: after all keepers had been down for two seconds, 295
//! gateways and 325 endpoints reconnected at once, and the leader's messages queued behind their
//! requests for longer than the election timeout of 500 ms. It went on for the rest of the day.

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
/// How long a busy task runs before it yields. 50 ms of work take 170 ms at 0.3 of a core.
const BUSY_PERIOD: Duration = Duration::from_millis(170);
/// The number of busy tasks on each executor.
const BUSY_TASKS: usize = 8;

/// A data folder that is removed on drop.
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
    AddressDirectory::name(address(number)).expect("an address is a valid name")
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
    (start_keeper(options).await.expect("the keeper starts"), TemporaryFolder(folder))
}

fn state(keeper: &KeeperDaemon) -> serde_json::Value {
    serde_json::from_str(&keeper.status_source().state()).expect("the state is JSON")
}

/// Waits until all keepers are confirmed by a majority and returns the term of the first.
async fn confirmed_term(keepers: &[KeeperDaemon]) -> u64 {
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        let states: Vec<_> = keepers.iter().map(state).collect();
        if states.iter().all(|state| state["confirmed"] == true) {
            return states[0]["term"].as_u64().expect("the term is a number");
        }
        assert!(Instant::now() < end, "no confirmed group within 15 s: {states:?}");
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Keeps a thread of the executor busy forever, yielding after each [`BUSY_PERIOD`].
async fn busy_loop() {
    loop {
        let end = Instant::now() + BUSY_PERIOD;
        while Instant::now() < end {
            std::hint::spin_loop();
        }
        task::yield_now().await;
    }
}

#[test]
fn leader_is_stable_while_its_executor_is_overloaded() {
    for variable in ["ASYNC_STD_THREAD_COUNT", "TOKIO_WORKER_THREADS"] {
        std::env::set_var(variable, "1");
    }
    let started = task::block_on(async { [keeper(1).await, keeper(2).await, keeper(3).await] });
    let (keepers, _folders): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    let before = task::block_on(confirmed_term(&keepers));
    task::block_on(async {
        for _ in 0..BUSY_TASKS {
            task::spawn(busy_loop());
            tokio::spawn(busy_loop());
        }
    });
    std::thread::sleep(Duration::from_secs(4));
    let after: Vec<u64> =
        keepers.iter().map(|keeper| state(keeper)["term"].as_u64().expect("the term is a number")).collect();
    assert_eq!(after, [before; 3], "another election took place");
    assert!(keepers.iter().all(|keeper| state(keeper)["confirmed"] == true));
}
