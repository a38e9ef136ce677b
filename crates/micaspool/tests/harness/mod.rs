//! Runs the daemon binaries on a loopback address per deployment, with stand-in endpoints in the test process.
#![allow(dead_code)]

pub mod calls;
pub mod relay;

use async_std::task;
use micaspool::client::KeeperClient;
use micaspool::replay::standin::{StandInEndpoint, StandInOptions};
use micaspool::settings::process::PeerAddress;
use micaspool::telemetry::traffic::TrafficCounter;
use micaspool::types::InstanceName;
use micaspool::wire::v1;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const MILK: &str = include_str!("../../../../examples/milk/tree.json");
const KILNS: &str = include_str!("../../../../examples/kilns/tree.json");
const START_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_DEPLOYMENT: AtomicU32 = AtomicU32::new(0);

/// The settings tree of the milk collector.
pub fn milk() -> Value {
    serde_json::from_str(MILK).expect("the example is JSON")
}

/// The settings tree of the kiln bookings.
pub fn kilns() -> Value {
    serde_json::from_str(KILNS).expect("the example is JSON")
}

/// A daemon process, killed on drop.
pub struct Daemon {
    child: Child,
    pub addresses: BTreeMap<String, SocketAddr>,
    _output: BufReader<std::process::ChildStdout>,
}

impl Daemon {
    fn spawn(binary: &str, settings: &PathBuf) -> Daemon {
        let mut child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let mut output = BufReader::new(child.stdout.take().expect("the output is piped"));
        let mut line = String::new();
        output.read_line(&mut line).expect("the daemon prints its ready line");
        let pairs = line.split_whitespace().filter_map(|word| word.split_once('='));
        assert!(line.starts_with("ready "), "the daemon did not start: {line:?}");
        let addresses = pairs.map(|(key, address)| (key.to_owned(), address.parse().expect("an address")));
        Daemon { child, addresses: addresses.collect(), _output: output }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.expect("kill can be run").success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit, at most for `limit`. Returns its exit code.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three entry instances, each with a keeper, a dispatcher and a router, and the endpoints of a settings tree.
pub struct Deployment {
    pub ip: String,
    pub folder: PathBuf,
    pub tree: Value,
    pub keepers: Vec<Option<Daemon>>,
    pub dispatchers: Vec<Option<Daemon>>,
    pub routers: Vec<Option<Daemon>>,
    pub endpoints: BTreeMap<String, StandInEndpoint>,
    pub client: KeeperClient,
    /// Wire addresses of the dispatchers of another region.
    pub remote_dispatchers: Vec<String>,
    /// The instance that can be partitioned from the others, through the relays to and from it.
    pub remote: Option<usize>,
    pub relays: Vec<relay::Relay>,
}

const KEEPER_PORT: u16 = 7601;
const DISPATCHER_PORT: u16 = 7611;
/// The offset of relay ports above their target ports, for connections of the other instances to the remote one.
const RELAY_TO_REMOTE_OFFSET: u16 = 1_000;
/// The same for connections of the remote instance to the others.
const RELAY_FROM_REMOTE_OFFSET: u16 = 2_000;

impl Deployment {
    /// Replaces the endpoints of a service by one address, before the daemons start.
    pub fn set_endpoints(&mut self, service: &str, address: SocketAddr) {
        let endpoints = self.tree["services"][service]["endpoints"].as_object_mut();
        for endpoint in endpoints.expect("the service has endpoints").values_mut() {
            endpoint["address"] = json!(address.to_string());
        }
    }

    /// Starts the endpoints and the daemons, and puts the tree in force.
    pub async fn start(tree: Value, token_time: Duration) -> Deployment {
        let mut deployment = Deployment::prepare(tree, token_time).await;
        deployment.start_daemons().await;
        deployment
    }

    /// Starts the daemons, puts the tree in force as revision 1, and waits for routers and dispatchers to load it.
    pub async fn start_daemons(&mut self) {
        for number in 0..3 {
            self.start_keeper(number);
        }
        for number in 0..3 {
            self.start_dispatcher(number);
        }
        for number in 0..3 {
            self.start_router(number);
        }
        let tree = self.tree.clone();
        self.apply("first", 0, &tree).await.expect("the first tree is accepted");
        self.wait_for_revision(1).await;
    }

    /// Starts the endpoints only, and enters their addresses into the tree.
    pub async fn prepare(mut tree: Value, token_time: Duration) -> Deployment {
        let number = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{}", 1 + (pid >> 8) % 250, pid % 256, 1 + number);
        let folder = std::env::temp_dir().join(format!("micaspool-test-{pid}-{number}"));
        // A failed run of an earlier process with the same id may have left its folder.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let mut endpoints = BTreeMap::new();
        let services = tree["services"].as_object_mut().expect("the tree has services");
        for service in services.values_mut() {
            for (name, spec) in service["endpoints"].as_object_mut().expect("the service has endpoints") {
                let slots = spec["slots"].as_u64().expect("the endpoint has slots") as usize;
                let options = StandInOptions { name: name.clone(), slots, token_time };
                let address = format!("{ip}:0").parse().expect("an address");
                let endpoint = StandInEndpoint::start(address, options).await.expect("the endpoint starts");
                spec["address"] = json!(endpoint.address().to_string());
                endpoints.insert(name.clone(), endpoint);
            }
        }
        let peer = |number: usize| PeerAddress {
            name: InstanceName::parse(&format!("entry-{number}")).expect("a name"),
            address: format!("{ip}:{}", 7601 + number).parse().expect("an address"),
        };
        let client = KeeperClient::new((0..3).map(peer).collect(), TrafficCounter::default());
        Deployment {
            ip,
            folder,
            tree,
            keepers: vec![None, None, None],
            dispatchers: vec![None, None, None],
            routers: vec![None, None, None],
            endpoints,
            client,
            remote_dispatchers: Vec::new(),
            remote: None,
            relays: Vec::new(),
        }
    }

    /// Starts relays between an instance and the others. Daemons must be started after this.
    pub async fn add_relays(&mut self, remote: usize) {
        self.remote = Some(remote);
        for target in 0..3 {
            let shift = if target == remote { RELAY_TO_REMOTE_OFFSET } else { RELAY_FROM_REMOTE_OFFSET };
            for port in [KEEPER_PORT + target as u16, DISPATCHER_PORT + target as u16] {
                let listen = format!("{}:{}", self.ip, port + shift).parse().expect("an address");
                let target = format!("{}:{port}", self.ip).parse().expect("an address");
                self.relays.push(relay::Relay::start(listen, target).await);
            }
        }
    }

    /// Starts or ends a partition between the remote instance and the others.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        for relay in &self.relays {
            relay.set_partitioned(is_partitioned);
        }
    }

    /// The port at which one instance reaches a port of another: that of a relay if they are on different sides.
    fn visible_port(&self, viewer: usize, port: u16, target: usize) -> u16 {
        match self.remote {
            Some(remote) if viewer == remote && target != remote => port + RELAY_FROM_REMOTE_OFFSET,
            Some(remote) if viewer != remote && target == remote => port + RELAY_TO_REMOTE_OFFSET,
            _ => port,
        }
    }

    /// Writes the settings file of a daemon and returns its path.
    fn settings(&self, role: &str, number: usize) -> PathBuf {
        let halls: Vec<&String> = self.tree["halls"].as_object().expect("halls").keys().collect();
        let region = &self.tree["halls"][halls[number]]["region"];
        let peers = |port: u16| -> Vec<Value> {
            let peer = |target: usize| {
                let port = self.visible_port(number, port + target as u16, target);
                json!({"name": format!("entry-{target}"), "address": format!("{}:{port}", self.ip)})
            };
            (0..3).map(peer).collect()
        };
        let mut settings = json!({
            "instance": format!("entry-{number}"),
            "hall": halls[number],
            "region": region,
            "keepers": peers(KEEPER_PORT),
            "dispatchers": peers(DISPATCHER_PORT),
            "status": format!("{}:0", self.ip),
            "log_file": self.folder.join(format!("{role}-{number}.log")),
            "trace_file": self.folder.join(format!("{role}-{number}.spans")),
        });
        match role {
            "keeper" => {
                settings["wire"] = json!(format!("{}:{}", self.ip, 7601 + number));
                settings["data_folder"] = json!(self.folder.join(format!("data-{number}")));
            }
            "dispatcher" => {
                settings["wire"] = json!(format!("{}:{}", self.ip, 7611 + number));
                let others = self.remote_dispatchers.iter().enumerate();
                let peer = |(n, address): (usize, &String)| json!({ "name": format!("far-{n}"), "address": address });
                settings["remote_dispatchers"] = others.map(peer).collect();
            }
            _ => settings["callers"] = json!(format!("{}:0", self.ip)),
        }
        let path = self.folder.join(format!("{role}-{number}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        path
    }

    pub fn start_keeper(&mut self, number: usize) {
        let settings = self.settings("keeper", number);
        self.keepers[number] = Some(Daemon::spawn(env!("CARGO_BIN_EXE_micaspool-keeper"), &settings));
    }

    pub fn start_dispatcher(&mut self, number: usize) {
        let settings = self.settings("dispatcher", number);
        self.dispatchers[number] = Some(Daemon::spawn(env!("CARGO_BIN_EXE_micaspool-dispatcher"), &settings));
    }

    pub fn start_router(&mut self, number: usize) {
        let settings = self.settings("router", number);
        self.routers[number] = Some(Daemon::spawn(env!("CARGO_BIN_EXE_micaspool-router"), &settings));
    }

    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    pub fn router(&self, number: usize) -> SocketAddr {
        self.routers[number].as_ref().expect("the router runs").addresses["callers"]
    }

    /// Applies a settings patch. Returns the new revision, or the reason if it was rejected or the call failed.
    pub async fn apply(&self, id: &str, base: u64, patch: &Value) -> Result<u64, String> {
        let request = v1::ApplyRequest {
            change: id.to_owned(),
            operator: "test".to_owned(),
            base,
            patch: patch.to_string(),
        };
        let reply = self.client.apply(request, START_TIMEOUT).await.map_err(|error| error.to_string())?;
        match reply.outcome {
            Some(v1::apply_reply::Outcome::Revision(revision)) => Ok(revision),
            Some(v1::apply_reply::Outcome::Rejected(reason)) => Err(reason),
            other => Err(format!("{other:?}")),
        }
    }

    /// Waits until every running router and dispatcher uses at least this revision.
    pub async fn wait_for_revision(&self, revision: u64) {
        for daemon in self.routers.iter().chain(&self.dispatchers).flatten() {
            let address = daemon.addresses["status"];
            wait_for(|| async move {
                let state = calls::state(address).await;
                state["revision"].as_u64().unwrap_or(0) >= revision
            })
            .await;
        }
    }

    /// The state of a daemon from its status port; null if it isn't running.
    pub async fn state(&self, daemon: &Option<Daemon>) -> Value {
        match daemon {
            Some(daemon) => calls::state(daemon.addresses["status"]).await,
            None => Value::Null,
        }
    }

    /// The dispatcher that the most routers use for a service, if any is used.
    pub async fn serving_dispatcher(&self, service: &str) -> Option<usize> {
        let mut best = None;
        for (number, daemon) in self.dispatchers.iter().enumerate() {
            let state = self.state(daemon).await;
            let shards = state["shards"].as_array().cloned().unwrap_or_default();
            let shard = shards.iter().find(|shard| shard["service"] == service);
            let routers = shard.and_then(|shard| shard["routers"].as_u64()).unwrap_or(0);
            if routers > 0 && best.is_none_or(|(most, _)| routers > most) {
                best = Some((routers, number));
            }
        }
        best.map(|(_, number)| number)
    }

    /// The keeper that is the leader, if any.
    pub async fn leader(&self) -> Option<usize> {
        for (number, daemon) in self.keepers.iter().enumerate() {
            if self.state(daemon).await["role"] == "leader" {
                return Some(number);
            }
        }
        None
    }

    /// The number of times that endpoints started to run a request with this body.
    pub fn run_count(&self, body: &str) -> usize {
        let runs = self.endpoints.values().flat_map(|endpoint| endpoint.runs());
        runs.filter(|run| run.body == body.as_bytes()).count()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.routers.clear();
        self.dispatchers.clear();
        self.keepers.clear();
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until a condition holds. Panics after 30 seconds.
pub async fn wait_for<F, Fut>(condition: F)
where
    F: Fn() -> Fut,
    Fut: std::future::Future<Output = bool>,
{
    let end = Instant::now() + Duration::from_secs(30);
    while !condition().await {
        assert!(Instant::now() < end, "the condition did not come to hold");
        task::sleep(Duration::from_millis(20)).await;
    }
}
