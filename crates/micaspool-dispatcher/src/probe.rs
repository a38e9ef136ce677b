//! Asking endpoints for their load.

use async_std::io::ReadExt;
use async_trait::async_trait;
use http_types::{Method, Request, Url};
use micaspool_dispatch::KeptPart;
use micaspool_http::client::{call, CallLimits};
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

/// Asks an endpoint for its load.
#[async_trait]
pub trait EndpointProbe: std::fmt::Debug + Send + Sync + 'static {
    /// The report of the endpoint at this address, or `None` when it does not answer in time.
    async fn ask(&self, address: SocketAddr) -> Option<ProbeAnswer>;

    /// The prompt parts that the engine at this address keeps. Asked once, when a shard meets the
    /// engine: it may have run for long under another dispatcher. `None` when it can't be told.
    async fn kept_parts(&self, _address: SocketAddr) -> Option<Vec<KeptPart>> {
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
    async fn ask(&self, address: SocketAddr) -> Option<ProbeAnswer> {
        let body = fetch(address, LOAD_PATH, self.limits, MAX_REPORT).await?;
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
