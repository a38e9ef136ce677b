//! The rate of calls to a keeper that accepts streams and ends them at once.

use async_std::task;
use micaspool_client::{FleetMirror, FleetMirrorOptions, PeerDirectory, StaticDirectory};
use micaspool_keeper::{start_keeper, KeeperOptions};
use micaspool_routes::JsonFormat;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::socket::CountedListener;
use std::convert::Infallible;
use std::future::{ready, Ready};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::body::Body;
use tonic::codegen::{http, Service};
use tonic::server::NamedService;

/// How long calls are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Ends every call at once, after its response headers. Counts the calls.
#[derive(Clone)]
struct EndingKeeper(Arc<AtomicUsize>);

impl NamedService for EndingKeeper {
    const NAME: &'static str = "micaspool.v1.Keeper";
}

impl Service<http::Request<Body>> for EndingKeeper {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Ready<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: http::Request<Body>) -> Self::Future {
        self.0.fetch_add(1, Ordering::SeqCst);
        let response = http::Response::builder().header("content-type", "application/grpc");
        ready(Ok(response.body(Body::empty()).expect("the response is valid")))
    }
}

fn peer(number: u16) -> PeerAddress {
    PeerAddress {
        name: InstanceName::parse(&format!("10.0.3.{number}")).expect("the name is valid"),
        // An address of this process, so that two runs at the same time don't bind the same one.
        address: SocketAddr::from(([127, 79, (std::process::id() % 251) as u8, 1], 17_740 + number)),
    }
}

/// Serves an [`EndingKeeper`] on a thread of its own and returns the number of its calls so far.
fn start_ending_keeper(number: u16) -> Arc<AtomicUsize> {
    let calls = Arc::new(AtomicUsize::new(0));
    let service = EndingKeeper(calls.clone());
    let (bound, is_bound) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("the runtime starts").block_on(async {
            let listener = CountedListener::bind(peer(number).address, TrafficCounter::default()).await;
            bound.send(()).expect("the test waits");
            let server = tonic::transport::Server::builder().add_service(service);
            let _ = server.serve_with_incoming(listener.expect("the port is free")).await;
        });
    });
    is_bound.recv().expect("the listener is bound");
    calls
}

/// Guards against followers that reconnect at the shortest pause for as long as their stream ends at once, 40 times a second
/// each. At the longest pause there are about 8 calls in the period.
#[test]
fn followers_call_a_keeper_that_ends_their_streams_ever_less_often() {
    let calls = start_ending_keeper(1);
    let _mirror = FleetMirror::start(FleetMirrorOptions {
        follower: "gateway".to_owned(),
        seeds: vec![peer(1).name],
        directory: Arc::new(StaticDirectory(vec![peer(1)])),
        format: Arc::new(JsonFormat),
        counter: TrafficCounter::default(),
        max_endpoint_silence: Duration::from_secs(10),
    });
    std::thread::sleep(PERIOD);
    let count = calls.load(Ordering::SeqCst);
    assert!((2..=12).contains(&count), "{count} calls in {PERIOD:?}");
}

/// Guards against keepers that reconnect at the shortest delay for as long as their stream ends at once, 50 times a second
/// each. At the longest delay there are about 13 calls in the period.
#[test]
fn keepers_call_a_keeper_that_ends_their_streams_ever_less_often() {
    let calls = start_ending_keeper(2);
    let folder = std::env::temp_dir().join(format!("micaspool-reconnect-{}", std::process::id()));
    let directory: Arc<dyn PeerDirectory> = Arc::new(StaticDirectory(vec![peer(2)]));
    let group = vec![peer(2).name, peer(3).name];
    let options = KeeperOptions::builder(peer(3).name, group, directory)
        .wire(peer(3).address)
        .data_folder(folder.clone())
        .build();
    task::block_on(async {
        let keeper = start_keeper(options).await.expect("the keeper starts");
        task::sleep(PERIOD).await;
        let count = calls.load(Ordering::SeqCst);
        keeper.stop().await;
        let _ = std::fs::remove_dir_all(folder);
        assert!((2..=18).contains(&count), "{count} calls in {PERIOD:?}");
    });
}
