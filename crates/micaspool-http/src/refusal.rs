//! Refusals as HTTP responses.

use http_types::{Response, StatusCode};
use micaspool_types::{Refusal, RequestId};
use serde::Serialize;
use std::time::Duration;

/// The header that carries the request id.
pub const REQUEST_HEADER: &str = "micaspool-request-id";
/// The header that states whether a refused request may have run.
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

/// Returns the response for a refusal: a status, a JSON body, and `Retry-After` if the refusal has a retry delay.
pub fn refusal_response(request: RequestId, refusal: &Refusal, detail: Option<&str>) -> Response {
    let status = StatusCode::try_from(refusal.kind.status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    let retry_seconds = refusal.retry_after.map(whole_seconds);
    let body = RefusalBody {
        kind: refusal.kind.as_str(),
        remedy: refusal.kind.remedy(),
        detail,
        request: request.to_string(),
        run: refusal.run.as_str(),
        retry_after_seconds: retry_seconds,
    };
    response.set_body(serde_json::to_vec(&body).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response.insert_header(REQUEST_HEADER, request.to_string());
    response.insert_header(RUN_HEADER, refusal.run.as_str());
    if let Some(seconds) = retry_seconds {
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}

/// Returns a duration in whole seconds, rounded up, at least 1.
fn whole_seconds(duration: Duration) -> u64 {
    let seconds = duration.as_secs() + u64::from(duration.subsec_nanos() > 0);
    seconds.max(1)
}
