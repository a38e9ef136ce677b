//! The path of a request.

use crate::call::{authenticate, body_limit, CallPlan, PlanParts};
use crate::claims::{ClaimLedger, ClaimOutcome};
use crate::cost::meter_for;
use crate::endpoint::{EndpointAnswer, EndpointCall, EndpointClient, EndpointError};
use crate::limits::BodyBudget;
use crate::metrics::RouterMetrics;
use crate::relay::AnswerRelay;
use crate::shard_client::{GrantLease, ShardClient, ShardClientOptions};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::task;
use async_trait::async_trait;
use futures::channel::oneshot;
use futures::future::{select, Either};
use futures::pin_mut;
use http_types::{Body, Response};
use micaspool_client::SettingsMirror;
use micaspool_dispatch::GrantFate;
use micaspool_http::head::RequestHead;
use micaspool_http::refusal::{refusal_response, REQUEST_HEADER};
use micaspool_http::server::{CallerRequest, CallerWatch, HttpHandler};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::spans::{HopSpan, SpanSink};
use micaspool_types::{Cost, EndpointName, Refusal, RefusalKind, RequestId, ServiceName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often one request is sent at most.
const MAX_ATTEMPTS: u32 = 3;
/// How often a grant that can't be used is exchanged for another.
const MAX_UNUSABLE_GRANTS: u32 = 5;
/// When a request that failed for lack of endpoints may come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// The largest answer of a call that may not be repeated.
const MAX_ONCE_ANSWER: u64 = 32 * 1024 * 1024;

/// What a router is made of.
pub struct RouterParts {
    /// The settings.
    pub mirror: Arc<SettingsMirror>,
    /// How dispatchers are reached.
    pub shards: ShardClientOptions,
    /// How endpoints are reached.
    pub endpoints: Arc<dyn EndpointClient>,
    /// Where calls that may not be repeated are claimed.
    pub ledger: Arc<dyn ClaimLedger>,
    /// Where spans go.
    pub spans: SpanSink,
}

/// Takes requests along their path; cheap to clone.
#[derive(Clone)]
pub struct RequestRouter {
    parts: Arc<RouterParts>,
    shards: Arc<Mutex<BTreeMap<ServiceName, Arc<ShardClient>>>>,
    budget: BodyBudget,
    metrics: RouterMetrics,
    draining: Arc<AtomicBool>,
}

impl std::fmt::Debug for RequestRouter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestRouter").finish_non_exhaustive()
    }
}

/// A grant whose endpoint may be used by the newest settings.
struct UsableGrant {
    lease: GrantLease,
    address: SocketAddr,
}

/// The state of one request between attempts.
struct AttemptState {
    attempt: u32,
    avoid: Option<EndpointName>,
    deadline: Instant,
    claim: Option<u64>,
}

/// Why a request did not get its answer yet.
enum AttemptEnd {
    /// Try again, with the endpoint that failed left out.
    Again(EndpointName),
    /// This is the final answer.
    Refused(Refusal),
}

impl RequestRouter {
    pub(crate) fn new(parts: RouterParts, metrics: RouterMetrics) -> RequestRouter {
        RequestRouter {
            parts: Arc::new(parts),
            shards: Arc::default(),
            budget: BodyBudget::default(),
            metrics,
            draining: Arc::default(),
        }
    }

    /// Takes no new request from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// The shards in use.
    pub fn shards(&self) -> Vec<Arc<ShardClient>> {
        self.lock_shards().values().cloned().collect()
    }

    fn lock_shards(&self) -> std::sync::MutexGuard<'_, BTreeMap<ServiceName, Arc<ShardClient>>> {
        self.shards.lock().expect("no holder of the shards panics")
    }

    fn shard(&self, service: &ServiceName) -> Arc<ShardClient> {
        let mut shards = self.lock_shards();
        let start = || ShardClient::start(service.clone(), self.parts.shards.clone());
        shards.entry(service.clone()).or_insert_with(start).clone()
    }

    async fn route(&self, request: CallerRequest, span: &mut HopSpan) -> Result<Response, Refusal> {
        let policy = self.parts.mirror.policy();
        let header =
            |name: &str| request.request.header(name).map(|values| values.last().as_str().to_owned());
        let customer = authenticate(&policy, header("authorization").as_deref())?;
        let parts = PlanParts {
            request: request.id,
            customer,
            method: request.request.method().to_string(),
            target: request.target,
            content_type: header("content-type"),
            key: header("idempotency-key"),
            body: request.body,
        };
        let plan = CallPlan::make(&policy, parts)?;
        span.set("customer", &plan.customer);
        span.set("service", &plan.service);
        let guard =
            self.budget.take(&plan.customer, plan.body.len() as u64, plan.policy.max_waiting_bytes)?;
        let traceparent = span.traceparent();
        if plan.once.is_some() {
            return self.run_detached(plan, request.watch, traceparent, guard).await;
        }
        let _guard = guard;
        self.run_attempts(&plan, &request.watch, &traceparent).await
    }

    /// Runs a call that may not be repeated in a task of its own, so that it goes on when its
    /// caller leaves.
    async fn run_detached(
        &self,
        plan: CallPlan,
        watch: CallerWatch,
        traceparent: String,
        guard: crate::limits::BodyGuard,
    ) -> Result<Response, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let router = self.clone();
        task::spawn(async move {
            let _guard = guard;
            let result = router.run_attempts(&plan, &watch, &traceparent).await;
            let _ = sender.send(result);
        });
        receiver.await.unwrap_or_else(|_| Err(Refusal::unknown(RefusalKind::EndpointFailed)))
    }

    async fn run_attempts(
        &self,
        plan: &CallPlan,
        watch: &CallerWatch,
        traceparent: &str,
    ) -> Result<Response, Refusal> {
        let mut state = AttemptState {
            attempt: 0,
            avoid: None,
            deadline: Instant::now() + plan.policy.wait_limit,
            claim: None,
        };
        let result = loop {
            match self.attempt(plan, watch, traceparent, &mut state).await {
                Ok(response) => return Ok(response),
                Err(AttemptEnd::Refused(refusal)) => break refusal,
                Err(AttemptEnd::Again(_)) if state.attempt + 1 >= MAX_ATTEMPTS => {
                    break Refusal::not_run(RefusalKind::RetriesExhausted).after(RETRY_AFTER);
                }
                Err(AttemptEnd::Again(endpoint)) => {
                    self.metrics.retries.inc();
                    state.attempt += 1;
                    state.avoid = Some(endpoint);
                }
            }
        };
        if let Some(token) = state.claim {
            self.end_claim(plan, token, &result).await;
        }
        Err(result)
    }

    /// Frees the key of a call that provably did not run; otherwise records that it may have.
    async fn end_claim(&self, plan: &CallPlan, token: u64, refusal: &Refusal) {
        if refusal.run == micaspool_types::RunState::NotRun {
            self.parts.ledger.release(plan, token).await;
        } else {
            self.parts.ledger.unknown(plan, token).await;
        }
    }

    async fn attempt(
        &self,
        plan: &CallPlan,
        watch: &CallerWatch,
        traceparent: &str,
        state: &mut AttemptState,
    ) -> Result<Response, AttemptEnd> {
        let mut grant =
            self.usable_grant(plan, watch, traceparent, state).await.map_err(AttemptEnd::Refused)?;
        if plan.once.is_some() && state.claim.is_none() {
            match self.claim(plan, traceparent).await.map_err(AttemptEnd::Refused)? {
                ClaimOutcome::Granted(token) => state.claim = Some(token),
                ClaimOutcome::Answered(response) => return Ok(*response),
            }
            if !grant.lease.is_valid() {
                grant =
                    self.usable_grant(plan, watch, traceparent, state).await.map_err(AttemptEnd::Refused)?;
            }
        }
        let mut span = self.parts.spans.start("endpoint", Some(traceparent));
        span.set("endpoint", grant.lease.endpoint());
        span.set("attempt", state.attempt);
        grant.lease.mark_sent();
        let call = EndpointCall { address: grant.address, plan, traceparent: &span.traceparent() };
        match self.parts.endpoints.send(call).await {
            Ok(answer) => self.deliver(plan, grant, answer, span, state).await,
            Err(error) => Err(self.note_failure(plan, grant, error)),
        }
    }

    async fn claim(&self, plan: &CallPlan, traceparent: &str) -> Result<ClaimOutcome, Refusal> {
        let span = self.parts.spans.start("claim", Some(traceparent));
        self.parts.ledger.claim(plan, &span.traceparent()).await
    }

    /// Waits for a grant whose endpoint the newest settings allow and whose lease still runs.
    async fn usable_grant(
        &self,
        plan: &CallPlan,
        watch: &CallerWatch,
        traceparent: &str,
        state: &AttemptState,
    ) -> Result<UsableGrant, Refusal> {
        for _ in 0..MAX_UNUSABLE_GRANTS {
            let span = self.parts.spans.start("wait", Some(traceparent));
            let lease = self.wait_for_grant(plan, watch, &span, state).await?;
            drop(span);
            if !lease.is_valid() {
                record(&events::LEASE_OVER, &[field("request", plan.request)]);
                lease.settle(Cost(0), GrantFate::Unsent);
                continue;
            }
            match self.allowed_address(plan, lease.endpoint()) {
                Some(address) => return Ok(UsableGrant { lease, address }),
                None => {
                    let fields = [field("request", plan.request), field("endpoint", lease.endpoint())];
                    record(&events::PLACEMENT_CHANGED, &fields);
                    lease.settle(Cost(0), GrantFate::Unsent);
                    task::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Err(Refusal::not_run(RefusalKind::NoEndpoint).after(RETRY_AFTER))
    }

    async fn wait_for_grant(
        &self,
        plan: &CallPlan,
        watch: &CallerWatch,
        span: &HopSpan,
        state: &AttemptState,
    ) -> Result<GrantLease, Refusal> {
        let started = Instant::now();
        let left = state.deadline.saturating_duration_since(started);
        let shard = self.shard(&plan.service);
        let ticket = plan.ticket(state.attempt, state.avoid.clone());
        let grant = shard.acquire(ticket, Some(span.traceparent()));
        let hung_up = watch.hung_up();
        pin_mut!(grant, hung_up);
        match timeout(left, select(grant, hung_up)).await {
            Ok(Either::Left((result, _))) => {
                self.metrics.wait_seconds.observe(started.elapsed().as_secs_f64());
                result
            }
            Ok(Either::Right(_)) => Err(Refusal::not_run(RefusalKind::DeadlinePassed)),
            Err(_) => Err(Refusal::not_run(RefusalKind::DeadlinePassed).after(RETRY_AFTER)),
        }
    }

    /// The address of an endpoint, when the newest settings allow the customer to use its hall.
    fn allowed_address(&self, plan: &CallPlan, endpoint: &EndpointName) -> Option<SocketAddr> {
        let policy = self.parts.mirror.policy();
        let service = policy.service_index(plan.service.as_str())?;
        let customer = policy.customer_index(&plan.customer)?;
        let halls = policy.request_policy(customer, service).halls;
        let endpoints = policy.services[service].endpoints.iter();
        let mut matching = endpoints.filter(|spec| spec.name == *endpoint && halls.contains(spec.hall));
        matching.next().map(|spec| spec.address)
    }

    fn note_failure(&self, plan: &CallPlan, grant: UsableGrant, error: EndpointError) -> AttemptEnd {
        let endpoint = grant.lease.endpoint().clone();
        let kind = match error {
            EndpointError::Mismatch => &events::ANSWER_MISMATCH,
            _ => &events::ENDPOINT_FAILED,
        };
        let fields = [field("request", plan.request), field("endpoint", &endpoint), field("error", error)];
        record(kind, &fields);
        let fate = match error {
            EndpointError::Unreachable => GrantFate::Unreachable,
            EndpointError::Refused { .. } => GrantFate::Refused,
            EndpointError::Draining { .. } => GrantFate::Draining,
            EndpointError::Broken | EndpointError::Mismatch => GrantFate::Broken,
        };
        grant.lease.settle(Cost(0), fate);
        if error.is_not_run() || plan.repeatable {
            AttemptEnd::Again(endpoint)
        } else {
            AttemptEnd::Refused(Refusal::unknown(RefusalKind::EndpointFailed))
        }
    }

    async fn deliver(
        &self,
        plan: &CallPlan,
        grant: UsableGrant,
        answer: EndpointAnswer,
        span: HopSpan,
        state: &mut AttemptState,
    ) -> Result<Response, AttemptEnd> {
        let mut from = answer.response;
        let content_type = from.header("content-type").map(|values| values.last().as_str().to_owned());
        let content_type = content_type.unwrap_or_else(|| "application/octet-stream".to_owned());
        let endpoint = grant.lease.endpoint().clone();
        let length = from.len();
        let meter = meter_for(plan.kind, &content_type);
        let relay = AnswerRelay::new(from.take_body(), meter, grant.lease, self.metrics.clone(), span);
        let mut response = Response::new(from.status());
        match state.claim {
            Some(token) => {
                let body =
                    self.collect_once(plan, token, relay, u16::from(from.status()), &content_type).await?;
                state.claim = None;
                response.set_body(body);
            }
            None => response.set_body(Body::from_reader(relay, length)),
        }
        response.insert_header("content-type", content_type);
        response.insert_header("micaspool-endpoint", endpoint.as_str());
        Ok(response)
    }

    /// Reads the whole answer of a call that may not be repeated and records it before anyone
    /// sees it.
    async fn collect_once(
        &self,
        plan: &CallPlan,
        token: u64,
        relay: AnswerRelay,
        status: u16,
        content_type: &str,
    ) -> Result<Vec<u8>, AttemptEnd> {
        let mut body = Vec::new();
        let mut reader = relay.take(MAX_ONCE_ANSWER);
        let read = reader.read_to_end(&mut body).await;
        if read.is_err() || status >= 500 {
            return Err(AttemptEnd::Refused(Refusal::unknown(RefusalKind::EndpointFailed)));
        }
        self.parts.ledger.answered(plan, token, status, content_type, &body).await;
        Ok(body)
    }
}

#[async_trait]
impl HttpHandler for RequestRouter {
    fn admit(&self, head: &RequestHead) -> Result<u64, Refusal> {
        let result = self.admit_head(head);
        if let Err(refusal) = &result {
            self.metrics.count_refusal(refusal);
        }
        result
    }

    fn next_id(&self) -> RequestId {
        RequestId(rand::random())
    }

    async fn handle(&self, request: CallerRequest) -> Response {
        let id = request.id;
        let parent = request.request.header("traceparent").map(|values| values.last().as_str().to_owned());
        let mut span = self.parts.spans.start("router", parent.as_deref());
        span.set("request", id);
        let mut response = match self.route(request, &mut span).await {
            Ok(response) => {
                self.metrics.count_answer();
                record(&events::REQUEST_DONE, &[field("request", id)]);
                response
            }
            Err(refusal) => {
                self.metrics.count_refusal(&refusal);
                record(
                    &events::REQUEST_REFUSED,
                    &[field("request", id), field("kind", refusal.kind.as_str())],
                );
                span.set("refused", refusal.kind.as_str());
                refusal_response(id, &refusal, None)
            }
        };
        response.insert_header(REQUEST_HEADER, id.to_string());
        response.insert_header("traceparent", span.traceparent());
        response
    }
}

impl RequestRouter {
    fn admit_head(&self, head: &RequestHead) -> Result<u64, Refusal> {
        if self.draining.load(Ordering::SeqCst) {
            return Err(Refusal::not_run(RefusalKind::Draining).after(RETRY_AFTER));
        }
        let policy = self.parts.mirror.policy();
        if policy.revision.0 == 0 {
            return Err(Refusal::not_run(RefusalKind::NoSettings).after(RETRY_AFTER));
        }
        let customer = authenticate(&policy, head.authorization.as_deref())?;
        body_limit(&policy, customer, &head.target)
    }
}
