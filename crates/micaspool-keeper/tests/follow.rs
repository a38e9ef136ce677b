//! The messages that a keeper sends to its followers when many endpoints register.

use async_std::task;
use futures::future::join_all;
use micaspool_client::{AddressDirectory, FleetMirror, FleetMirrorOptions, PeerDirectory, StaticDirectory};
use micaspool_keeper::{start_keeper, KeeperDaemon, KeeperOptions, RegistryHub};
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::JsonFormat;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{EndpointName, HallName, Incarnation, InstanceName, ServiceName, SoftwareVersion};
use micaspool_wire::socket;
use micaspool_wire::v1::{keeper_client::KeeperClient, FollowRequest, PublishRequest};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;
use tonic::transport::Channel;

const ENDPOINTS: usize = 325;
/// The time over which all endpoints register.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(1);
/// The maximum rate of messages to a follower while endpoints register.
const MAX_MESSAGES_PER_SECOND: f64 = 10.0;
/// The number of messages allowed besides: one at each end, the first heartbeats, and one for a late
/// timer.
const OTHER_MESSAGES: usize = 4;

fn endpoint(number: usize) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::parse(&format!("engine-{number}")).expect("the name is valid"),
        identity: EndpointName::parse(&format!("engine-{number}")).expect("the name is valid"),
        incarnation: Incarnation(0),
        service: ServiceName::parse("modelo").expect("the name is valid"),
        hall: HallName::parse("sala").expect("the name is valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        stage: EndpointStage::Serving,
        slots: 12,
        sequence: 1,
        cold: Duration::ZERO,
        version: SoftwareVersion::default(),
    }
}

/// Connects with retries, as followers do: with hundreds of connections at once, a single attempt may
/// time out.
async fn connect(address: SocketAddr) -> Channel {
    loop {
        if let Ok(channel) = socket::connect(address, TrafficCounter::default()).await {
            return channel;
        }
        task::sleep(Duration::from_millis(200)).await;
    }
}

/// Follows until every endpoint has been received, and returns the number of messages with endpoints.
async fn count_messages_until_complete(address: SocketAddr) -> usize {
    let channel = connect(address).await;
    let request = FollowRequest { follower: "test".to_owned() };
    let mut news = KeeperClient::new(channel).follow(request).await.expect("the keeper answers").into_inner();
    let mut known = BTreeSet::new();
    let mut messages = 0;
    while known.len() < ENDPOINTS {
        let message = news.message().await.expect("the stream stays open").expect("the stream does not end");
        messages += usize::from(!message.endpoints.is_empty());
        known.extend(message.endpoints.into_iter().map(|endpoint| endpoint.name));
    }
    messages
}

/// Returns the options of a keeper that forms a group alone.
fn single_keeper_options(folder: PathBuf) -> KeeperOptions {
    let name = InstanceName::parse("127.0.0.1").expect("the name is valid");
    let directory: Arc<dyn PeerDirectory> = Arc::new(AddressDirectory { port: 1 });
    KeeperOptions::builder(name.clone(), vec![name], directory).data_folder(folder).build()
}

/// Registers all endpoints and returns the elapsed time. On a busy machine each sleep may take longer
/// than requested.
async fn register_all(hub: Arc<RegistryHub>) -> Duration {
    let start = Instant::now();
    for number in 0..ENDPOINTS {
        hub.register(endpoint(number));
        task::sleep(REGISTRATION_PERIOD / ENDPOINTS as u32).await;
    }
    start.elapsed()
}

#[test_case(30)]
#[test_case(100)]
#[test_case(300)]
fn registrations_in_a_burst_are_batched(followers: usize) {
    let folder = std::env::temp_dir().join(format!("micaspool-follow-{}-{followers}", std::process::id()));
    let options = single_keeper_options(folder.clone());
    let (messages, elapsed) = task::block_on(async {
        let keeper = start_keeper(options).await.expect("the keeper starts");
        let streams =
            join_all((0..followers).map(|_| task::spawn(count_messages_until_complete(keeper.wire))));
        let registering = task::spawn(register_all(keeper.hub().clone()));
        let messages = async_std::future::timeout(Duration::from_secs(20), streams).await;
        let elapsed = registering.await;
        keeper.stop().await;
        (messages.expect("every follower receives all endpoints"), elapsed)
    });
    let _ = std::fs::remove_dir_all(folder);
    let max_messages = messages.iter().max().expect("there is a follower");
    let allowed = (elapsed.as_secs_f64() * MAX_MESSAGES_PER_SECOND) as usize + OTHER_MESSAGES;
    assert!(
        *max_messages <= allowed,
        "{max_messages} messages to one of {followers} followers in {elapsed:?}"
    );
}

/// The interval at which each endpoint registers again.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(1_200);
/// How long the follower counts records.
const WATCH_PERIOD: Duration = Duration::from_millis(7_000);

/// Returns the number of endpoint records that a follower receives within [`WATCH_PERIOD`].
async fn count_records(address: SocketAddr) -> usize {
    let request = FollowRequest { follower: "test".to_owned() };
    let mut client = KeeperClient::new(connect(address).await);
    let mut news = client.follow(request).await.expect("the keeper answers").into_inner();
    let mut records = 0;
    let watching = async {
        while let Ok(Some(message)) = news.message().await {
            records += message.endpoints.len();
        }
    };
    let _ = async_std::future::timeout(WATCH_PERIOD, watching).await;
    records
}

async fn register_periodically(hub: Arc<RegistryHub>) {
    for sequence in 1.. {
        for number in 0..ENDPOINTS {
            hub.register(EndpointRecord { sequence, ..endpoint(number) });
        }
        task::sleep(REGISTRATION_INTERVAL).await;
    }
}

/// Guards against records of unchanged endpoints that are sent again: at 985 followers and 10,000 endpoints the keepers
/// sent 3.3 million records a second.
#[test]
fn unchanged_endpoints_are_sent_once() {
    let folder = std::env::temp_dir().join(format!("micaspool-follow-{}-once", std::process::id()));
    let options = single_keeper_options(folder.clone());
    let records = task::block_on(async {
        let keeper = start_keeper(options).await.expect("the keeper starts");
        task::spawn(register_periodically(keeper.hub().clone()));
        let records = count_records(keeper.wire).await;
        keeper.stop().await;
        records
    });
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(records, ENDPOINTS);
}

/// How long a mirror keeps an endpoint that no keeper vouches for.
const MAX_SILENCE: Duration = Duration::from_millis(300);

/// Starts a keeper that is a group of its own.
async fn start_single(name: &str) -> KeeperDaemon {
    let folder = std::env::temp_dir().join(format!("micaspool-follow-{}-{name}", std::process::id()));
    let name = InstanceName::parse(name).expect("the name is valid");
    let directory: Arc<dyn PeerDirectory> = Arc::new(AddressDirectory { port: 1 });
    let options = KeeperOptions::builder(name.clone(), vec![name], directory).data_folder(folder).build();
    start_keeper(options).await.expect("the keeper starts")
}

/// Starts a mirror that follows these keepers.
fn follow(keepers: &[(&str, &KeeperDaemon)]) -> Arc<FleetMirror> {
    let peers = keepers.iter().map(|(name, keeper)| PeerAddress {
        name: InstanceName::parse(name).expect("the name is valid"),
        address: keeper.wire,
    });
    let peers: Vec<PeerAddress> = peers.collect();
    FleetMirror::start(FleetMirrorOptions {
        follower: "test".to_owned(),
        seeds: peers.iter().map(|peer| peer.name.clone()).collect(),
        directory: Arc::new(StaticDirectory(peers)),
        format: Arc::new(JsonFormat),
        counter: TrafficCounter::default(),
        max_endpoint_silence: MAX_SILENCE,
    })
}

/// Waits until a mirror knows exactly these endpoints.
async fn wait_for(mirror: &FleetMirror, limit: Duration, expected: &[usize]) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        let known = (0..3).filter(|number| mirror.endpoint(&endpoint(*number).name).is_some());
        if known.eq(expected.iter().copied()) {
            return true;
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Endpoints register with one keeper and later with another; a lost keeper must not take the others' endpoints along.
#[test]
fn an_endpoint_is_kept_while_any_keeper_vouches_for_it() {
    task::block_on(async {
        let (one, other) = (start_single("10.0.0.1").await, start_single("10.0.0.2").await);
        one.hub().register(endpoint(0));
        one.hub().register(endpoint(1));
        other.hub().register(endpoint(1));
        let mirror = follow(&[("10.0.0.1", &one), ("10.0.0.2", &other)]);
        assert!(wait_for(&mirror, Duration::from_secs(5), &[0, 1]).await, "both are known");
        task::sleep(MAX_SILENCE * 5).await;
        assert!(wait_for(&mirror, Duration::ZERO + MAX_SILENCE, &[0, 1]).await, "both stand unchanged");
        one.stop().await;
        assert!(wait_for(&mirror, Duration::from_secs(8), &[1]).await, "only the other keeper's is left");
        task::sleep(MAX_SILENCE * 5).await;
        assert!(wait_for(&mirror, MAX_SILENCE, &[1]).await);
        other.stop().await;
    });
}

#[test]
fn an_endpoint_that_stops_registering_is_removed_and_returns() {
    task::block_on(async {
        let keeper = start_single("10.0.0.3").await;
        let mirror = follow(&[("10.0.0.3", &keeper)]);
        let hub = keeper.hub().clone();
        hub.register(endpoint(0));
        let alive = task::spawn(async move {
            for sequence in 2.. {
                hub.register(EndpointRecord { sequence, ..endpoint(1) });
                task::sleep(REGISTRATION_INTERVAL).await;
            }
        });
        assert!(wait_for(&mirror, Duration::from_secs(5), &[0, 1]).await, "both are known");
        assert!(wait_for(&mirror, Duration::from_secs(15), &[1]).await, "the silent one is removed");
        keeper.hub().register(EndpointRecord { sequence: 2, ..endpoint(0) });
        assert!(wait_for(&mirror, Duration::from_secs(5), &[0, 1]).await, "it is known again");
        alive.cancel().await;
        keeper.stop().await;
    });
}

/// Publishes a plan without routes under a number.
async fn publish(name: &str, keeper: &KeeperDaemon, number: u64) {
    let peer =
        PeerAddress { name: InstanceName::parse(name).expect("the name is valid"), address: keeper.wire };
    let client = micaspool_client::KeeperClient::new(vec![peer], TrafficCounter::default());
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

/// A follower takes the newest plan, whichever keeper holds it, and keeps it when that keeper is gone.
#[test]
fn the_newest_plan_is_fetched_from_a_keeper_that_holds_it() {
    task::block_on(async {
        let (one, other) = (start_single("10.0.0.4").await, start_single("10.0.0.5").await);
        let mirror = follow(&[("10.0.0.4", &one), ("10.0.0.5", &other)]);
        for (name, keeper, number) in [("10.0.0.4", &one, 5), ("10.0.0.5", &other, 7), ("10.0.0.4", &one, 6)]
        {
            publish(name, keeper, number).await;
            let start = Instant::now();
            while mirror.plan().number < number && start.elapsed() < Duration::from_secs(2) {
                task::sleep(Duration::from_millis(10)).await;
            }
            assert!(mirror.plan().number >= number, "plan {number} in force within two seconds");
        }
        other.stop().await;
        assert_eq!(mirror.plan().number, 7);
        one.stop().await;
    });
}

/// Returns the names in the first message with endpoints, or none within a second.
async fn first_names(address: SocketAddr) -> Vec<String> {
    let request = FollowRequest { follower: "test".to_owned() };
    let mut client = KeeperClient::new(connect(address).await);
    let mut news = client.follow(request).await.expect("the keeper answers").into_inner();
    let first = async {
        while let Ok(Some(message)) = news.message().await {
            if !message.endpoints.is_empty() {
                return message.endpoints.into_iter().map(|endpoint| endpoint.name).collect();
            }
        }
        Vec::new()
    };
    async_std::future::timeout(Duration::from_secs(1), first).await.unwrap_or_default()
}

/// Guards against departures that each keeper tells its followers, and against one that no keeper tells.
#[test]
fn a_confirmed_departure_is_told_by_the_keepers_that_vouched_for_the_endpoint_and_by_the_leader() {
    let folder = std::env::temp_dir().join(format!("micaspool-follow-{}-departures", std::process::id()));
    let options = single_keeper_options(folder.clone());
    task::block_on(async {
        let keeper = start_keeper(options).await.expect("the keeper starts");
        let hub = keeper.hub().clone();
        hub.register(endpoint(1));
        for number in [1, 2, 3] {
            let left = EndpointRecord { stage: EndpointStage::Left, ..endpoint(number) };
            hub.confirm(&left, number == 3);
            assert_eq!(hub.unconfirmed_departure(&left.name), None);
        }
        assert_eq!(first_names(keeper.wire).await, ["engine-1", "engine-3"]);
        // A heartbeat from before the departure.
        hub.register(endpoint(2));
        assert_eq!(first_names(keeper.wire).await, ["engine-1", "engine-3"]);
        keeper.stop().await;
    });
    let _ = std::fs::remove_dir_all(folder);
}
