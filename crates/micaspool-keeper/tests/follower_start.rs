//! How soon a follower that starts with its keepers has connections and a plan.

use async_std::net::TcpListener;
use async_std::task;
use micaspool_client::{
    FleetMirror, FleetMirrorOptions, KeeperClient, KeeperConnection, PeerDirectory, StaticDirectory,
};
use micaspool_keeper::{start_keeper, KeeperDaemon, KeeperOptions};
use micaspool_routes::JsonFormat;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::v1::PublishRequest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const FIRST_PORT: u16 = 17_700;

fn peer(number: u16) -> PeerAddress {
    PeerAddress {
        name: InstanceName::parse(&format!("10.0.1.{number}")).expect("the name is valid"),
        // An address of this process, so that two runs at the same time don't bind the same one.
        address: SocketAddr::from(([127, 78, (std::process::id() % 251) as u8, 1], FIRST_PORT + number)),
    }
}

/// Starts a keeper that is a group of its own, at the address of its peer entry.
async fn start_single(number: u16) -> KeeperDaemon {
    let folder = std::env::temp_dir().join(format!("micaspool-start-{}-{number}", std::process::id()));
    let PeerAddress { name, address } = peer(number);
    let directory: Arc<dyn PeerDirectory> = Arc::new(StaticDirectory(vec![peer(number)]));
    let options =
        KeeperOptions::builder(name.clone(), vec![name], directory).wire(address).data_folder(folder).build();
    start_keeper(options).await.expect("the keeper starts")
}

fn follow(follower: &str, peers: Vec<PeerAddress>) -> Arc<FleetMirror> {
    FleetMirror::start(FleetMirrorOptions {
        follower: follower.to_owned(),
        seeds: peers.iter().map(|peer| peer.name.clone()).collect(),
        directory: Arc::new(StaticDirectory(peers)),
        format: Arc::new(JsonFormat),
        counter: TrafficCounter::default(),
        max_endpoint_silence: Duration::from_secs(10),
    })
}

/// Waits until a condition holds and returns how long that took. Panics after ten seconds.
async fn time_until(condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10), "the condition holds within 10 s");
        task::sleep(Duration::from_millis(2)).await;
    }
    start.elapsed()
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Guards against followers that try a keeper again only 200 ms after a first refusal. Until they are connected they hear
/// of no plan and rank the dispatcher of that keeper last. A listener stands in for the keeper, whose start takes a time of
/// its own. The median leaves room for a busy machine.
#[test]
fn follower_tries_a_keeper_soon_after_it_was_refused() {
    const HEAD_START: Duration = Duration::from_millis(60);
    const LIMIT: Duration = Duration::from_millis(80);
    let mut times = Vec::new();
    for number in 1..=5 {
        times.push(task::block_on(async {
            let _mirror = follow("early", vec![peer(number)]);
            task::sleep(HEAD_START).await;
            let listener = TcpListener::bind(peer(number).address).await.expect("the port is free");
            let start = Instant::now();
            listener.accept().await.expect("the follower connects");
            start.elapsed()
        }));
    }
    println!("tried again after {times:?}");
    assert!(median(times.clone()) < LIMIT, "tried again only after {times:?}");
}

/// Guards against a keeper that starts some hundred milliseconds after its followers and counts as lost for them: routers
/// then leave its dispatcher alone for another 0.6 s and use a worse one.
#[test]
fn keeper_that_was_never_reached_is_pending_at_first_and_lost_later() {
    task::block_on(async {
        let mirror = follow("early", vec![peer(10)]);
        let connection = || mirror.keepers()[0].connection;
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(300) {
            let seen = connection();
            // The process may have been delayed for longer between the two statements.
            assert!(seen == KeeperConnection::Pending || started.elapsed() > Duration::from_millis(400));
            task::sleep(Duration::from_millis(10)).await;
        }
        time_until(|| connection() == KeeperConnection::Lost).await;
    });
}

/// Guards against routers that start together and choose different dispatchers, since some keepers have not heard the new
/// leader yet. A keeper without a majority counts as cut off only later.
#[test]
fn keeper_without_a_majority_is_settling_at_first() {
    task::block_on(async {
        let folder = std::env::temp_dir().join(format!("micaspool-start-{}-30", std::process::id()));
        let directory: Arc<dyn PeerDirectory> = Arc::new(StaticDirectory(Vec::new()));
        let group = vec![peer(30).name, peer(31).name];
        let options = KeeperOptions::builder(peer(30).name, group, directory)
            .wire(peer(30).address)
            .data_folder(folder)
            .build();
        let keeper = start_keeper(options).await.expect("the keeper starts");
        let started = Instant::now();
        let mirror = follow("early", vec![peer(30)]);
        let status = || mirror.keepers().remove(0);
        time_until(|| status().is_connected()).await;
        // The process may have been delayed for longer before the check.
        assert!(status().settling || started.elapsed() > Duration::from_millis(900));
        time_until(|| !status().settling).await;
        assert!(started.elapsed() >= Duration::from_millis(900), "settling ends a second after the start");
        assert!(status().is_connected() && !status().recently_confirmed);
        keeper.stop().await;
    });
}

async fn publish(keeper: PeerAddress, number: u64) {
    let client = KeeperClient::new(vec![keeper], TrafficCounter::default());
    let plan = "{\"routes\":[],\"services\":[],\"customers\":[],\"capacity\":0,\"limits\":{\"head_bytes\":1,\
                \"body_bytes\":1,\"head_ms\":1,\"idle_ms\":1}}";
    let document = format!("{{\"number\":{number},\"plan\":{plan}}}");
    let start = Instant::now();
    loop {
        let request = PublishRequest { number, document: document.clone() };
        if client.publish(request, Duration::from_secs(1)).await.is_ok() {
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(10), "the keeper takes the plan");
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against followers without any plan that wait for the keeper that they prefer although another one has the plan.
/// Until then they refuse all requests. About half of the followers prefer the keeper without a plan.
#[test]
fn follower_without_a_plan_does_not_wait_long_for_its_preferred_keeper() {
    const LIMIT: Duration = Duration::from_millis(120);
    task::block_on(async {
        let (with_plan, without_plan) = (start_single(20).await, start_single(21).await);
        let followers: Vec<Arc<FleetMirror>> =
            (0..16).map(|number| follow(&format!("gateway-{number}"), vec![peer(20), peer(21)])).collect();
        for mirror in &followers {
            time_until(|| mirror.keepers().iter().all(|keeper| keeper.is_connected())).await;
        }
        publish(peer(20), 1).await;
        let start = Instant::now();
        let mut times = Vec::new();
        for mirror in &followers {
            time_until(|| mirror.has_plan()).await;
            times.push(start.elapsed());
        }
        println!("plan in force after {times:?}");
        assert!(median(times.clone()) < LIMIT, "plan in force only after {times:?}");
        with_plan.stop().await;
        without_plan.stop().await;
    });
}
