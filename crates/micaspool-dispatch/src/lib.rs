//! The shard core: decides which endpoint serves which waiting request of a service, and when.
//!
//! * [`ShardCore`] is a state machine: [`ShardCore::step`] takes a moment and a [`ShardEvent`] and
//!   appends [`ShardAction`]s to the caller's buffer,
//! * [`ShardOptions`] holds its limits and timing,
//! * [`CandidateChoice`] decides which dispatcher a router connects to, [`SessionWatch`] when it is
//!   lost, and [`RequestThrottle`] which requests are sent to it.
//!
//! Everything here is free of I/O, clocks and randomness.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod action;
mod candidates;
mod event;
mod intake;
mod options;
mod queue_fill;
mod ranking;
mod session_watch;
mod shard;
mod stream_origins;
mod throttle;

pub use action::{RefusalReason, ShardAction, StandingCause};
pub use candidates::{CandidateChoice, CandidateHealth, CandidateKind, ChoiceOptions, ChoiceStep};
pub use event::{
    CacheUpdate, CachedPart, ColdStartLimits, CustomerTotal, EndpointSpec, EngineTraits, FirstEventTime,
    GenerationOutline, GrantOutcome, HeldGrant, HeldLevel, LoadReport, RegionTotals, RequestTicket,
    RouterHello, RunStart, SessionId, ShardCustomer, ShardEvent, ShardPolicy,
};
pub use intake::{IntakeItem, IntakeStatus, ShardIntake, UnreadTicket};
pub use micaspool_quarantine::{CrashRecord, EndpointCrash, QuarantineOptions, RequestStanding};
pub use options::{ShardOptions, ShardOptionsBuilder};
pub use queue_fill::QueueFill;
pub use ranking::{rank_candidates, rank_distinct};
pub use session_watch::{SessionWatch, WatchOptions, WatchStep};
pub use shard::{
    CacheCopyStatus, CustomerCounters, CustomerStatus, EndpointClosure, EndpointStatus, IdleEngine,
    PrefillStatus, ShardCore, ShardStatus, SuspectStatus,
};
pub use stream_origins::StreamOrigins;
pub use throttle::RequestThrottle;
