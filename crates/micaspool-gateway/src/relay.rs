//! Relays answers from endpoints to callers.

use crate::answer_end::{check_stream_end, StreamCut};
use crate::dialect::PromptOutline;
use crate::events::{EventScanner, EventSplitter};
use crate::proxy::{Attempts, Gateway, UsableAnswer};
use crate::request_log::RequestLog;
use crate::stopping::StopNotice;
use bytes::Bytes;
use futures::future::{select, BoxFuture, Either};
use futures::stream::unfold;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, StreamBody};
use micaspool_clock::BootInstant;
use micaspool_dispatch::GrantOutcome;
use micaspool_http::edge::{BodyError, EdgeBody};
use micaspool_http::framing::BodyFraming;
use micaspool_http::pool::{is_malformed, PooledBody};
use micaspool_router::GrantLease;
use micaspool_routes::EngineProfile;
use micaspool_types::{Cost, SoftwareVersion, StreamOrigin};
use std::fmt;
use std::time::Duration;

/// How long an answer may continue after the deadline. The endpoint stops by itself at the deadline, and its own end of
/// the answer is preferable to cutting the connection here.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);

/// The cost of a generated token, in prompt tokens.
const OUTPUT_TOKEN_COST: u64 = 2;

/// Why an answer broke.
#[derive(Debug)]
enum RelayError {
    /// The body of the endpoint's response ended with an error.
    Endpoint(hyper::Error),
    /// The response ended without an error, but it is an event stream that is not whole.
    Cut(StreamCut, BodyFraming),
    /// The body is one in chunks, sizes included, for which the head states nothing. They have been passed on, so that the
    /// stream can't go on elsewhere.
    LostCoding,
    /// An event is too long to be held back until it is complete.
    Overlong,
    /// The deadline and its grace period have passed.
    Deadline,
    /// The gateway stops.
    Stopping,
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Endpoint(error) => {
                write!(
                    f,
                    "endpoint connection failed before the answer was complete ({error}); check the endpoint"
                )
            }
            RelayError::Cut(cut, _) => cut.fmt(f),
            RelayError::LostCoding => {
                f.write_str("the body is in chunks, but the head does not say so; check the endpoint")
            }
            RelayError::Overlong => f.write_str("an event of the stream does not end; check the endpoint"),
            RelayError::Deadline => f.write_str("answer incomplete at the request deadline"),
            RelayError::Stopping => f.write_str("answer incomplete when the gateway stops"),
        }
    }
}

impl std::error::Error for RelayError {}

/// The outcome reported for the grant of an answer whose body failed.
pub(crate) fn body_outcome(error: &hyper::Error) -> GrantOutcome {
    if is_malformed(error) {
        GrantOutcome::Broken
    } else {
        GrantOutcome::Severed
    }
}

impl RelayError {
    /// The outcome reported for the grant of such an answer.
    fn outcome(&self) -> GrantOutcome {
        match self {
            RelayError::Endpoint(error) => body_outcome(error),
            RelayError::Cut(_, BodyFraming::Connection) => GrantOutcome::Severed,
            RelayError::Cut(..) | RelayError::LostCoding | RelayError::Overlong | RelayError::Deadline => {
                GrantOutcome::Broken
            }
            RelayError::Stopping => GrantOutcome::Abandoned,
        }
    }
}

/// Meters the cost of an answer in tokens: the prompt, charged with the first event, plus a fixed cost per event.
#[derive(Debug)]
pub(crate) struct EventMeter {
    prompt: u64,
    event_cost: u64,
    scanner: EventScanner,
}

impl EventMeter {
    pub fn new(prompt: Option<&PromptOutline>, engine: Option<EngineProfile>) -> EventMeter {
        let event_cost = engine.map_or(1, |engine| u64::from(engine.event_tokens.max(1)));
        EventMeter {
            prompt: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            event_cost: event_cost * OUTPUT_TOKEN_COST,
            scanner: EventScanner::default(),
        }
    }

    fn observe(&mut self, chunk: &[u8]) {
        self.scanner.observe(chunk);
    }

    /// Returns the cost delivered so far. A request without a prompt, such as to a plain service, costs one unit.
    pub fn cost(&self) -> Cost {
        match (self.prompt, self.scanner.ended_events()) {
            (0, _) => Cost(1),
            (_, 0) => Cost(0),
            (prompt, events) => Cost(prompt + events * self.event_cost),
        }
    }
}

/// The endpoint's side of an answer.
pub(crate) struct AnswerSource {
    /// The first part of the body, if it was read before the head was passed on.
    pub first: Option<Bytes>,
    pub body: PooledBody,
    /// The grant; `None` once it has been settled.
    pub lease: Option<GrantLease>,
    /// The version of the software that answers.
    pub version: SoftwareVersion,
}

/// Reads an endpoint's answer, meters its cost, and resumes it at another endpoint if it breaks and may be resumed.
///
/// If the caller disconnects, the relay is dropped, which closes the connection to the endpoint.
pub(crate) struct AnswerRelay {
    gateway: Gateway,
    attempts: Attempts,
    source: AnswerSource,
    meter: EventMeter,
    /// True if the answer is an event stream.
    is_stream: bool,
    /// True once the first event has been passed on.
    is_begun: bool,
    /// Holds back incomplete events of a stream that may be resumed.
    splitter: Option<EventSplitter>,
    log: RequestLog,
    /// Ends when the answer may not go on.
    expiry: BoxFuture<'static, RelayError>,
    is_ended: bool,
}

impl AnswerRelay {
    pub fn new(
        gateway: Gateway,
        attempts: Attempts,
        source: AnswerSource,
        meter: EventMeter,
        log: RequestLog,
        is_stream: bool,
    ) -> AnswerRelay {
        let left = attempts.deadline().saturating_duration_since(BootInstant::now());
        let expiry = Box::pin(wait_for_expiry(left, gateway.end_notice().clone()));
        AnswerRelay {
            gateway,
            is_stream,
            is_begun: false,
            splitter: (is_stream && attempts.is_resumable()).then(EventSplitter::default),
            attempts,
            source,
            meter,
            log,
            expiry,
            is_ended: false,
        }
    }

    /// Returns the next bytes for the caller; `None` after the end.
    async fn next_chunk(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        while !self.is_ended {
            match self.read_chunk().await {
                Ok(Some(chunk)) => {
                    if let Some(bytes) = self.process_chunk(chunk) {
                        return Some(Ok(Frame::data(bytes)));
                    }
                }
                Ok(None) => return self.finish(),
                Err(error) => {
                    if !self.resume(&error).await {
                        return Some(Err(self.abort_answer(error)));
                    }
                }
            }
        }
        None
    }

    /// Reads the next data frame; `None` at the end of a whole body.
    async fn read_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        if let Some(data) = self.source.first.take() {
            return Ok(Some(data));
        }
        if self.splitter.as_ref().is_some_and(EventSplitter::is_overlong) {
            return Err(RelayError::Overlong);
        }
        loop {
            match select(self.source.body.frame(), &mut self.expiry).await {
                Either::Left((Some(Ok(frame)), _)) => {
                    // Trailers are dropped: no caller of this fleet uses them.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Either::Left((Some(Err(error)), _)) => return Err(RelayError::Endpoint(error)),
                Either::Left((None, _)) => return self.check_end().map(|()| None),
                Either::Right((error, _)) => return Err(error),
            }
        }
    }

    fn check_end(&self) -> Result<(), RelayError> {
        if self.source.body.holds_chunks() {
            return Err(RelayError::LostCoding);
        }
        if !self.is_stream {
            return Ok(());
        }
        let framing = self.source.body.framing();
        let end = check_stream_end(framing, &self.meter.scanner, self.attempts.continues_stream());
        end.map_err(|cut| RelayError::Cut(cut, framing))
    }

    /// Meters a chunk and returns the bytes that may be passed on now.
    fn process_chunk(&mut self, chunk: Bytes) -> Option<Bytes> {
        self.meter.observe(&chunk);
        let delivered = self.meter.cost();
        let began = self.begun_stream();
        if let Some(lease) = &mut self.source.lease {
            match began {
                Some(origin) => lease.begin_stream(delivered, origin),
                None => lease.progress(delivered),
            }
        }
        let bytes = match &mut self.splitter {
            Some(splitter) => splitter.push(&chunk).complete,
            None => chunk,
        };
        if bytes.is_empty() {
            return None;
        }
        self.log.record_first_byte();
        Some(bytes)
    }

    /// Returns which version began the stream, once: with its first event, before the caller gets it.
    fn begun_stream(&mut self) -> Option<StreamOrigin> {
        if self.is_begun || self.splitter.is_none() || self.meter.scanner.ended_events() == 0 {
            return None;
        }
        self.is_begun = true;
        self.attempts.stream_origin(&self.source.version)
    }

    fn finish(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        self.is_ended = true;
        self.log_body_end();
        self.settle(GrantOutcome::Done);
        self.log.finish();
        let partial = self.splitter.as_mut().map(EventSplitter::take_partial).unwrap_or_default();
        (!partial.is_empty()).then(|| Ok(Frame::data(partial)))
    }

    fn abort_answer(&mut self, error: RelayError) -> BodyError {
        self.is_ended = true;
        self.log_body_end();
        self.settle(error.outcome());
        self.log.finish_broken(&error.to_string());
        Box::new(error)
    }

    fn log_body_end(&mut self) {
        let scanner = self.meter.scanner;
        self.log.set_body_end(self.source.body.framing(), scanner.ended_events(), scanner.is_inside_event());
    }

    fn settle(&mut self, outcome: GrantOutcome) {
        if let Some(lease) = self.source.lease.take() {
            lease.settle(self.meter.cost(), outcome);
        }
    }

    /// Resumes a stream at another endpoint after its last complete event. Returns false if resuming is not allowed or
    /// failed.
    async fn resume(&mut self, error: &RelayError) -> bool {
        let cause = match error {
            RelayError::Endpoint(error) => error.to_string(),
            RelayError::Cut(cut, _) => cut.to_string(),
            RelayError::Overlong => error.to_string(),
            RelayError::LostCoding | RelayError::Deadline | RelayError::Stopping => return false,
        };
        let Some(last) = self.splitter.as_ref().and_then(EventSplitter::last_id) else { return false };
        if !self.attempts.may_run_again() {
            return false;
        }
        self.log_body_end();
        self.log.log_failure("stream-broken", &cause, false, None);
        self.settle(error.outcome());
        self.attempts.bind_to(self.source.version.clone());
        let last_event = last.to_string();
        let next = self.attempts.next_answer(&self.gateway, &mut self.log, Some(&last_event)).await;
        match next {
            Ok(answer) if answer.response.status().is_success() => {
                self.log.log_resume(last);
                if let Some(splitter) = &mut self.splitter {
                    splitter.discard_partial();
                }
                self.meter.scanner.restart();
                let UsableAnswer { lease, version, response } = answer;
                let body = response.into_body();
                self.source = AnswerSource { first: None, body, lease: Some(lease), version };
                true
            }
            // The failure has been logged; the caller's stream is aborted.
            _ => false,
        }
    }
}

/// Waits until an answer may not go on: until its deadline and the grace period have passed, or the gateway stops.
async fn wait_for_expiry(time_left: Duration, end_notice: StopNotice) -> RelayError {
    let deadline = tokio::time::sleep(time_left + DEADLINE_GRACE);
    match end_notice.unless_stopping(deadline).await {
        Some(()) => RelayError::Deadline,
        None => RelayError::Stopping,
    }
}

/// Turns a relay into a body. An answer without a body is finished at once.
pub(crate) fn relay_body(relay: AnswerRelay) -> EdgeBody {
    if relay.source.first.is_none() && relay.source.body.is_end_stream() {
        let mut relay = relay;
        let _ = relay.finish();
        return micaspool_http::edge::full_body(Bytes::new());
    }
    let chunks = unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        Some((chunk, relay))
    });
    BodyExt::boxed_unsync(StreamBody::new(chunks))
}
