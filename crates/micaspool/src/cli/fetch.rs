//! Reads the state of daemons from their status ports.

use async_std::io::ReadExt;
use http_types::{Method, Request, Url};
use micaspool::http::client::{call, CallLimits};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Fetches `/status` from a daemon. Returns an error message for operators if that fails.
pub async fn fetch_state(address: SocketAddr) -> Result<Value, String> {
    let unreadable = |error: &dyn std::fmt::Display| {
        format!("{address} can't be read ({error}); give the status address that the daemon printed")
    };
    let url = Url::parse(&format!("http://{address}/status")).map_err(|error| unreadable(&error))?;
    let mut request = Request::new(Method::Get, url);
    request.insert_header("connection", "close");
    let limits = CallLimits { connect: Duration::from_secs(1), silence: Duration::from_secs(3) };
    let mut response = call(address, request, limits).await.map_err(|error| unreadable(&error))?;
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await.map_err(|error| unreadable(&error))?;
    serde_json::from_slice(&body).map_err(|error| unreadable(&error))
}
