//! Decides whether an answer that ended without an error is whole.

use crate::events::EventScanner;
use http::header::CONTENT_TYPE;
use http::response;
use micaspool_http::framing::BodyFraming;
use micaspool_routes::RunRule;
use std::fmt;

/// The content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Why an event stream that ended without an error is not whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StreamCut {
    /// It ended inside an event.
    InsideEvent,
    /// Its connection ended before the first event.
    BeforeEvents,
}

impl fmt::Display for StreamCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamCut::InsideEvent => f.write_str("the stream ended inside an event; check the endpoint"),
            StreamCut::BeforeEvents => {
                f.write_str("the connection ended before the first event of the stream; check the endpoint")
            }
        }
    }
}

impl std::error::Error for StreamCut {}

/// Returns true if an answer with this head is an event stream: by its content type, or for want of one by the rule of
/// its route.
pub fn is_event_stream(run: RunRule, head: &response::Parts) -> bool {
    match head.headers.get(CONTENT_TYPE) {
        Some(content_type) => {
            let text = content_type.to_str().unwrap_or_default();
            let essence = text.split(';').next().unwrap_or_default();
            essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
        }
        None => run.is_stream() && head.status.is_success(),
    }
}

/// Checks an event stream whose body ended without an error.
///
/// A body that ends with its connection looks the same whether it is whole or cut, so that its content decides. A stream
/// that continues an earlier one may have no events left.
pub fn check_stream_end(
    framing: BodyFraming,
    scanner: &EventScanner,
    continues: bool,
) -> Result<(), StreamCut> {
    if scanner.is_inside_event() {
        return Err(StreamCut::InsideEvent);
    }
    let is_unframed = framing == BodyFraming::Connection;
    if is_unframed && scanner.ended_events() == 0 && !continues {
        return Err(StreamCut::BeforeEvents);
    }
    Ok(())
}
