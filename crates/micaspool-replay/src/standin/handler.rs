//! The request handler of a stand-in endpoint.

use super::answers::{json_answer, stream_answer, ModelCall};
use async_std::task;
use async_trait::async_trait;
use http_types::{Response, StatusCode};
use micaspool_http::head::RequestHead;
use micaspool_http::refusal::{REQUEST_HEADER, RUN_HEADER};
use micaspool_http::server::{CallerRequest, HttpHandler};
use micaspool_types::{Refusal, RequestId};
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The largest request body in bytes.
const MAX_BODY: u64 = 64 * 1024 * 1024;
/// The path of model calls.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The path of the load report.
const LOAD_PATH: &str = "/load";

/// The parameters of a stand-in endpoint.
#[derive(Debug, Clone)]
pub struct StandInOptions {
    /// Its name, sent in the `micaspool-stand-in` header of answers.
    pub name: String,
    /// The number of requests that it runs at once.
    pub slots: usize,
    /// The time per token of a model call, or the whole time of a plain call.
    pub token_time: Duration,
}

/// A fault that a stand-in endpoint can show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FaultMode {
    /// No fault.
    #[default]
    None,
    /// Answers with a request id of zeros instead of the id of the request.
    WrongRequestId,
    /// Ends the bodies of model answers halfway.
    TruncatedBody,
    /// Accepts requests and sends no answer for an hour.
    Silent,
    /// Refuses every request with a `retry-after` header of this many seconds.
    RetryAfter(u32),
}

/// A request that the endpoint started to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The request id from the request header.
    pub request: String,
    /// The customer from the `micaspool-customer` header.
    pub customer: String,
    /// The path and query.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The shared state of a stand-in endpoint.
#[derive(Debug)]
pub(super) struct StandInState {
    options: StandInOptions,
    running: AtomicUsize,
    draining: AtomicBool,
    fault: Mutex<FaultMode>,
    /// The number of requests refused with a `retry-after` header.
    retry_after_refusals: AtomicUsize,
    runs: Mutex<Vec<RunRecord>>,
}

impl StandInState {
    pub fn new(options: StandInOptions) -> StandInState {
        StandInState {
            options,
            running: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            fault: Mutex::default(),
            retry_after_refusals: AtomicUsize::new(0),
            runs: Mutex::default(),
        }
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.runs.lock().expect("no holder of the runs panics").clone()
    }

    pub fn retry_after_refusals(&self) -> usize {
        self.retry_after_refusals.load(Ordering::SeqCst)
    }

    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::SeqCst);
    }

    pub fn set_fault(&self, fault: FaultMode) {
        *self.fault.lock().expect("no holder of the fault panics") = fault;
    }

    fn fault(&self) -> FaultMode {
        *self.fault.lock().expect("no holder of the fault panics")
    }
}

/// An occupied slot, released on drop.
pub(super) struct SlotGuard(Arc<StandInState>);

impl SlotGuard {
    /// Occupies a slot. Returns `None` if all slots are occupied.
    fn acquire(state: &Arc<StandInState>) -> Option<SlotGuard> {
        let before = state.running.fetch_add(1, Ordering::SeqCst);
        let guard = SlotGuard(state.clone());
        (before < state.options.slots).then_some(guard)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(super) struct StandInHandler {
    state: Arc<StandInState>,
    next_number: AtomicU64,
}

impl StandInHandler {
    pub fn new(state: Arc<StandInState>) -> StandInHandler {
        StandInHandler { state, next_number: AtomicU64::new(1) }
    }

    /// The load report: the number of running requests and whether the endpoint is draining.
    fn load_response(&self) -> Response {
        let running = self.state.running.load(Ordering::SeqCst);
        let draining = self.state.draining.load(Ordering::SeqCst);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(json!({ "running": running, "draining": draining }).to_string());
        response.insert_header("content-type", "application/json");
        response
    }

    /// The refusal of a request if the endpoint is draining or set to refuse requests.
    fn refusal_response(&self) -> Option<Response> {
        let mut response = Response::new(StatusCode::ServiceUnavailable);
        response.insert_header(RUN_HEADER, "not-run");
        if self.state.draining.load(Ordering::SeqCst) {
            response.insert_header("micaspool-draining", "true");
            return Some(response);
        }
        if let FaultMode::RetryAfter(seconds) = self.state.fault() {
            self.state.retry_after_refusals.fetch_add(1, Ordering::SeqCst);
            response.insert_header("retry-after", seconds.to_string());
            return Some(response);
        }
        None
    }

    /// Runs a request if a slot is free, and records it.
    async fn run(&self, request: CallerRequest) -> Response {
        if let Some(refusal) = self.refusal_response() {
            return refusal;
        }
        let Some(slot) = SlotGuard::acquire(&self.state) else {
            let mut response = Response::new(StatusCode::TooManyRequests);
            response.insert_header(RUN_HEADER, "not-run");
            return response;
        };
        let header =
            |name: &str| request.request.header(name).map(|values| values.last().as_str().to_owned());
        let id = header(REQUEST_HEADER).unwrap_or_default();
        let record = RunRecord {
            request: id.clone(),
            customer: header("micaspool-customer").unwrap_or_default(),
            target: request.target.clone(),
            body: request.body.clone(),
        };
        self.state.runs.lock().expect("no holder of the runs panics").push(record);
        let mut response = self.answer(&request, slot).await;
        let echo = if self.state.fault() == FaultMode::WrongRequestId { "0".repeat(32) } else { id };
        response.insert_header(REQUEST_HEADER, echo);
        response.insert_header("micaspool-stand-in", self.state.options.name.as_str());
        response
    }

    async fn answer(&self, request: &CallerRequest, slot: SlotGuard) -> Response {
        let fault = self.state.fault();
        if fault == FaultMode::Silent {
            task::sleep(Duration::from_secs(3_600)).await;
        }
        let per_token = self.state.options.token_time;
        if request.target.starts_with(CHAT_PATH) {
            let call = ModelCall::parse(&request.body);
            return if call.stream {
                stream_answer(call, per_token, slot, fault)
            } else {
                task::sleep(per_token * u32::try_from(call.tokens).unwrap_or(u32::MAX)).await;
                json_answer(&call, fault)
            };
        }
        task::sleep(per_token).await;
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(request.body.clone());
        response.insert_header("content-type", "application/json");
        response
    }
}

#[async_trait]
impl HttpHandler for StandInHandler {
    fn admit(&self, _head: &RequestHead) -> Result<u64, Refusal> {
        Ok(MAX_BODY)
    }

    fn next_id(&self) -> RequestId {
        RequestId(u128::from(self.next_number.fetch_add(1, Ordering::Relaxed)))
    }

    async fn handle(&self, request: CallerRequest) -> Response {
        match request.target.as_str() {
            LOAD_PATH => self.load_response(),
            _ => self.run(request).await,
        }
    }
}
