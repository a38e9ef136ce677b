//! Measures the processor time of a dispatcher for each request, from the message that submits it to the one that settles
//! it.
//!
//! Run with `cargo bench -p micaspool-dispatcher --bench driver`. Routers in the same process answer each grant at once, so
//! the result includes their messages, but neither connections nor the encoding of messages.

use async_std::channel::{unbounded, Sender};
use async_std::task;
use async_trait::async_trait;
use futures::future::join_all;
use futures::StreamExt;
use micaspool_client::{FleetMirror, FleetMirrorOptions, KeeperClient, PeerDirectory, StaticDirectory};
use micaspool_dispatch::{GenerationOutline, GrantOutcome, RequestTicket};
use micaspool_dispatcher::{
    CacheSnapshot, EndpointProbe, FleetDispatcher, FleetDispatcherOptions, ProbeAnswer, ProbedEndpoint,
    SessionReplies, PUBLIC_CUSTOMER,
};
use micaspool_keeper::{start_keeper, KeeperDaemon, KeeperOptions};
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::JsonFormat;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallLimit, HallName, Incarnation, InstanceName, RegionName, RequestId,
    ServiceName, SoftwareVersion, VersionLimit,
};
use micaspool_wire::convert::{request_id, settle_message, submit_message};
use micaspool_wire::v1::dispatcher_message::Body as Reply;
use micaspool_wire::v1::router_message::Body;
use micaspool_wire::v1::{self, PublishRequest, RouterMessage};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ENGINES: usize = 320;
const ROUTERS: u64 = 50;
/// The requests that each router sends one after another.
const REQUESTS: u64 = 600;
/// The requests that each router has under way.
const OUTSTANDING: u64 = 4;
const ROUNDS: usize = 5;
/// The unit of processor time in `/proc/self/stat`.
const CPU_UNIT: Duration = Duration::from_millis(10);
const PLAN: &str = "{\"number\":1,\"plan\":{\"routes\":[],\"services\":[{\"name\":\"model\",\
                    \"health_path\":\"/health\",\"max_connections\":64,\"engine\":{\"batch\":24,\
                    \"memory_tokens\":457065,\"event_tokens\":8}}],\"customers\":[],\"capacity\":0,\
                    \"limits\":{\"head_bytes\":1,\"body_bytes\":1,\"head_ms\":1,\"idle_ms\":1}}}";

#[derive(Debug)]
struct SilentEngines;

#[async_trait]
impl EndpointProbe for SilentEngines {
    async fn load(&self, _endpoint: &ProbedEndpoint) -> Option<ProbeAnswer> {
        None
    }

    async fn cached_parts(&self, _endpoint: &ProbedEndpoint) -> Option<CacheSnapshot> {
        None
    }
}

fn engine(number: usize) -> EndpointRecord {
    let name = EndpointName::parse(&format!("engine-{number}")).expect("a valid name");
    EndpointRecord {
        identity: name.clone(),
        name,
        incarnation: Incarnation(0),
        service: ServiceName::parse("model").expect("a valid name"),
        hall: HallName::parse("hall").expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        stage: EndpointStage::Serving,
        slots: 24,
        sequence: 1,
        cold: Duration::ZERO,
        version: SoftwareVersion::default(),
    }
}

async fn start_fleet() -> (KeeperDaemon, FleetDispatcher) {
    let folder = std::env::temp_dir().join(format!("micaspool-driver-{}", std::process::id()));
    let name = InstanceName::parse("10.0.2.1").expect("a valid name");
    let unused: Arc<dyn PeerDirectory> = Arc::new(StaticDirectory(Vec::new()));
    let options =
        KeeperOptions::builder(name.clone(), vec![name.clone()], unused).data_folder(folder).build();
    let keeper = start_keeper(options).await.expect("the keeper starts");
    let peer = PeerAddress { name: name.clone(), address: keeper.wire };
    let client = KeeperClient::new(vec![peer.clone()], TrafficCounter::default());
    let request = PublishRequest { number: 1, document: PLAN.to_owned() };
    while client.publish(request.clone(), Duration::from_secs(1)).await.is_err() {
        task::sleep(Duration::from_millis(50)).await;
    }
    let mirror = FleetMirror::start(FleetMirrorOptions {
        follower: "core".to_owned(),
        seeds: vec![name],
        directory: Arc::new(StaticDirectory(vec![peer])),
        format: Arc::new(JsonFormat),
        counter: TrafficCounter::default(),
        max_endpoint_silence: Duration::from_secs(600),
    });
    for number in 0..ENGINES {
        keeper.hub().register(engine(number));
    }
    while mirror.endpoint(&engine(ENGINES - 1).name).is_none() || !mirror.has_plan() {
        task::sleep(Duration::from_millis(10)).await;
    }
    let dispatcher = FleetDispatcher::new(FleetDispatcherOptions {
        region: RegionName::parse("site").expect("a valid name"),
        incarnation: Incarnation(1),
        mirror,
        spans: SpanSink::default(),
        probe: Arc::new(SilentEngines),
        subset: None,
    });
    (keeper, dispatcher)
}

/// A router that keeps a few requests under way.
struct BenchRouter {
    number: u64,
    messages: Sender<RouterMessage>,
    replies: SessionReplies,
    submitted: u64,
}

impl BenchRouter {
    async fn open(dispatcher: &FleetDispatcher, number: u64) -> BenchRouter {
        let (messages, receiver) = unbounded();
        let hello = v1::Hello {
            service: "model".to_owned(),
            router: format!("10.0.3.{number}"),
            hall: "hall".to_owned(),
            incarnation: 1,
            ..v1::Hello::default()
        };
        let first = RouterMessage { body: Some(Body::Hello(hello)) };
        messages.send(first).await.expect("the channel is open");
        let replies = dispatcher.open(receiver).await.expect("the session opens");
        BenchRouter { number, messages, replies, submitted: 0 }
    }

    async fn send(&self, body: Body) {
        self.messages.send(RouterMessage { body: Some(body) }).await.expect("the channel is open");
    }

    async fn submit(&mut self) {
        self.submitted += 1;
        let number = u128::from(self.number) << 64 | u128::from(self.submitted);
        let subject = self.submitted % 97;
        let ticket = RequestTicket {
            request: RequestId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)),
            customer: CustomerName::parse(PUBLIC_CUSTOMER).expect("a valid name"),
            digest: None,
            hint: Cost(1_200),
            priority: 17,
            attempt: 0,
            avoid: None,
            prefixes: vec![subject % 4, 100 + subject, number as u64],
            prefix_tokens: vec![300, 400, 300],
            prompt_tokens: Cost(1_000),
            objective: Some(Duration::from_secs(20)),
            patience: None,
            order: None,
            halls: HallLimit::Anywhere,
            versions: VersionLimit::Any,
            generation: GenerationOutline::default(),
        };
        self.send(Body::Submit(submit_message(&ticket))).await;
    }

    /// Runs requests until this many have been settled or refused. Returns how many were refused.
    async fn run(&mut self, requests: u64) -> u64 {
        for _ in 0..OUTSTANDING {
            self.submit().await;
        }
        let (mut ended, mut refused) = (0, 0);
        while ended < requests {
            let reply = self.replies.next().await.expect("the session lasts").expect("the shard runs");
            match reply.body {
                Some(Reply::Grant(grant)) => {
                    let request = request_id(&grant.request).expect("an id");
                    let began =
                        v1::Progress { request: grant.request, delivered: 8, ..v1::Progress::default() };
                    self.send(Body::Progress(began)).await;
                    let settle = settle_message(request, Cost(1_200), GrantOutcome::Done);
                    self.send(Body::Settle(settle)).await;
                }
                Some(Reply::Refused(_)) => refused += 1,
                _ => continue,
            }
            ended += 1;
            if ended + OUTSTANDING <= requests {
                self.submit().await;
            }
        }
        refused
    }
}

/// The processor time that this process has used.
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the file is readable");
    let fields = stat.rsplit(')').next().expect("the name ends").split_whitespace();
    let ticks: u32 = fields.skip(11).take(2).map(|field| field.parse::<u32>().expect("a number")).sum();
    CPU_UNIT * ticks
}

fn main() {
    task::block_on(async {
        let (keeper, dispatcher) = start_fleet().await;
        let mut routers = Vec::new();
        for number in 1..=ROUTERS {
            routers.push(BenchRouter::open(&dispatcher, number).await);
        }
        join_all(routers.iter_mut().map(|router| router.run(20))).await;
        println!("{:>12} {:>15} {:>9}", "requests/s", "cpu us/request", "refused");
        for _ in 0..ROUNDS {
            let (used, started) = (processor_time(), Instant::now());
            let refused: u64 =
                join_all(routers.iter_mut().map(|router| router.run(REQUESTS))).await.into_iter().sum();
            let requests = (ROUTERS * REQUESTS) as f64;
            let rate = requests / started.elapsed().as_secs_f64();
            let cost = (processor_time() - used).as_secs_f64() * 1e6 / requests;
            println!("{rate:>12.0} {cost:>15.1} {refused:>9}");
        }
        drop(routers);
        keeper.stop().await;
    });
}
