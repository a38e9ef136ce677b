//! Puts a keeper daemon together.

use crate::engine::{EngineInput, KeeperEngine, KeeperView};
use crate::peers::{start_peers, MAX_FRAME};
use crate::service::KeeperService;
use async_std::channel::{bounded, unbounded, Sender};
use async_std::task;
use futures::channel::oneshot;
use micaspool_daemon::{open_spans, StartError};
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_ledger::LedgerOptions;
use micaspool_quorum::{QuorumEvent, QuorumOptions};
use micaspool_settings::process::ProcessSettings;
use micaspool_store::{KeeperFiles, StoreOptions};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::traffic::{TrafficCounter, TrafficMetrics};
use micaspool_wire::socket::CountedListener;
use micaspool_wire::v1::keeper_server::KeeperServer;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::json;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the log core looks at the time.
const TICK: Duration = Duration::from_millis(50);
/// How many inputs may wait for the engine.
const INPUT_QUEUE: usize = 8_192;

/// Why a keeper cannot run.
#[derive(Debug)]
pub enum Error {
    /// The data folder cannot be used.
    Store(micaspool_store::Error),
    /// The process cannot start.
    Start(StartError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Store(error) => error.fmt(f),
            Error::Start(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<StartError> for Error {
    fn from(error: StartError) -> Self {
        Error::Start(error)
    }
}

/// A running keeper.
#[derive(Debug)]
pub struct KeeperDaemon {
    /// Where it answers other processes.
    pub wire: SocketAddr,
    /// Where it shows its status.
    pub status: SocketAddr,
    inputs: Sender<EngineInput>,
    finished: oneshot::Receiver<()>,
    view: Arc<Mutex<KeeperView>>,
}

impl KeeperDaemon {
    /// Saves what is under way and stops.
    pub async fn stop(self) {
        let _ = self.inputs.send(EngineInput::Stop).await;
        let _ = self.finished.await;
    }

    /// True once the files have failed or a stop has ended.
    pub fn has_stopped(&self) -> bool {
        self.view.lock().expect("no holder of the view panics").stopped
    }
}

/// Starts a keeper; it runs until it is stopped or its files fail.
pub async fn run_keeper(settings: &ProcessSettings) -> Result<KeeperDaemon, Error> {
    let opened = KeeperFiles::open(&settings.data_folder, &settings.instance, StoreOptions::default())
        .map_err(Error::Store)?;
    if opened.cut_bytes > 0 {
        record(&events::STORE_CUT, &[field("bytes", opened.cut_bytes)]);
    }
    let configured = settings.keepers.iter().map(|keeper| keeper.name.clone()).collect();
    let (outgoing, envelopes) = unbounded();
    let ledger = LedgerOptions::default();
    let engine = KeeperEngine::new(QuorumOptions::new(configured), ledger, opened, outgoing);
    let view = engine.view();
    let (inputs, receiver) = bounded(INPUT_QUEUE);
    let (done, finished) = oneshot::channel();
    std::thread::spawn(move || {
        engine.run(&receiver);
        let _ = done.send(());
    });
    let counters = KeeperCounters::default();
    start_peers(&settings.instance, &settings.keepers, &counters.peers, envelopes);
    start_ticks(inputs.clone());
    let wire = serve_wire(settings, &inputs, &view, &counters.clients).await?;
    let source = Arc::new(KeeperStatusSource::new(view.clone(), &counters));
    let status = serve_status(settings.status, source).await.map_err(StartError::bind(settings.status))?;
    Ok(KeeperDaemon { wire, status, inputs, finished, view })
}

#[derive(Clone, Debug, Default)]
struct KeeperCounters {
    peers: TrafficCounter,
    clients: TrafficCounter,
}

fn start_ticks(inputs: Sender<EngineInput>) {
    task::spawn(async move {
        while inputs.send(EngineInput::Event(QuorumEvent::Tick)).await.is_ok() {
            task::sleep(TICK).await;
        }
    });
}

async fn serve_wire(
    settings: &ProcessSettings,
    inputs: &Sender<EngineInput>,
    view: &Arc<Mutex<KeeperView>>,
    counter: &TrafficCounter,
) -> Result<SocketAddr, Error> {
    let failed = StartError::bind(settings.wire);
    let listener = CountedListener::bind(settings.wire, counter.clone()).await.map_err(&failed)?;
    let wire = listener.local_address().map_err(&failed)?;
    let spans = open_spans(settings)?;
    let service = KeeperService::new(inputs.clone(), view.clone(), Arc::new(settings.keepers.clone()), spans);
    let server =
        KeeperServer::new(service).max_decoding_message_size(MAX_FRAME).max_encoding_message_size(MAX_FRAME);
    task::spawn(async move {
        let _ = tonic::transport::Server::builder().add_service(server).serve_with_incoming(listener).await;
    });
    Ok(wire)
}

struct KeeperStatusSource {
    view: Arc<Mutex<KeeperView>>,
    registry: Registry,
    traffic: TrafficMetrics,
    gauges: KeeperGauges,
}

#[derive(Default)]
struct KeeperGauges {
    revision: Gauge,
    leads: Gauge,
    confirmed: Gauge,
    keys: Gauge,
    answer_bytes: Gauge,
    syncs: Gauge,
}

impl KeeperStatusSource {
    fn new(view: Arc<Mutex<KeeperView>>, counters: &KeeperCounters) -> KeeperStatusSource {
        let mut registry = Registry::default();
        let traffic = TrafficMetrics::default().with("keeper", "keeper", counters.peers.clone()).with(
            "keeper",
            "client",
            counters.clients.clone(),
        );
        traffic.register(&mut registry);
        let gauges = KeeperGauges::default();
        registry.register("micaspool_settings_revision", "Revision of the settings", gauges.revision.clone());
        registry.register("micaspool_keeper_leads", "1 while this keeper leads", gauges.leads.clone());
        registry.register(
            "micaspool_keeper_confirmed",
            "1 while a majority is heard",
            gauges.confirmed.clone(),
        );
        registry.register("micaspool_ledger_keys", "Remembered idempotency keys", gauges.keys.clone());
        registry.register(
            "micaspool_ledger_answer_bytes",
            "Bytes of kept answers",
            gauges.answer_bytes.clone(),
        );
        registry.register("micaspool_keeper_syncs", "Syncs of the log so far", gauges.syncs.clone());
        KeeperStatusSource { view, registry, traffic, gauges }
    }

    fn refresh(&self) {
        let view = self.view.lock().expect("no holder of the view panics");
        let leads = view.status.role == micaspool_quorum::QuorumRole::Leader;
        self.gauges.revision.set(view.settings.revision().0 as i64);
        self.gauges.leads.set(i64::from(leads));
        self.gauges.confirmed.set(i64::from(view.status.confirmed));
        self.gauges.keys.set(view.ledger_keys as i64);
        self.gauges.answer_bytes.set(view.ledger_answer_bytes as i64);
        self.gauges.syncs.set(view.syncs as i64);
        self.traffic.refresh();
    }
}

impl StatusSource for KeeperStatusSource {
    fn is_ready(&self) -> bool {
        self.view.lock().expect("no holder of the view panics").status.confirmed
    }

    fn metrics(&self) -> String {
        self.refresh();
        encode_text(&self.registry)
    }

    fn state(&self) -> String {
        state_json(&self.view.lock().expect("no holder of the view panics"))
    }
}

/// The state of a keeper as JSON.
pub(crate) fn state_json(view: &KeeperView) -> String {
    let status = &view.status;
    let members = status
        .membership
        .members
        .iter()
        .map(|member| json!({ "name": member.identity.name.as_str(), "voter": member.voter }));
    json!({
        "process": "keeper",
        "role": format!("{:?}", status.role).to_lowercase(),
        "leader": status.leader.as_ref().map(|leader| leader.as_str()),
        "term": status.term.0,
        "commit": status.commit.0,
        "revision": view.settings.revision().0,
        "confirmed": status.confirmed,
        "members": members.collect::<Vec<_>>(),
        "ledger_keys": view.ledger_keys,
        "ledger_answer_bytes": view.ledger_answer_bytes,
        "syncs": view.syncs,
        "stopped": view.stopped,
    })
    .to_string()
}
