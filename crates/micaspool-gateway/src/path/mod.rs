//! The path of a request through the gateway.

mod attempt;
mod failure;
mod headers;
mod target;

use crate::dialect::{CallerHead, GatewayDialect};
use crate::dispatchers::FleetDispatchers;
use crate::metrics::GatewayMetrics;
use crate::trail::RequestTrail;
use async_trait::async_trait;
pub(crate) use attempt::Attempts;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{request, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use micaspool_backpressure::SharedAdvice;
use micaspool_client::{FleetMirror, PeerDirectory};
use micaspool_clock::BootInstant;
use micaspool_dispatcher::FleetDispatcher;
use micaspool_http::edge::{EdgeBody, EdgeHandler};
use micaspool_http::pool::EndpointPool;
use micaspool_router::{ShardClient, ShardClientOptions};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{Incarnation, InstanceName, Refusal, RefusalKind, ServiceName};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use target::CallTarget;
use tokio::time::timeout;

/// When a request may come back that found no plan, no dispatcher or no endpoint.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long a body may take when its caller names no time.
const BODY_LIMIT: Duration = Duration::from_secs(15);

/// What a gateway works with.
#[derive(Debug, Clone)]
pub struct GatewayParts {
    /// The instance of the gateway.
    pub instance: InstanceName,
    /// Its data hall.
    pub hall: String,
    /// Tells one life of the process from the next.
    pub incarnation: Incarnation,
    /// The fleet as this process knows it.
    pub mirror: Arc<FleetMirror>,
    /// Where the dispatchers of other instances listen.
    pub dispatchers: Arc<dyn PeerDirectory>,
    /// The dispatcher inside this process.
    pub own_dispatcher: FleetDispatcher,
    /// Connections to endpoints.
    pub pool: Arc<EndpointPool>,
    /// What endpoints asked of this process.
    pub advice: Arc<SharedAdvice>,
    /// How callers and endpoints speak.
    pub dialect: Arc<dyn GatewayDialect>,
    /// Where spans go.
    pub spans: SpanSink,
    /// Counts control bytes towards dispatchers.
    pub counter: TrafficCounter,
    /// What is counted.
    pub metrics: GatewayMetrics,
}

/// Takes requests from callers to endpoints.
#[derive(Debug, Clone)]
pub struct Gateway {
    shared: Arc<GatewayShared>,
}

#[derive(Debug)]
struct GatewayShared {
    parts: GatewayParts,
    dispatchers: Arc<FleetDispatchers>,
    shards: Mutex<HashMap<ServiceName, Arc<ShardClient>>>,
}

/// A request as the gateway took it.
#[derive(Debug)]
struct TakenCall {
    head: request::Parts,
    caller: CallerHead,
    arrived: BootInstant,
    body: Bytes,
}

impl Gateway {
    /// A gateway without requests.
    pub fn new(parts: GatewayParts) -> Gateway {
        let dispatchers = Arc::new(FleetDispatchers::new(
            parts.mirror.clone(),
            parts.dispatchers.clone(),
            parts.own_dispatcher.clone(),
        ));
        Gateway { shared: Arc::new(GatewayShared { parts, dispatchers, shards: Mutex::default() }) }
    }

    /// The shards that this gateway speaks to.
    pub fn shards(&self) -> Vec<Arc<ShardClient>> {
        self.lock_shards().values().cloned().collect()
    }

    /// Opens the streams of every service of the plan, so that the first request need not wait.
    pub fn prepare_shards(&self) {
        let plan = self.shared.parts.mirror.plan().plan;
        for service in &plan.parts().services {
            self.shard(&service.name);
        }
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

    fn lock_shards(&self) -> std::sync::MutexGuard<'_, HashMap<ServiceName, Arc<ShardClient>>> {
        self.shared.shards.lock().expect("no holder of the shards panics")
    }

    async fn take(
        &self,
        head: request::Parts,
        caller: CallerHead,
        body: Incoming,
        trail: RequestTrail,
    ) -> Response<EdgeBody> {
        let id = caller.id.clone();
        let mut trail = trail;
        match self.try_take(head, caller, body, &mut trail).await {
            Ok(attempts) => attempts.run(self, trail).await,
            Err(refusal) => {
                trail.refuse(&refusal);
                self.shared.parts.dialect.refuse(Some(&id), &refusal)
            }
        }
    }

    /// Everything before the first wait for a grant.
    async fn try_take(
        &self,
        head: request::Parts,
        caller: CallerHead,
        body: Incoming,
        trail: &mut RequestTrail,
    ) -> Result<Attempts, Refusal> {
        let arrived = trail.arrived();
        let plan = self.shared.parts.mirror.plan();
        let target = CallTarget::find(&plan, &head, &caller)?;
        target.describe(trail);
        let limit = plan.plan.parts().limits.body_bytes;
        check_length(&head, limit)?;
        let patience = caller.patience.unwrap_or(BODY_LIMIT).min(target.time_limit);
        if let Err(refusal) = self.shard(&target.service).admit(&target.waiting_customer()) {
            let _ = timeout(patience, discard(body)).await;
            return Err(refusal);
        }
        let read = timeout(patience, collect(body, limit)).await;
        let body = read.unwrap_or_else(|_| Err(Refusal::not_run(RefusalKind::SlowRequest)))?;
        Ok(Attempts::new(TakenCall { head, caller, arrived, body }, target))
    }
}

#[async_trait]
impl EdgeHandler for Gateway {
    async fn handle(&self, request: Request<Incoming>) -> Response<EdgeBody> {
        let arrived = BootInstant::now();
        let (head, body) = request.into_parts();
        let parts = &self.shared.parts;
        match parts.dialect.read(&head) {
            Ok(caller) => {
                let trail = RequestTrail::new(parts.metrics.clone(), caller.id.clone(), arrived);
                self.take(head, caller, body, trail).await
            }
            Err(refusal) => {
                let mut trail = RequestTrail::new(parts.metrics.clone(), Arc::from("unread"), arrived);
                trail.refuse(&refusal);
                parts.dialect.refuse(None, &refusal)
            }
        }
    }
    async fn refuse(&self, head: request::Parts) -> Response<EdgeBody> {
        let parts = &self.shared.parts;
        let id = parts.dialect.read(&head).ok().map(|caller| caller.id);
        let refusal = Refusal::not_run(RefusalKind::TooManyConnections).after(RETRY_AFTER);
        let name = id.clone().unwrap_or_else(|| Arc::from("unread"));
        RequestTrail::new(parts.metrics.clone(), name, BootInstant::now()).refuse(&refusal);
        parts.dialect.refuse(id.as_deref(), &refusal)
    }

    fn note_closed(&self, connections: usize) {
        if connections > 0 {
            record(&events::CALLERS_CLOSED, &[field("connections", connections)]);
        }
    }
}

/// Refuses a body by its announced length, before it is read.
fn check_length(head: &request::Parts, limit: u64) -> Result<(), Refusal> {
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let announced: Option<u64> = length.and_then(|text| text.parse().ok());
    match announced {
        Some(length) if length > limit => Err(Refusal::not_run(RefusalKind::BodyTooLarge)),
        _ => Ok(()),
    }
}

/// Reads a body for nothing: bytes that nobody reads would reset the connection before the caller has its answer.
async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Reads a whole body.
async fn collect(body: Incoming, limit: u64) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::not_run(RefusalKind::BodyTooLarge)),
        Err(_) => Err(Refusal::not_run(RefusalKind::MalformedRequest)),
    }
}
