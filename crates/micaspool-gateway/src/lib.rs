//! The gateway: a router for a fleet whose plan, endpoints and members are learnt at run time.
//!
//! * [`Gateway`] is the path of a request: find its route, wait for a grant, send it, stream the
//!   answer back, and try again where that is safe,
//! * [`GatewayDialect`] is the border to how callers and endpoints speak; [`NativeDialect`] is the
//!   product's own way,
//! * [`start_gateway`] puts a daemon together.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod daemon;
mod dialect;
mod dispatchers;
mod events;
mod metrics;
mod native;
mod proxy;
mod relay;
mod request_log;

pub use daemon::{start_gateway, GatewayDaemon, GatewayOptions, GatewayOptionsBuilder};
pub use dialect::{
    header_text, header_texts, is_rejection_status, AnswerVerdict, CallerHead, ForwardContext,
    GatewayDialect, NotRunReason, PromptOutline, PromptPart,
};
pub use events::{EventSplitter, SplitChunk};
pub use metrics::GatewayMetrics;
pub use native::NativeDialect;
pub use proxy::{Gateway, GatewayParts};
