//! The client for endpoints.

use crate::call::CallPlan;
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_trait::async_trait;
use http_types::{Body, Method, Request, Response, Url};
use micaspool_backpressure::{HeaderAdvice, DRAINING_REST};
use micaspool_http::client::{call, CallLimits, Error};
use micaspool_http::refusal::{REQUEST_HEADER, RUN_HEADER};
use micaspool_telemetry::events::{self, field, record};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// The header in which an endpoint announces that it is draining.
const DRAINING_HEADER: &str = "micaspool-draining";
/// How long connecting to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes read from the body of a refusal.
const MAX_REFUSAL_BYTES: u64 = 64 * 1024;
/// How long reading the body of a refusal may take. Its head has said everything.
const REFUSAL_BODY_TIME: Duration = Duration::from_millis(500);

/// A request to an endpoint.
#[derive(Debug)]
pub struct EndpointCall<'a> {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The request.
    pub plan: &'a CallPlan,
    /// The trace context of the request.
    pub traceparent: &'a str,
}

/// An endpoint's answer, whose body has not been read yet.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// The response.
    pub response: Response,
}

/// Why an endpoint gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointError {
    /// No connection could be established, so nothing ran.
    Unreachable,
    /// The endpoint is at capacity.
    Refused {
        /// True if the endpoint stated that nothing ran.
        is_proved_not_run: bool,
        /// The rest that the endpoint asked for: how long it wants no requests from this router. Zero if none.
        rest: Duration,
    },
    /// The endpoint is draining and accepts no new requests.
    Draining {
        /// True if the endpoint stated that nothing ran.
        is_proved_not_run: bool,
    },
    /// The connection was lost after the request may have been sent.
    ConnectionLost,
    /// No readable answer arrived after the request may have been sent.
    NoAnswer,
    /// The response has the id of another request.
    WrongRequest,
}

impl EndpointError {
    /// Returns true if the request provably did not run.
    pub fn is_not_run(self) -> bool {
        match self {
            EndpointError::Unreachable => true,
            EndpointError::Refused { is_proved_not_run, .. }
            | EndpointError::Draining { is_proved_not_run } => is_proved_not_run,
            EndpointError::ConnectionLost | EndpointError::NoAnswer | EndpointError::WrongRequest => false,
        }
    }
}

impl EndpointError {
    /// Returns how long the endpoint must not be sent requests, according to its response; zero if it asked for no
    /// rest.
    pub fn rest(self) -> Duration {
        match self {
            EndpointError::Refused { rest, .. } => rest,
            EndpointError::Draining { .. } => DRAINING_REST,
            _ => Duration::ZERO,
        }
    }
}

impl fmt::Display for EndpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndpointError::Unreachable => "cannot connect; check that the endpoint is running",
            EndpointError::Refused { .. } => "endpoint is at capacity; check its slots in the settings",
            EndpointError::Draining { .. } => "endpoint is draining",
            EndpointError::ConnectionLost => "connection lost before a response arrived; check the endpoint",
            EndpointError::NoAnswer => "no valid response; check the endpoint",
            EndpointError::WrongRequest => {
                "response has the id of another request; take the endpoint out of service"
            }
        })
    }
}

impl std::error::Error for EndpointError {}

/// Sends requests to endpoints.
#[async_trait]
pub trait EndpointClient: Send + Sync + 'static {
    /// Sends a request and returns the answer once its head has arrived.
    async fn send(&self, call: EndpointCall<'_>) -> Result<EndpointAnswer, EndpointError>;
}

/// Sends each request over its own HTTP/1.1 connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpEndpointClient;

#[async_trait]
impl EndpointClient for HttpEndpointClient {
    async fn send(&self, endpoint_call: EndpointCall<'_>) -> Result<EndpointAnswer, EndpointError> {
        let plan = endpoint_call.plan;
        let request = build_request(&endpoint_call).ok_or(EndpointError::Unreachable)?;
        let limits = CallLimits { connect: CONNECT_TIMEOUT, silence: plan.policy.silence_limit };
        let response = call(endpoint_call.address, request, limits).await.map_err(|error| match error {
            Error::Unreachable(_) => EndpointError::Unreachable,
            Error::Broken => EndpointError::ConnectionLost,
            Error::Silent | Error::Head(_) | Error::Length | Error::Interim => EndpointError::NoAnswer,
        })?;
        let echoed_id = response.header(REQUEST_HEADER).map(|values| values.last().as_str().to_owned());
        if echoed_id.is_some_and(|echoed_id| echoed_id != plan.request.to_string()) {
            return Err(EndpointError::WrongRequest);
        }
        check_refusal(&endpoint_call, response).await
    }
}

/// Builds the request to the endpoint; `None` if its method or target is invalid.
fn build_request(call: &EndpointCall<'_>) -> Option<Request> {
    let plan = call.plan;
    let method = Method::from_str(&plan.method).ok()?;
    let url = Url::parse(&format!("http://{}{}", call.address, plan.target)).ok()?;
    let mut request = Request::new(method, url);
    if !plan.body.is_empty() {
        request.set_body(Body::from_bytes(plan.body.clone()));
    }
    if let Some(kind) = &plan.content_type {
        request.insert_header("content-type", kind.as_str());
    }
    request.insert_header("connection", "close");
    request.insert_header(REQUEST_HEADER, plan.request.to_string());
    request.insert_header("micaspool-customer", plan.customer.as_str());
    request.insert_header("traceparent", call.traceparent);
    Some(request)
}

/// Turns responses with status 429 or 503 into an error and passes on all others.
async fn check_refusal(
    call: &EndpointCall<'_>,
    mut response: Response,
) -> Result<EndpointAnswer, EndpointError> {
    let status = u16::from(response.status());
    if !matches!(status, 429 | 503) {
        return Ok(EndpointAnswer { response });
    }
    let has_header =
        |name: &str, value: &str| response.header(name).is_some_and(|values| values.last().as_str() == value);
    let is_proved_not_run = has_header(RUN_HEADER, "not-run");
    let is_draining = has_header(DRAINING_HEADER, "true");
    let retry_after_values = response.header("retry-after").into_iter().flatten();
    let parsed = HeaderAdvice::parse(true, retry_after_values.map(|value| value.as_str()), false);
    if let Some(fault) = &parsed.error {
        let fields =
            [field("request", call.plan.request), field("address", call.address), field("error", fault)];
        record(&events::ADVICE_UNREADABLE, &fields);
    }
    let rest = parsed.advice.rest;
    let mut discarded = Vec::new();
    let mut body = response.take_body().take(MAX_REFUSAL_BYTES);
    let _ = timeout(REFUSAL_BODY_TIME, body.read_to_end(&mut discarded)).await;
    Err(if is_draining {
        EndpointError::Draining { is_proved_not_run }
    } else {
        EndpointError::Refused { is_proved_not_run, rest }
    })
}
