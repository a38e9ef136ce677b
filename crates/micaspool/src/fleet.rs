//! Runs a whole deployment in one process, on loopback, with stand-in endpoints.

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

/// The time limit for the keepers to accept the settings.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The offset of the keeper ports from the base port. Each role has one port per data hall from its offset on.
const KEEPER_PORT_OFFSET: u16 = 1;
/// The offset of the dispatcher ports.
const DISPATCHER_PORT_OFFSET: u16 = 11;
/// The offset of the router ports that serve callers.
const ROUTER_PORT_OFFSET: u16 = 21;
/// The offset of the status ports of routers.
const STATUS_PORT_OFFSET: u16 = 31;

/// The parameters of a deployment.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// The settings tree. Endpoint addresses in it are replaced by those of the stand-ins.
    pub tree: Value,
    /// The loopback address that everything listens on.
    pub ip: IpAddr,
    /// The base port, to which the port offsets of the roles are added.
    pub base_port: u16,
    /// The folder with one data folder per keeper.
    pub data_folder: PathBuf,
    /// The time per token of a stand-in model engine; a call of a plain stand-in takes four times as long.
    pub token_time: Duration,
}

/// An error from starting a deployment.
#[derive(Debug)]
pub enum Error {
    /// The settings tree is invalid. Lists the faults.
    Settings(String),
    /// A part of the deployment did not start.
    Start(String),
    /// The call to the keepers that applies the settings failed.
    Keepers(CallError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings(faults) => write!(f, "the settings tree is invalid; correct the tree:\n{faults}"),
            Error::Start(error) => write!(f, "the deployment did not start: {error}"),
            Error::Keepers(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// A running deployment.
#[derive(Debug)]
pub struct EmbeddedFleet {
    /// One keeper per data hall.
    pub keepers: Vec<KeeperDaemon>,
    /// One dispatcher per data hall.
    pub dispatchers: Vec<DispatcherDaemon>,
    /// One router per data hall.
    pub routers: Vec<RouterDaemon>,
    /// The endpoints, each with the name of its data hall.
    pub endpoints: Vec<(String, StandInEndpoint)>,
    /// A client of the keepers.
    pub client: KeeperClient,
}

/// The settings of the instance with this number, in a deployment of one entry instance per data hall.
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
        callers_address: address(ROUTER_PORT_OFFSET, number),
        wire_address: address(DISPATCHER_PORT_OFFSET, number),
        status_address: address(STATUS_PORT_OFFSET, number),
        data_folder: options.data_folder.join(format!("keeper-{}", number + 1)),
        keepers: peers(KEEPER_PORT_OFFSET),
        dispatchers: peers(DISPATCHER_PORT_OFFSET),
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
    /// Starts stand-ins for the endpoints of the tree and every role in each of its data halls. Returns when the
    /// tree is in force and all routers are ready.
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
        let ephemeral_status = SocketAddr::new(settings.status_address.ip(), 0);
        let keeper_address = settings.keepers.iter().find(|keeper| keeper.name == settings.instance);
        let keeper = ProcessSettings {
            wire_address: keeper_address.expect("an instance lists itself").address,
            status_address: ephemeral_status,
            ..settings.clone()
        };
        let dispatcher = ProcessSettings { status_address: ephemeral_status, ..settings.clone() };
        let start_error = |error: &dyn fmt::Display| Error::Start(error.to_string());
        self.keepers.push(run_keeper(&keeper).await.map_err(|error| start_error(&error))?);
        self.dispatchers
            .push(run_dispatcher(&dispatcher, incarnation).await.map_err(|error| start_error(&error))?);
        self.routers.push(run_router(settings, incarnation).await.map_err(|error| start_error(&error))?);
        Ok(())
    }

    /// Merges a tree into the settings and returns the new revision.
    pub async fn apply(&self, tree: &Value) -> Result<u64, Error> {
        let request = v1::ApplyRequest {
            change: format!("{:016x}", rand::random::<u64>()),
            operator: "fleet".to_owned(),
            base: self.routers.iter().map(|router| router.mirror().policy().revision.0).max().unwrap_or(0),
            patch: tree.to_string(),
        };
        let reply = self.client.apply(request, START_TIMEOUT).await.map_err(Error::Keepers)?;
        match reply.outcome {
            Some(v1::apply_reply::Outcome::Revision(revision)) => Ok(revision),
            Some(v1::apply_reply::Outcome::Rejected(reason)) => Err(Error::Settings(reason)),
            _ => Err(Error::Start("the keepers returned no outcome".to_owned())),
        }
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        for _ in 0..400 {
            if self.routers.iter().all(|router| router.mirror().is_ready()) {
                return Ok(());
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        Err(Error::Start("the routers received no settings within 20 s".to_owned()))
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
