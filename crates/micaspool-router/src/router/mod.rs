//! Handling of requests.

mod attempt;
mod handler;

use crate::call::{authenticate, CallPlan, PlanParts};
use crate::claims::ClaimLedger;
use crate::endpoint::EndpointClient;
use crate::limits::BodyBudget;
use crate::metrics::RouterMetrics;
use crate::shard_client::{ShardClient, ShardClientOptions};
use async_std::task;
use attempt::{AttemptEnd, AttemptState};
use futures::channel::oneshot;
use http_types::Response;
use micaspool_client::SettingsMirror;
use micaspool_clock::BootInstant;
use micaspool_http::server::{CallerRequest, CallerWatch};
use micaspool_telemetry::spans::{HopSpan, SpanSink};
use micaspool_types::{Refusal, RefusalKind, RunState, ServiceName};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;
/// `Retry-After` of requests refused here, such as for lack of a usable endpoint or while the router is draining.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The dependencies of a [`RequestRouter`].
pub struct RouterParts {
    /// The local copy of the settings.
    pub mirror: Arc<SettingsMirror>,
    /// The options of the shard clients.
    pub shards: ShardClientOptions,
    /// Sends requests to endpoints.
    pub endpoints: Arc<dyn EndpointClient>,
    /// Claims calls with idempotency keys.
    pub ledger: Arc<dyn ClaimLedger>,
    /// Receives tracing spans.
    pub spans: SpanSink,
}

/// Handles requests from admission to answer. Cheap to clone.
#[derive(Clone)]
pub struct RequestRouter {
    parts: Arc<RouterParts>,
    shards: Arc<Mutex<BTreeMap<ServiceName, Arc<ShardClient>>>>,
    budget: BodyBudget,
    metrics: RouterMetrics,
    is_draining: Arc<AtomicBool>,
}

impl std::fmt::Debug for RequestRouter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestRouter").finish_non_exhaustive()
    }
}

impl RequestRouter {
    pub(crate) fn new(parts: RouterParts, metrics: RouterMetrics) -> RequestRouter {
        RequestRouter {
            parts: Arc::new(parts),
            shards: Arc::default(),
            budget: BodyBudget::default(),
            metrics,
            is_draining: Arc::default(),
        }
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Returns the clients of all shards opened so far.
    pub fn shards(&self) -> Vec<Arc<ShardClient>> {
        self.lock_shards().values().cloned().collect()
    }

    fn lock_shards(&self) -> std::sync::MutexGuard<'_, BTreeMap<ServiceName, Arc<ShardClient>>> {
        self.shards.lock().expect("the lock of the shards is not poisoned")
    }

    fn shard(&self, service: &ServiceName) -> Arc<ShardClient> {
        let mut shards = self.lock_shards();
        let start = || ShardClient::start(service.clone(), self.parts.shards.clone());
        shards.entry(service.clone()).or_insert_with(start).clone()
    }

    /// Authenticates a request, resolves its plan and runs it.
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
        let plan = CallPlan::new(&policy, parts)?;
        span.set("customer", &plan.customer);
        span.set("service", &plan.service);
        let guard =
            self.budget.reserve(&plan.customer, plan.body.len() as u64, plan.policy.max_waiting_bytes)?;
        let traceparent = span.traceparent();
        if plan.idempotency.is_some() {
            return self.run_detached(plan, request.watch, traceparent, guard).await;
        }
        let _guard = guard;
        self.run_attempts(&plan, &request.watch, &traceparent).await
    }

    /// Runs a call with an idempotency key in its own task, so that it continues if its caller disconnects.
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

    /// Makes attempts until there is an answer or a refusal, and ends an open claim.
    async fn run_attempts(
        &self,
        plan: &CallPlan,
        watch: &CallerWatch,
        traceparent: &str,
    ) -> Result<Response, Refusal> {
        let mut state = AttemptState {
            attempt: 0,
            avoid: None,
            deadline: BootInstant::now() + plan.policy.wait_limit,
            claim: None,
            may_have_run: false,
        };
        let mut result = loop {
            match self.attempt(plan, watch, traceparent, &mut state).await {
                Ok(response) => return Ok(response),
                Err(AttemptEnd::Refused(refusal)) => break refusal,
                Err(AttemptEnd::Retry(_)) if state.attempt + 1 >= MAX_ATTEMPTS => {
                    break Refusal::not_run(RefusalKind::RetriesExhausted).after(RETRY_AFTER);
                }
                Err(AttemptEnd::Retry(endpoint)) => {
                    self.metrics.retries.inc();
                    state.attempt += 1;
                    state.avoid = Some(endpoint);
                }
            }
        };
        if state.may_have_run {
            result.run = RunState::Unknown;
        }
        if let Some(token) = state.claim {
            self.finish_claim(plan, token, &result).await;
        }
        Err(result)
    }

    /// Releases the key of a call that provably did not run, or records that the call may have run.
    async fn finish_claim(&self, plan: &CallPlan, token: u64, refusal: &Refusal) {
        if refusal.run == RunState::NotRun {
            self.parts.ledger.release(plan, token).await;
        } else {
            self.parts.ledger.record_unknown(plan, token).await;
        }
    }
}
