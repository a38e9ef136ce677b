//! Reads the platform's list of live and leaving instances, which lags behind.

use crate::probe::fetch;
use async_trait::async_trait;
use micaspool_http::client::CallLimits;
use micaspool_types::EndpointName;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The HTTP path of the list.
const LIST_PATH: &str = "/instances";
/// The maximum size of the list in bytes.
const MAX_LIST: u64 = 4 * 1024 * 1024;
/// The `state` value of a leaving instance.
const LEAVING: &str = "leaving";

/// The platform's list of instances, which may be some seconds old.
#[async_trait]
pub trait InstanceList: Send + Sync + 'static {
    /// Returns the endpoints that the platform lists as leaving, or `None` if the list cannot be read.
    async fn leaving(&self) -> Option<BTreeSet<EndpointName>>;
}

/// Reads the list over HTTP: `GET /instances` gives
/// `{"instances": [{"name": "endpoint-1", "state": "live" or "leaving"}]}`.
#[derive(Debug, Clone, Copy)]
pub struct HttpInstanceList {
    address: SocketAddr,
}

impl HttpInstanceList {
    /// Creates a client for the list served at this address.
    pub fn new(address: SocketAddr) -> HttpInstanceList {
        HttpInstanceList { address }
    }
}

#[derive(Deserialize)]
struct ListBody {
    instances: Vec<ListEntry>,
}

#[derive(Deserialize)]
struct ListEntry {
    name: String,
    state: String,
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn leaving(&self) -> Option<BTreeSet<EndpointName>> {
        let limits = CallLimits { connect: Duration::from_millis(500), silence: Duration::from_secs(1) };
        let body = fetch(self.address, LIST_PATH, limits, MAX_LIST).await?;
        let list: ListBody = serde_json::from_slice(&body).ok()?;
        let leaving = list.instances.iter().filter(|entry| entry.state == LEAVING);
        Some(leaving.filter_map(|entry| EndpointName::parse(&entry.name).ok()).collect())
    }
}
