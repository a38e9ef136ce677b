//! A single attempt of a request: the grant, the claim if one is needed, the call and its answer.

use super::{RequestRouter, RETRY_AFTER};
use crate::call::CallPlan;
use crate::claims::ClaimOutcome;
use crate::cost::meter_for;
use crate::endpoint::{EndpointAnswer, EndpointCall, EndpointError};
use crate::relay::AnswerRelay;
use crate::shard_client::GrantLease;
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::task;
use futures::future::{select, Either};
use futures::pin_mut;
use http_types::{Body, Response};
use micaspool_backpressure::AdviceSource;
use micaspool_clock::BootInstant;
use micaspool_dispatch::GrantOutcome;
use micaspool_http::server::CallerWatch;
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::spans::HopSpan;
use micaspool_types::{Cost, EndpointAdvice, EndpointName, Refusal, RefusalKind};
use std::net::SocketAddr;
use std::time::Duration;

/// How many unusable grants are accepted before a request is refused.
const MAX_UNUSABLE_GRANTS: u32 = 5;
/// The largest answer to a call with an idempotency key, in bytes. A longer one is truncated.
const MAX_RECORDED_ANSWER: u64 = 32 * 1024 * 1024;

/// A grant whose endpoint is allowed by the newest settings.
struct UsableGrant {
    lease: GrantLease,
    address: SocketAddr,
}

/// The state of one request between attempts.
pub(super) struct AttemptState {
    pub attempt: u32,
    pub avoid: Option<EndpointName>,
    pub deadline: BootInstant,
    /// The token of the claim, while one is open.
    pub claim: Option<u64>,
    /// True once an attempt may have had an effect. Later refusals must not claim that the request did not run.
    pub may_have_run: bool,
}

/// How an attempt without an answer ended.
pub(super) enum AttemptEnd {
    /// Retry, avoiding the endpoint that failed.
    Retry(EndpointName),
    /// Refuse the request.
    Refused(Refusal),
}

impl RequestRouter {
    /// Makes one attempt at a request.
    pub(super) async fn attempt(
        &self,
        plan: &CallPlan,
        watch: &CallerWatch,
        traceparent: &str,
        state: &mut AttemptState,
    ) -> Result<Response, AttemptEnd> {
        let mut grant =
            self.usable_grant(plan, watch, traceparent, state).await.map_err(AttemptEnd::Refused)?;
        if plan.idempotency.is_some() && state.claim.is_none() {
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
            Err(error) => {
                state.may_have_run |= !error.is_not_run();
                Err(self.handle_failure(plan, grant, error))
            }
        }
    }

    async fn claim(&self, plan: &CallPlan, traceparent: &str) -> Result<ClaimOutcome, Refusal> {
        let span = self.parts.spans.start("claim", Some(traceparent));
        self.parts.ledger.claim(plan, &span.traceparent()).await
    }

    /// Waits for a grant whose lease is valid and whose endpoint is allowed by the newest settings and not resting.
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
                record(&events::LEASE_EXPIRED, &[field("request", plan.request)]);
                lease.settle(Cost(0), GrantOutcome::Unsent);
                continue;
            }
            if let Some(advice) = self.parts.shards.advice.record_of(lease.endpoint()) {
                let fields = [
                    field("request", plan.request),
                    field("endpoint", lease.endpoint()),
                    field("held_as", "resting"),
                    field("rest_ms", advice.advice.rest.as_millis()),
                ];
                record(&events::GRANT_UNUSABLE, &fields);
                self.shard(&plan.service).report_advice(advice);
                lease.settle(Cost(0), GrantOutcome::NotHeld);
                continue;
            }
            match self.allowed_address(plan, lease.endpoint()) {
                Some(address) => return Ok(UsableGrant { lease, address }),
                None => {
                    let fields = [field("request", plan.request), field("endpoint", lease.endpoint())];
                    record(&events::PLACEMENT_CHANGED, &fields);
                    lease.settle(Cost(0), GrantOutcome::Unsent);
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
        let started = BootInstant::now();
        let time_left = state.deadline.saturating_duration_since(started);
        let shard = self.shard(&plan.service);
        let ticket = plan.ticket(state.attempt, state.avoid.clone());
        if ticket.attempt == 0 && ticket.order.is_none() {
            shard.admit(&ticket.customer)?;
        }
        let grant = shard.acquire(ticket, Some(span.traceparent()));
        let hung_up = watch.hung_up();
        pin_mut!(grant, hung_up);
        match timeout(time_left, select(grant, hung_up)).await {
            Ok(Either::Left((result, _))) => {
                self.metrics.wait_seconds.observe(started.elapsed().as_secs_f64());
                result
            }
            Ok(Either::Right(_)) => Err(Refusal::not_run(RefusalKind::DeadlinePassed)),
            Err(_) => Err(Refusal::not_run(RefusalKind::DeadlinePassed).after(RETRY_AFTER)),
        }
    }

    /// Returns the address of an endpoint if the newest settings allow the customer to use its data hall.
    fn allowed_address(&self, plan: &CallPlan, endpoint: &EndpointName) -> Option<SocketAddr> {
        let policy = self.parts.mirror.policy();
        let service = policy.service_index(plan.service.as_str())?;
        let customer = policy.customer_index(&plan.customer)?;
        let halls = policy.request_policy(customer, service).halls;
        let endpoints = policy.services[service].endpoints.iter();
        let mut matching = endpoints.filter(|spec| spec.name == *endpoint && halls.contains(spec.hall));
        matching.next().map(|spec| spec.address)
    }

    /// Logs a failed call, ends its grant and decides whether to retry.
    fn handle_failure(&self, plan: &CallPlan, grant: UsableGrant, error: EndpointError) -> AttemptEnd {
        let endpoint = grant.lease.endpoint().clone();
        let kind = match error {
            EndpointError::WrongRequest => &events::ANSWER_MISMATCH,
            _ => &events::ENDPOINT_FAILED,
        };
        let fields = [field("request", plan.request), field("endpoint", &endpoint), field("error", error)];
        record(kind, &fields);
        self.apply_advice(plan, &endpoint, error);
        let outcome = match error {
            EndpointError::Unreachable => GrantOutcome::Unreachable,
            EndpointError::Refused { .. } => GrantOutcome::Refused,
            EndpointError::Draining { .. } => GrantOutcome::Draining,
            EndpointError::ConnectionLost => GrantOutcome::Severed,
            EndpointError::NoAnswer | EndpointError::WrongRequest => GrantOutcome::Broken,
        };
        grant.lease.settle(Cost(0), outcome);
        if error.is_not_run() || plan.is_repeatable {
            AttemptEnd::Retry(endpoint)
        } else {
            AttemptEnd::Refused(Refusal::unknown(RefusalKind::EndpointFailed))
        }
    }

    /// Applies the rest that an endpoint asked for when it rejected a request, and reports it to the dispatcher before
    /// the grant ends.
    fn apply_advice(&self, plan: &CallPlan, endpoint: &EndpointName, error: EndpointError) {
        let request = plan.request.to_string();
        let source = AdviceSource { endpoint, service: &plan.service, request: &request };
        let advice = EndpointAdvice { rest: error.rest(), leaving: false };
        if let Some(advice) = self.parts.shards.advice.apply(source, advice) {
            self.shard(&plan.service).report_advice(advice);
        }
    }

    /// Builds the caller's response from an endpoint's answer.
    async fn deliver(
        &self,
        plan: &CallPlan,
        grant: UsableGrant,
        answer: EndpointAnswer,
        span: HopSpan,
        state: &mut AttemptState,
    ) -> Result<Response, AttemptEnd> {
        let mut upstream = answer.response;
        let content_type = upstream.header("content-type").map(|values| values.last().as_str().to_owned());
        let content_type = content_type.unwrap_or_else(|| "application/octet-stream".to_owned());
        let endpoint = grant.lease.endpoint().clone();
        let length = upstream.len();
        let meter = meter_for(plan.kind, &content_type);
        let relay = AnswerRelay::new(upstream.take_body(), meter, grant.lease, self.metrics.clone(), span);
        let mut response = Response::new(upstream.status());
        match state.claim {
            Some(token) => {
                let body = self
                    .collect_and_record(plan, token, relay, u16::from(upstream.status()), &content_type)
                    .await?;
                state.claim = None;
                response.set_body(body);
            }
            None => response.set_body(Body::from_reader(relay, length)),
        }
        response.insert_header("content-type", content_type);
        response.insert_header("micaspool-endpoint", endpoint.as_str());
        Ok(response)
    }

    /// Buffers the answer to a call with an idempotency key and records it in the ledger before it is returned.
    async fn collect_and_record(
        &self,
        plan: &CallPlan,
        token: u64,
        relay: AnswerRelay,
        status: u16,
        content_type: &str,
    ) -> Result<Vec<u8>, AttemptEnd> {
        let mut body = Vec::new();
        let mut reader = relay.take(MAX_RECORDED_ANSWER);
        let read = reader.read_to_end(&mut body).await;
        if read.is_err() || status >= 500 {
            return Err(AttemptEnd::Refused(Refusal::unknown(RefusalKind::EndpointFailed)));
        }
        self.parts.ledger.record_answer(plan, token, status, content_type, &body).await;
        Ok(body)
    }
}
