//! Metering the cost of answers while they are relayed.

use micaspool_settings::policy::ServiceKind;
use micaspool_types::Cost;
use serde::Deserialize;

/// The media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";
/// The longest line of a stream, or JSON answer, that is examined, in bytes.
const MAX_BUFFER_BYTES: usize = 4 * 1024 * 1024;
const DATA_PREFIX: &[u8] = b"data:";
const DONE_MARKER: &[u8] = b"[DONE]";
const USAGE_KEY: &[u8] = b"\"usage\"";

/// Meters the cost of one answer.
pub trait CostMeter: Send + Sync {
    /// Processes the next bytes of the answer.
    fn observe(&mut self, bytes: &[u8]);

    /// Returns the cost so far, which is the total cost after the last byte.
    fn cost(&self) -> Cost;
}

/// Returns the meter for an answer of this kind of service and media type.
pub fn meter_for(kind: ServiceKind, content_type: &str) -> Box<dyn CostMeter> {
    match kind {
        ServiceKind::Plain => Box::new(CallMeter),
        ServiceKind::Model if content_type.starts_with(EVENT_STREAM) => Box::<StreamMeter>::default(),
        ServiceKind::Model => Box::<JsonMeter>::default(),
    }
}

#[derive(Deserialize)]
struct UsageBody {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

fn usage_cost(json: &[u8]) -> Option<Cost> {
    let body: UsageBody = serde_json::from_slice(json).ok()?;
    body.usage.map(|usage| Cost(usage.total_tokens))
}

/// Charges one unit per call.
struct CallMeter;

impl CostMeter for CallMeter {
    fn observe(&mut self, _bytes: &[u8]) {}

    fn cost(&self) -> Cost {
        Cost(1)
    }
}

/// Counts one token per event of a stream, until the engine reports its own count.
#[derive(Default)]
struct StreamMeter {
    line: Vec<u8>,
    events: u64,
    usage: Option<Cost>,
}

impl StreamMeter {
    fn end_line(&mut self) {
        if let Some(data) = self.line.strip_prefix(DATA_PREFIX) {
            let data = data.trim_ascii();
            if data != DONE_MARKER {
                self.events += 1;
            }
            if contains(data, USAGE_KEY) {
                self.usage = usage_cost(data).or(self.usage);
            }
        }
        self.line.clear();
    }
}

impl CostMeter for StreamMeter {
    fn observe(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if *byte == b'\n' {
                self.end_line();
            } else if self.line.len() < MAX_BUFFER_BYTES {
                self.line.push(*byte);
            }
        }
    }

    fn cost(&self) -> Cost {
        self.usage.unwrap_or(Cost(self.events))
    }
}

/// Reads the engine's token count from a JSON answer; without one the call costs one unit.
#[derive(Default)]
struct JsonMeter {
    body: Vec<u8>,
}

impl CostMeter for JsonMeter {
    fn observe(&mut self, bytes: &[u8]) {
        if self.body.len() + bytes.len() <= MAX_BUFFER_BYTES {
            self.body.extend_from_slice(bytes);
        }
    }

    fn cost(&self) -> Cost {
        usage_cost(&self.body).unwrap_or(Cost(1))
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
