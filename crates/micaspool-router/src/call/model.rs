//! Parsing of the body of a model call.

use micaspool_types::{stable_hash, Cost, Refusal, RefusalKind};
use serde::Deserialize;

/// The approximate number of bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;
/// The assumed length of an answer if the caller sets no maximum, in tokens.
const DEFAULT_ANSWER_TOKENS: u64 = 256;
/// The lengths of the prompt prefixes whose hashes are sent to the dispatcher, in bytes.
const PREFIX_LENGTHS: [usize; 4] = [256, 1_024, 4_096, 16_384];

/// The parts of a model call that affect placement.
#[derive(Debug)]
pub(super) struct ModelBody {
    pub model: String,
    pub stream: bool,
    pub hint: Cost,
    pub prefixes: Vec<u64>,
}

#[derive(Deserialize)]
struct RawBody {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<RawMessage>,
}

#[derive(Deserialize)]
struct RawMessage {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

impl ModelBody {
    pub fn parse(body: &[u8]) -> Result<ModelBody, Refusal> {
        let raw: RawBody =
            serde_json::from_slice(body).map_err(|_| Refusal::not_run(RefusalKind::MalformedBody))?;
        let prompt = prompt_text(&raw.messages);
        let answer = raw.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        let hint = Cost((prompt.len() as u64 / BYTES_PER_TOKEN).saturating_add(answer));
        Ok(ModelBody {
            model: raw.model,
            stream: raw.stream,
            hint,
            prefixes: prefix_hashes(prompt.as_bytes()),
        })
    }
}

/// Concatenates the roles and contents of all messages.
fn prompt_text(messages: &[RawMessage]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        match &message.content {
            serde_json::Value::String(content) => text.push_str(content),
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    text
}

/// Returns the hashes of the prompt's prefixes, shortest first.
fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let lengths = PREFIX_LENGTHS.iter().filter(|length| **length <= prompt.len());
    lengths.map(|length| stable_hash(prompt[..*length].iter().copied())).collect()
}
