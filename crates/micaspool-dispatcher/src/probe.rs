//! Asking endpoints for their load.

use async_std::io::ReadExt;
use async_trait::async_trait;
use http_types::{Method, Request, Url};
use micaspool_dispatch::CachedPart;
use micaspool_http::client::{call, CallLimits};
use micaspool_types::{EndpointName, Incarnation, ServiceName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The path at which an endpoint reports its load.
const LOAD_PATH: &str = "/load";
/// The largest load report in bytes.
const MAX_REPORT: u64 = 64 * 1024;

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ProbeAnswer {
    /// When it started, as it says; `None` when it does not.
    #[serde(default)]
    pub start: Option<Incarnation>,
    /// How many requests it runs.
    pub running: u32,
    /// How many requests wait there to be read.
    #[serde(default)]
    pub waiting: u32,
    /// True when it takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// Prefix hashes that its cache took in since the last report.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Prefix hashes that its cache dropped since the last report.
    #[serde(default)]
    pub dropped: Vec<u64>,
}

/// An endpoint that is asked for its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbedEndpoint {
    /// Its name in the shard.
    pub name: EndpointName,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The start that the name stands for; `None` where starts aren't told apart.
    pub start: Option<Incarnation>,
}

impl ProbedEndpoint {
    /// True when an answer from its address may be its own. Another start may have taken the address over, and what
    /// that says is nothing of this one.
    pub fn matches_start(&self, answer: &ProbeAnswer) -> bool {
        match (self.start, answer.start) {
            (Some(expected), Some(reported)) => expected == reported,
            _ => true,
        }
    }
}

/// A place in the sequence of an engine's cache changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheCursor {
    /// Tells one life of the cache from the next.
    pub epoch: u64,
    /// The number after the newest change that is known.
    pub next: u64,
}

/// Every prompt part that an engine keeps, at one place in the sequence of its changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Where the changes after this list begin.
    pub cursor: CacheCursor,
    /// The parts, the ones used longest ago first where that is known.
    pub parts: Vec<CachedPart>,
}

/// What changed in an engine's cache since a cursor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChanges {
    /// Where later changes begin.
    pub cursor: CacheCursor,
    /// True when changes in between are lost, so that only a new list tells what is kept.
    pub gap: bool,
    /// Parts that it keeps now.
    pub kept: Vec<CachedPart>,
    /// Parts that it dropped, whole or in part.
    pub dropped: Vec<u64>,
}

/// Asks an endpoint for its load.
#[async_trait]
pub trait EndpointProbe: std::fmt::Debug + Send + Sync + 'static {
    /// The report of an endpoint, or `None` when it does not answer in time or wants nothing now.
    async fn ask(&self, endpoint: &ProbedEndpoint) -> Option<ProbeAnswer>;

    /// The prompt parts that an engine keeps. Asked when a shard meets the engine,
    /// which may have run for long under another dispatcher, and after a gap. `None` when it can't be
    /// told.
    async fn cached_parts(&self, _endpoint: &ProbedEndpoint) -> Option<CacheSnapshot> {
        None
    }

    /// What changed in the engine's cache since the cursor; waits a while for news. `None` when it
    /// can't be told.
    async fn cache_changes(&self, _endpoint: &ProbedEndpoint, _since: CacheCursor) -> Option<CacheChanges> {
        None
    }
}

/// Asks over HTTP: `GET /load` gives `{"running": n, "draining": false}`.
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
    async fn ask(&self, endpoint: &ProbedEndpoint) -> Option<ProbeAnswer> {
        let body = fetch(endpoint.address, LOAD_PATH, self.limits, MAX_REPORT).await?;
        serde_json::from_slice(&body).ok()
    }
}

/// The body of a successful `GET`, at most `max` bytes.
pub(crate) async fn fetch(address: SocketAddr, path: &str, limits: CallLimits, max: u64) -> Option<Vec<u8>> {
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
