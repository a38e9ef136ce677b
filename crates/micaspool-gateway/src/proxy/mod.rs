//! Accepting requests and proxying them to endpoints.

mod attempt;
mod caller_body;
mod failure;
mod headers;
mod target;

use crate::dialect::{CallerHead, GatewayDialect};
use crate::dispatchers::FleetDispatchers;
use crate::lateness::LatenessWatch;
use crate::metrics::GatewayMetrics;
use crate::open_calls::{OpenCall, OpenCalls};
use crate::request_log::RequestLog;
use crate::stopping::StopNotice;
use async_trait::async_trait;
use attempt::TAKE_UP_MARGIN;
pub(crate) use attempt::{Attempts, UsableAnswer};
use caller_body::CallerBody;
use http::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{request, Request, Response};
use hyper::body::Incoming;
use micaspool_backpressure::SharedAdvice;
use micaspool_client::{FleetMirror, PeerDirectory};
use micaspool_clock::BootInstant;
use micaspool_dispatcher::FleetDispatcher;
use micaspool_http::body::{BodyBudget, HeldBody};
use micaspool_http::edge::{CallLabel, CutCall, EdgeBody, EdgeHandler};
use micaspool_http::pool::EndpointPool;
use micaspool_memory::{MemoryAccount, MemoryPromise};
use micaspool_router::{ShardClient, ShardClientOptions};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{
    CustomerName, HallRegions, Incarnation, InstanceName, Refusal, RefusalKind, ServiceName, StreamKey,
    VersionLimit,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use target::CallTarget;

/// `Retry-After` of refusals by this gateway, such as for a missing plan or endpoint or too many connections.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What a request takes beyond its body until its answer begins: the ticket, the connection to an endpoint with its
/// buffers, and the task of that connection. Its body is promised as it comes.
const CALL_BYTES: u64 = 40 * 1024;

/// The id of the last event that the caller of a stream has received.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// The dependencies of a [`Gateway`].
#[derive(Debug, Clone)]
pub struct GatewayParts {
    /// The instance that the gateway runs on.
    pub instance: InstanceName,
    /// The data hall of the instance.
    pub hall: String,
    /// The region of each data hall.
    pub hall_regions: HallRegions,
    /// Distinguishes this run of the process from earlier and later ones.
    pub incarnation: Incarnation,
    /// The local view of the fleet.
    pub mirror: Arc<FleetMirror>,
    /// Looks up the addresses of dispatchers on other instances.
    pub dispatchers: Arc<dyn PeerDirectory>,
    /// The dispatcher inside this process, used when no other one is reachable.
    pub local_dispatcher: FleetDispatcher,
    /// The pool of connections to endpoints.
    pub pool: Arc<EndpointPool>,
    /// The memory for request bodies.
    pub bodies: BodyBudget,
    /// The memory of the process.
    pub memory: Arc<MemoryAccount>,
    /// Ends the waits of requests before the gateway stops.
    pub stop_notice: StopNotice,
    /// Ends what runs immediately before the gateway stops.
    pub end_notice: StopNotice,
    /// The advice that endpoints gave this process: to send nothing for a while (a rest), or that they are leaving.
    pub advice: Arc<SharedAdvice>,
    /// The headers and statuses that callers and endpoints use.
    pub dialect: Arc<dyn GatewayDialect>,
    /// Receives tracing spans.
    pub spans: SpanSink,
    /// Counts the control traffic to dispatchers, in bytes.
    pub counter: TrafficCounter,
    /// The metrics of the gateway.
    pub metrics: GatewayMetrics,
}

/// Proxies requests from callers to endpoints.
#[derive(Debug, Clone)]
pub struct Gateway {
    shared: Arc<GatewayShared>,
}

#[derive(Debug)]
struct GatewayShared {
    parts: GatewayParts,
    dispatchers: Arc<FleetDispatchers>,
    shards: Mutex<HashMap<ServiceName, Arc<ShardClient>>>,
    calls: Arc<OpenCalls>,
    lateness: LatenessWatch,
}

/// A request whose body has been read.
#[derive(Debug)]
struct AcceptedCall {
    head: request::Parts,
    caller: CallerHead,
    arrived_at: BootInstant,
    body: HeldBody,
    /// The memory that the request takes until its answer begins, after which it is measured.
    promise: Option<MemoryPromise>,
    _open: OpenCall,
}

impl Gateway {
    /// Creates a gateway; shards are opened as they are needed.
    pub fn new(parts: GatewayParts) -> Gateway {
        let dispatchers = Arc::new(FleetDispatchers::new(
            parts.mirror.clone(),
            parts.dispatchers.clone(),
            parts.local_dispatcher.clone(),
        ));
        Gateway {
            shared: Arc::new(GatewayShared {
                lateness: LatenessWatch::new(parts.metrics.clone()),
                parts,
                dispatchers,
                shards: Mutex::default(),
                calls: Arc::default(),
            }),
        }
    }

    /// Returns the clients of all shards opened so far.
    pub fn shards(&self) -> Vec<Arc<ShardClient>> {
        self.lock_shards().values().cloned().collect()
    }

    /// Opens a shard for each service of the plan, so that first requests don't wait for a connection to a dispatcher.
    pub fn prepare_shards(&self) {
        let plan = self.shared.parts.mirror.plan().plan;
        for service in &plan.parts().services {
            self.shard(&service.name);
        }
    }

    /// Returns the notice that ends what runs immediately before the gateway stops.
    pub(crate) fn end_notice(&self) -> &StopNotice {
        &self.shared.parts.end_notice
    }

    fn shard(&self, service: &ServiceName) -> Arc<ShardClient> {
        let parts = &self.shared.parts;
        let start = || {
            let options = ShardClientOptions {
                router: parts.instance.clone(),
                hall: parts.hall.clone(),
                incarnation: parts.incarnation,
                dispatchers: self.shared.dispatchers.clone(),
                advice: parts.advice.clone(),
                counter: parts.counter.clone(),
            };
            ShardClient::start(service.clone(), options)
        };
        self.lock_shards().entry(service.clone()).or_insert_with(start).clone()
    }

    /// A panic under the lock ends the call that met it; the others go on with what it left.
    fn lock_shards(&self) -> std::sync::MutexGuard<'_, HashMap<ServiceName, Arc<ShardClient>>> {
        self.shared.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(
        &self,
        head: request::Parts,
        caller: CallerHead,
        body: Incoming,
        log: RequestLog,
    ) -> Response<EdgeBody> {
        let id = caller.id.clone();
        let mut log = log;
        let mut body = CallerBody::new(&head, body, log.arrived_at(), caller.patience);
        match self.accept(head, caller, &mut body, &mut log).await {
            Ok(attempts) => {
                drop(body);
                attempts.run(self, log).await
            }
            Err(refusal) => self.refuse_early(Some(&id), &refusal, body, log).await,
        }
    }

    /// Refuses a request whose body may not have been read.
    async fn refuse_early(
        &self,
        id: Option<&str>,
        refusal: &Refusal,
        mut body: CallerBody,
        mut log: RequestLog,
    ) -> Response<EdgeBody> {
        let parts = &self.shared.parts;
        let _ = parts.stop_notice.unless_stopping(body.discard()).await;
        log.refuse(refusal);
        let mut response = parts.dialect.refuse(id, refusal);
        if !body.is_whole() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Does everything that precedes the first wait for a grant: resolves the target, applies the throttle and reads
    /// the body.
    async fn accept(
        &self,
        head: request::Parts,
        caller: CallerHead,
        body: &mut CallerBody,
        log: &mut RequestLog,
    ) -> Result<Attempts, Refusal> {
        let arrived_at = log.arrived_at();
        let plan = self.shared.parts.mirror.plan();
        let target = CallTarget::resolve(&plan, &self.shared.parts.hall_regions, &head, &caller)?;
        target.write_to_log(log);
        body.limit_time(target.time_limit);
        let limit = plan.plan.parts().limits.body_bytes;
        check_coding(&head)?;
        check_length(&head, limit)?;
        let customer = target.queue_customer();
        let promise = self.promise_memory(&customer)?;
        self.shard(&target.service).admit(&customer)?;
        let open = self.shared.calls.begin(customer);
        let read = body.read(&self.shared.parts.bodies, limit);
        let body = self.shared.parts.stop_notice.unless_stopping(read).await;
        let body = body.unwrap_or_else(|| Err(Refusal::not_run(RefusalKind::Draining).after(RETRY_AFTER)))?;
        let versions = versions_of(&head, &caller, &target);
        Ok(Attempts::new(
            AcceptedCall { head, caller, arrived_at, body, promise: Some(promise), _open: open },
            target,
            versions,
        ))
    }

    /// Promises a request its memory, or refuses it. While memory is tight, a customer with more than its even share of
    /// the open calls gets none.
    fn promise_memory(&self, customer: &CustomerName) -> Result<MemoryPromise, Refusal> {
        let memory = &self.shared.parts.memory;
        let is_over_share = memory.state().is_tight() && self.shared.calls.exceeds_even_share(customer);
        let promise = if is_over_share { None } else { memory.promise(CALL_BYTES) };
        promise.ok_or_else(|| Refusal::not_run(RefusalKind::MemoryFull).after(RETRY_AFTER))
    }
}

/// Returns the software versions at which a request may run. One that takes a stream up is bound to the version that
/// began it. If the caller does not name the attempt that did, the dispatcher decides: this process may have been cut off
/// or suspended while endpoints of another version joined, and can't tell.
fn versions_of(head: &request::Parts, caller: &CallerHead, target: &CallTarget) -> VersionLimit {
    if !target.run.is_stream() || !head.headers.contains_key(&LAST_EVENT) {
        return VersionLimit::Any;
    }
    match &caller.resumes {
        Some(attempt) => VersionLimit::OfStream(StreamKey::of(&target.queue_customer(), attempt)),
        None => VersionLimit::Unnamed(target.time_limit + TAKE_UP_MARGIN),
    }
}

#[async_trait]
impl EdgeHandler for Gateway {
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody> {
        let arrived_at = BootInstant::now();
        let (mut head, body) = request.into_parts();
        let label = head.extensions.remove::<CallLabel>();
        let parts = &self.shared.parts;
        match parts.dialect.read_head(&head) {
            Ok(caller) => {
                if let Some(label) = label {
                    label.set(caller.id.clone());
                }
                let log = RequestLog::new(parts.metrics.clone(), caller.id.clone(), arrived_at);
                self.serve(head, caller, body, log).await
            }
            Err(refusal) => {
                let log = RequestLog::new(parts.metrics.clone(), Arc::from("unread"), arrived_at);
                let body = CallerBody::new(&head, body, arrived_at, None);
                self.refuse_early(None, &refusal, body, log).await
            }
        }
    }
    async fn refuse(&self, head: request::Parts) -> Response<EdgeBody> {
        let parts = &self.shared.parts;
        let id = parts.dialect.read_head(&head).ok().map(|caller| caller.id);
        let refusal = Refusal::not_run(RefusalKind::TooManyConnections).after(RETRY_AFTER);
        let name = id.clone().unwrap_or_else(|| Arc::from("unread"));
        RequestLog::new(parts.metrics.clone(), name, BootInstant::now()).refuse(&refusal);
        parts.dialect.refuse(id.as_deref(), &refusal)
    }

    async fn recover(&self, label: Option<Arc<str>>) -> Response<EdgeBody> {
        // The request log has written the refusal.
        self.shared.parts.dialect.refuse(label.as_deref(), &Refusal::unknown(RefusalKind::InternalError))
    }

    fn record_lag(&self, lag: Duration) {
        self.shared.lateness.observe(lag);
    }

    fn record_closed(&self, connections: usize) {
        if connections > 0 {
            self.shared.lateness.count_closed(connections);
            record(&events::CALLERS_CLOSED, &[field("connections", connections)]);
        }
    }

    fn record_cut(&self, call: CutCall) {
        let metrics = &self.shared.parts.metrics;
        metrics.count_cut(call.cause.as_str());
        let Some(suppressed) = metrics.cut_log_limit.admit() else { return };
        let mut fields = vec![
            field("request", call.label.as_deref().unwrap_or("unread")),
            field("kind", call.cause.as_str()),
            field("cause", &call.error),
            field("earlier_calls", call.earlier_calls),
            field("total_ms", call.lasted.as_millis()),
            field("answer_bytes", call.sent_bytes),
        ];
        fields.extend((suppressed > 0).then(|| field("left_out", suppressed)));
        record(&events::CALL_CUT, &fields);
    }
}

/// Returns the `Content-Length` of a request.
fn announced_length(head: &request::Parts) -> Option<u64> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Checks that a body has no transfer coding besides its chunks. The endpoint would get it without the field that names the
/// coding.
fn check_coding(head: &request::Parts) -> Result<(), Refusal> {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(()),
        (Some(coding), None) if is_chunked(coding) => Ok(()),
        _ => Err(Refusal::not_run(RefusalKind::MalformedRequest)),
    }
}

/// Refuses a body whose `Content-Length` exceeds the limit, before it is read.
fn check_length(head: &request::Parts, limit: u64) -> Result<(), Refusal> {
    match announced_length(head) {
        Some(length) if length > limit => Err(Refusal::not_run(RefusalKind::BodyTooLarge)),
        _ => Ok(()),
    }
}
