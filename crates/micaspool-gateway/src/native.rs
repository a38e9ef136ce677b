//! The dialect of the product's own headers.

use crate::dialect::{
    header_text, header_texts, is_rejection_status, AnswerVerdict, CallerHead, ForwardContext,
    GatewayDialect, NotRunReason, PromptOutline, PromptPart,
};
use http::header::{HeaderName, HeaderValue, AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use http::{request, response, HeaderMap, Response};
use micaspool_backpressure::{HeaderAdvice, DRAINING_REST};
use micaspool_http::edge::{full_body, EdgeBody};
use micaspool_types::{stable_hash, Refusal, RequestId};
use serde_json::json;
use std::time::Duration;

const ID: HeaderName = HeaderName::from_static("micaspool-request");
/// The id of the attempt that brought the first event of the stream that is taken up.
const RESUMES: HeaderName = HeaderName::from_static("micaspool-resumes");
const PATIENCE: HeaderName = HeaderName::from_static("micaspool-patience-ms");
const PROMPT: HeaderName = HeaderName::from_static("micaspool-prompt");
const ENDPOINT: HeaderName = HeaderName::from_static("micaspool-endpoint");
const CUSTOMER: HeaderName = HeaderName::from_static("micaspool-customer");
const RUN: HeaderName = HeaderName::from_static("micaspool-run");
/// Set to `true` by an endpoint that is draining.
const DRAINING: HeaderName = HeaderName::from_static("micaspool-draining");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// The product's own headers:
///
/// * `micaspool-request` is the id of the attempt; a request without one gets a random id.
/// * `micaspool-patience-ms` is the caller's timeout in milliseconds.
/// * `micaspool-resumes` goes with `last-event-id`: the id of the attempt that brought the first event of the stream.
/// * `micaspool-prompt` is a comma-separated list: the tokens of the prompt, the maximum tokens of the answer, and
///   the parts of the prompt as `ID:TOKENS`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

fn read_prompt(value: &str) -> Option<PromptOutline> {
    let mut fields = value.split(',').map(str::trim);
    let prompt_tokens = fields.next()?.parse().ok()?;
    let max_output_tokens = fields.next()?.parse().ok()?;
    let mut prefix = 0;
    let parts = fields.map_while(|field| {
        let (id, tokens) = field.split_once(':')?;
        prefix = stable_hash(u64::to_be_bytes(prefix).into_iter().chain(id.bytes()));
        Some(PromptPart { prefix, tokens: tokens.parse().ok()? })
    });
    Some(PromptOutline { prompt_tokens, max_output_tokens, output_hint: 0, parts: parts.collect() })
}

impl GatewayDialect for NativeDialect {
    fn read_head(&self, head: &request::Parts) -> Result<CallerHead, Refusal> {
        let headers = &head.headers;
        let id =
            header_text(headers, &ID).map_or_else(|| RequestId(rand::random()).to_string(), str::to_owned);
        let patience = header_text(headers, &PATIENCE).and_then(|value| value.parse().ok());
        let key = header_text(headers, &AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
        Ok(CallerHead {
            id: id.into(),
            patience: patience.map(Duration::from_millis),
            key: key.map(|key| key.trim().into()),
            resumes: header_text(headers, &RESUMES).map(Into::into),
            prompt: header_text(headers, &PROMPT).and_then(read_prompt),
        })
    }

    fn refuse(&self, id: Option<&str>, refusal: &Refusal) -> Response<EdgeBody> {
        let body = json!({
            "kind": refusal.kind.as_str(),
            "remedy": refusal.kind.remedy(),
            "micaspool-run": refusal.run.as_str(),
        });
        let mut response = Response::builder()
            .status(refusal.kind.status_for(refusal.run))
            .header(CONTENT_TYPE, "application/json")
            .header(RUN, refusal.run.as_str());
        if let Some(id) = id {
            response = response.header(ID, id);
        }
        if let Some(wait) = refusal.retry_after {
            response = response.header(RETRY_AFTER, wait.as_secs().max(1));
        }
        response.body(full_body(body.to_string())).expect("the headers are valid")
    }

    fn rewrite_headers(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>) {
        headers.remove(AUTHORIZATION);
        headers.remove(CUSTOMER);
        let millis = context.time_left.as_millis().to_string();
        let customer = context.customer.map(|customer| (CUSTOMER, customer.as_str()));
        let event = context.last_event.map(|event| (LAST_EVENT, event));
        let own = [(ID, context.id), (ENDPOINT, context.endpoint.as_str()), (PATIENCE, millis.as_str())];
        for (name, value) in own.into_iter().chain(customer).chain(event) {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }

    fn classify_answer(&self, head: &response::Parts, id: &str, earlier_sends: u64) -> AnswerVerdict {
        let echoed_id = header_text(&head.headers, &ID);
        if echoed_id.is_some_and(|echoed_id| echoed_id != id) {
            return AnswerVerdict::WrongRequest;
        }
        if echoed_id.is_none() && earlier_sends > 0 {
            return AnswerVerdict::Unverified;
        }
        match (header_text(&head.headers, &RUN), head.status.as_u16()) {
            (Some("not-run"), 421) => AnswerVerdict::NotRun(NotRunReason::WrongEndpoint),
            (Some("not-run"), 400) => AnswerVerdict::NotRun(NotRunReason::Malformed),
            (Some("not-run"), _) => AnswerVerdict::NotRun(NotRunReason::Full),
            (None, _) if echoed_id.is_none() => AnswerVerdict::Unverified,
            _ => AnswerVerdict::Answer,
        }
    }

    fn advice(&self, head: &response::Parts) -> HeaderAdvice {
        let values = header_texts(&head.headers, &RETRY_AFTER);
        let mut parsed = HeaderAdvice::parse(is_rejection_status(head.status), values, false);
        // A restarted endpoint keeps its name here, so draining must expire and can't be recorded as leaving for good.
        if header_text(&head.headers, &DRAINING) == Some("true") {
            parsed.advice.rest = parsed.advice.rest.max(DRAINING_REST);
        }
        parsed
    }
}
