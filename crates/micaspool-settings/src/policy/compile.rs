//! Compilation of a JSON tree into a [`FleetPolicy`], which reports all faults at once.

use super::layer::PolicyLayer;
use super::{
    CustomerPolicy, EndpointPolicy, FleetPolicy, HallPolicy, OnceRule, RequestPolicy, ServiceKind,
    ServicePolicy,
};
use crate::document::{DocumentNode, FaultList, SettingsFault};
use crate::key::KeyDigest;
use micaspool_types::{
    CustomerName, EndpointName, HallMask, HallName, RegionName, Revision, ServiceName, Weight, MAX_HALLS,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const ROOT_FIELDS: &[&str] = &["policy", "halls", "services", "groups", "notes"];
const HALL_FIELDS: &[&str] = &["region"];
const SERVICE_FIELDS: &[&str] = &["kind", "path_prefix", "once", "policy", "endpoints"];
const ENDPOINT_FIELDS: &[&str] = &["hall", "address", "slots", "leaving"];
const GROUP_FIELDS: &[&str] = &["policy", "customers"];
const CUSTOMER_FIELDS: &[&str] = &["policy", "keys_sha256", "services"];
const MAX_SLOTS: u64 = 4_096;

const DEFAULT_MAX_WAITING: u32 = 256;
const DEFAULT_MAX_WAITING_BYTES: u64 = 32 * 1024 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
const DEFAULT_WAIT_LIMIT: Duration = Duration::from_secs(60);
const DEFAULT_SILENCE_LIMIT: Duration = Duration::from_secs(60);
const DEFAULT_PRIORITY: u8 = 5;

/// Validates a tree and returns its policy, or all faults, each with its path and remedy.
pub fn compile_tree(revision: Revision, tree: &Value) -> Result<FleetPolicy, Vec<SettingsFault>> {
    let mut faults = FaultList::default();
    let root = DocumentNode::root(tree);
    root.object(ROOT_FIELDS, &mut faults);
    let halls = read_hall_list(&root, &mut faults);
    let base = default_policy(halls.len());
    let fleet = read_layer(&root, "policy", &halls, &mut faults);
    let services = read_services(&root, &halls, &mut faults);
    let mut policy = FleetPolicy { revision, halls, ..FleetPolicy::default() };
    read_groups(&root, &mut policy, &services, &LayerStack { base: &base, fleet: &fleet }, &mut faults);
    policy.services = services.into_iter().map(|service| service.policy).collect();
    policy.customers.sort_by(|a, b| a.name.cmp(&b.name));
    index_customers(&mut policy, &root, &mut faults);
    faults.finish(policy)
}

/// The layers that apply to every customer and service: the built-in defaults and the fleet layer.
struct LayerStack<'a> {
    base: &'a RequestPolicy,
    fleet: &'a PolicyLayer,
}

/// A service and its policy layer, which is merged into the policy of each customer.
struct ServiceDraft {
    policy: ServicePolicy,
    layer: PolicyLayer,
}

fn default_policy(hall_count: usize) -> RequestPolicy {
    let every_hall = (0..hall_count).fold(HallMask::EMPTY, |mask, index| mask.union(HallMask::single(index)));
    RequestPolicy {
        weight: Weight::ONE,
        halls: every_hall,
        max_waiting: DEFAULT_MAX_WAITING,
        max_waiting_bytes: DEFAULT_MAX_WAITING_BYTES,
        max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        wait_limit: DEFAULT_WAIT_LIMIT,
        silence_limit: DEFAULT_SILENCE_LIMIT,
        priority: DEFAULT_PRIORITY,
        repeatable: true,
    }
}

fn read_layer(
    node: &DocumentNode<'_>,
    key: &str,
    halls: &[HallPolicy],
    faults: &mut FaultList,
) -> PolicyLayer {
    match node.child(key) {
        Some(child) => PolicyLayer::read(&child, halls, faults),
        None => PolicyLayer::default(),
    }
}

/// Calls `visit` for each member of the object under `key`, in key order.
fn visit_members(
    node: &DocumentNode<'_>,
    key: &str,
    faults: &mut FaultList,
    mut visit: impl FnMut(&DocumentNode<'_>, &mut FaultList),
) {
    let Some(parent) = node.child(key) else { return };
    let Some(members) = parent.members(faults) else { return };
    for name in members.keys() {
        match parent.child(name) {
            Some(member) => visit(&member, faults),
            None => faults.add(&parent, format!("remove the null member {name:?}")),
        }
    }
}

fn read_name<T, E: std::fmt::Display>(
    node: &DocumentNode<'_>,
    parse: impl Fn(&str) -> Result<T, E>,
    faults: &mut FaultList,
) -> Option<T> {
    match parse(node.key()) {
        Ok(name) => Some(name),
        Err(error) => {
            faults.add(node, error.to_string());
            None
        }
    }
}

fn read_hall_list(root: &DocumentNode<'_>, faults: &mut FaultList) -> Vec<HallPolicy> {
    let mut halls = Vec::new();
    visit_members(root, "halls", faults, |node, faults| {
        node.object(HALL_FIELDS, faults);
        let name = read_name(node, HallName::parse, faults);
        let region =
            node.required("region", faults).and_then(|child| child.parsed(RegionName::parse, faults));
        if let (Some(name), Some(region)) = (name, region) {
            halls.push(HallPolicy { name, region });
        }
    });
    if halls.len() > MAX_HALLS {
        faults.add(root, format!("list at most {MAX_HALLS} data halls under 'halls'"));
        halls.truncate(MAX_HALLS);
    }
    halls
}

fn read_services(root: &DocumentNode<'_>, halls: &[HallPolicy], faults: &mut FaultList) -> Vec<ServiceDraft> {
    let mut services = Vec::new();
    visit_members(root, "services", faults, |node, faults| {
        node.object(SERVICE_FIELDS, faults);
        let layer = read_layer(node, "policy", halls, faults);
        if let Some(policy) = read_service(node, halls, faults) {
            services.push(ServiceDraft { policy, layer });
        }
    });
    services.sort_by(|a, b| a.policy.name.cmp(&b.policy.name));
    services
}

fn read_service(
    node: &DocumentNode<'_>,
    halls: &[HallPolicy],
    faults: &mut FaultList,
) -> Option<ServicePolicy> {
    let name = read_name(node, ServiceName::parse, faults)?;
    let kind = node.required("kind", faults).and_then(|child| child.parsed(parse_kind, faults))?;
    let path_prefix = node.child("path_prefix").and_then(|child| child.parsed(parse_path, faults));
    if kind == ServiceKind::Plain && path_prefix.is_none() {
        faults.add(node, "add 'path_prefix', which a plain service needs, such as \"/rutas/\"");
    }
    let mut endpoints = Vec::new();
    visit_members(node, "endpoints", faults, |child, faults| {
        endpoints.extend(read_endpoint(child, halls, faults));
    });
    endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    let mask = endpoints
        .iter()
        .fold(HallMask::EMPTY, |mask, endpoint: &EndpointPolicy| mask.union(HallMask::single(endpoint.hall)));
    let once = read_once_rules(node, faults);
    Some(ServicePolicy { name, kind, path_prefix, once, endpoints, halls: mask })
}

fn parse_kind(text: &str) -> Result<ServiceKind, &'static str> {
    match text {
        "model" => Ok(ServiceKind::Model),
        "plain" => Ok(ServiceKind::Plain),
        _ => Err("give \"model\" or \"plain\""),
    }
}

fn parse_path(text: &str) -> Result<String, &'static str> {
    if text.starts_with('/') {
        Ok(text.to_owned())
    } else {
        Err("begin the path with '/'")
    }
}

fn read_once_rules(node: &DocumentNode<'_>, faults: &mut FaultList) -> Vec<OnceRule> {
    let Some(child) = node.child("once") else { return Vec::new() };
    let mut rules = Vec::new();
    for text in child.texts(faults).unwrap_or_default() {
        match text.split_once(' ') {
            Some((method, path)) if path.starts_with('/') && !method.is_empty() => {
                rules.push(OnceRule { method: method.to_ascii_uppercase(), path: path.to_owned() });
            }
            _ => faults
                .add(&child, format!("write {text:?} as METHOD /path, such as \"POST /rutas/recogidas\"")),
        }
    }
    rules
}

fn read_endpoint(
    node: &DocumentNode<'_>,
    halls: &[HallPolicy],
    faults: &mut FaultList,
) -> Option<EndpointPolicy> {
    node.object(ENDPOINT_FIELDS, faults);
    let name = read_name(node, EndpointName::parse, faults);
    let find_hall = |text: &str| {
        let found = halls.iter().position(|hall| hall.name.as_str() == text);
        found.ok_or("name a data hall that 'halls' lists")
    };
    let hall = node.required("hall", faults).and_then(|child| child.parsed(find_hall, faults));
    let address = node.required("address", faults).and_then(|child| child.parsed(parse_address, faults));
    let slots = node.required("slots", faults).and_then(|child| child.number(1, MAX_SLOTS, faults));
    let leaving = node.child("leaving").and_then(|child| child.boolean(faults)).unwrap_or(false);
    Some(EndpointPolicy { name: name?, hall: hall?, address: address?, slots: slots? as u32, leaving })
}

pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, &'static str> {
    text.parse()
        .map_err(|_| "give an IP number and port, such as \"127.0.0.1:7000\"; names are not looked up")
}

fn read_groups(
    root: &DocumentNode<'_>,
    policy: &mut FleetPolicy,
    services: &[ServiceDraft],
    stack: &LayerStack<'_>,
    faults: &mut FaultList,
) {
    let halls = policy.halls.clone();
    let customers = &mut policy.customers;
    visit_members(root, "groups", faults, |group, faults| {
        group.object(GROUP_FIELDS, faults);
        let group_layer = read_layer(group, "policy", &halls, faults);
        visit_members(group, "customers", faults, |node, faults| {
            node.object(CUSTOMER_FIELDS, faults);
            let customer_layer = read_layer(node, "policy", &halls, faults);
            let own_layers = read_own_layers(node, services, &halls, faults);
            let merged = services.iter().zip(&own_layers).map(|(service, own)| {
                let mut merged = stack.base.clone();
                for layer in [stack.fleet, &service.layer, &group_layer, &customer_layer, own] {
                    layer.apply_to(&mut merged);
                }
                merged
            });
            let services = merged.collect();
            let keys = read_keys(node, faults);
            if let Some(name) = read_name(node, CustomerName::parse, faults) {
                customers.push(CustomerPolicy { name, keys, services });
            }
        });
    });
}

/// Reads a customer's own layers for services, by the index of the service.
fn read_own_layers(
    node: &DocumentNode<'_>,
    services: &[ServiceDraft],
    halls: &[HallPolicy],
    faults: &mut FaultList,
) -> Vec<PolicyLayer> {
    let mut layers = vec![PolicyLayer::default(); services.len()];
    visit_members(node, "services", faults, |child, faults| {
        let found = services.iter().position(|service| service.policy.name.as_str() == child.key());
        match found {
            Some(index) => layers[index] = PolicyLayer::read(child, halls, faults),
            None => faults.add(child, "name a service that 'services' lists"),
        }
    });
    layers
}

fn read_keys(node: &DocumentNode<'_>, faults: &mut FaultList) -> Vec<KeyDigest> {
    let Some(child) = node.child("keys_sha256") else { return Vec::new() };
    let mut keys = Vec::new();
    for text in child.texts(faults).unwrap_or_default() {
        match KeyDigest::parse(text) {
            Ok(key) => keys.push(key),
            Err(remedy) => faults.add(&child, remedy),
        }
    }
    keys
}

/// Fills the lookup tables by name and key, and adds faults for duplicates.
fn index_customers(policy: &mut FleetPolicy, root: &DocumentNode<'_>, faults: &mut FaultList) {
    for (index, customer) in policy.customers.iter().enumerate() {
        if policy.names.insert(customer.name.clone(), index).is_some() {
            faults.add(root, format!("give the customer {} in one group only", customer.name));
        }
        for key in &customer.keys {
            if policy.keys.insert(*key, index).is_some() {
                faults.add(root, format!("give the customer {} keys that no other entry has", customer.name));
            }
        }
    }
}
