//! The shard core: which endpoint serves which waiting request of one service, and when.
//!
//! * [`ShardCore`] is a state machine: [`ShardCore::step`] takes a moment and a [`ShardEvent`] and
//!   adds [`ShardAction`]s to the caller's buffer,
//! * [`ShardOptions`] has its limits and times,
//! * [`CandidateChoice`] decides to which dispatcher a router speaks,
//!   and [`RequestThrottle`] which requests it keeps from it.
//!
//! Everything here is free of I/O, clocks and randomness.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod action;
mod candidates;
mod event;
mod options;
mod ranking;
mod shard;
mod throttle;

pub use action::{RefusalReason, ShardAction, StandingCause};
pub use candidates::{CandidateChoice, CandidateHealth, CandidateKind, ChoiceOptions, ChoiceStep};
pub use event::{
    CacheUpdate, CachedPart, ColdStartLimits, CustomerTotal, EndpointSpec, GrantOutcome, HeldGrant,
    HeldTotal, LoadReport, RegionTotals, RequestTicket, RouterHello, SessionId, ShardCustomer, ShardEvent,
    ShardPolicy,
};
pub use micaspool_quarantine::{CrashRecord, EndpointCrash, QuarantineOptions, RequestStanding};
pub use options::{ShardOptions, ShardOptionsBuilder};
pub use ranking::{rank_candidates, rank_distinct};
pub use shard::{
    CustomerCounters, CustomerStatus, EndpointClosure, EndpointStatus, PrefillStatus, ShardCore, ShardStatus,
    SuspectStatus,
};
pub use throttle::RequestThrottle;
