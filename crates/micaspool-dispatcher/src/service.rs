//! The gRPC service of a dispatcher.

use crate::driver::{ShardHandle, ShardInput, StreamItem};
use crate::host::ShardHost;
use crate::session_replies::SessionReplies;
use crate::sharing::{apply_totals, own_totals};
use async_std::channel::{unbounded, Sender};
use futures::{Stream, StreamExt};
use micaspool_dispatch::{SessionId, ShardEvent};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{Incarnation, RequestId, ServiceName};
use micaspool_wire::convert::{lifted_digest, request_id, shard_event, shared_totals_message};
use micaspool_wire::v1::{
    self, dispatch_server::Dispatch, dispatcher_message::Body as FromDispatcher, router_message::Body,
};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tonic::{Request, Response, Status, Streaming};

/// Serves routers, dispatchers of other regions and operators.
#[derive(Clone, Debug)]
pub struct DispatchService {
    host: Arc<ShardHost>,
    stopping: Arc<AtomicBool>,
}

impl DispatchService {
    /// Creates a service for the shards of a host. Once `stopping` is set it refuses new sessions.
    pub fn new(host: Arc<ShardHost>, stopping: Arc<AtomicBool>) -> DispatchService {
        DispatchService { host, stopping }
    }
}

type MessageStream = Pin<Box<dyn Stream<Item = StreamItem> + Send>>;

#[tonic::async_trait]
impl Dispatch for DispatchService {
    type SessionStream = MessageStream;

    async fn session(
        &self,
        request: Request<Streaming<v1::RouterMessage>>,
    ) -> Result<Response<Self::SessionStream>, Status> {
        if self.stopping.load(Ordering::SeqCst) {
            return Err(Status::unavailable("this dispatcher is stopping; use another"));
        }
        let receiver = open_session(&self.host, request.into_inner()).await?;
        Ok(Response::new(Box::pin(receiver)))
    }

    async fn share(&self, request: Request<v1::SharedTotals>) -> Result<Response<v1::SharedTotals>, Status> {
        let message = request.into_inner();
        let service = ServiceName::parse(&message.service)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let Some(shard) = self.host.used_shard(&service) else {
            return Ok(Response::new(v1::SharedTotals::default()));
        };
        let own = own_totals(self.host.options(), &shard);
        apply_totals(&shard, message).await;
        Ok(Response::new(shared_totals_message(&service, &own)))
    }

    async fn lift(&self, request: Request<v1::LiftRequest>) -> Result<Response<v1::LiftReply>, Status> {
        let digest = lifted_digest(&request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let services = self.host.lift(digest);
        record(&events::QUARANTINE_LIFTED, &[field("digest", digest), field("services", services.len())]);
        let services = services.iter().map(ToString::to_string).collect();
        Ok(Response::new(v1::LiftReply { services }))
    }

    async fn status(
        &self,
        _request: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusReply>, Status> {
        let json = crate::shard_view::shards_json(&self.host).to_string();
        Ok(Response::new(v1::StatusReply { json }))
    }
}

/// Opens a session for a router. The first message of the stream must be its hello.
pub(crate) async fn open_session<S>(host: &ShardHost, mut messages: S) -> Result<SessionReplies, Status>
where
    S: Stream<Item = Result<v1::RouterMessage, Status>> + Send + Unpin + 'static,
{
    let first = messages.next().await.unwrap_or_else(|| Err(Status::invalid_argument("send Hello first")))?;
    let service = service_of(&first)?;
    let shard = host.shard(&service);
    let session = host.new_session();
    let (sender, answers) = unbounded();
    let (pulse_sender, pulses) = unbounded();
    let stopped = |_| Status::unavailable("the shard has stopped; connect again");
    shard.inputs.send(ShardInput::Open(session, sender)).await.map_err(stopped)?;
    forward_message(&shard, session, first).await?;
    let inbound =
        InboundSession { shard, session, pulses: pulse_sender, incarnation: host.options().incarnation };
    tokio::spawn(inbound.forward_messages(messages));
    Ok(SessionReplies { answers, pulses })
}

fn service_of(first: &v1::RouterMessage) -> Result<ServiceName, Status> {
    match &first.body {
        Some(Body::Hello(hello)) => {
            ServiceName::parse(&hello.service).map_err(|error| Status::invalid_argument(error.to_string()))
        }
        _ => Err(Status::invalid_argument("send Hello first")),
    }
}

async fn forward_message(
    shard: &ShardHandle,
    session: SessionId,
    message: v1::RouterMessage,
) -> Result<(), Status> {
    for (request, traceparent) in traces_of(&message) {
        let _ = shard.inputs.send(ShardInput::Traced(request, traceparent)).await;
    }
    match shard_event(session, message) {
        Ok(event) => {
            let stopped = |_| Status::unavailable("the shard has stopped; connect again");
            shard.inputs.send(ShardInput::Event(Box::new(event))).await.map_err(stopped)
        }
        Err(error) => {
            record(&events::WIRE_MALFORMED, &[field("error", &error)]);
            Err(Status::invalid_argument(error.to_string()))
        }
    }
}

/// Returns the submitted requests of a message that have a trace, with their `traceparent`.
fn traces_of(message: &v1::RouterMessage) -> Vec<(RequestId, String)> {
    let submits = match &message.body {
        Some(Body::Submit(submit)) => std::slice::from_ref(submit),
        Some(Body::Hello(hello)) => hello.waiting.as_slice(),
        _ => &[],
    };
    let traced = submits.iter().filter(|submit| !submit.traceparent.is_empty());
    traced
        .filter_map(|submit| Some((request_id(&submit.request).ok()?, submit.traceparent.clone())))
        .collect()
}

/// The messages of one router to its shard.
struct InboundSession {
    shard: ShardHandle,
    session: SessionId,
    pulses: Sender<StreamItem>,
    incarnation: Incarnation,
}

impl InboundSession {
    async fn forward_messages<S>(self, mut messages: S)
    where
        S: Stream<Item = Result<v1::RouterMessage, Status>> + Send + Unpin,
    {
        while let Some(Ok(message)) = messages.next().await {
            self.answer_heartbeat(&message);
            if forward_message(&self.shard, self.session, message).await.is_err() {
                break;
            }
        }
        let left = ShardEvent::Left(self.session);
        let _ = self.shard.inputs.send(ShardInput::Event(Box::new(left))).await;
    }

    /// Answers a heartbeat before the shard handles it. A router leaves a dispatcher that answers nothing, and a shard
    /// with much to do comes late to its heartbeats.
    fn answer_heartbeat(&self, message: &v1::RouterMessage) {
        let Some(Body::Heartbeat(beat)) = &message.body else { return };
        if !beat.advice.is_empty() {
            return;
        }
        let pulse = v1::Pulse { heartbeat: beat.number, incarnation: self.incarnation.0 };
        let message = v1::DispatcherMessage { body: Some(FromDispatcher::Pulse(pulse)) };
        // The router may have left.
        let _ = self.pulses.try_send(Ok(message));
    }
}
