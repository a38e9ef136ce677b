//! What a keeper tells its followers when a whole fleet returns at once.

use async_std::task;
use futures::future::join_all;
use micaspool_client::{AddressDirectory, PeerDirectory};
use micaspool_keeper::{start_keeper, KeeperOptions, RegistryHub};
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{EndpointName, HallName, Incarnation, InstanceName, ServiceName};
use micaspool_wire::socket;
use micaspool_wire::v1::{keeper_client::KeeperClient, FollowRequest};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;
use tonic::transport::Channel;

const ENDPOINTS: usize = 325;
/// How long all of them take to register.
const RETURN: Duration = Duration::from_secs(1);
/// How many messages a follower gets while endpoints register, in a second.
const MESSAGES_A_SECOND: f64 = 10.0;
/// One at each end, the first pulses, and one for a late timer.
const OTHER_MESSAGES: usize = 4;

fn endpoint(number: usize) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::parse(&format!("engine-{number}")).expect("a name"),
        identity: EndpointName::parse(&format!("engine-{number}")).expect("a name"),
        incarnation: Incarnation(0),
        service: ServiceName::parse("modelo").expect("a name"),
        hall: HallName::parse("sala").expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        stage: EndpointStage::Serving,
        slots: 12,
        sequence: 1,
        cold: Duration::ZERO,
    }
}

/// Connects as a mirror does, which tries again: hundreds at once may wait longer than one try lasts.
async fn connect(address: SocketAddr) -> Channel {
    loop {
        if let Ok(channel) = socket::connect(address, TrafficCounter::default()).await {
            return channel;
        }
        task::sleep(Duration::from_millis(200)).await;
    }
}

/// Follows until every endpoint is known; gives how many messages named some.
async fn follow(address: SocketAddr) -> usize {
    let channel = connect(address).await;
    let request = FollowRequest { follower: "test".to_owned(), number: 0 };
    let mut news = KeeperClient::new(channel).follow(request).await.expect("it answers").into_inner();
    let mut known = BTreeSet::new();
    let mut messages = 0;
    while known.len() < ENDPOINTS {
        let message = news.message().await.expect("the stream lasts").expect("it does not end");
        messages += usize::from(!message.endpoints.is_empty());
        known.extend(message.endpoints.into_iter().map(|endpoint| endpoint.name));
    }
    messages
}

/// Options of a keeper that is its whole group.
fn alone(folder: PathBuf) -> KeeperOptions {
    let name = InstanceName::parse("127.0.0.1").expect("a name");
    let directory: Arc<dyn PeerDirectory> = Arc::new(AddressDirectory { port: 1 });
    KeeperOptions::builder(name.clone(), vec![name], directory).data_folder(folder).build()
}

/// Gives how long it took: each pause may be longer than asked for where the machine is busy.
async fn register_all(hub: Arc<RegistryHub>) -> Duration {
    let began = Instant::now();
    for number in 0..ENDPOINTS {
        hub.register(endpoint(number));
        task::sleep(RETURN / ENDPOINTS as u32).await;
    }
    began.elapsed()
}

#[test_case(30)]
#[test_case(100)]
#[test_case(300)]
fn endpoints_that_return_at_once_are_told_in_a_few_messages(followers: usize) {
    let folder = std::env::temp_dir().join(format!("micaspool-follow-{}-{followers}", std::process::id()));
    let options = alone(folder.clone());
    let (messages, took) = task::block_on(async {
        let keeper = start_keeper(options).await.expect("it starts");
        let streams = join_all((0..followers).map(|_| task::spawn(follow(keeper.wire))));
        let registering = task::spawn(register_all(keeper.hub().clone()));
        let messages = async_std::future::timeout(Duration::from_secs(20), streams).await;
        let took = registering.await;
        keeper.stop().await;
        (messages.expect("all are told"), took)
    });
    let _ = std::fs::remove_dir_all(folder);
    let most = messages.iter().max().expect("there are followers");
    let allowed = (took.as_secs_f64() * MESSAGES_A_SECOND) as usize + OTHER_MESSAGES;
    assert!(*most <= allowed, "{most} messages to one of {followers} followers in {took:?}");
}

/// How often each endpoint registers.
const BEAT: Duration = Duration::from_millis(1_200);
/// How many times each endpoint is told to a follower in this time: once at the start, and every three seconds.
const WATCHED: Duration = Duration::from_millis(7_000);
const MOST_TELLINGS: usize = 4;

/// The records that a follower is told while it watches.
async fn count_records(address: SocketAddr) -> usize {
    let request = FollowRequest { follower: "test".to_owned(), number: 0 };
    let mut client = KeeperClient::new(connect(address).await);
    let mut news = client.follow(request).await.expect("it answers").into_inner();
    let mut records = 0;
    let watching = async {
        while let Ok(Some(message)) = news.message().await {
            records += message.endpoints.len();
        }
    };
    let _ = async_std::future::timeout(WATCHED, watching).await;
    records
}

async fn register_again_and_again(hub: Arc<RegistryHub>) {
    for sequence in 1.. {
        for number in 0..ENDPOINTS {
            hub.register(EndpointRecord { sequence, ..endpoint(number) });
        }
        task::sleep(BEAT).await;
    }
}

#[test]
fn endpoints_that_say_nothing_new_are_told_now_and_then() {
    let folder = std::env::temp_dir().join(format!("micaspool-follow-{}-again", std::process::id()));
    let options = alone(folder.clone());
    let records = task::block_on(async {
        let keeper = start_keeper(options).await.expect("it starts");
        task::spawn(register_again_and_again(keeper.hub().clone()));
        let records = count_records(keeper.wire).await;
        keeper.stop().await;
        records
    });
    let _ = std::fs::remove_dir_all(folder);
    assert!(records >= 2 * ENDPOINTS, "{records}: endpoints would be taken for silent");
    assert!(records <= MOST_TELLINGS * ENDPOINTS, "{records} records in seven seconds");
}
