//! An HTTP gateway for a fleet whose plan, endpoints and members are discovered at run time.
//!
//! * [`Gateway`] handles requests: it resolves the route, waits for a grant, forwards the request, streams
//!   the answer back, and retries where that is safe.
//! * [`GatewayDialect`] abstracts the headers that callers and endpoints use; [`NativeDialect`] implements
//!   the product's own headers.
//! * [`start_gateway`] assembles and starts a gateway daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod answer_end;
mod daemon;
mod dialect;
mod dispatchers;
mod events;
mod lateness;
mod memory_watch;
mod metrics;
mod native;
mod open_calls;
mod proxy;
mod relay;
mod request_log;
mod stopping;

pub use answer_end::{check_stream_end, is_event_stream, StreamCut};
pub use daemon::{start_gateway, GatewayDaemon, GatewayOptions, GatewayOptionsBuilder};
pub use dialect::{
    header_text, header_texts, is_rejection_status, AnswerVerdict, CallerHead, ForwardContext,
    GatewayDialect, NotRunReason, PromptOutline, PromptPart,
};
pub use events::{EventScanner, EventSplitter, SplitChunk};
pub use metrics::GatewayMetrics;
pub use native::NativeDialect;
pub use open_calls::{OpenCall, OpenCalls};
pub use proxy::{Gateway, GatewayParts};
pub use stopping::StopNotice;
