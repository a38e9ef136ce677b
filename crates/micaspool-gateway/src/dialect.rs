//! The border to how callers and endpoints speak.

use http::header::HeaderName;
use http::{request, response, HeaderMap, Response, StatusCode};
use micaspool_backpressure::HeardAdvice;
use micaspool_http::edge::EdgeBody;
use micaspool_types::{CustomerName, EndpointName, Refusal};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The text of a header, if it is there and is text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// One part of a prompt that other prompts may share.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PromptPart {
    /// Names this part: a hash of it and of all parts before it, or of an id that is unique.
    pub prefix: u64,
    /// The tokens of this part alone.
    pub tokens: u32,
}

/// What a caller says of the prompt in its body.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PromptOutline {
    /// The tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// The parts in their order.
    pub parts: Vec<PromptPart>,
}

/// What a caller says in the head of its request, beside what HTTP says itself.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// The caller's name for this attempt; also what logs call it.
    pub id: Arc<str>,
    /// How long the caller waits from now on; `None` when it does not tell.
    pub patience: Option<Duration>,
    /// The key that names the customer.
    pub key: Option<Arc<str>>,
    /// Set for a call of a language model.
    pub prompt: Option<PromptOutline>,
}

/// What is told to an endpoint with a request.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// The caller's name for its attempt.
    pub id: &'a str,
    /// The endpoint that shall run the request, and no other at its address.
    pub endpoint: &'a EndpointName,
    /// The customer; `None` on public routes.
    pub customer: Option<&'a CustomerName>,
    /// The time left until nobody waits any more.
    pub time_left: Duration,
    /// The last event that the caller has; set to go on with a stream that broke.
    pub last_event: Option<&'a str>,
}

/// Why an endpoint says that it did not run a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotRunReason {
    /// It has no room, or the deadline passed while the request waited there.
    Full,
    /// Another endpoint has the address now.
    WrongEndpoint,
    /// It did not understand the request.
    Malformed,
}

/// What the head of an endpoint's answer means.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerVerdict {
    /// It is the answer; body and status go to the caller.
    Answer,
    /// The endpoint says that the request did not run.
    NotRun(NotRunReason),
    /// It answers another request.
    WrongRequest,
    /// It lacks what every whole answer of an endpoint has.
    Unverified,
}

impl AnswerVerdict {
    /// True when the answer is the word of the endpoint that was asked, of whatever use it is otherwise.
    pub fn is_from_target(self) -> bool {
        !matches!(self, AnswerVerdict::WrongRequest | AnswerVerdict::NotRun(NotRunReason::WrongEndpoint))
    }
}

/// True for a status by which an endpoint turns a request away; `Retry-After` beside it is meant for whoever asked.
pub fn is_rejection_status(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

/// All values of a header that are text.
pub fn header_texts<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok())
}

/// How callers and endpoints speak.
pub trait GatewayDialect: fmt::Debug + Send + Sync + 'static {
    /// Reads what a caller says of its request.
    fn read_head(&self, head: &request::Parts) -> Result<CallerHead, Refusal>;

    /// The answer to a caller whose request is refused.
    fn refuse(&self, id: Option<&str>, refusal: &Refusal) -> Response<EdgeBody>;

    /// Changes a caller's headers into those that an endpoint gets. Headers that concern a single
    /// connection are gone already.
    fn rewrite_headers(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// What the head of an endpoint's answer means.
    fn classify_answer(&self, head: &response::Parts, id: &str) -> AnswerVerdict;

    /// What the head of an endpoint's answer says of the endpoint itself.
    fn advice(&self, head: &response::Parts) -> HeardAdvice;
}
