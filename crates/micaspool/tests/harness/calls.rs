//! An HTTP client for calls to routers and status ports.

use async_std::io::ReadExt;
use http_types::{Method, Request, Url};
use micaspool::http::client::{call, CallLimits};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// A complete response to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub endpoint: Option<String>,
    pub replayed: bool,
    pub run: Option<String>,
    pub retry_after: Option<u64>,
    pub traceparent: Option<String>,
    pub body: String,
}

impl Answer {
    /// The content of a model answer, from a JSON body or from streamed events.
    pub fn text(&self) -> String {
        if let Ok(value) = serde_json::from_str::<Value>(&self.body) {
            return value["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned();
        }
        let events = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let parts = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
        parts
            .map(|part| part["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned())
            .collect()
    }

    /// The kind of a refusal; empty if the body has none.
    pub fn kind(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["kind"].as_str().unwrap_or_default().to_owned()
    }
}

/// A call to a router.
#[derive(Debug, Clone)]
pub struct Call {
    pub router: SocketAddr,
    pub key: String,
    pub target: String,
    pub body: String,
    pub headers: Vec<(&'static str, String)>,
}

impl Call {
    /// A model call with the key of a customer of the examples.
    pub fn chat(
        router: SocketAddr,
        customer: &str,
        model: &str,
        content: &str,
        tokens: u64,
        stream: bool,
    ) -> Call {
        let messages = json!([{ "role": "user", "content": content }]);
        let body = json!({ "model": model, "messages": messages, "max_tokens": tokens, "stream": stream });
        Call::plain(router, customer, "/v1/chat/completions", &body.to_string())
    }

    /// A call of a plain service with the key of a customer of the examples.
    pub fn plain(router: SocketAddr, customer: &str, target: &str, body: &str) -> Call {
        Call {
            router,
            key: format!("demo-{customer}"),
            target: target.to_owned(),
            body: body.to_owned(),
            headers: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Call {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sends the call. Returns `None` if no complete response arrives.
    pub async fn send(&self) -> Option<Answer> {
        let url = Url::parse(&format!("http://{}{}", self.router, self.target)).expect("a URL");
        let mut request = Request::new(Method::Post, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.insert_header("content-type", "application/json");
        request.insert_header("connection", "close");
        for (name, value) in &self.headers {
            request.insert_header(*name, value.as_str());
        }
        request.set_body(self.body.clone());
        let limits = CallLimits { connect: Duration::from_secs(2), silence: Duration::from_secs(90) };
        let mut response = call(self.router, request, limits).await.ok()?;
        let mut body = String::new();
        response.take_body().read_to_string(&mut body).await.ok()?;
        let header = |name: &str| response.header(name).map(|values| values.last().as_str().to_owned());
        Some(Answer {
            status: response.status().into(),
            endpoint: header("micaspool-endpoint"),
            replayed: header("micaspool-replayed").is_some(),
            run: header("micaspool-run"),
            retry_after: header("retry-after").and_then(|value| value.parse().ok()),
            traceparent: header("traceparent"),
            body,
        })
    }
}

/// The JSON state on the status port of a daemon; null if it can't be read.
pub async fn state(address: SocketAddr) -> Value {
    let text = get(address, "/status").await;
    serde_json::from_str(&text).unwrap_or_default()
}

/// The body of a GET request; empty if it fails.
pub async fn get(address: SocketAddr, path: &str) -> String {
    let url = Url::parse(&format!("http://{address}{path}")).expect("a URL");
    let mut request = Request::new(Method::Get, url);
    request.insert_header("connection", "close");
    let limits = CallLimits { connect: Duration::from_millis(500), silence: Duration::from_secs(2) };
    let Ok(mut response) = call(address, request, limits).await else { return String::new() };
    let mut body = String::new();
    let _ = response.take_body().read_to_string(&mut body).await;
    body
}
