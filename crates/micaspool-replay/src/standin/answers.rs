//! The answers of a stand-in model engine.

use super::handler::{FaultMode, SlotGuard};
use async_std::task;
use futures::stream::{self, Stream, TryStreamExt};
use http_types::{Body, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;

/// The length of an answer if the caller sets no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// The number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// The fields of a model call that a stand-in uses.
#[derive(Debug)]
pub(super) struct ModelCall {
    pub stream: bool,
    pub tokens: u64,
    prompt_tokens: u64,
    echo: String,
}

#[derive(Deserialize, Default)]
struct RawCall {
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<RawMessage>,
}

#[derive(Deserialize)]
struct RawMessage {
    content: String,
}

impl ModelCall {
    pub fn parse(body: &[u8]) -> ModelCall {
        let raw: RawCall = serde_json::from_slice(body).unwrap_or_default();
        let prompt: usize = raw.messages.iter().map(|message| message.content.len()).sum();
        ModelCall {
            stream: raw.stream,
            tokens: raw.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1),
            prompt_tokens: prompt as u64 / BYTES_PER_TOKEN,
            echo: raw.messages.last().map(|message| message.content.clone()).unwrap_or_default(),
        }
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        })
    }
}

/// A JSON answer that echoes the last message.
pub(super) fn json_answer(call: &ModelCall, fault: FaultMode) -> Response {
    let message = json!({ "role": "assistant", "content": call.echo });
    let body = json!({ "choices": [{ "index": 0, "message": message }], "usage": call.usage() }).to_string();
    let mut response = Response::new(StatusCode::Ok);
    let length = body.len();
    if fault == FaultMode::TruncatedBody {
        let half = body.as_bytes()[..length / 2].to_vec();
        response.set_body(Body::from_reader(futures::io::Cursor::new(half), Some(length)));
    } else {
        response.set_body(body);
    }
    response.insert_header("content-type", "application/json");
    response
}

/// A streamed answer: the echo of the last message, then one event per token, then the usage.
pub(super) fn stream_answer(
    call: ModelCall,
    token_time: Duration,
    slot: SlotGuard,
    fault: FaultMode,
) -> Response {
    let mut events = VecDeque::new();
    events.push_back(sse_event(&call.echo));
    for number in 1..call.tokens {
        events.push_back(sse_event(&format!(" t{number}")));
    }
    if fault == FaultMode::TruncatedBody {
        events.truncate(events.len() / 2);
    }
    let usage = format!("data: {}\n\n", json!({ "choices": [], "usage": call.usage() }));
    let state = StreamState {
        events,
        closing_events: vec![usage, "data: [DONE]\n\n".to_owned()],
        token_time,
        fault,
        _slot: slot,
    };
    let reader = Box::pin(event_stream(state)).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response
}

fn sse_event(content: &str) -> String {
    format!("data: {}\n\n", json!({ "choices": [{ "index": 0, "delta": { "content": content } }] }))
}

struct StreamState {
    events: VecDeque<String>,
    closing_events: Vec<String>,
    token_time: Duration,
    fault: FaultMode,
    _slot: SlotGuard,
}

fn event_stream(state: StreamState) -> impl Stream<Item = io::Result<Vec<u8>>> + Send {
    stream::unfold(Some(state), |state| async move {
        let mut state = state?;
        if let Some(next) = state.events.pop_front() {
            task::sleep(state.token_time).await;
            return Some((Ok(next.into_bytes()), Some(state)));
        }
        if state.fault == FaultMode::TruncatedBody {
            return Some((Err(io::ErrorKind::BrokenPipe.into()), None));
        }
        if state.closing_events.is_empty() {
            return None;
        }
        let next = state.closing_events.remove(0);
        Some((Ok(next.into_bytes()), Some(state)))
    })
}
