//! Logging of requests: one line at the end of each, and lines for failures on the way.

use crate::metrics::GatewayMetrics;
use micaspool_clock::BootInstant;
use micaspool_http::framing::BodyFraming;
use micaspool_http::sends::ConnectionUse;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_telemetry::events::{self, field, record, EventField, EventKind};
use micaspool_types::{
    AdviceRecord, EndpointName, Refusal, RefusalKind, RequestDigest, RequestId, SoftwareVersion,
};
use std::sync::Arc;
use std::time::Duration;

/// The reason in logs and metrics for not using a grant whose endpoint is in an evacuated data hall.
const EVACUATED: &str = "evacuated";
/// The reason in logs and metrics for not using a grant whose endpoint is in a data hall that the request may not use.
const FORBIDDEN: &str = "forbidden-hall";
/// The reason in logs and metrics for not using a grant whose endpoint runs another software version.
const OTHER_VERSION: &str = "other-version";

/// The state of a request for its log line. Dropping it before the request has ended logs that the caller disconnected, or
/// the panic that it is dropped by.
#[derive(Debug)]
pub(crate) struct RequestLog {
    metrics: GatewayMetrics,
    id: Arc<str>,
    arrived_at: BootInstant,
    is_ended: bool,
    /// The name of the route; empty until it is resolved.
    pub route: Arc<str>,
    /// The number of the plan that the target was resolved from.
    pub plan: u64,
    /// The name of the customer; empty if there is none.
    pub customer: Arc<str>,
    /// The timeout that the caller sent.
    pub patience: Option<Duration>,
    /// The digest of the request, equal for each copy of it.
    pub digest: Option<RequestDigest>,
    /// The endpoint that the request was last sent to.
    pub endpoint: Option<EndpointName>,
    /// The version of the software of that endpoint.
    pub version: SoftwareVersion,
    /// The id of the attempt that began the stream which the caller takes up.
    pub resumes: Option<Arc<str>>,
    /// The id of the request at the dispatcher, once it has asked for a grant.
    pub ticket: Option<RequestId>,
    /// How often the request was sent.
    pub sent: u32,
    /// The total time spent waiting for grants, including waits that ended in a refusal.
    pub waited: Duration,
    first_byte: Option<Duration>,
    status: u16,
    body_end: Option<BodyEnd>,
}

/// How the body of the last answer ended.
#[derive(Clone, Copy, Debug)]
struct BodyEnd {
    framing: BodyFraming,
    /// The number of whole events.
    events: u64,
    /// True if the body, read as an event stream, ended inside an event.
    is_inside_event: bool,
}

impl RequestLog {
    pub fn new(metrics: GatewayMetrics, id: Arc<str>, arrived_at: BootInstant) -> RequestLog {
        RequestLog {
            metrics,
            id,
            arrived_at,
            is_ended: false,
            route: Arc::from(""),
            plan: 0,
            customer: Arc::from(""),
            patience: None,
            digest: None,
            endpoint: None,
            version: SoftwareVersion::default(),
            resumes: None,
            ticket: None,
            sent: 0,
            waited: Duration::ZERO,
            first_byte: None,
            status: 0,
            body_end: None,
        }
    }

    /// Returns the arrival time of the request.
    pub fn arrived_at(&self) -> BootInstant {
        self.arrived_at
    }

    /// Returns the id that the caller gave this attempt.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Records how long a grant, or a refusal in its place, took.
    pub fn record_wait(&mut self, wait: Duration) {
        self.waited += wait;
        self.metrics.wait_seconds.observe(wait.as_secs_f64());
    }

    /// Sets the status of the answer.
    pub fn set_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Sets how the body of the answer ended: its framing, the number of whole events, and whether it ended inside one.
    pub fn set_body_end(&mut self, framing: BodyFraming, events: u64, is_inside_event: bool) {
        self.body_end = Some(BodyEnd { framing, events, is_inside_event });
    }

    /// Records the time of the first byte of the answer's body.
    pub fn record_first_byte(&mut self) {
        if self.first_byte.is_none() {
            let passed = self.arrived_at.elapsed();
            self.first_byte = Some(passed);
            self.metrics.first_byte_seconds.observe(passed.as_secs_f64());
        }
    }

    /// Logs a grant that is not used because the endpoint is not known as serving, with its known stage.
    pub fn log_unusable_grant(&self, endpoint: &EndpointName, stage: Option<EndpointStage>) {
        let stage = stage.map_or("unknown", EndpointStage::as_str);
        let fields = [field("request", &self.id), field("endpoint", endpoint), field("held_as", stage)];
        record(&events::GRANT_UNUSABLE, &fields);
    }

    /// Logs a grant that is not used because the endpoint asked this process to rest or announced that it is
    /// leaving.
    pub fn log_withheld_grant(&self, advice_record: &AdviceRecord) {
        let held_as = if advice_record.advice.leaving { "said-leaving" } else { "resting" };
        self.metrics.count_failure(held_as);
        let fields = [
            field("request", &self.id),
            field("endpoint", &advice_record.endpoint),
            field("held_as", held_as),
            field("rest_ms", advice_record.advice.rest.as_millis()),
        ];
        record(&events::GRANT_UNUSABLE, &fields);
    }

    /// Logs a grant that is not used because the endpoint's data hall is evacuated.
    pub fn log_evacuated_grant(&self, endpoint: &EndpointRecord) {
        self.metrics.count_failure(EVACUATED);
        let fields = [
            field("request", &self.id),
            field("endpoint", &endpoint.name),
            field("held_as", EVACUATED),
            field("hall", &endpoint.hall),
        ];
        record(&events::GRANT_UNUSABLE, &fields);
    }

    /// Logs a grant that is not used because the request may not run in the endpoint's data hall.
    pub fn log_forbidden_grant(&self, endpoint: &EndpointRecord) {
        self.metrics.count_failure(FORBIDDEN);
        let fields = [
            field("request", &self.id),
            field("endpoint", &endpoint.name),
            field("held_as", FORBIDDEN),
            field("hall", &endpoint.hall),
        ];
        record(&events::GRANT_UNUSABLE, &fields);
    }

    /// Logs a grant that is not used because the endpoint runs another software version than the stream needs.
    pub fn log_other_version_grant(&self, endpoint: &EndpointRecord) {
        self.metrics.count_failure(OTHER_VERSION);
        let fields = [
            field("request", &self.id),
            field("endpoint", &endpoint.name),
            field("held_as", OTHER_VERSION),
            field("version", &endpoint.version),
        ];
        record(&events::GRANT_UNUSABLE, &fields);
    }

    /// Logs a failed send; the request may be sent again.
    pub fn log_failure(
        &self,
        kind: &'static str,
        cause: &str,
        not_run: bool,
        connection_use: Option<ConnectionUse>,
    ) {
        self.metrics.count_failure(kind);
        let mut fields = self.fields();
        fields.extend(self.digest_field());
        fields.push(field("failure", kind));
        fields.push(field("cause", cause));
        fields.push(field("proved_not_run", not_run));
        if let Some(connection_use) = connection_use {
            fields.push(field("connection", connection_use.connection));
            fields.push(field("earlier_sends", connection_use.earlier_sends));
        }
        record(&events::SEND_FAILED, &fields);
    }

    /// Logs that a stream was resumed at another endpoint after this event.
    pub fn log_resume(&self, last_event: u64) {
        self.metrics.resumed.inc();
        let mut fields = self.fields();
        fields.push(field("last_event", last_event));
        record(&events::STREAM_CONTINUED, &fields);
    }

    /// Logs a complete answer.
    pub fn finish(&mut self) {
        self.metrics.answered.inc();
        self.log_end(&events::REQUEST_ANSWERED, &[]);
    }

    /// Logs an answer that broke off.
    pub fn finish_broken(&mut self, cause: &str) {
        self.metrics.broken.inc();
        let mut fields = vec![field("cause", cause)];
        fields.extend(self.digest_field());
        self.log_end(&events::ANSWER_BROKEN, &fields);
    }

    /// Logs the end of a request whose handling panicked: an answer that broke off, or a refusal.
    fn finish_panicked(&mut self) {
        if self.status > 0 {
            self.finish_broken("the gateway panicked");
        } else {
            self.refuse(&Refusal::unknown(RefusalKind::InternalError));
        }
    }

    /// Logs a refusal. The lines for throttled requests are limited, and the number of suppressed ones is logged.
    pub fn refuse(&mut self, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.kind.as_str());
        let suppressed = match refusal.kind {
            RefusalKind::Throttled => self.metrics.throttled_log_limit.admit(),
            _ => Some(0),
        };
        let Some(suppressed) = suppressed else {
            self.mark_ended();
            return;
        };
        let after = refusal.retry_after.map_or(0, |wait| wait.as_millis());
        let mut fields = vec![
            field("kind", refusal.kind.as_str()),
            field("run", refusal.run.as_str()),
            field("retry_after_ms", after),
        ];
        fields.extend(self.ticket.map(|ticket| field("ticket", ticket)));
        fields.extend(self.digest_field());
        fields.extend((suppressed > 0).then(|| field("left_out", suppressed)));
        self.log_end(&events::REQUEST_UNANSWERED, &fields);
    }

    /// The digest of the request, logged with failures and refusals so that all copies of a request can be found.
    fn digest_field(&self) -> Option<EventField> {
        self.digest.map(|digest| field("digest", digest))
    }

    /// Writes the line for the end of the request, unless it has already ended.
    fn log_end(&mut self, kind: &EventKind, extra: &[EventField]) {
        if !self.mark_ended() {
            return;
        }
        let mut fields = self.fields();
        fields.extend_from_slice(extra);
        record(kind, &fields);
    }

    /// Marks the request as ended and records its total time. Returns false if it had already ended.
    fn mark_ended(&mut self) -> bool {
        if self.is_ended {
            return false;
        }
        self.is_ended = true;
        self.metrics.total_seconds.observe(self.arrived_at.elapsed().as_secs_f64());
        true
    }

    fn fields(&self) -> Vec<EventField> {
        let mut fields = vec![
            field("request", &self.id),
            field("route", &self.route),
            field("plan", self.plan),
            field("customer", &self.customer),
            field("sent", self.sent),
            field("waited_ms", self.waited.as_millis()),
            field("total_ms", self.arrived_at.elapsed().as_millis()),
        ];
        if let Some(patience) = self.patience {
            fields.push(field("caller_waits_ms", patience.as_millis()));
        }
        if let Some(endpoint) = &self.endpoint {
            fields.push(field("endpoint", endpoint));
            fields.push(field("version", &self.version));
        }
        if let Some(resumes) = &self.resumes {
            fields.push(field("resumes", resumes));
        }
        if self.status > 0 {
            fields.push(field("status", self.status));
        }
        if let Some(first) = self.first_byte {
            fields.push(field("first_ms", first.as_millis()));
        }
        if let Some(end) = self.body_end {
            fields.push(field("framing", end.framing.as_str()));
            fields.push(field("events", end.events));
            fields.push(field("inside_event", end.is_inside_event));
        }
        fields
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        if std::thread::panicking() {
            self.finish_panicked();
        } else {
            self.metrics.callers_left.inc();
            self.log_end(&events::CALLER_LEFT, &[]);
        }
    }
}
