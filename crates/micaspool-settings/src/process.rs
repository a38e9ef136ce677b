//! The settings file of one process.

use crate::document::{DocumentNode, FaultList, SettingsFault};
use crate::policy::parse_address;
use micaspool_types::{HallName, InstanceName, RegionName};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FIELDS: &[&str] = &[
    "instance",
    "hall",
    "region",
    "callers",
    "wire",
    "status",
    "data_folder",
    "keepers",
    "dispatchers",
    "remote_dispatchers",
    "instance_list",
    "log_file",
    "log_level",
    "trace_file",
    "worker_threads",
];
const PEER_FIELDS: &[&str] = &["name", "hall", "address"];

/// The maximum number of worker threads of a process.
const MAX_THREADS: u64 = 64;

/// A process of another instance and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The name of its instance.
    pub name: InstanceName,
    /// The address on which it listens for other processes.
    pub address: SocketAddr,
}

/// The role of a process, which determines the settings that it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// Accepts requests of callers and sends them to endpoints.
    Router,
    /// Decides which waiting request runs at which endpoint.
    Dispatcher,
    /// Stores durable state as a member of the replicated log.
    Keeper,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// The name of the instance that the process runs on.
    pub instance: InstanceName,
    /// The data hall of the instance.
    pub hall: HallName,
    /// The region of the instance.
    pub region: RegionName,
    /// The address on which a router listens for callers.
    pub callers_address: SocketAddr,
    /// The address on which a dispatcher or keeper listens for other processes.
    pub wire_address: SocketAddr,
    /// The address on which metrics and health are served.
    pub status_address: SocketAddr,
    /// The directory of a keeper's files.
    pub data_folder: PathBuf,
    /// All keepers, including this process if it is one.
    pub keepers: Vec<PeerAddress>,
    /// All dispatchers of the region.
    pub dispatchers: Vec<PeerAddress>,
    /// The dispatchers of other regions, with whose shards totals are exchanged.
    pub remote_dispatchers: Vec<PeerAddress>,
    /// The address at which the platform serves its list of instances, if there is one.
    pub instance_list: Option<SocketAddr>,
    /// The log file; standard error if absent.
    pub log_file: Option<PathBuf>,
    /// The log level: error, warn, info, debug or trace.
    pub log_level: String,
    /// The file that spans are written to; no spans are written if absent.
    pub trace_file: Option<PathBuf>,
    /// The number of worker threads. One thread does the most work per unit of processor time; more are for
    /// instances on which one core is not enough.
    pub worker_threads: usize,
}

/// Reads and validates the settings file of a process with this role. Reports all faults at once.
pub fn read_file(path: &Path, role: ProcessRole) -> Result<ProcessSettings, Vec<SettingsFault>> {
    let file_fault = |remedy: String| vec![SettingsFault { path: ".".to_owned(), remedy }];
    let text = std::fs::read_to_string(path)
        .map_err(|error| file_fault(format!("make the file {} readable ({error})", path.display())))?;
    let value = serde_json::from_str(&text)
        .map_err(|error| file_fault(format!("make the file valid JSON ({error})")))?;
    read_value(&value, role)
}

/// Validates settings that are already parsed as JSON.
pub fn read_value(value: &Value, role: ProcessRole) -> Result<ProcessSettings, Vec<SettingsFault>> {
    let mut faults = FaultList::default();
    let root = DocumentNode::root(value);
    root.object(FIELDS, &mut faults);
    let settings = read_fields(&root, role, &mut faults);
    let settings = faults.finish(settings)?;
    settings.ok_or_else(|| {
        vec![SettingsFault { path: ".".to_owned(), remedy: "add the missing keys".to_owned() }]
    })
}

fn read_fields(
    root: &DocumentNode<'_>,
    role: ProcessRole,
    faults: &mut FaultList,
) -> Option<ProcessSettings> {
    let instance =
        root.required("instance", faults).and_then(|node| node.parsed(InstanceName::parse, faults));
    let hall = root.required("hall", faults).and_then(|node| node.parsed(HallName::parse, faults));
    let region = root.required("region", faults).and_then(|node| node.parsed(RegionName::parse, faults));
    let callers = read_listener(root, "callers", role == ProcessRole::Router, faults);
    let wire = read_listener(root, "wire", role != ProcessRole::Router, faults);
    let status = read_listener(root, "status", true, faults);
    let keepers = read_peers(root, "keepers", true, faults);
    let dispatchers = read_peers(root, "dispatchers", role == ProcessRole::Router, faults);
    let data_folder = read_path(root, "data_folder", faults);
    if role == ProcessRole::Keeper && data_folder.is_none() {
        faults.add(root, "add the key \"data_folder\"");
    }
    if role == ProcessRole::Keeper && !lists_itself(&instance, &keepers) {
        faults.add(root, "list this instance under 'keepers' too, by its instance name");
    }
    let remote_dispatchers = read_peers(root, "remote_dispatchers", false, faults);
    let instance_list = read_optional_address(root, "instance_list", faults);
    let log_file = read_path(root, "log_file", faults);
    let log_level = read_level(root, faults);
    let trace_file = read_path(root, "trace_file", faults);
    let threads = root.child("worker_threads").and_then(|node| node.number(1, MAX_THREADS, faults));
    Some(ProcessSettings {
        worker_threads: threads.unwrap_or(1) as usize,
        instance: instance?,
        hall: hall?,
        region: region?,
        callers_address: callers?,
        wire_address: wire?,
        status_address: status?,
        data_folder: data_folder.unwrap_or_default(),
        keepers: keepers?,
        dispatchers: dispatchers?,
        remote_dispatchers: remote_dispatchers?,
        instance_list,
        log_file,
        log_level,
        trace_file,
    })
}

fn lists_itself(instance: &Option<InstanceName>, keepers: &Option<Vec<PeerAddress>>) -> bool {
    match (instance, keepers) {
        (Some(instance), Some(keepers)) => keepers.iter().any(|peer| peer.name == *instance),
        _ => true,
    }
}

fn read_listener(
    root: &DocumentNode<'_>,
    key: &str,
    is_required: bool,
    faults: &mut FaultList,
) -> Option<SocketAddr> {
    if is_required {
        return root.required(key, faults).and_then(|node| node.parsed(parse_address, faults));
    }
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 0));
    Some(read_optional_address(root, key, faults).unwrap_or(unused_address))
}

fn read_optional_address(root: &DocumentNode<'_>, key: &str, faults: &mut FaultList) -> Option<SocketAddr> {
    root.child(key).and_then(|node| node.parsed(parse_address, faults))
}

fn read_path(root: &DocumentNode<'_>, key: &str, faults: &mut FaultList) -> Option<PathBuf> {
    root.child(key).and_then(|node| node.text(faults)).map(PathBuf::from)
}

fn read_level(root: &DocumentNode<'_>, faults: &mut FaultList) -> String {
    let check = |text: &str| match text {
        "error" | "warn" | "info" | "debug" | "trace" => Ok(text.to_owned()),
        _ => Err("give error, warn, info, debug or trace"),
    };
    root.child("log_level").and_then(|node| node.parsed(check, faults)).unwrap_or_else(|| "info".to_owned())
}

fn read_peers(
    root: &DocumentNode<'_>,
    key: &str,
    is_required: bool,
    faults: &mut FaultList,
) -> Option<Vec<PeerAddress>> {
    if !is_required && root.child(key).is_none() {
        return Some(Vec::new());
    }
    let node = root.required(key, faults)?;
    let Some(items) = node.value().as_array() else {
        faults.add(&node, "give a JSON array of objects with name and address");
        return None;
    };
    let mut peers = Vec::new();
    for item in items {
        let entry = DocumentNode::root(item);
        let before = peers.len();
        let mut inner = FaultList::default();
        entry.object(PEER_FIELDS, &mut inner);
        let name = entry
            .required("name", &mut inner)
            .and_then(|child| child.parsed(InstanceName::parse, &mut inner));
        let address =
            entry.required("address", &mut inner).and_then(|child| child.parsed(parse_address, &mut inner));
        if let (Some(name), Some(address)) = (name, address) {
            peers.push(PeerAddress { name, address });
        }
        for fault in inner.finish(()).err().unwrap_or_default() {
            faults.add(&node, format!("entry {before}, {}: {}", fault.path, fault.remedy));
        }
    }
    if is_required && items.is_empty() {
        faults.add(&node, "list at least one process");
    }
    Some(peers)
}
