//! The gRPC service of a keeper.

use crate::engine::{EngineError, EngineInput, EngineReply, KeeperView};
use crate::follow::feed_follower;
use crate::peers::decode_frame;
use crate::registry_hub::RegistryHub;
use crate::state::{KeeperCommand, KeeperReply, PlanDocument};
use crate::watch::{feed_watcher, update_message};
use async_std::channel::{bounded, Sender};
use async_std::future::timeout;
use async_std::task;
use futures::{Stream, StreamExt};
use micaspool_client::PeerDirectory;
use micaspool_halls::OrderVerdict;
use micaspool_ledger::{
    BodyDigest, ClaimCommand, ClaimKey, ClaimToken, ClaimVerdict, FinishCommand, FinishKind, LedgerTime,
    StoredAnswer,
};
use micaspool_quorum::QuorumEvent;
use micaspool_registry::DepartureCommand;
use micaspool_settings::apply::SettingsChange;
use micaspool_telemetry::events::{self, field, record, EventField};
use micaspool_telemetry::spans::SpanSink;
use micaspool_types::{CustomerName, InstanceName, Revision};
use micaspool_wire::convert::{endpoint_record, hall_messages, order_command, order_reply};
use micaspool_wire::v1::{self, keeper_server::Keeper};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tonic::{Request, Response, Status, Streaming};

/// The maximum time that a command waits for its commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of messages queued for one watcher.
const WATCHER_QUEUE_LEN: usize = 16;
/// The same for a follower. Hundreds of followers may return at once, so that the next message is made only when the
/// stream has taken the one before.
const FOLLOWER_QUEUE_LEN: usize = 1;

/// The gRPC service for routers, dispatchers, operators and other keepers.
#[derive(Clone, Debug)]
pub struct KeeperService {
    inputs: Sender<EngineInput>,
    view: Arc<Mutex<KeeperView>>,
    hub: Arc<RegistryHub>,
    directory: Arc<dyn PeerDirectory>,
    spans: SpanSink,
}

impl KeeperService {
    /// Creates a service that passes commands to an engine.
    pub fn new(
        inputs: Sender<EngineInput>,
        view: Arc<Mutex<KeeperView>>,
        hub: Arc<RegistryHub>,
        directory: Arc<dyn PeerDirectory>,
        spans: SpanSink,
    ) -> KeeperService {
        KeeperService { inputs, view, hub, directory, spans }
    }

    async fn submit(
        &self,
        input: impl FnOnce(Sender<EngineReply>) -> EngineInput,
    ) -> Result<EngineReply, Status> {
        let (sender, receiver) = bounded(1);
        let stopped = || Status::unavailable(EngineError::Stopped.to_string());
        self.inputs.send(input(sender)).await.map_err(|_| stopped())?;
        match timeout(COMMIT_TIMEOUT, receiver.recv()).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(stopped()),
            Err(_) => Err(Status::deadline_exceeded(
                "no majority confirmed in time; send it again with the same id",
            )),
        }
    }

    async fn submit_command(&self, command: KeeperCommand) -> Result<EngineReply, Status> {
        self.submit(|reply| EngineInput::Command(command, reply)).await
    }

    fn not_leader(&self, error: EngineError) -> Result<v1::NotLeader, Status> {
        match error {
            EngineError::NotLeader(leader) => Ok(v1::NotLeader {
                leader: leader.as_ref().and_then(|name| self.address(name)).unwrap_or_default(),
                name: leader.map(|name| name.to_string()).unwrap_or_default(),
            }),
            EngineError::Stopped => Err(Status::unavailable(error.to_string())),
        }
    }

    fn address(&self, name: &InstanceName) -> Option<String> {
        self.directory.address(name).map(|address| address.to_string())
    }

    fn view(&self) -> std::sync::MutexGuard<'_, KeeperView> {
        self.view.lock().expect("no holder of the view panics")
    }

    fn snapshot(&self) -> v1::SettingsUpdate {
        let view = self.view();
        update_message(view.settings.snapshot(), view.status.confirmed)
    }
}

type NewsStream = Pin<Box<dyn Stream<Item = Result<v1::FleetNews, Status>> + Send>>;
type UpdateStream = Pin<Box<dyn Stream<Item = Result<v1::SettingsUpdate, Status>> + Send>>;

#[tonic::async_trait]
impl Keeper for KeeperService {
    type WatchStream = UpdateStream;
    type FollowStream = NewsStream;

    async fn apply(&self, request: Request<v1::ApplyRequest>) -> Result<Response<v1::ApplyReply>, Status> {
        use v1::apply_reply::Outcome;
        let request = request.into_inner();
        let (id, operator) = (request.change.clone(), request.operator.clone());
        let change = SettingsChange {
            id: request.change,
            operator: request.operator,
            base: Revision(request.base),
            patch: request.patch,
        };
        let outcome = match self.submit_command(KeeperCommand::Apply(change)).await? {
            Ok(KeeperReply::Applied(Ok(revision))) => {
                let fields = [field("change", id), field("operator", operator), field("revision", revision)];
                record(&events::CHANGE_ACCEPTED, &fields);
                Outcome::Revision(revision.0)
            }
            Ok(KeeperReply::Applied(Err(error))) => {
                record(&events::CHANGE_REJECTED, &[field("change", id), field("operator", operator)]);
                Outcome::Rejected(error.to_string())
            }
            Ok(_) => return Err(Status::internal("the reply does not fit the command; report this")),
            Err(error) => Outcome::NotLeader(self.not_leader(error)?),
        };
        Ok(Response::new(v1::ApplyReply { outcome: Some(outcome) }))
    }

    async fn get(&self, request: Request<v1::GetRequest>) -> Result<Response<v1::GetReply>, Status> {
        use v1::get_reply::Outcome;
        let outcome = if request.into_inner().confirmed {
            match self.submit(EngineInput::Barrier).await? {
                Ok(_) => Outcome::Settings(v1::SettingsUpdate { confirmed: true, ..self.snapshot() }),
                Err(error) => Outcome::NotLeader(self.not_leader(error)?),
            }
        } else {
            Outcome::Settings(self.snapshot())
        };
        Ok(Response::new(v1::GetReply { outcome: Some(outcome) }))
    }

    async fn watch(&self, request: Request<v1::WatchRequest>) -> Result<Response<Self::WatchStream>, Status> {
        let from = Revision(request.into_inner().revision);
        let (sender, receiver) = bounded(WATCHER_QUEUE_LEN);
        task::spawn(feed_watcher(self.view.clone(), from, sender));
        Ok(Response::new(Box::pin(receiver.map(Ok))))
    }

    async fn claim(&self, request: Request<v1::ClaimRequest>) -> Result<Response<v1::ClaimReply>, Status> {
        let request = request.into_inner();
        let traced = Some(request.traceparent.as_str()).filter(|parent| !parent.is_empty());
        let _span = traced.map(|parent| self.spans.start("keeper", Some(parent)));
        let body = <[u8; 32]>::try_from(request.body_hash.as_slice()).map_err(|_| {
            Status::invalid_argument("a body hash has 32 bytes; run the same version everywhere")
        })?;
        let command = ClaimCommand {
            key: claim_key(&request.customer, &request.key)?,
            body: BodyDigest(body),
            token: ClaimToken(request.token),
            at: LedgerTime(0),
        };
        let reply = match self.submit_command(KeeperCommand::Claim(command)).await? {
            Ok(KeeperReply::Claimed(verdict)) => verdict_message(verdict),
            Ok(_) => return Err(Status::internal("the reply does not fit the command; report this")),
            Err(error) => {
                v1::ClaimReply { not_leader: Some(self.not_leader(error)?), ..v1::ClaimReply::default() }
            }
        };
        Ok(Response::new(reply))
    }

    async fn finish(&self, request: Request<v1::FinishRequest>) -> Result<Response<v1::FinishReply>, Status> {
        let request = request.into_inner();
        let kind = match request.kind() {
            v1::FinishKind::FinishReleased => FinishKind::Released,
            v1::FinishKind::FinishUnknown => FinishKind::Unknown,
            v1::FinishKind::FinishAnswered => {
                FinishKind::Answered(stored_answer(request.answer.unwrap_or_default()))
            }
        };
        let command = FinishCommand {
            key: claim_key(&request.customer, &request.key)?,
            token: ClaimToken(request.token),
            kind,
            at: LedgerTime(0),
        };
        let not_leader = match self.submit_command(KeeperCommand::Finish(command)).await? {
            Ok(_) => None,
            Err(error) => Some(self.not_leader(error)?),
        };
        Ok(Response::new(v1::FinishReply { not_leader }))
    }

    async fn publish(
        &self,
        request: Request<v1::PublishRequest>,
    ) -> Result<Response<v1::PublishReply>, Status> {
        let request = request.into_inner();
        let document = PlanDocument { number: request.number, text: request.document.into() };
        let reply = match self.submit_command(KeeperCommand::Publish(document)).await? {
            Ok(KeeperReply::Published(number)) => v1::PublishReply { in_force: number, not_leader: None },
            Ok(_) => return Err(Status::internal("the reply does not fit the command; report this")),
            Err(error) => v1::PublishReply { in_force: 0, not_leader: Some(self.not_leader(error)?) },
        };
        Ok(Response::new(reply))
    }

    async fn plan(&self, _request: Request<v1::PlanRequest>) -> Result<Response<v1::PlanReply>, Status> {
        let reply = match self.submit(EngineInput::Barrier).await? {
            Ok(_) => {
                let plan = self.view().plan.clone();
                let document = v1::PlanDocument { number: plan.number, document: plan.text.to_string() };
                v1::PlanReply { plan: Some(document), not_leader: None }
            }
            Err(error) => v1::PlanReply { plan: None, not_leader: Some(self.not_leader(error)?) },
        };
        Ok(Response::new(reply))
    }

    async fn held_plan(
        &self,
        _request: Request<v1::HeldPlanRequest>,
    ) -> Result<Response<v1::PlanDocument>, Status> {
        let plan = self.view().plan.clone();
        Ok(Response::new(v1::PlanDocument { number: plan.number, document: plan.text.to_string() }))
    }

    async fn order_hall(
        &self,
        request: Request<v1::OrderHallRequest>,
    ) -> Result<Response<v1::OrderHallReply>, Status> {
        let order = order_command(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let log_fields = [
            field("hall", &order.hall),
            field("wanted", order.wanted.as_str()),
            field("ordered_by", &order.ordered_by),
            field("known", order.known),
        ];
        let reply = match self.submit_command(KeeperCommand::OrderHall(order)).await? {
            Ok(KeeperReply::Ordered(verdict)) => {
                record_verdict(log_fields, verdict);
                order_reply(verdict)
            }
            Ok(_) => return Err(Status::internal("the reply does not fit the command; report this")),
            Err(error) => v1::OrderHallReply {
                not_leader: Some(self.not_leader(error)?),
                ..v1::OrderHallReply::default()
            },
        };
        Ok(Response::new(reply))
    }

    async fn depart(&self, request: Request<v1::DepartRequest>) -> Result<Response<v1::DepartReply>, Status> {
        let record = request.into_inner().endpoint.unwrap_or_default();
        let record = endpoint_record(&record).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let command = KeeperCommand::Depart(DepartureCommand { record, at_millis: 0 });
        let not_leader = match self.submit_command(command).await? {
            Ok(KeeperReply::Departed) => None,
            Ok(_) => return Err(Status::internal("the reply does not fit the command; report this")),
            Err(error) => Some(self.not_leader(error)?),
        };
        Ok(Response::new(v1::DepartReply { not_leader }))
    }

    async fn halls(&self, _request: Request<v1::HallsRequest>) -> Result<Response<v1::HallsReply>, Status> {
        let reply = match self.submit(EngineInput::Barrier).await? {
            Ok(_) => {
                let orders = self.view().halls.clone();
                v1::HallsReply {
                    halls: hall_messages(&orders),
                    newest: orders.newest_number(),
                    not_leader: None,
                }
            }
            Err(error) => {
                v1::HallsReply { not_leader: Some(self.not_leader(error)?), ..v1::HallsReply::default() }
            }
        };
        Ok(Response::new(reply))
    }

    async fn follow(
        &self,
        _request: Request<v1::FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let (sender, receiver) = bounded(FOLLOWER_QUEUE_LEN);
        task::spawn(feed_follower(self.view.clone(), self.hub.clone(), sender));
        Ok(Response::new(Box::pin(receiver)))
    }

    async fn exchange(
        &self,
        request: Request<Streaming<v1::PeerFrame>>,
    ) -> Result<Response<v1::PeerAck>, Status> {
        let mut frames = request.into_inner();
        while let Some(frame) = frames.message().await? {
            match decode_frame(&frame) {
                Some(message) => {
                    let event = EngineInput::Event(QuorumEvent::Message(message));
                    self.inputs
                        .send(event)
                        .await
                        .map_err(|_| Status::unavailable("the keeper has stopped"))?;
                }
                None => record(&events::WIRE_MALFORMED, &[field("format", frame.format)]),
            }
        }
        Ok(Response::new(v1::PeerAck {}))
    }

    async fn recover(
        &self,
        request: Request<v1::RecoverRequest>,
    ) -> Result<Response<v1::RecoverReply>, Status> {
        let operator = request.into_inner().operator;
        let event = EngineInput::Event(QuorumEvent::RecoverAlone);
        self.inputs.send(event).await.map_err(|_| Status::unavailable("the keeper has stopped"))?;
        record(&events::GROUP_FORMED, &[field("operator", operator)]);
        let text =
            "this keeper now leads a group of its own; start the others with empty data folders".to_owned();
        Ok(Response::new(v1::RecoverReply { text }))
    }

    async fn status(
        &self,
        _request: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusReply>, Status> {
        let json = crate::status::state_json(&self.view());
        Ok(Response::new(v1::StatusReply { json }))
    }
}

fn record_verdict(order: [EventField; 4], verdict: OrderVerdict) {
    let (kind, number) = match verdict {
        OrderVerdict::InForce(number) => (&events::HALL_ORDER_ACCEPTED, number),
        OrderVerdict::Overtaken(number) => (&events::HALL_ORDER_REJECTED, number),
        OrderVerdict::TooManyHalls => (&events::HALL_ORDER_REJECTED, 0),
    };
    let fields: Vec<EventField> = order.into_iter().chain([field("in_force", number)]).collect();
    record(kind, &fields);
}

fn claim_key(customer: &str, key: &str) -> Result<ClaimKey, Status> {
    let customer =
        CustomerName::parse(customer).map_err(|error| Status::invalid_argument(error.to_string()))?;
    Ok(ClaimKey { customer, key: key.into() })
}

fn stored_answer(answer: v1::StoredAnswer) -> StoredAnswer {
    let status = u16::try_from(answer.status).unwrap_or_default();
    StoredAnswer { status, content_type: answer.content_type, body: answer.body }
}

fn verdict_message(verdict: ClaimVerdict) -> v1::ClaimReply {
    let (kind, answer) = match verdict {
        ClaimVerdict::Granted => (v1::ClaimVerdict::ClaimGranted, None),
        ClaimVerdict::Running => (v1::ClaimVerdict::ClaimRunning, None),
        ClaimVerdict::Done(answer) => (v1::ClaimVerdict::ClaimDone, Some(answer)),
        ClaimVerdict::AnswerDropped => (v1::ClaimVerdict::ClaimAnswerDropped, None),
        ClaimVerdict::MayHaveRun => (v1::ClaimVerdict::ClaimMayHaveRun, None),
        ClaimVerdict::KeyReused => (v1::ClaimVerdict::ClaimKeyReused, None),
        ClaimVerdict::Full => (v1::ClaimVerdict::ClaimFull, None),
    };
    let answer = answer.map(|answer| v1::StoredAnswer {
        status: u32::from(answer.status),
        content_type: answer.content_type,
        body: answer.body,
    });
    v1::ClaimReply { verdict: kind.into(), answer, not_leader: None }
}
