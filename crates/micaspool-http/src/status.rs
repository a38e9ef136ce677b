//! The status port of a daemon: health, readiness, metrics and the state of the daemon as JSON.

use crate::head::RequestHead;
use crate::server::{CallerRequest, HttpHandler, HttpServer, ServerOptions};
use async_std::net::TcpListener;
use async_std::task;
use async_trait::async_trait;
use http_types::{Response, StatusCode};
use micaspool_types::{Refusal, RequestId};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The media type of the metrics text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Provides what a daemon publishes on its status port.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns true if the daemon is ready to serve.
    fn is_ready(&self) -> bool;

    /// Returns all metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Returns the state of the daemon as a JSON object.
    fn state(&self) -> String;
}

/// Binds the status port, serves it in the background and returns the bound address.
pub async fn serve_status(address: SocketAddr, source: Arc<dyn StatusSource>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let handler = Arc::new(StatusHandler { source, next: AtomicU64::new(1) });
    let options = ServerOptions { max_connections: 64, ..ServerOptions::default() };
    let server = HttpServer::new(handler, options);
    task::spawn(async move { server.serve(listener).await });
    Ok(bound)
}

struct StatusHandler {
    source: Arc<dyn StatusSource>,
    next: AtomicU64,
}

#[async_trait]
impl HttpHandler for StatusHandler {
    fn admit(&self, _head: &RequestHead) -> Result<u64, Refusal> {
        Ok(0)
    }

    fn next_id(&self) -> RequestId {
        RequestId(u128::from(self.next.fetch_add(1, Ordering::Relaxed)))
    }

    async fn handle(&self, request: CallerRequest) -> Response {
        match request.target.as_str() {
            "/healthz" => text(StatusCode::Ok, "text/plain", "ok\n".to_owned()),
            "/readyz" if self.source.is_ready() => text(StatusCode::Ok, "text/plain", "ready\n".to_owned()),
            "/readyz" => text(StatusCode::ServiceUnavailable, "text/plain", "not ready\n".to_owned()),
            "/metrics" => text(StatusCode::Ok, METRICS_TYPE, self.source.metrics()),
            "/status" => text(StatusCode::Ok, "application/json", self.source.state()),
            _ => {
                let help = "use /healthz, /readyz, /metrics or /status\n".to_owned();
                text(StatusCode::NotFound, "text/plain", help)
            }
        }
    }
}

fn text(status: StatusCode, kind: &str, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", kind);
    response
}
