//! Options and startup of the core daemon.

use crate::control::ControlService;
use micaspool_client::{FleetMirror, FleetMirrorOptions, KeeperClient, PeerDirectory, MAX_ENDPOINT_SILENCE};
use micaspool_daemon::StartError;
use micaspool_dispatcher::{EndpointProbe, FleetDispatcher, FleetDispatcherOptions, HttpEndpointProbe};
use micaspool_http::status::{serve_status, StatusSource};
use micaspool_keeper::{start_keeper, ExchangeAddresses, KeeperDaemon, KeeperOptions};
use micaspool_quorum::OpenGroupOptions;
use micaspool_routes::PlanFormat;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{HallName, Incarnation, InstanceName, RegionName};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The time that routers get to switch to another dispatcher before the keeper stops.
const HANDOVER_DELAY: Duration = Duration::from_millis(400);

/// Options of a core daemon, created with [`CoreOptions::builder`].
#[derive(Debug, Clone)]
pub struct CoreOptions {
    instance: InstanceName,
    region: RegionName,
    seeds: Vec<InstanceName>,
    keepers: Arc<dyn PeerDirectory>,
    format: Arc<dyn PlanFormat>,
    keeper_address: SocketAddr,
    exchange: Option<ExchangeAddresses>,
    dispatcher_address: SocketAddr,
    status: Vec<SocketAddr>,
    data_folder: PathBuf,
    may_form_group: bool,
    tolerated_failures: usize,
    halls: Vec<HallName>,
    probe: Arc<dyn EndpointProbe>,
}

/// Builds [`CoreOptions`].
#[derive(Debug, Clone)]
pub struct CoreOptionsBuilder {
    options: CoreOptions,
}

impl CoreOptions {
    /// Returns a builder for the core daemon of this instance.
    pub fn builder(
        instance: InstanceName,
        region: RegionName,
        keepers: Arc<dyn PeerDirectory>,
        format: Arc<dyn PlanFormat>,
    ) -> CoreOptionsBuilder {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = CoreOptions {
            instance,
            region,
            seeds: Vec::new(),
            keepers,
            format,
            keeper_address: any_port,
            exchange: None,
            dispatcher_address: any_port,
            status: Vec::new(),
            data_folder: PathBuf::from("."),
            may_form_group: true,
            tolerated_failures: 1,
            halls: Vec::new(),
            probe: Arc::new(HttpEndpointProbe::default()),
        };
        CoreOptionsBuilder { options }
    }
}

impl CoreOptionsBuilder {
    /// Sets the keepers known at startup, which may form the first group.
    pub fn seeds(mut self, seeds: Vec<InstanceName>) -> Self {
        self.options.seeds = seeds;
        self
    }

    /// Sets the addresses at which keeper and dispatcher serve other processes.
    pub fn addresses(mut self, keeper: SocketAddr, dispatcher: SocketAddr) -> Self {
        self.options.keeper_address = keeper;
        self.options.dispatcher_address = dispatcher;
        self
    }

    /// Sets separate addresses for messages between keepers: the address of this keeper, and the
    /// directory of the others.
    pub fn exchange(mut self, own: SocketAddr, directory: Arc<dyn PeerDirectory>) -> Self {
        self.options.exchange = Some(ExchangeAddresses { own, directory });
        self
    }

    /// Sets the addresses of the status page, which shows both keeper and dispatcher.
    pub fn status(mut self, addresses: Vec<SocketAddr>) -> Self {
        self.options.status = addresses;
        self
    }

    /// Sets the data folder.
    pub fn data_folder(mut self, folder: PathBuf) -> Self {
        self.options.data_folder = folder;
        self
    }

    /// Sets whether the seeds may form the first group.
    pub fn may_form_group(mut self, allowed: bool) -> Self {
        self.options.may_form_group = allowed;
        self
    }

    /// Sets the number of simultaneous keeper failures that the fleet tolerates.
    pub fn tolerated_failures(mut self, failures: usize) -> Self {
        self.options.tolerated_failures = failures;
        self
    }

    /// Sets data halls that operators may evacuate in addition to those of known endpoints.
    pub fn halls(mut self, halls: Vec<HallName>) -> Self {
        self.options.halls = halls;
        self
    }

    /// Sets the probe that asks endpoints for their load.
    pub fn probe(mut self, probe: Arc<dyn EndpointProbe>) -> Self {
        self.options.probe = probe;
        self
    }

    /// Returns the options.
    pub fn build(self) -> CoreOptions {
        self.options
    }
}

/// A running core daemon.
#[derive(Debug)]
pub struct CoreDaemon {
    keeper: KeeperDaemon,
    dispatcher: FleetDispatcher,
    mirror: Arc<FleetMirror>,
    control_service: ControlService,
}

impl CoreDaemon {
    /// Returns the control service for operators and endpoints.
    pub fn control_service(&self) -> &ControlService {
        &self.control_service
    }

    /// Returns this process's view of the fleet.
    pub fn mirror(&self) -> &Arc<FleetMirror> {
        &self.mirror
    }

    /// Sends routers to other dispatchers, leaves the group of keepers, then persists pending input and stops.
    pub async fn stop(self) {
        self.dispatcher.stop();
        async_std::task::sleep(HANDOVER_DELAY).await;
        self.keeper.leave().await;
        self.keeper.stop().await;
    }
}

/// Starts a core daemon. It runs until it is stopped.
pub async fn start_core(options: CoreOptions) -> Result<CoreDaemon, micaspool_keeper::Error> {
    let keeper = start_keeper(keeper_options(&options)).await?;
    let mirror = FleetMirror::start(FleetMirrorOptions {
        follower: format!("core-{}", options.instance),
        seeds: followed_keepers(&options),
        directory: options.keepers.clone(),
        format: options.format.clone(),
        counter: TrafficCounter::default(),
        max_endpoint_silence: MAX_ENDPOINT_SILENCE,
    });
    let dispatcher = FleetDispatcher::new(FleetDispatcherOptions {
        region: options.region.clone(),
        incarnation: Incarnation(rand::random()),
        mirror: mirror.clone(),
        spans: SpanSink::default(),
        probe: options.probe.clone(),
        subset: None,
    });
    let address = options.dispatcher_address;
    dispatcher.serve(address, &TrafficCounter::default()).await.map_err(micaspool_keeper::Error::Start)?;
    let source =
        Arc::new(CoreStatusSource { keeper: keeper.status_source(), dispatcher: dispatcher.status_source() });
    for address in &options.status {
        let bind_error = |error| micaspool_keeper::Error::Start(StartError::bind(*address)(error));
        serve_status(*address, source.clone()).await.map_err(bind_error)?;
    }
    let own = PeerAddress { name: options.instance.clone(), address: keeper.wire };
    let client = Arc::new(KeeperClient::new(vec![own.clone()], TrafficCounter::default()));
    let control_service =
        ControlService::new(client, own, keeper.hub().clone(), mirror.clone(), options.format.clone())
            .with_halls(options.halls.clone());
    Ok(CoreDaemon { keeper, dispatcher, mirror, control_service })
}

/// Combines the status of keeper and dispatcher on one page.
struct CoreStatusSource {
    keeper: Arc<dyn StatusSource>,
    dispatcher: Arc<dyn StatusSource>,
}

/// The end marker of the OpenMetrics text format, which may occur only once.
const METRICS_END: &str = "# EOF\n";

/// Metrics that both parts export. The keeper's are kept: its settings revision is that of the settings tree, and the
/// panics are those of the process.
const SHARED_METRICS: [&str; 2] = ["micaspool_settings_revision", "micaspool_panics"];

impl StatusSource for CoreStatusSource {
    fn is_ready(&self) -> bool {
        self.keeper.is_ready()
    }

    fn metrics(&self) -> String {
        let keeper = self.keeper.metrics();
        let dispatcher = self.dispatcher.metrics();
        let is_shared = |line: &&str| SHARED_METRICS.iter().any(|name| line.contains(name));
        let own = dispatcher.lines().filter(|line| !is_shared(line)).map(|line| format!("{line}\n"));
        keeper.trim_end_matches(METRICS_END).chars().chain(own.collect::<String>().chars()).collect()
    }

    fn state(&self) -> String {
        format!("{{\"keeper\":{},\"dispatcher\":{}}}", self.keeper.state(), self.dispatcher.state())
    }
}

fn keeper_options(options: &CoreOptions) -> KeeperOptions {
    KeeperOptions::builder(options.instance.clone(), options.seeds.clone(), options.keepers.clone())
        .exchange(options.exchange.clone())
        .wire(options.keeper_address)
        .data_folder(options.data_folder.clone())
        .may_form_group(options.may_form_group)
        .open_group(OpenGroupOptions::tolerating(options.tolerated_failures))
        .reopens_after_failure(true)
        .build()
}

/// Returns the keepers that this process follows: the seeds and its own.
fn followed_keepers(options: &CoreOptions) -> Vec<InstanceName> {
    let mut names = options.seeds.clone();
    if !names.contains(&options.instance) {
        names.push(options.instance.clone());
    }
    names
}
