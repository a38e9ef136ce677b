//! What is logged of a request: one line at its end.

use crate::metrics::GatewayMetrics;
use micaspool_clock::BootInstant;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_telemetry::events::{self, field, record, EventField, EventKind};
use micaspool_types::{AdviceRecord, EndpointName, Refusal, RefusalKind, RequestDigest, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// How an endpoint is held whose data hall is evacuated, in logs and metrics.
const EVACUATED: &str = "evacuated";

/// What happened to a request so far. One that is dropped before its end had a caller that left.
#[derive(Debug)]
pub(crate) struct RequestLog {
    metrics: GatewayMetrics,
    id: Arc<str>,
    arrived_at: BootInstant,
    ended: bool,
    /// The route, once it is known.
    pub route: Arc<str>,
    /// The number of the plan that decided.
    pub plan: u64,
    /// The customer.
    pub customer: Arc<str>,
    /// How long the caller says that it waits.
    pub patience: Option<Duration>,
    /// What is asked for; the same for each time that it is asked for.
    pub digest: Option<RequestDigest>,
    /// The endpoint that the request was sent to last.
    pub endpoint: Option<EndpointName>,
    /// Its name at the dispatcher, once it asked for a grant.
    pub ticket: Option<RequestId>,
    /// How often it was sent.
    pub sent: u32,
    /// How long it waited for grants, those that did not come among them.
    pub waited: Duration,
    first_byte: Option<Duration>,
    status: u16,
}

impl RequestLog {
    pub fn new(metrics: GatewayMetrics, id: Arc<str>, arrived_at: BootInstant) -> RequestLog {
        RequestLog {
            metrics,
            id,
            arrived_at,
            ended: false,
            route: Arc::from(""),
            plan: 0,
            customer: Arc::from(""),
            patience: None,
            digest: None,
            endpoint: None,
            ticket: None,
            sent: 0,
            waited: Duration::ZERO,
            first_byte: None,
            status: 0,
        }
    }

    /// When the request arrived.
    pub fn arrived_at(&self) -> BootInstant {
        self.arrived_at
    }

    /// The caller's name for its attempt.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Notes that a grant, or a refusal in its place, took this long.
    pub fn record_wait(&mut self, wait: Duration) {
        self.waited += wait;
        self.metrics.wait_seconds.observe(wait.as_secs_f64());
    }

    /// Notes the head of the answer.
    pub fn set_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Notes the first byte of the answer's body.
    pub fn record_first_byte(&mut self) {
        if self.first_byte.is_none() {
            let passed = self.arrived_at.elapsed();
            self.first_byte = Some(passed);
            self.metrics.first_byte_seconds.observe(passed.as_secs_f64());
        }
    }

    /// Logs a grant for an endpoint that this process does not hold as serving, and as what it holds it.
    pub fn log_unusable_grant(&self, endpoint: &EndpointName, held: Option<EndpointStage>) {
        let held = held.map_or("unknown", EndpointStage::as_str);
        let fields = [field("request", &self.id), field("endpoint", endpoint), field("held_as", held)];
        record(&events::GRANT_UNUSABLE, &fields);
    }

    /// Logs a grant for an endpoint that asked this process for rest, or said that it leaves.
    pub fn log_withheld_grant(&self, held: &AdviceRecord) {
        let held_as = if held.advice.leaving { "said-leaving" } else { "resting" };
        self.metrics.count_failure(held_as);
        let fields = [
            field("request", &self.id),
            field("endpoint", &held.endpoint),
            field("held_as", held_as),
            field("rest_ms", held.advice.rest.as_millis()),
        ];
        record(&events::GRANT_UNUSABLE, &fields);
    }

    /// Logs a grant for an endpoint in a data hall that is evacuated.
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

    /// Logs a send that failed; the request may go on.
    pub fn log_failure(&self, kind: &'static str, cause: &str, not_run: bool) {
        self.metrics.count_failure(kind);
        let mut fields = self.fields();
        fields.extend(self.digest_field());
        fields.push(field("failure", kind));
        fields.push(field("cause", cause));
        fields.push(field("proved_not_run", not_run));
        record(&events::SEND_FAILED, &fields);
    }

    /// Logs that a stream goes on elsewhere after this event.
    pub fn log_resume(&self, last_event: u64) {
        self.metrics.resumed.inc();
        let mut fields = self.fields();
        fields.push(field("last_event", last_event));
        record(&events::STREAM_CONTINUED, &fields);
    }

    /// Ends with a whole answer.
    pub fn finish(&mut self) {
        self.metrics.answered.inc();
        self.log_end(&events::REQUEST_ANSWERED, &[]);
    }

    /// Ends with an answer that broke.
    pub fn finish_broken(&mut self, cause: &str) {
        self.metrics.broken.inc();
        let mut fields = vec![field("cause", cause)];
        fields.extend(self.digest_field());
        self.log_end(&events::ANSWER_BROKEN, &fields);
    }

    /// Ends with a refusal.
    pub fn refuse(&mut self, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.kind.as_str());
        let suppressed = match refusal.kind {
            RefusalKind::Throttled => self.metrics.throttled_log_limit.turn(),
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
        self.log_end(&events::REQUEST_TURNED_AWAY, &fields);
    }

    /// Failures and refusals tell what was asked for, so that each time it came can be found.
    fn digest_field(&self) -> Option<EventField> {
        self.digest.map(|digest| field("digest", digest))
    }

    fn log_end(&mut self, kind: &EventKind, extra: &[EventField]) {
        if !self.mark_ended() {
            return;
        }
        let mut fields = self.fields();
        fields.extend_from_slice(extra);
        record(kind, &fields);
    }

    /// Counts the end of the request; false when it has ended before.
    fn mark_ended(&mut self) -> bool {
        if self.ended {
            return false;
        }
        self.ended = true;
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
        }
        if self.status > 0 {
            fields.push(field("status", self.status));
        }
        if let Some(first) = self.first_byte {
            fields.push(field("first_ms", first.as_millis()));
        }
        fields
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.ended {
            self.metrics.callers_left.inc();
            self.log_end(&events::CALLER_LEFT, &[]);
        }
    }
}
