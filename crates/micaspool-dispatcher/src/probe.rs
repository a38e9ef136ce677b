//! Requests load and cache reports from endpoints.

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_trait::async_trait;
use http_types::{Method, Request, Url};
use micaspool_dispatch::CachedPart;
use micaspool_http::client::{call, CallLimits};
use micaspool_types::{EndpointName, Incarnation, ServiceName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The HTTP path of an endpoint's load report.
const LOAD_PATH: &str = "/load";
/// How long a call for a report may take, however fast it comes.
const FETCH_TIME: Duration = Duration::from_secs(3);
/// The maximum size of a load report in bytes.
const MAX_REPORT: u64 = 64 * 1024;

/// A load report of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ProbeAnswer {
    /// The incarnation that it reports; `None` if it reports none.
    #[serde(default)]
    pub start: Option<Incarnation>,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait there for prefill.
    #[serde(default)]
    pub waiting: u32,
    /// True if it accepts no new work.
    #[serde(default)]
    pub draining: bool,
    /// Hashes of prefixes that it has cached since the last report.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Hashes of prefixes that it has evicted since the last report.
    #[serde(default)]
    pub dropped: Vec<u64>,
}

/// An endpoint whose load is probed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbedEndpoint {
    /// Its name in the shard.
    pub name: EndpointName,
    /// Its service.
    pub service: ServiceName,
    /// The address of its HTTP server.
    pub address: SocketAddr,
    /// The incarnation to which the name belongs; `None` if incarnations are not distinguished.
    pub start: Option<Incarnation>,
}

impl ProbedEndpoint {
    /// Returns false if the answer reports a different incarnation. An endpoint that was started later may listen at
    /// the same address, and its report says nothing about this one.
    pub fn matches_incarnation(&self, answer: &ProbeAnswer) -> bool {
        match (self.start, answer.start) {
            (Some(expected), Some(reported)) => expected == reported,
            _ => true,
        }
    }
}

/// A position in the sequence of an engine's cache changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheCursor {
    /// Identifies the sequence; a cache that was reset has a new epoch.
    pub epoch: u64,
    /// The number of the first change that is not known yet.
    pub next: u64,
}

/// All prompt parts that an engine has cached at one position in the sequence of its changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// The position of the first change after this snapshot.
    pub cursor: CacheCursor,
    /// The parts, least recently used first if the order is known.
    pub parts: Vec<CachedPart>,
}

/// The changes of an engine's cache since a cursor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChanges {
    /// The position of the first change after these.
    pub cursor: CacheCursor,
    /// True if changes in between were lost, so that a new snapshot is needed.
    pub gap: bool,
    /// Parts that are now cached.
    pub kept: Vec<CachedPart>,
    /// Prefix hashes of parts that were evicted, entirely or partially.
    pub dropped: Vec<u64>,
}

/// Requests load and cache reports from endpoints.
#[async_trait]
pub trait EndpointProbe: std::fmt::Debug + Send + Sync + 'static {
    /// Requests the load report of an endpoint. Returns `None` if it does not answer in time or asked not to be
    /// contacted for now.
    async fn load(&self, endpoint: &ProbedEndpoint) -> Option<ProbeAnswer>;

    /// Requests the prompt parts that an engine has cached. Called when a shard first uses the engine, which may have
    /// served another dispatcher before, and after changes were lost. Returns `None` if the engine does not report
    /// them.
    async fn cached_parts(&self, _endpoint: &ProbedEndpoint) -> Option<CacheSnapshot> {
        None
    }

    /// Requests the changes of an engine's cache since the cursor. The engine may delay its answer until there are
    /// some. Returns `None` if it does not report them.
    async fn cache_changes(&self, _endpoint: &ProbedEndpoint, _since: CacheCursor) -> Option<CacheChanges> {
        None
    }
}

/// Reads load reports over HTTP: `GET /load` returns `{"running": n, "draining": false}`.
#[derive(Debug, Clone, Copy)]
pub struct HttpEndpointProbe {
    limits: CallLimits,
}

impl Default for HttpEndpointProbe {
    fn default() -> Self {
        let limits = CallLimits { connect: Duration::from_millis(500), silence: Duration::from_secs(1) };
        HttpEndpointProbe { limits }
    }
}

#[async_trait]
impl EndpointProbe for HttpEndpointProbe {
    async fn load(&self, endpoint: &ProbedEndpoint) -> Option<ProbeAnswer> {
        let body = fetch(endpoint.address, LOAD_PATH, self.limits, MAX_REPORT).await?;
        serde_json::from_slice(&body).ok()
    }
}

/// Sends a `GET` request and returns at most `max` bytes of the body, or `None` unless it succeeds within [`FETCH_TIME`].
pub(crate) async fn fetch(address: SocketAddr, path: &str, limits: CallLimits, max: u64) -> Option<Vec<u8>> {
    timeout(FETCH_TIME, fetch_body(address, path, limits, max)).await.ok()?
}

async fn fetch_body(address: SocketAddr, path: &str, limits: CallLimits, max: u64) -> Option<Vec<u8>> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(Method::Get, url);
    request.insert_header("connection", "close");
    let mut response = call(address, request, limits).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = Vec::new();
    response.take_body().take(max).read_to_end(&mut body).await.ok()?;
    Some(body)
}
