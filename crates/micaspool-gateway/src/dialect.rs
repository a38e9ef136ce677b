//! The interface to the headers that callers and endpoints use.

use http::header::HeaderName;
use http::{request, response, HeaderMap, Response, StatusCode};
use micaspool_backpressure::HeaderAdvice;
use micaspool_http::edge::EdgeBody;
use micaspool_types::{CustomerName, EndpointName, Refusal};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Returns the value of a header, or `None` if it is missing or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PromptPart {
    /// The hash that identifies this part: of this part and all parts before it, or of a unique id.
    pub prefix: u64,
    /// The number of tokens in this part alone.
    pub tokens: u32,
}

/// The description of a prompt that a caller sends in its headers.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PromptOutline {
    /// The number of tokens in the whole prompt.
    pub prompt_tokens: u64,
    /// The maximum number of tokens in the answer.
    pub max_output_tokens: u64,
    /// The caller's guess of the number of tokens in the answer; zero if it made none.
    pub output_hint: u64,
    /// The parts in order.
    pub parts: Vec<PromptPart>,
}

/// The product-specific part of the head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// The id that the caller gave this attempt; also used in logs.
    pub id: Arc<str>,
    /// The caller's timeout, counted from the arrival of the request; `None` if it sent none.
    pub patience: Option<Duration>,
    /// The API key that identifies the customer.
    pub key: Option<Arc<str>>,
    /// The id of the attempt that brought the first event of the stream that the caller takes up; `None` if it takes up
    /// none or names none.
    pub resumes: Option<Arc<str>>,
    /// The prompt; `None` unless the request describes one, as calls to language models do.
    pub prompt: Option<PromptOutline>,
}

/// The values from which the headers of a forwarded request are made.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// The id that the caller gave this attempt.
    pub id: &'a str,
    /// The endpoint that must run the request; another one at the same address must reject it.
    pub endpoint: &'a EndpointName,
    /// The customer; `None` on public routes.
    pub customer: Option<&'a CustomerName>,
    /// The time left until the deadline of the request.
    pub time_left: Duration,
    /// The id of the last event that the caller received; set when a broken stream is resumed.
    pub last_event: Option<&'a str>,
    /// The address of the engine from which the endpoint copies cached parts of the prompt, if any.
    pub cache_source: Option<SocketAddr>,
}

/// The reason an endpoint gave for not running a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotRunReason {
    /// The endpoint is at capacity, or the deadline passed while the request was queued there.
    Full,
    /// Another endpoint uses the address now.
    WrongEndpoint,
    /// The endpoint could not parse the request.
    Malformed,
}

/// The classification of the head of an endpoint's response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerVerdict {
    /// The answer; its status and body are passed on to the caller.
    Answer,
    /// The endpoint states that the request did not run.
    NotRun(NotRunReason),
    /// The response belongs to another request.
    WrongRequest,
    /// The response lacks headers that every genuine answer of an endpoint has.
    Unverified,
}

impl AnswerVerdict {
    /// Returns true if the response shows that the next one on its connection belongs to the next request.
    pub fn proves_order(self) -> bool {
        matches!(self, AnswerVerdict::Answer | AnswerVerdict::NotRun(_))
    }

    /// Returns true if the response comes from the endpoint that the request was sent to, whatever the outcome.
    pub fn is_from_target(self) -> bool {
        !matches!(self, AnswerVerdict::WrongRequest | AnswerVerdict::NotRun(NotRunReason::WrongEndpoint))
    }
}

/// Returns true for the statuses 429 and 503, with which an endpoint rejects a request. `Retry-After` in such a
/// response applies to the client that sent the request.
pub fn is_rejection_status(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

/// Returns all values of a header that are visible ASCII.
pub fn header_texts<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok())
}

/// The headers and statuses that callers and endpoints use.
pub trait GatewayDialect: fmt::Debug + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn read_head(&self, head: &request::Parts) -> Result<CallerHead, Refusal>;

    /// Builds the response to a refused request. `id` is the caller's request id, if it could be read.
    fn refuse(&self, id: Option<&str>, refusal: &Refusal) -> Response<EdgeBody>;

    /// Turns a caller's headers into those for the endpoint. Hop-by-hop headers have already been removed.
    fn rewrite_headers(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// Classifies the head of an endpoint's response to the request with this id. A response without an id may belong to
    /// an earlier request on the same connection, unless there was none.
    fn classify_answer(&self, head: &response::Parts, id: &str, earlier_sends: u64) -> AnswerVerdict;

    /// Reads the advice in the head of an endpoint's response: to send nothing for a while (a rest), or that the
    /// endpoint is leaving.
    fn advice(&self, head: &response::Parts) -> HeaderAdvice;
}
