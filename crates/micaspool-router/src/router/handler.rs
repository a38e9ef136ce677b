//! The HTTP handler of the router.

use super::{RequestRouter, RETRY_AFTER};
use crate::call::{authenticate, body_limit};
use async_trait::async_trait;
use http_types::Response;
use micaspool_http::head::RequestHead;
use micaspool_http::refusal::{refusal_response, REQUEST_HEADER};
use micaspool_http::server::{CallerRequest, HttpHandler};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{Refusal, RefusalKind, RequestId};
use std::sync::atomic::Ordering;

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
    /// Checks the head of a request and returns the maximum size of its body, in bytes.
    fn admit_head(&self, head: &RequestHead) -> Result<u64, Refusal> {
        if self.is_draining.load(Ordering::SeqCst) {
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
