//! A whole deployment in one process, on loopback, with stand-in endpoints.

use async_std::task;
use micaspool_client::{CallError, KeeperClient};
use micaspool_dispatcher::{run_dispatcher, DispatcherDaemon};
use micaspool_keeper::{run_keeper, KeeperDaemon};
use micaspool_replay::standin::{StandInEndpoint, StandInOptions};
use micaspool_router::{run_router, RouterDaemon};
use micaspool_settings::policy::{compile_tree, ServiceKind};
use micaspool_settings::process::{PeerAddress, ProcessSettings};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{HallName, Incarnation, InstanceName, RegionName, Revision};
use micaspool_wire::v1;
use serde_json::Value;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// How long the deployment may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The offsets of the ports of each role.
const KEEPER_PORT: u16 = 1;
const DISPATCHER_PORT: u16 = 11;
const ROUTER_PORT: u16 = 21;
const STATUS_PORT: u16 = 31;

/// What a deployment looks like.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// The settings tree; endpoint addresses in it are replaced by those of stand-ins.
    pub tree: Value,
    /// The loopback address of every process.
    pub ip: IpAddr,
    /// The first port.
    pub base_port: u16,
    /// Where keepers keep their files.
    pub data_folder: PathBuf,
    /// The time of one token of a stand-in model, or of a call of a plain stand-in.
    pub token_time: Duration,
}

/// Why a deployment did not come up.
#[derive(Debug)]
pub enum Error {
    /// The settings tree has faults.
    Settings(String),
    /// A process did not start.
    Start(String),
    /// The keepers did not take the settings.
    Keepers(CallError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings(faults) => write!(f, "mend the settings tree:\n{faults}"),
            Error::Start(error) => write!(f, "a process did not start: {error}"),
            Error::Keepers(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// A running deployment.
#[derive(Debug)]
pub struct EmbeddedFleet {
    /// One keeper for each data hall.
    pub keepers: Vec<KeeperDaemon>,
    /// One dispatcher for each data hall.
    pub dispatchers: Vec<DispatcherDaemon>,
    /// One router for each data hall.
    pub routers: Vec<RouterDaemon>,
    /// The endpoints, with the data hall of each.
    pub endpoints: Vec<(String, StandInEndpoint)>,
    /// A client for the keepers.
    pub client: KeeperClient,
}

/// The settings of one instance of a deployment with one entry instance in each data hall.
pub fn instance_settings(
    options: &FleetOptions,
    halls: &[(HallName, RegionName)],
    number: usize,
) -> ProcessSettings {
    let address =
        |port: u16, index: usize| SocketAddr::new(options.ip, options.base_port + port + index as u16);
    let peers = |port: u16| {
        let peer = |index: usize| PeerAddress { name: instance_name(index), address: address(port, index) };
        (0..halls.len()).map(peer).collect::<Vec<_>>()
    };
    ProcessSettings {
        instance: instance_name(number),
        hall: halls[number].0.clone(),
        region: halls[number].1.clone(),
        callers_address: address(ROUTER_PORT, number),
        wire_address: address(DISPATCHER_PORT, number),
        status_address: address(STATUS_PORT, number),
        data_folder: options.data_folder.join(format!("keeper-{}", number + 1)),
        keepers: peers(KEEPER_PORT),
        dispatchers: peers(DISPATCHER_PORT),
        remote_dispatchers: Vec::new(),
        instance_list: None,
        log_file: None,
        log_level: "warn".to_owned(),
        trace_file: None,
        worker_threads: 1,
    }
}

fn instance_name(number: usize) -> InstanceName {
    InstanceName::parse(&format!("entry-{}", number + 1)).expect("the name is well-formed")
}

impl EmbeddedFleet {
    /// Starts every role in each data hall of the tree, and stand-ins for its endpoints.
    pub async fn start(options: FleetOptions) -> Result<EmbeddedFleet, Error> {
        let policy = compile_tree(Revision(1), &options.tree)
            .map_err(|faults| Error::Settings(micaspool_settings::document::join_faults(&faults)))?;
        let halls: Vec<(HallName, RegionName)> =
            policy.halls.iter().map(|hall| (hall.name.clone(), hall.region.clone())).collect();
        let mut tree = options.tree.clone();
        let mut endpoints = Vec::new();
        for service in &policy.services {
            for spec in &service.endpoints {
                let stand_in =
                    start_endpoint(&options, spec.name.as_str(), spec.slots as usize, service.kind).await?;
                tree["services"][service.name.as_str()]["endpoints"][spec.name.as_str()]["address"] =
                    Value::String(stand_in.address().to_string());
                endpoints.push((halls[spec.hall].0.to_string(), stand_in));
            }
        }
        let mut fleet = EmbeddedFleet {
            keepers: Vec::new(),
            dispatchers: Vec::new(),
            routers: Vec::new(),
            endpoints,
            client: KeeperClient::new(
                instance_settings(&options, &halls, 0).keepers,
                TrafficCounter::default(),
            ),
        };
        for number in 0..halls.len() {
            fleet.start_instance(&instance_settings(&options, &halls, number)).await?;
        }
        fleet.apply(&tree).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_instance(&mut self, settings: &ProcessSettings) -> Result<(), Error> {
        let incarnation = Incarnation(rand::random());
        let any_status = SocketAddr::new(settings.status_address.ip(), 0);
        let keeper_address = settings.keepers.iter().find(|keeper| keeper.name == settings.instance);
        let keeper = ProcessSettings {
            wire_address: keeper_address.expect("an instance lists itself").address,
            status_address: any_status,
            ..settings.clone()
        };
        let dispatcher = ProcessSettings { status_address: any_status, ..settings.clone() };
        let failed = |error: &dyn fmt::Display| Error::Start(error.to_string());
        self.keepers.push(run_keeper(&keeper).await.map_err(|error| failed(&error))?);
        self.dispatchers
            .push(run_dispatcher(&dispatcher, incarnation).await.map_err(|error| failed(&error))?);
        self.routers.push(run_router(settings, incarnation).await.map_err(|error| failed(&error))?);
        Ok(())
    }

    /// Replaces the whole tree.
    pub async fn apply(&self, tree: &Value) -> Result<u64, Error> {
        let request = v1::ApplyRequest {
            change: format!("{:016x}", rand::random::<u64>()),
            operator: "fleet".to_owned(),
            base: self.routers.iter().map(|router| router.mirror().policy().revision.0).max().unwrap_or(0),
            patch: tree.to_string(),
        };
        let reply = self.client.apply(request, START_LIMIT).await.map_err(Error::Keepers)?;
        match reply.outcome {
            Some(v1::apply_reply::Outcome::Revision(revision)) => Ok(revision),
            Some(v1::apply_reply::Outcome::Rejected(reason)) => Err(Error::Settings(reason)),
            _ => Err(Error::Start("the keepers gave no outcome".to_owned())),
        }
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        for _ in 0..400 {
            if self.routers.iter().all(|router| router.mirror().is_ready()) {
                return Ok(());
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        Err(Error::Start("the routers got no settings".to_owned()))
    }
}

async fn start_endpoint(
    options: &FleetOptions,
    name: &str,
    slots: usize,
    kind: ServiceKind,
) -> Result<StandInEndpoint, Error> {
    let token_time = match kind {
        ServiceKind::Model => options.token_time,
        ServiceKind::Plain => options.token_time * 4,
    };
    let stand_in = StandInOptions { name: name.to_owned(), slots, token_time };
    let address = SocketAddr::new(options.ip, 0);
    StandInEndpoint::start(address, stand_in).await.map_err(|error| Error::Start(error.to_string()))
}
