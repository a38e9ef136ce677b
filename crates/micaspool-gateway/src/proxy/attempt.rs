//! Waiting for grants and sending, until there is an answer or nothing more may be tried.

use super::failure::SendFailure;
use super::headers::{forwarded_headers, strip_hop_by_hop};
use super::target::CallTarget;
use super::{AcceptedCall, Gateway, RETRY_AFTER};
use crate::dialect::{AnswerVerdict, ForwardContext};
use crate::relay::{relay_body, AnswerRelay, EventMeter};
use crate::request_log::RequestLog;
use http::{response, Request, Response, Uri};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use micaspool_backpressure::AdviceSource;
use micaspool_clock::BootInstant;
use micaspool_dispatch::{GrantFate, RequestTicket};
use micaspool_http::edge::{whole_body, EdgeBody};
use micaspool_http::pool::PooledBody;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_router::GrantLease;
use micaspool_routes::RunRule;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{Cost, EndpointName, Refusal, RefusalKind, RequestDigest, RequestId};
use std::time::Duration;
use tokio::time::timeout;

/// How many grants in a row may be unusable before a request is given up.
const MAX_UNUSABLE_GRANTS: u32 = 8;
/// How many more endpoints may be asked than the route allows, when each said that it did not run the
/// request.
const EXTRA_NOT_RUN_SENDS: u32 = 2;
/// The largest answer that is read whole before it is passed on, in bytes.
const MAX_BUFFERED_ANSWER: u64 = 64 * 1024;
/// The shortest time that is worth sending a request with.
const MIN_SEND_TIME: Duration = Duration::from_millis(5);

/// What is left at least of the time within which an answer is wanted: none at all would mean any time.
const MIN_OBJECTIVE: Duration = Duration::from_millis(1);

/// A request on its way, with everything that decides whether it may be sent again.
#[derive(Debug)]
pub(crate) struct Attempts {
    call: AcceptedCall,
    target: CallTarget,
    request: RequestId,
    digest: RequestDigest,
    deadline: BootInstant,
    /// Sends that reached an endpoint.
    reached_sends: u32,
    /// Sends that may have run.
    possible_runs: u32,
    avoid: Option<EndpointName>,
}

/// An answer whose head may be passed on.
pub(crate) struct UsableAnswer {
    pub lease: GrantLease,
    pub response: Response<PooledBody>,
}

impl Attempts {
    pub(super) fn new(call: AcceptedCall, target: CallTarget) -> Attempts {
        let patience = call.caller.patience.unwrap_or(target.time_limit).min(target.time_limit);
        let uri = origin_form(&call.head.uri).to_string();
        let customer = target.queue_customer();
        let digest = RequestDigest::of(&customer, call.head.method.as_str(), &uri, &call.body);
        Attempts {
            deadline: call.arrived_at + patience,
            call,
            target,
            request: RequestId(rand::random()),
            digest,
            reached_sends: 0,
            possible_runs: 0,
            avoid: None,
        }
    }

    /// Works until there is an answer to pass on or a refusal.
    pub async fn run(mut self, gateway: &Gateway, mut log: RequestLog) -> Response<EdgeBody> {
        log.patience = self.call.caller.patience;
        log.digest = Some(self.digest);
        loop {
            let answer = match self.next_answer(gateway, &mut log, None).await {
                Ok(answer) => answer,
                Err(refusal) => {
                    log.refuse(&refusal);
                    return gateway.shared.parts.dialect.refuse(Some(&self.call.caller.id), &refusal);
                }
            };
            if !self.should_buffer(&answer) {
                return self.stream_answer(gateway, answer, log);
            }
            match self.buffer_answer(answer, &mut log).await {
                Ok(response) => return response,
                // The next round answers, or refuses since nothing more may be tried.
                Err(failure) => log.log_failure("body-broken", &failure, false),
            }
        }
    }

    /// True for a short answer that may be asked for again: read whole before any of it is passed on,
    /// it can be replaced when it breaks.
    fn should_buffer(&self, answer: &UsableAnswer) -> bool {
        let short =
            answer.response.body().size_hint().upper().is_some_and(|bytes| bytes <= MAX_BUFFERED_ANSWER);
        short && self.target.run == RunRule::Repeatable && self.may_run_again()
    }

    async fn buffer_answer(
        &self,
        answer: UsableAnswer,
        log: &mut RequestLog,
    ) -> Result<Response<EdgeBody>, String> {
        let UsableAnswer { lease, response } = answer;
        let (mut head, body) = response.into_parts();
        let time_left = self.deadline.saturating_duration_since(BootInstant::now());
        let (cause, fate) = match timeout(time_left, body.collect()).await {
            Ok(Ok(whole)) => {
                lease.settle(Cost(1), GrantFate::Done);
                strip_hop_by_hop(&mut head.headers);
                log.set_status(head.status.as_u16());
                log.record_first_byte();
                log.finish();
                return Ok(Response::from_parts(head, whole_body(whole.to_bytes())));
            }
            Ok(Err(error)) => (error.to_string(), GrantFate::Severed),
            Err(_) => ("no whole body before the deadline".to_owned(), GrantFate::Broken),
        };
        lease.settle(Cost(1), fate);
        Err(cause)
    }

    /// The moment at which nobody waits any more.
    pub fn deadline(&self) -> BootInstant {
        self.deadline
    }

    /// True while the route lets another endpoint run the request after one may have run it.
    pub fn may_run_again(&self) -> bool {
        self.target.run.is_repeatable() && self.possible_runs < self.target.attempts
    }

    /// The next answer whose head may be passed on. With `last_event` a stream goes on after it.
    pub async fn next_answer(
        &mut self,
        gateway: &Gateway,
        log: &mut RequestLog,
        last_event: Option<&str>,
    ) -> Result<UsableAnswer, Refusal> {
        loop {
            let (lease, endpoint) = self.usable_grant(gateway, log).await?;
            log.endpoint = Some(endpoint.name.clone());
            log.sent += 1;
            match self.send(gateway, lease, &endpoint, last_event).await {
                Ok(answer) => {
                    self.possible_runs += 1;
                    return Ok(answer);
                }
                Err(failure) => self.handle_failure(log, endpoint.name, failure)?,
            }
        }
    }

    /// A grant for an endpoint that takes requests, under the newest plan.
    async fn usable_grant(
        &mut self,
        gateway: &Gateway,
        log: &mut RequestLog,
    ) -> Result<(GrantLease, EndpointRecord), Refusal> {
        for _ in 0..MAX_UNUSABLE_GRANTS {
            let wait_start = BootInstant::now();
            log.ticket = Some(self.request);
            let granted = self.wait_for_grant(gateway).await;
            log.record_wait(wait_start.elapsed());
            let lease = granted?;
            if self.plan_changed(gateway)? {
                self.target.write_to_log(log);
                lease.settle(Cost(0), GrantFate::Unsent);
                continue;
            }
            if !lease.is_valid() {
                record(&events::LEASE_OVER, &[field("request", log.id())]);
                lease.settle(Cost(0), GrantFate::Unsent);
                continue;
            }
            if let Some(advice) = gateway.shared.parts.advice.record_of(lease.endpoint()) {
                log.log_withheld_grant(&advice);
                gateway.shard(&self.target.service).report_advice(advice);
                lease.settle(Cost(0), GrantFate::NotHeld);
                continue;
            }
            match gateway.shared.parts.mirror.endpoint(lease.endpoint()) {
                Some(record) if gateway.shared.parts.mirror.is_evacuated(&record.hall) => {
                    log.log_evacuated_grant(&record);
                    lease.settle(Cost(0), GrantFate::NotHeld);
                }
                Some(record) if record.stage == EndpointStage::Serving => return Ok((lease, record)),
                held => {
                    log.log_unusable_grant(lease.endpoint(), held.map(|record| record.stage));
                    lease.settle(Cost(0), GrantFate::NotHeld);
                }
            }
        }
        Err(self.final_refusal(RefusalKind::NoEndpoint))
    }

    async fn wait_for_grant(&self, gateway: &Gateway) -> Result<GrantLease, Refusal> {
        let time_left = self.time_left()?;
        let shard = gateway.shard(&self.target.service);
        match timeout(time_left, shard.acquire(self.ticket(), None)).await {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(refusal)) if self.possible_runs > 0 => Err(Refusal::unknown(refusal.kind)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(self.final_refusal(RefusalKind::DeadlinePassed)),
        }
    }

    /// Follows a newer plan; true when the request goes elsewhere by it.
    fn plan_changed(&mut self, gateway: &Gateway) -> Result<bool, Refusal> {
        let plan = gateway.shared.parts.mirror.plan();
        if plan.number == self.target.plan_number {
            return Ok(false);
        }
        let target = CallTarget::resolve(&plan, &self.call.head, &self.call.caller)?;
        let changed = !target.has_same_destination(&self.target);
        self.target = target;
        Ok(changed)
    }

    fn ticket(&self) -> RequestTicket {
        let prompt = self.call.caller.prompt.as_ref();
        let tokens = prompt.map_or(0, |prompt| prompt.prompt_tokens);
        let hint = prompt.map_or(1, |prompt| prompt.prompt_tokens + prompt.max_output_tokens);
        let parts = prompt.map(|prompt| prompt.parts.as_slice()).unwrap_or_default();
        RequestTicket {
            request: self.request,
            customer: self.target.queue_customer(),
            digest: Some(self.digest),
            hint: Cost(hint),
            priority: self.target.priority,
            attempt: self.reached_sends,
            avoid: self.avoid.clone(),
            prefixes: parts.iter().map(|part| part.prefix).collect(),
            prefix_tokens: parts.iter().map(|part| part.tokens).collect(),
            prompt_tokens: Cost(tokens),
            objective: self.remaining_objective(),
            patience: self.call.caller.patience,
            order: None,
        }
    }

    /// How much is left of the time within which an answer is wanted. One that may have run already is worth its
    /// answer also late, and gets the whole time again.
    fn remaining_objective(&self) -> Option<Duration> {
        let objective = self.target.stated_objective()?;
        if self.possible_runs > 0 {
            return Some(objective);
        }
        let time_left = objective.saturating_sub(self.call.arrived_at.elapsed());
        Some(time_left.max(MIN_OBJECTIVE))
    }

    /// Sends the request and reads the head of the answer.
    async fn send(
        &self,
        gateway: &Gateway,
        mut lease: GrantLease,
        endpoint: &EndpointRecord,
        last_event: Option<&str>,
    ) -> Result<UsableAnswer, SendFailure> {
        let parts = &gateway.shared.parts;
        let time_left = self.deadline.saturating_duration_since(BootInstant::now());
        let context = ForwardContext {
            id: &self.call.caller.id,
            endpoint: &endpoint.identity,
            customer: self.target.customer.as_ref(),
            time_left,
            last_event,
        };
        let request = self.build_request(gateway, &context);
        lease.mark_sent();
        let may_send = || parts.advice.may_send(&endpoint.name) && !parts.mirror.is_evacuated(&endpoint.hall);
        let sent = timeout(time_left, parts.pool.send_while(endpoint.address, request, may_send)).await;
        let failure = match sent {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                let verdict = parts.dialect.classify_answer(&head, &self.call.caller.id);
                if verdict.is_from_target() {
                    self.apply_advice(gateway, endpoint, &head);
                }
                match verdict {
                    AnswerVerdict::Answer => {
                        return Ok(UsableAnswer { lease, response: Response::from_parts(head, body) })
                    }
                    verdict => SendFailure::from_answer(verdict, head.status),
                }
            }
            Ok(Err(error)) => SendFailure::from_error(&error),
            Err(_) => SendFailure::deadline(),
        };
        lease.settle(Cost(0), failure.fate);
        Err(failure)
    }

    /// Takes in what an endpoint says of itself in the head of its answer. The dispatcher hears of it before the grant
    /// ends.
    fn apply_advice(&self, gateway: &Gateway, endpoint: &EndpointRecord, head: &response::Parts) {
        let parts = &gateway.shared.parts;
        let parsed = parts.dialect.advice(head);
        if let Some(fault) = &parsed.fault {
            let fields = [
                field("endpoint", &endpoint.name),
                field("request", &self.call.caller.id),
                field("error", fault),
            ];
            record(&events::ADVICE_UNREADABLE, &fields);
        }
        let source = AdviceSource {
            endpoint: &endpoint.name,
            service: &endpoint.service,
            request: &self.call.caller.id,
        };
        let Some(advice) = parts.advice.hear(source, parsed.advice) else { return };
        if advice.advice.leaving {
            parts.pool.close_resting(endpoint.address);
        }
        gateway.shard(&endpoint.service).report_advice(advice);
    }

    fn build_request(&self, gateway: &Gateway, context: &ForwardContext<'_>) -> Request<Full<bytes::Bytes>> {
        let head = &self.call.head;
        let mut headers = forwarded_headers(&head.headers);
        gateway.shared.parts.dialect.rewrite_headers(&mut headers, context);
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = origin_form(&head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// Notes a failed send; an error when nothing more may be tried.
    fn handle_failure(
        &mut self,
        log: &RequestLog,
        endpoint: EndpointName,
        failure: SendFailure,
    ) -> Result<(), Refusal> {
        log.log_failure(failure.kind, &failure.cause, failure.not_run);
        self.reached_sends += u32::from(failure.reached_endpoint);
        self.possible_runs += u32::from(!failure.not_run);
        self.avoid = Some(endpoint);
        let is_unrepeatable = self.possible_runs > 0 && !self.may_run_again();
        if is_unrepeatable || self.reached_sends >= self.target.attempts + EXTRA_NOT_RUN_SENDS {
            return Err(self.final_refusal(RefusalKind::RetriesExhausted));
        }
        Ok(())
    }

    fn time_left(&self) -> Result<Duration, Refusal> {
        let time_left = self.deadline.saturating_duration_since(BootInstant::now());
        if time_left < MIN_SEND_TIME {
            return Err(self.final_refusal(RefusalKind::DeadlinePassed));
        }
        Ok(time_left)
    }

    /// The refusal after nothing more may be tried. One of a request that may have run promises
    /// nothing.
    fn final_refusal(&self, kind: RefusalKind) -> Refusal {
        match kind {
            RefusalKind::DeadlinePassed if self.possible_runs > 0 => Refusal::unknown(kind),
            _ if self.possible_runs > 0 => Refusal::unknown(RefusalKind::EndpointFailed),
            _ => Refusal::not_run(kind).after(RETRY_AFTER),
        }
    }

    fn stream_answer(
        self,
        gateway: &Gateway,
        answer: UsableAnswer,
        mut log: RequestLog,
    ) -> Response<EdgeBody> {
        let (mut head, body) = answer.response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        log.set_status(head.status.as_u16());
        let meter = EventMeter::new(self.call.caller.prompt.as_ref(), self.target.engine);
        let relay = AnswerRelay::new(gateway.clone(), self, body, answer.lease, meter, log);
        Response::from_parts(head, relay_body(relay))
    }

    /// True when a stream that breaks may go on elsewhere.
    pub fn is_resumable(&self) -> bool {
        self.target.run == RunRule::ResumableStream
    }
}

/// Path and query, as an endpoint gets them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}
