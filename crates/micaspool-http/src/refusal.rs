//! Refusals as HTTP answers.

use http_types::{Response, StatusCode};
use micaspool_types::{Refusal, RequestId};
use serde::Serialize;
use std::time::Duration;

/// The header that carries the request id.
pub const REQUEST_HEADER: &str = "micaspool-request-id";
/// The header that says whether a refused request may have run.
pub const RUN_HEADER: &str = "micaspool-run";

#[derive(Serialize)]
struct RefusalBody<'a> {
    kind: &'a str,
    remedy: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    request: String,
    #[serde(rename = "micaspool-run")]
    run: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_seconds: Option<u64>,
}

/// The answer for a refusal: a status, `Retry-After` where it helps, and a JSON body.
pub fn refusal_response(request: RequestId, refusal: &Refusal, detail: Option<&str>) -> Response {
    let status = StatusCode::try_from(refusal.kind.status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    let wait = refusal.retry_after.map(whole_seconds);
    let body = RefusalBody {
        kind: refusal.kind.as_str(),
        remedy: refusal.kind.remedy(),
        detail,
        request: request.to_string(),
        run: refusal.run.as_str(),
        retry_after_seconds: wait,
    };
    response.set_body(serde_json::to_vec(&body).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response.insert_header(REQUEST_HEADER, request.to_string());
    response.insert_header(RUN_HEADER, refusal.run.as_str());
    if let Some(seconds) = wait {
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}

/// A span in whole seconds, rounded up, at least 1.
fn whole_seconds(span: Duration) -> u64 {
    let seconds = span.as_secs() + u64::from(span.subsec_nanos() > 0);
    seconds.max(1)
}
