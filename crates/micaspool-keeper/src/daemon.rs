//! Options and startup of the keeper daemon.

use crate::engine::{EngineInput, EngineOptions, KeeperEngine, KeeperView, ReopenOptions};
use crate::follow::sweep_registry;
use crate::peers::{PeerExchange, MAX_FRAME};
use crate::registry_hub::RegistryHub;
use crate::service::KeeperService;
use crate::status::{KeeperCounters, KeeperStatusSource};
use async_std::channel::{bounded, unbounded, Sender};
use async_std::task;
use futures::channel::oneshot;
use micaspool_client::{PeerDirectory, StaticDirectory};
use micaspool_clock::BootInstant;
use micaspool_daemon::{open_spans, StartError};
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_ledger::LedgerOptions;
use micaspool_quorum::{LeaveOutcome, OpenGroupOptions, QuorumOptions};
use micaspool_settings::process::ProcessSettings;
use micaspool_store::{KeeperFiles, StoreOptions};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::socket::CountedListener;
use micaspool_wire::v1::keeper_server::KeeperServer;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The capacity of the engine's input queue.
const INPUT_QUEUE_LEN: usize = 8_192;
/// The maximum time that a stop waits until the keeper has left its group. Two elections fit in.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(3);

/// An error while starting a keeper.
#[derive(Debug)]
pub enum Error {
    /// The data folder could not be opened.
    Store(micaspool_store::Error),
    /// The process could not start, for example because an address is in use.
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

/// Options of a keeper, created with [`KeeperOptions::builder`].
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    instance: InstanceName,
    wire: SocketAddr,
    status: Option<SocketAddr>,
    data_folder: PathBuf,
    directory: Arc<dyn PeerDirectory>,
    exchange: Option<ExchangeAddresses>,
    quorum: QuorumOptions,
    reopens_after_failure: bool,
    spans: SpanSink,
}

/// Addresses reserved for messages between keepers.
#[derive(Clone, Debug)]
pub struct ExchangeAddresses {
    /// The address at which this keeper receives messages from the other keepers.
    pub own: SocketAddr,
    /// The addresses at which the other keepers receive messages.
    pub directory: Arc<dyn PeerDirectory>,
}

/// Builds [`KeeperOptions`].
#[derive(Clone, Debug)]
pub struct KeeperOptionsBuilder {
    options: KeeperOptions,
}

impl KeeperOptions {
    /// Returns a builder for a keeper that forms the first group with the `configured` keepers.
    pub fn builder(
        instance: InstanceName,
        configured: Vec<InstanceName>,
        directory: Arc<dyn PeerDirectory>,
    ) -> KeeperOptionsBuilder {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = KeeperOptions {
            instance,
            wire: any_port,
            status: None,
            data_folder: PathBuf::from("."),
            directory,
            exchange: None,
            quorum: QuorumOptions::new(configured),
            reopens_after_failure: false,
            spans: SpanSink::default(),
        };
        KeeperOptionsBuilder { options }
    }
}

impl KeeperOptionsBuilder {
    /// Sets the address of the gRPC service.
    pub fn wire(mut self, address: SocketAddr) -> Self {
        self.options.wire = address;
        self
    }

    /// Sets separate addresses for messages between keepers. Without them, keepers use the address of
    /// the gRPC service. Fleets of hundreds of processes need separate addresses: see `peers.rs`.
    pub fn exchange(mut self, addresses: Option<ExchangeAddresses>) -> Self {
        self.options.exchange = addresses;
        self
    }

    /// Sets the address of the status page. Without it, there is no status page.
    pub fn status(mut self, address: SocketAddr) -> Self {
        self.options.status = Some(address);
        self
    }

    /// Sets the data folder.
    pub fn data_folder(mut self, folder: PathBuf) -> Self {
        self.options.data_folder = folder;
        self
    }

    /// Sets whether this keeper may form the first group. Otherwise it can only join an existing one.
    pub fn may_form_group(mut self, allowed: bool) -> Self {
        self.options.quorum.may_form_group = allowed;
        self
    }

    /// Allows membership changes without an operator.
    pub fn open_group(mut self, options: OpenGroupOptions) -> Self {
        self.options.quorum.open_group = Some(options);
        self
    }

    /// Sets whether the engine reopens the files after a failure instead of stopping.
    pub fn reopens_after_failure(mut self, reopens_after_failure: bool) -> Self {
        self.options.reopens_after_failure = reopens_after_failure;
        self
    }

    /// Sets the sink for tracing spans.
    pub fn spans(mut self, spans: SpanSink) -> Self {
        self.options.spans = spans;
        self
    }

    /// Returns the options.
    pub fn build(self) -> KeeperOptions {
        self.options
    }
}

/// A running keeper.
pub struct KeeperDaemon {
    /// The address of the gRPC service.
    pub wire: SocketAddr,
    /// The address of the status page, if there is one.
    pub status: Option<SocketAddr>,
    source: Arc<dyn StatusSource>,
    inputs: Sender<EngineInput>,
    finished: oneshot::Receiver<()>,
    view: Arc<Mutex<KeeperView>>,
    hub: Arc<RegistryHub>,
}

impl fmt::Debug for KeeperDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeeperDaemon").field("wire", &self.wire).finish_non_exhaustive()
    }
}

impl KeeperDaemon {
    /// Leaves the group if it can spare this keeper, and hands over the role of the leader. Returns when that is done or
    /// after three seconds; the keeper is to be stopped then. Does nothing in a group without membership changes of
    /// its own.
    pub async fn leave(&self) {
        let (waiter, done) = bounded(1);
        let started = BootInstant::now();
        let _ = self.inputs.send(EngineInput::Leave(waiter)).await;
        let outcome = match async_std::future::timeout(MAX_LEAVE_TIME, done.recv()).await {
            Ok(Ok(LeaveOutcome::Removed)) => "left",
            Ok(Ok(_)) => "needed",
            Ok(Err(_)) => "storage failed",
            Err(_) => "no answer in time",
        };
        let took = started.elapsed().as_millis();
        record(&events::LEAVE_ENDED, &[field("outcome", outcome), field("took_ms", took)]);
    }

    /// Persists pending input, then stops the engine.
    pub async fn stop(self) {
        let _ = self.inputs.send(EngineInput::Stop).await;
        let _ = self.finished.await;
    }

    /// Returns whether the engine has stopped, by request or because of a file error.
    pub fn has_stopped(&self) -> bool {
        self.view.lock().expect("no holder of the view panics").stopped
    }

    /// Returns the source of the status page.
    pub fn status_source(&self) -> Arc<dyn StatusSource> {
        self.source.clone()
    }

    /// Returns the registry of the endpoints that registered at this keeper.
    pub fn hub(&self) -> &Arc<RegistryHub> {
        &self.hub
    }
}

/// Starts a keeper as configured in its settings file.
pub async fn run_keeper(settings: &ProcessSettings) -> Result<KeeperDaemon, Error> {
    let configured = settings.keepers.iter().map(|keeper| keeper.name.clone()).collect();
    let directory = Arc::new(StaticDirectory(settings.keepers.clone()));
    let options = KeeperOptions::builder(settings.instance.clone(), configured, directory)
        .wire(settings.wire_address)
        .status(settings.status_address)
        .data_folder(settings.data_folder.clone())
        .spans(open_spans(settings)?)
        .build();
    start_keeper(options).await
}

/// Starts a keeper. It runs until it is stopped or, unless it reopens its files, until a file error.
pub async fn start_keeper(options: KeeperOptions) -> Result<KeeperDaemon, Error> {
    let folder = &options.data_folder;
    let opened =
        KeeperFiles::open(folder, &options.instance, StoreOptions::default()).map_err(Error::Store)?;
    if opened.truncated_bytes > 0 {
        record(&events::STORE_TRUNCATED, &[field("bytes", opened.truncated_bytes)]);
    }
    let (outgoing, envelopes) = unbounded();
    let reopen = ReopenOptions { folder: folder.clone(), name: options.instance.clone() };
    let hub: Arc<RegistryHub> = Arc::default();
    let engine_options = EngineOptions {
        quorum: options.quorum.clone(),
        ledger: LedgerOptions::default(),
        reopen: options.reopens_after_failure.then_some(reopen),
        hub: hub.clone(),
    };
    let engine = KeeperEngine::new(engine_options, opened, outgoing);
    let view = engine.view();
    let (inputs, receiver) = bounded(INPUT_QUEUE_LEN);
    let (done, finished) = oneshot::channel();
    std::thread::spawn(move || {
        engine.run(&receiver);
        let _ = done.send(());
    });
    let counters = KeeperCounters::default();
    task::spawn(sweep_registry(view.clone(), hub.clone()));
    let service = KeeperService::new(
        inputs.clone(),
        view.clone(),
        hub.clone(),
        options.directory.clone(),
        options.spans.clone(),
    );
    let exchange = PeerExchange {
        address: options.exchange.as_ref().map(|addresses| addresses.own),
        directory: options
            .exchange
            .as_ref()
            .map_or(&options.directory, |addresses| &addresses.directory)
            .clone(),
        counter: counters.peers.clone(),
        outgoing: envelopes,
        inputs: inputs.clone(),
        view: view.clone(),
        service: service.clone(),
    };
    exchange.start().await?;
    let wire = serve_wire(options.wire, service, &counters.clients).await?;
    let source: Arc<dyn StatusSource> = Arc::new(KeeperStatusSource::new(view.clone(), &counters));
    let status = match options.status {
        Some(address) => {
            Some(serve_status(address, source.clone()).await.map_err(StartError::bind(address))?)
        }
        None => None,
    };
    Ok(KeeperDaemon { wire, status, source, inputs, finished, view, hub })
}

async fn serve_wire(
    address: SocketAddr,
    service: KeeperService,
    counter: &TrafficCounter,
) -> Result<SocketAddr, Error> {
    let bind_error = StartError::bind(address);
    let listener = CountedListener::bind(address, counter.clone()).await.map_err(&bind_error)?;
    let wire = listener.local_address().map_err(&bind_error)?;
    let server =
        KeeperServer::new(service).max_decoding_message_size(MAX_FRAME).max_encoding_message_size(MAX_FRAME);
    task::spawn(async move {
        let _ = tonic::transport::Server::builder().add_service(server).serve_with_incoming(listener).await;
    });
    Ok(wire)
}
