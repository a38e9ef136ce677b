//! Waiting for grants and sending, until there is an answer or nothing more may be tried.

use super::failure::SendFailure;
use super::headers::{request_headers, strip_single_hop};
use super::target::CallTarget;
use super::{Gateway, TakenCall, RETRY_AFTER};
use crate::dialect::{AnswerVerdict, ForwardContext};
use crate::relay::{relay_body, AnswerRelay, EventMeter};
use crate::trail::RequestTrail;
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
const NOT_RUN_EXTRA: u32 = 2;
/// The largest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER: u64 = 64 * 1024;
/// The shortest time that is worth sending a request with.
const SHORTEST_SEND: Duration = Duration::from_millis(5);

/// What is left at least of the time within which an answer is wanted: none at all would mean any time.
const LEAST_WANTED: Duration = Duration::from_millis(1);

/// A request on its way, with everything that decides whether it may be sent again.
#[derive(Debug)]
pub(crate) struct Attempts {
    call: TakenCall,
    target: CallTarget,
    request: RequestId,
    digest: RequestDigest,
    deadline: BootInstant,
    /// Sends that reached an endpoint.
    arrivals: u32,
    /// Sends that may have run.
    may_have_run: u32,
    avoid: Option<EndpointName>,
}

/// An answer whose head may be passed on.
pub(crate) struct UsableAnswer {
    pub lease: GrantLease,
    pub response: Response<PooledBody>,
}

impl Attempts {
    pub(super) fn new(call: TakenCall, target: CallTarget) -> Attempts {
        let patience = call.caller.patience.unwrap_or(target.time_limit).min(target.time_limit);
        let uri = origin_form(&call.head.uri).to_string();
        let customer = target.waiting_customer();
        let digest = RequestDigest::of(&customer, call.head.method.as_str(), &uri, &call.body);
        Attempts {
            deadline: call.arrived + patience,
            call,
            target,
            request: RequestId(rand::random()),
            digest,
            arrivals: 0,
            may_have_run: 0,
            avoid: None,
        }
    }

    /// Works until there is an answer to pass on or a refusal.
    pub async fn run(mut self, gateway: &Gateway, mut trail: RequestTrail) -> Response<EdgeBody> {
        trail.patience = self.call.caller.patience;
        trail.digest = Some(self.digest);
        loop {
            let answer = match self.next_answer(gateway, &mut trail, None).await {
                Ok(answer) => answer,
                Err(refusal) => {
                    trail.refuse(&refusal);
                    return gateway.shared.parts.dialect.refuse(Some(&self.call.caller.id), &refusal);
                }
            };
            if !self.reads_whole(&answer) {
                return self.pass_on(gateway, answer, trail);
            }
            match self.read_whole(answer, &mut trail).await {
                Ok(response) => return response,
                // The next round answers, or refuses since nothing more may be tried.
                Err(failure) => trail.note_failure("body-broken", &failure, false),
            }
        }
    }

    /// True for a short answer that may be asked for again: read whole before any of it is passed on,
    /// it can be replaced when it breaks.
    fn reads_whole(&self, answer: &UsableAnswer) -> bool {
        let short = answer.response.body().size_hint().upper().is_some_and(|bytes| bytes <= WHOLE_ANSWER);
        short && self.target.run == RunRule::Repeatable && self.may_run_again()
    }

    async fn read_whole(
        &self,
        answer: UsableAnswer,
        trail: &mut RequestTrail,
    ) -> Result<Response<EdgeBody>, String> {
        let UsableAnswer { lease, response } = answer;
        let (mut head, body) = response.into_parts();
        let left = self.deadline.saturating_duration_since(BootInstant::now());
        let (cause, fate) = match timeout(left, body.collect()).await {
            Ok(Ok(whole)) => {
                lease.settle(Cost(1), GrantFate::Done);
                strip_single_hop(&mut head.headers);
                trail.note_status(head.status.as_u16());
                trail.note_first_byte();
                trail.finish();
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
        self.target.run.is_repeatable() && self.may_have_run < self.target.attempts
    }

    /// The next answer whose head may be passed on. With `last_event` a stream goes on after it.
    pub async fn next_answer(
        &mut self,
        gateway: &Gateway,
        trail: &mut RequestTrail,
        last_event: Option<&str>,
    ) -> Result<UsableAnswer, Refusal> {
        loop {
            let (lease, endpoint) = self.usable_grant(gateway, trail).await?;
            trail.endpoint = Some(endpoint.name.clone());
            trail.sent += 1;
            match self.send(gateway, lease, &endpoint, last_event).await {
                Ok(answer) => {
                    self.may_have_run += 1;
                    return Ok(answer);
                }
                Err(failure) => self.note_failure(trail, endpoint.name, failure)?,
            }
        }
    }

    /// A grant for an endpoint that takes requests, under the newest plan.
    async fn usable_grant(
        &mut self,
        gateway: &Gateway,
        trail: &mut RequestTrail,
    ) -> Result<(GrantLease, EndpointRecord), Refusal> {
        for _ in 0..MAX_UNUSABLE_GRANTS {
            let asked = BootInstant::now();
            trail.ticket = Some(self.request);
            let granted = self.wait_for_grant(gateway).await;
            trail.note_wait(asked.elapsed());
            let lease = granted?;
            if self.plan_changed(gateway)? {
                self.target.describe(trail);
                lease.settle(Cost(0), GrantFate::Unsent);
                continue;
            }
            if !lease.is_valid() {
                record(&events::LEASE_OVER, &[field("request", trail.id())]);
                lease.settle(Cost(0), GrantFate::Unsent);
                continue;
            }
            if let Some(advice) = gateway.shared.parts.advice.record_of(lease.endpoint()) {
                trail.note_withheld(&advice);
                gateway.shard(&self.target.service).advise(advice);
                lease.settle(Cost(0), GrantFate::NotHeld);
                continue;
            }
            match gateway.shared.parts.mirror.endpoint(lease.endpoint()) {
                Some(record) if gateway.shared.parts.mirror.is_evacuated(&record.hall) => {
                    trail.note_evacuated(&record);
                    lease.settle(Cost(0), GrantFate::NotHeld);
                }
                Some(record) if record.stage == EndpointStage::Serving => return Ok((lease, record)),
                held => {
                    trail.note_unusable(lease.endpoint(), held.map(|record| record.stage));
                    lease.settle(Cost(0), GrantFate::NotHeld);
                }
            }
        }
        Err(self.give_up(RefusalKind::NoEndpoint))
    }

    async fn wait_for_grant(&self, gateway: &Gateway) -> Result<GrantLease, Refusal> {
        let left = self.left()?;
        let shard = gateway.shard(&self.target.service);
        match timeout(left, shard.acquire(self.ticket(), None)).await {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(refusal)) if self.may_have_run > 0 => Err(Refusal::unknown(refusal.kind)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(self.give_up(RefusalKind::DeadlinePassed)),
        }
    }

    /// Follows a newer plan; true when the request goes elsewhere by it.
    fn plan_changed(&mut self, gateway: &Gateway) -> Result<bool, Refusal> {
        let plan = gateway.shared.parts.mirror.plan();
        if plan.number == self.target.number {
            return Ok(false);
        }
        let target = CallTarget::find(&plan, &self.call.head, &self.call.caller)?;
        let changed = !target.agrees(&self.target);
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
            customer: self.target.waiting_customer(),
            digest: Some(self.digest),
            hint: Cost(hint),
            priority: self.target.priority,
            attempt: self.arrivals,
            avoid: self.avoid.clone(),
            prefixes: parts.iter().map(|part| part.prefix).collect(),
            prefix_tokens: parts.iter().map(|part| part.tokens).collect(),
            prompt_tokens: Cost(tokens),
            objective: self.wanted_within(),
            patience: self.call.caller.patience,
            order: None,
        }
    }

    /// How much is left of the time within which an answer is wanted. One that may have run already is worth its
    /// answer also late, and gets the whole time again.
    fn wanted_within(&self) -> Option<Duration> {
        let wanted = self.target.wanted_within()?;
        if self.may_have_run > 0 {
            return Some(wanted);
        }
        let left = wanted.saturating_sub(self.call.arrived.elapsed());
        Some(left.max(LEAST_WANTED))
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
        let order = ForwardContext {
            id: &self.call.caller.id,
            endpoint: &endpoint.identity,
            customer: self.target.customer.as_ref(),
            time_left,
            last_event,
        };
        let request = self.build(gateway, &order);
        lease.mark_sent();
        let may_send = || parts.advice.may_send(&endpoint.name) && !parts.mirror.is_evacuated(&endpoint.hall);
        let sent = timeout(time_left, parts.pool.send_while(endpoint.address, request, may_send)).await;
        let failure = match sent {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                let verdict = parts.dialect.classify_answer(&head, &self.call.caller.id);
                if verdict.is_of_asked() {
                    self.heed(gateway, endpoint, &head);
                }
                match verdict {
                    AnswerVerdict::Answer => {
                        return Ok(UsableAnswer { lease, response: Response::from_parts(head, body) })
                    }
                    verdict => SendFailure::of_answer(verdict, head.status),
                }
            }
            Ok(Err(error)) => SendFailure::of_error(&error),
            Err(_) => SendFailure::deadline(),
        };
        lease.settle(Cost(0), failure.fate);
        Err(failure)
    }

    /// Takes in what an endpoint says of itself in the head of its answer. The dispatcher hears of it before the grant
    /// ends.
    fn heed(&self, gateway: &Gateway, endpoint: &EndpointRecord, head: &response::Parts) {
        let parts = &gateway.shared.parts;
        let heard = parts.dialect.advice(head);
        if let Some(fault) = &heard.fault {
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
        let Some(advice) = parts.advice.hear(source, heard.advice) else { return };
        if advice.advice.leaving {
            parts.pool.close_resting(endpoint.address);
        }
        gateway.shard(&endpoint.service).advise(advice);
    }

    fn build(&self, gateway: &Gateway, order: &ForwardContext<'_>) -> Request<Full<bytes::Bytes>> {
        let head = &self.call.head;
        let mut headers = request_headers(&head.headers);
        gateway.shared.parts.dialect.rewrite_headers(&mut headers, order);
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = origin_form(&head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// Notes a failed send; an error when nothing more may be tried.
    fn note_failure(
        &mut self,
        trail: &RequestTrail,
        endpoint: EndpointName,
        failure: SendFailure,
    ) -> Result<(), Refusal> {
        trail.note_failure(failure.kind, &failure.cause, failure.not_run);
        self.arrivals += u32::from(failure.arrived);
        self.may_have_run += u32::from(!failure.not_run);
        self.avoid = Some(endpoint);
        let ran_out = self.may_have_run > 0 && !self.may_run_again();
        if ran_out || self.arrivals >= self.target.attempts + NOT_RUN_EXTRA {
            return Err(self.give_up(RefusalKind::RetriesExhausted));
        }
        Ok(())
    }

    fn left(&self) -> Result<Duration, Refusal> {
        let left = self.deadline.saturating_duration_since(BootInstant::now());
        if left < SHORTEST_SEND {
            return Err(self.give_up(RefusalKind::DeadlinePassed));
        }
        Ok(left)
    }

    /// The refusal after nothing more may be tried. One of a request that may have run promises
    /// nothing.
    fn give_up(&self, kind: RefusalKind) -> Refusal {
        match kind {
            RefusalKind::DeadlinePassed if self.may_have_run > 0 => Refusal::unknown(kind),
            _ if self.may_have_run > 0 => Refusal::unknown(RefusalKind::EndpointFailed),
            _ => Refusal::not_run(kind).after(RETRY_AFTER),
        }
    }

    fn pass_on(self, gateway: &Gateway, answer: UsableAnswer, mut trail: RequestTrail) -> Response<EdgeBody> {
        let (mut head, body) = answer.response.into_parts();
        strip_single_hop(&mut head.headers);
        trail.note_status(head.status.as_u16());
        let meter = EventMeter::new(self.call.caller.prompt.as_ref(), self.target.engine);
        let relay = AnswerRelay::new(gateway.clone(), self, body, answer.lease, meter, trail);
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
