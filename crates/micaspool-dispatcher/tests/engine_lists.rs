//! How soon a new shard asks engines for their caches.
//!
//! After a power loss all shards are new. Until a shard has the lists it sends prompts to engines that have not cached them.

use async_std::channel::{unbounded, Sender};
use async_std::task;
use async_trait::async_trait;
use micaspool_client::{FleetMirror, FleetMirrorOptions, KeeperClient, PeerDirectory, StaticDirectory};
use micaspool_dispatcher::{
    CacheSnapshot, EndpointProbe, FleetDispatcher, FleetDispatcherOptions, ProbeAnswer, ProbedEndpoint,
};
use micaspool_keeper::{start_keeper, KeeperDaemon, KeeperOptions};
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::JsonFormat;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{
    EndpointName, HallName, Incarnation, InstanceName, RegionName, ServiceName, SoftwareVersion,
};
use micaspool_wire::v1::{self, router_message::Body, PublishRequest, RouterMessage};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Fewer than the 100 up to which a shard asks all engines, and enough that the spacing of probes makes a round longer
/// than the interval of probes.
const ENGINES: usize = 90;
/// Less than half of the interval of probes.
const LIMIT: Duration = Duration::from_millis(240);

/// Engines that note when they are first asked for their cache.
#[derive(Debug, Default)]
struct ListedEngines(Mutex<BTreeMap<EndpointName, Instant>>);

impl ListedEngines {
    fn count(&self) -> usize {
        self.0.lock().expect("no holder of the lock panics").len()
    }
}

#[async_trait]
impl EndpointProbe for ListedEngines {
    async fn load(&self, _endpoint: &ProbedEndpoint) -> Option<ProbeAnswer> {
        None
    }

    async fn cached_parts(&self, endpoint: &ProbedEndpoint) -> Option<CacheSnapshot> {
        let mut asked = self.0.lock().expect("no holder of the lock panics");
        asked.entry(endpoint.name.clone()).or_insert_with(Instant::now);
        None
    }
}

fn engine(number: usize) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::parse(&format!("engine-{number}")).expect("the name is valid"),
        identity: EndpointName::parse(&format!("engine-{number}")).expect("the name is valid"),
        incarnation: Incarnation(0),
        service: ServiceName::parse("model").expect("the name is valid"),
        hall: HallName::parse("hall").expect("the name is valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        stage: EndpointStage::Serving,
        slots: 24,
        sequence: 1,
        cold: Duration::ZERO,
        version: SoftwareVersion::default(),
    }
}

/// A keeper with a plan for engines, and a dispatcher that follows it.
struct Fleet {
    keeper: KeeperDaemon,
    mirror: Arc<FleetMirror>,
    dispatcher: FleetDispatcher,
    engines: Arc<ListedEngines>,
}

async fn wait_until(condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10), "the condition holds within 10 s");
        task::sleep(Duration::from_millis(2)).await;
    }
    start.elapsed()
}

async fn start_fleet(test: &str) -> Fleet {
    let folder = std::env::temp_dir().join(format!("micaspool-lists-{}-{test}", std::process::id()));
    let name = InstanceName::parse("10.0.2.1").expect("the name is valid");
    let unused: Arc<dyn PeerDirectory> = Arc::new(StaticDirectory(Vec::new()));
    let options =
        KeeperOptions::builder(name.clone(), vec![name.clone()], unused).data_folder(folder).build();
    let keeper = start_keeper(options).await.expect("the keeper starts");
    let peer = PeerAddress { name: name.clone(), address: keeper.wire };
    let client = KeeperClient::new(vec![peer.clone()], TrafficCounter::default());
    let document = "{\"number\":1,\"plan\":{\"routes\":[],\"services\":[{\"name\":\"model\",\
                    \"health_path\":\"/health\",\"max_connections\":64,\"engine\":{\"batch\":24,\
                    \"memory_tokens\":457065,\"event_tokens\":8}}],\"customers\":[],\"capacity\":0,\
                    \"limits\":{\"head_bytes\":1,\"body_bytes\":1,\"head_ms\":1,\"idle_ms\":1}}}";
    let request = PublishRequest { number: 1, document: document.to_owned() };
    while client.publish(request.clone(), Duration::from_secs(1)).await.is_err() {
        task::sleep(Duration::from_millis(50)).await;
    }
    let mirror = FleetMirror::start(FleetMirrorOptions {
        follower: "core".to_owned(),
        seeds: vec![name],
        directory: Arc::new(StaticDirectory(vec![peer])),
        format: Arc::new(JsonFormat),
        counter: TrafficCounter::default(),
        max_endpoint_silence: Duration::from_secs(10),
    });
    let engines = Arc::new(ListedEngines::default());
    let dispatcher = FleetDispatcher::new(FleetDispatcherOptions {
        region: RegionName::parse("site").expect("the name is valid"),
        incarnation: Incarnation(1),
        mirror: mirror.clone(),
        spans: SpanSink::default(),
        probe: engines.clone(),
        subset: None,
    });
    wait_until(|| mirror.has_plan()).await;
    Fleet { keeper, mirror, dispatcher, engines }
}

impl Fleet {
    fn register(&self, numbers: std::ops::Range<usize>) {
        for number in numbers {
            self.keeper.hub().register(engine(number));
        }
    }

    /// Opens the session of a router, which lasts as long as the returned sender.
    async fn open_session(&self) -> Sender<RouterMessage> {
        let (sender, receiver) = unbounded();
        let hello = v1::Hello {
            service: "model".to_owned(),
            router: "10.0.2.9".to_owned(),
            hall: "hall".to_owned(),
            incarnation: 1,
            ..v1::Hello::default()
        };
        let message = RouterMessage { body: Some(Body::Hello(hello)) };
        sender.send(message).await.expect("the channel is open");
        let mut replies = self.dispatcher.open(receiver).await.expect("the session opens");
        task::spawn(async move { while futures::StreamExt::next(&mut replies).await.is_some() {} });
        sender
    }
}

/// Guards against a new shard that looks for routers, finds none yet, and asks no engine until the next probe is due.
#[test]
fn engines_are_asked_for_their_lists_when_the_first_router_joins() {
    task::block_on(async {
        let fleet = start_fleet("first").await;
        fleet.register(0..ENGINES);
        wait_until(|| fleet.mirror.endpoint(&engine(ENGINES - 1).name).is_some()).await;
        let session = fleet.open_session().await;
        let took = wait_until(|| fleet.engines.count() == ENGINES).await;
        println!("all engines asked after {took:?}");
        assert!(took < LIMIT, "all engines asked only after {took:?}");
        drop(session);
        fleet.keeper.stop().await;
    });
}

/// Guards against engines that register a little after the first round of probes and whose lists are read a round later.
#[test]
fn engines_that_register_between_two_probes_are_asked_at_once() {
    task::block_on(async {
        let fleet = start_fleet("late").await;
        fleet.register(0..ENGINES / 2);
        wait_until(|| fleet.mirror.endpoint(&engine(ENGINES / 2 - 1).name).is_some()).await;
        let session = fleet.open_session().await;
        wait_until(|| fleet.engines.count() == ENGINES / 2).await;
        fleet.register(ENGINES / 2..ENGINES);
        let took = wait_until(|| fleet.engines.count() == ENGINES).await;
        println!("late engines asked after {took:?}");
        assert!(took < LIMIT, "late engines asked only after {took:?}");
        drop(session);
        fleet.keeper.stop().await;
    });
}
