//! Attempts of a request: waits for grants and sends until there is an answer or no further attempt is allowed.

use super::failure::SendFailure;
use super::headers::{forwarded_headers, strip_answer};
use super::target::CallTarget;
use super::{AcceptedCall, Gateway, LAST_EVENT, RETRY_AFTER};
use crate::answer_end::{check_stream_end, is_event_stream, StreamCut};
use crate::dialect::{AnswerVerdict, ForwardContext};
use crate::events::EventScanner;
use crate::relay::{body_outcome, relay_body, AnswerRelay, AnswerSource, EventMeter};
use crate::request_log::RequestLog;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{response, Request, Response, Uri};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full};
use micaspool_backpressure::AdviceSource;
use micaspool_clock::BootInstant;
use micaspool_dispatch::{GenerationOutline, GrantOutcome, RequestTicket};
use micaspool_http::edge::{full_body, EdgeBody};
use micaspool_http::framing::BodyFraming;
use micaspool_http::pool::PooledBody;
use micaspool_http::sends::SendHistory;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_router::GrantLease;
use micaspool_routes::RunRule;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{
    Cost, EndpointName, Refusal, RefusalKind, RequestDigest, RequestId, SoftwareVersion, StreamKey,
    StreamOrigin, VersionLimit,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// How many unusable grants in a row are accepted before a request is refused.
const MAX_UNUSABLE_GRANTS: u32 = 8;
/// How many sends beyond the route's limit are allowed while endpoints state that they did not run the request.
const EXTRA_NOT_RUN_SENDS: u32 = 2;
/// The largest answer that is buffered before it is passed on, in bytes.
const MAX_BUFFERED_ANSWER: u64 = 64 * 1024;
/// How long the head of an answer is held back until its body begins. The head of a stream may come long before its first
/// event.
const HEAD_HOLD: Duration = Duration::from_millis(30);
/// A request with less time left before its deadline is refused instead of sent.
const MIN_SEND_TIME: Duration = Duration::from_millis(5);

/// How long after the deadline of the attempt that began it a stream is remembered.
pub(super) const TAKE_UP_MARGIN: Duration = Duration::from_secs(2);

/// The lower bound of the remaining latency objective. Zero would mean that there is no objective.
const MIN_OBJECTIVE: Duration = Duration::from_millis(1);

/// A request being proxied, with the state that decides whether it may be sent again.
#[derive(Debug)]
pub(crate) struct Attempts {
    call: AcceptedCall,
    target: CallTarget,
    request: RequestId,
    digest: RequestDigest,
    deadline: BootInstant,
    /// The number of failed sends that may have reached an endpoint.
    reached_sends: u32,
    /// The number of sends that may have run.
    possible_runs: u32,
    avoid: Option<EndpointName>,
    /// The connections over which the request was sent.
    history: SendHistory,
    /// The software versions at which the request may run from now on.
    versions: VersionLimit,
}

/// An answer whose head may be passed on to the caller.
pub(crate) struct UsableAnswer {
    pub lease: GrantLease,
    /// The version of the software that answers.
    pub version: SoftwareVersion,
    pub response: Response<PooledBody>,
}

/// An answer whose body has begun or is late, so that its head is passed on.
struct BegunAnswer {
    head: response::Parts,
    source: AnswerSource,
}

impl Attempts {
    /// Creates the attempts of a request, of which the first may run at these software versions.
    pub(super) fn new(call: AcceptedCall, target: CallTarget, versions: VersionLimit) -> Attempts {
        let caller_timeout = call.caller.patience.unwrap_or(target.time_limit).min(target.time_limit);
        let uri = origin_form(&call.head.uri).to_string();
        let customer = target.queue_customer();
        let digest = RequestDigest::of(&customer, call.head.method.as_str(), &uri, call.body.bytes());
        Attempts {
            deadline: call.arrived_at + caller_timeout,
            target,
            request: RequestId(rand::random()),
            digest,
            reached_sends: 0,
            possible_runs: 0,
            avoid: None,
            history: SendHistory::default(),
            versions,
            call,
        }
    }

    /// Sends the request until there is an answer to pass on or a refusal.
    pub async fn run(mut self, gateway: &Gateway, mut log: RequestLog) -> Response<EdgeBody> {
        log.patience = self.call.caller.patience;
        log.digest = Some(self.digest);
        log.resumes = self.call.caller.resumes.clone();
        loop {
            let answer = match self.next_answer(gateway, &mut log, None).await {
                Ok(answer) => answer,
                Err(refusal) => return self.refuse(gateway, &mut log, &refusal),
            };
            let failure = if self.should_buffer(&answer) {
                match self.buffer_answer(gateway, answer, &mut log).await {
                    Ok(response) => return response,
                    Err(failure) => failure,
                }
            } else {
                match self.begin_answer(answer).await {
                    Ok(begun) => return self.stream_answer(gateway, begun, log),
                    Err(failure) => failure,
                }
            };
            log.log_failure("body-broken", &failure, false, None);
            if !self.may_run_again() {
                let refusal = self.final_refusal(RefusalKind::RetriesExhausted);
                return self.refuse(gateway, &mut log, &refusal);
            }
        }
    }

    fn refuse(&self, gateway: &Gateway, log: &mut RequestLog, refusal: &Refusal) -> Response<EdgeBody> {
        log.refuse(refusal);
        gateway.shared.parts.dialect.refuse(Some(&self.call.caller.id), refusal)
    }

    /// Waits for the first part of an answer's body, for [`HEAD_HOLD`] at most. While nothing is passed on, an answer that
    /// breaks can be replaced by another one, or by a refusal.
    async fn begin_answer(&self, answer: UsableAnswer) -> Result<BegunAnswer, String> {
        let UsableAnswer { lease, version, response } = answer;
        let (head, mut body) = response.into_parts();
        let time_left = self.deadline.saturating_duration_since(BootInstant::now());
        let first = timeout(time_left.min(HEAD_HOLD), first_part(&mut body)).await;
        let failure = match &first {
            Ok(Some(Err(error))) => Some((error.to_string(), body_outcome(error))),
            Ok(None) if self.is_cut(body.framing(), &head, &[]) => {
                Some((StreamCut::BeforeEvents.to_string(), GrantOutcome::Severed))
            }
            _ => None,
        };
        if let Some((failure, outcome)) = failure {
            lease.settle(self.meter().cost(), outcome);
            return Err(failure);
        }
        let first = first.ok().flatten().and_then(Result::ok);
        Ok(BegunAnswer { head, source: AnswerSource { first, body, lease: Some(lease), version } })
    }

    fn meter(&self) -> EventMeter {
        EventMeter::new(self.call.caller.prompt.as_ref(), self.target.engine)
    }

    /// Returns true for a short answer to a request that may be repeated. Buffering it before any of it is passed on
    /// allows a retry if its body breaks.
    fn should_buffer(&self, answer: &UsableAnswer) -> bool {
        let is_short =
            answer.response.body().size_hint().upper().is_some_and(|bytes| bytes <= MAX_BUFFERED_ANSWER);
        is_short && self.target.run == RunRule::Repeatable && self.may_run_again()
    }

    async fn buffer_answer(
        &self,
        gateway: &Gateway,
        answer: UsableAnswer,
        log: &mut RequestLog,
    ) -> Result<Response<EdgeBody>, String> {
        let UsableAnswer { lease, response, .. } = answer;
        let (mut head, body) = response.into_parts();
        let time_left = self.deadline.saturating_duration_since(BootInstant::now());
        let framing = body.framing();
        let collected = gateway.end_notice().unless_stopping(timeout(time_left, body.collect())).await;
        let collected = collected.map(|body| body.map(|body| body.map(|whole| whole.to_bytes())));
        let (cause, outcome) = match collected {
            Some(Ok(Ok(bytes))) if self.is_cut(framing, &head, &bytes) => {
                (StreamCut::InsideEvent.to_string(), GrantOutcome::Broken)
            }
            Some(Ok(Ok(bytes))) => {
                lease.settle(Cost(1), GrantOutcome::Done);
                strip_answer(&mut head);
                log.set_status(head.status.as_u16());
                log.record_first_byte();
                log.finish();
                return Ok(Response::from_parts(head, full_body(bytes)));
            }
            Some(Ok(Err(error))) => (error.to_string(), body_outcome(&error)),
            Some(Err(_)) => ("response body incomplete at the deadline".to_owned(), GrantOutcome::Broken),
            None => ("response body incomplete when the gateway stops".to_owned(), GrantOutcome::Abandoned),
        };
        lease.settle(Cost(1), outcome);
        Err(cause)
    }

    /// Returns true if a buffered body is an event stream that is not whole.
    fn is_cut(&self, framing: BodyFraming, head: &response::Parts, body: &[u8]) -> bool {
        let mut scanner = EventScanner::default();
        scanner.observe(body);
        is_event_stream(self.target.run, head)
            && check_stream_end(framing, &scanner, self.continues_stream()).is_err()
    }

    /// The time at which the caller or the route stops waiting.
    pub fn deadline(&self) -> BootInstant {
        self.deadline
    }

    /// Returns the origin of a stream that this request begins at an endpoint of this version; `None` if it goes on with
    /// an earlier one.
    pub fn stream_origin(&self, version: &SoftwareVersion) -> Option<StreamOrigin> {
        if self.continues_stream() {
            return None;
        }
        Some(StreamOrigin {
            stream: StreamKey::of(&self.target.queue_customer(), &self.call.caller.id),
            version: version.clone(),
            keep: self.deadline.saturating_duration_since(BootInstant::now()) + TAKE_UP_MARGIN,
        })
    }

    /// Limits further runs to the version of the software that wrote what the caller has received.
    pub fn bind_to(&mut self, version: SoftwareVersion) {
        self.versions = VersionLimit::Only(version);
    }

    /// Returns true while the route allows another run of a request that may already have run.
    pub fn may_run_again(&self) -> bool {
        self.target.run.is_repeatable() && self.possible_runs < self.target.attempts
    }

    /// Returns the next answer whose head may be passed on. `last_event` resumes a stream after that event.
    pub async fn next_answer(
        &mut self,
        gateway: &Gateway,
        log: &mut RequestLog,
        last_event: Option<&str>,
    ) -> Result<UsableAnswer, Refusal> {
        loop {
            let (lease, endpoint) = self.usable_grant(gateway, log).await?;
            log.endpoint = Some(endpoint.name.clone());
            log.version = endpoint.version.clone();
            log.sent += 1;
            match self.send(gateway, lease, &endpoint, last_event).await {
                Ok(answer) => {
                    self.possible_runs += 1;
                    self.history.note(answer.response.body().connection_use().connection);
                    // Only matters if the body breaks and the request is sent again.
                    self.avoid = Some(endpoint.name);
                    return Ok(answer);
                }
                Err(failure) => self.handle_failure(log, endpoint.name, failure)?,
            }
        }
    }

    /// Waits for a grant that is valid under the newest plan and whose endpoint accepts requests.
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
            if self.apply_newest_plan(gateway)? {
                self.target.write_to_log(log);
                lease.settle(Cost(0), GrantOutcome::Unsent);
                continue;
            }
            if !lease.is_valid() {
                record(&events::LEASE_EXPIRED, &[field("request", log.id())]);
                lease.settle(Cost(0), GrantOutcome::Unsent);
                continue;
            }
            if let Some(advice) = gateway.shared.parts.advice.record_of(lease.endpoint()) {
                log.log_withheld_grant(&advice);
                gateway.shard(&self.target.service).report_advice(advice);
                lease.settle(Cost(0), GrantOutcome::NotHeld);
                continue;
            }
            match gateway.shared.parts.mirror.endpoint(lease.endpoint()) {
                Some(record) if gateway.shared.parts.mirror.is_evacuated(&record.hall) => {
                    log.log_evacuated_grant(&record);
                    lease.settle(Cost(0), GrantOutcome::NotHeld);
                }
                Some(record) if !self.target.halls.allows(&record.hall) => {
                    log.log_forbidden_grant(&record);
                    lease.settle(Cost(0), GrantOutcome::NotHeld);
                }
                Some(record) if !self.learn_version(&lease).allows(&record.version) => {
                    log.log_other_version_grant(&record);
                    lease.settle(Cost(0), GrantOutcome::NotHeld);
                }
                Some(record) if record.stage == EndpointStage::Serving => return Ok((lease, record)),
                unusable => {
                    log.log_unusable_grant(lease.endpoint(), unusable.map(|record| record.stage));
                    lease.settle(Cost(0), GrantOutcome::NotHeld);
                }
            }
        }
        Err(self.final_refusal(RefusalKind::NoEndpoint))
    }

    /// Returns the versions at which the request may run. That of a stream that the caller takes up comes with the first
    /// grant.
    fn learn_version(&mut self, lease: &GrantLease) -> &VersionLimit {
        if let (true, Some(version)) = (self.versions.is_unresolved(), lease.bound_version()) {
            self.versions = VersionLimit::Only(version.clone());
        }
        &self.versions
    }

    async fn wait_for_grant(&self, gateway: &Gateway) -> Result<GrantLease, Refusal> {
        let time_left = self.time_left()?;
        let shard = gateway.shard(&self.target.service);
        let granted = timeout(time_left, shard.acquire(self.ticket(), None));
        match gateway.shared.parts.stop_notice.unless_stopping(granted).await {
            Some(Ok(Ok(lease))) => Ok(lease),
            Some(Ok(Err(refusal))) => Err(self.with_run_state(refusal)),
            Some(Err(_)) => Err(self.final_refusal(RefusalKind::DeadlinePassed)),
            None => Err(self.final_refusal(RefusalKind::Draining)),
        }
    }

    /// Applies a newer plan. Returns true if it changes the service, the customer or the data halls of the request.
    fn apply_newest_plan(&mut self, gateway: &Gateway) -> Result<bool, Refusal> {
        let plan = gateway.shared.parts.mirror.plan();
        if plan.number == self.target.plan_number {
            return Ok(false);
        }
        let target = CallTarget::resolve(
            &plan,
            &gateway.shared.parts.hall_regions,
            &self.call.head,
            &self.call.caller,
        )
        .map_err(|refusal| self.with_run_state(refusal))?;
        if self.versions != VersionLimit::Any && target.service != self.target.service {
            // Versions are those of one service.
            return Err(self.with_run_state(Refusal::not_run(RefusalKind::VersionGone)));
        }
        let is_changed = !target.has_same_destination(&self.target);
        self.target = target;
        Ok(is_changed)
    }

    /// Returns a refusal that does not claim that the request has not run if it may have.
    fn with_run_state(&self, refusal: Refusal) -> Refusal {
        if self.possible_runs > 0 {
            Refusal::unknown(refusal.kind)
        } else {
            refusal
        }
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
            halls: self.target.halls.clone(),
            versions: self.versions.clone(),
            generation: GenerationOutline {
                max_output_tokens: prompt.map_or(0, |prompt| prompt.max_output_tokens),
                output_hint: prompt.map_or(0, |prompt| prompt.output_hint),
                pause: self.target.pause,
            },
        }
    }

    /// Returns what is left of the latency objective. A request that may have run gets the whole objective again,
    /// because its answer is worth having even when it is late.
    fn remaining_objective(&self) -> Option<Duration> {
        let objective = self.target.stated_objective()?;
        if self.possible_runs > 0 {
            return Some(objective);
        }
        let time_left = objective.saturating_sub(self.call.arrived_at.elapsed());
        Some(time_left.max(MIN_OBJECTIVE))
    }

    /// Sends the request and waits for the head of the answer.
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
            cache_source: lease.cache_source().and_then(|name| self.source_address(gateway, endpoint, name)),
        };
        let request = self.build_request(gateway, &context);
        lease.mark_sent();
        let may_send = || parts.advice.may_send(&endpoint.name) && !parts.mirror.is_evacuated(&endpoint.hall);
        let sent = timeout(time_left, parts.pool.send_if(endpoint.address, request, &self.history, may_send));
        let failure = match parts.end_notice.unless_stopping(sent).await {
            Some(Ok(Ok(response))) => {
                let (head, body) = response.into_parts();
                let earlier_sends = body.connection_use().earlier_sends;
                let verdict = parts.dialect.classify_answer(&head, &self.call.caller.id, earlier_sends);
                if verdict.is_from_target() {
                    self.apply_advice(gateway, endpoint, &head);
                }
                match verdict {
                    AnswerVerdict::Answer => {
                        let version = endpoint.version.clone();
                        let response = Response::from_parts(head, body);
                        return Ok(UsableAnswer { lease, version, response });
                    }
                    verdict => {
                        let connection_use = body.connection_use();
                        if !verdict.proves_order() {
                            body.close_connection();
                        }
                        SendFailure::from_answer(verdict, head.status, connection_use)
                    }
                }
            }
            Some(Ok(Err(error))) => SendFailure::from_error(&error),
            Some(Err(_)) => SendFailure::deadline(),
            None => SendFailure::stopping(),
        };
        lease.settle(Cost(0), failure.outcome);
        Err(failure)
    }

    /// Returns the address of the engine from which the endpoint may copy cached parts; `None` unless it is known, in
    /// service, of the endpoint's software version and in a hall where the request may run.
    fn source_address(
        &self,
        gateway: &Gateway,
        endpoint: &EndpointRecord,
        name: &EndpointName,
    ) -> Option<SocketAddr> {
        let mirror = &gateway.shared.parts.mirror;
        let source = mirror.endpoint(name)?;
        let is_usable = source.stage == EndpointStage::Serving
            && source.service == self.target.service
            && source.version == endpoint.version
            && self.target.halls.allows(&source.hall)
            && !mirror.is_evacuated(&source.hall);
        is_usable.then_some(source.address)
    }

    /// Applies the advice in the head of an endpoint's answer and reports it to the dispatcher before the grant ends.
    fn apply_advice(&self, gateway: &Gateway, endpoint: &EndpointRecord, head: &response::Parts) {
        let parts = &gateway.shared.parts;
        let parsed = parts.dialect.advice(head);
        if let Some(fault) = &parsed.error {
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
        let Some(advice) = parts.advice.apply(source, parsed.advice) else { return };
        if advice.advice.leaving {
            parts.pool.close_idle(endpoint.address);
        }
        gateway.shard(&endpoint.service).report_advice(advice);
    }

    fn build_request(&self, gateway: &Gateway, context: &ForwardContext<'_>) -> Request<Full<Bytes>> {
        let head = &self.call.head;
        let mut headers = forwarded_headers(&head.headers);
        gateway.shared.parts.dialect.rewrite_headers(&mut headers, context);
        let mut request = Request::new(Full::new(self.call.body.bytes().clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = origin_form(&head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// Logs and counts a failed send. Returns an error if no further attempt is allowed.
    fn handle_failure(
        &mut self,
        log: &RequestLog,
        endpoint: EndpointName,
        failure: SendFailure,
    ) -> Result<(), Refusal> {
        log.log_failure(failure.kind, &failure.cause, failure.not_run, failure.connection_use);
        self.reached_sends += u32::from(failure.reached_endpoint);
        self.possible_runs += u32::from(!failure.not_run);
        self.avoid = Some(endpoint);
        if let Some(connection_use) = failure.connection_use {
            self.history.note(connection_use.connection);
        }
        if let Some(kind) = failure.refusal {
            return Err(self.final_refusal(kind));
        }
        let is_unrepeatable = self.possible_runs > 0 && !self.may_run_again();
        if is_unrepeatable || self.reached_sends >= self.target.attempts + EXTRA_NOT_RUN_SENDS {
            return Err(self.final_refusal(RefusalKind::RetriesExhausted));
        }
        Ok(())
    }

    /// Returns the time left until the deadline, or a refusal if it is too short to send the request.
    fn time_left(&self) -> Result<Duration, Refusal> {
        let time_left = self.deadline.saturating_duration_since(BootInstant::now());
        if time_left < MIN_SEND_TIME {
            return Err(self.final_refusal(RefusalKind::DeadlinePassed));
        }
        Ok(time_left)
    }

    /// Returns the refusal that ends the request. If the request may have run, the refusal says so and has no
    /// `Retry-After`.
    fn final_refusal(&self, kind: RefusalKind) -> Refusal {
        match kind {
            RefusalKind::DeadlinePassed if self.possible_runs > 0 => Refusal::unknown(kind),
            _ if self.possible_runs > 0 => Refusal::unknown(RefusalKind::EndpointFailed),
            _ => Refusal::not_run(kind).after(RETRY_AFTER),
        }
    }

    fn stream_answer(
        mut self,
        gateway: &Gateway,
        answer: BegunAnswer,
        mut log: RequestLog,
    ) -> Response<EdgeBody> {
        let BegunAnswer { mut head, source } = answer;
        strip_answer(&mut head);
        log.set_status(head.status.as_u16());
        let is_stream = is_event_stream(self.target.run, &head);
        self.call.promise = None;
        if !self.is_resumable() {
            self.call.body.release();
        }
        if is_stream {
            // A stream that breaks after as many bytes as its length states would look whole.
            head.headers.remove(CONTENT_LENGTH);
        }
        let meter = self.meter();
        let relay = AnswerRelay::new(gateway.clone(), self, source, meter, log, is_stream);
        Response::from_parts(head, relay_body(relay))
    }

    /// Returns true if the caller asks for the rest of a stream of which it has received the beginning.
    pub fn continues_stream(&self) -> bool {
        self.call.head.headers.contains_key(&LAST_EVENT)
    }

    /// Returns true if a broken stream may be resumed at another endpoint.
    pub fn is_resumable(&self) -> bool {
        self.target.run == RunRule::ResumableStream
    }
}

/// Returns the first part of a body that is not empty; `None` if the body ends without one.
async fn first_part(body: &mut PooledBody) -> Option<Result<Bytes, hyper::Error>> {
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) if !data.is_empty() => return Some(Ok(data)),
            // Trailers are dropped, as they are by the relay.
            Ok(_) => {}
            Err(error) => return Some(Err(error)),
        }
    }
    None
}

/// Reduces a URI to its path and query (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}
