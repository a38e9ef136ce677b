//! In what order waiting customers are served: accounts, estimates, policies and the gap measure.
//!
//! * [`ServiceAccount`] holds what one customer has received in one shard,
//! * [`CostEstimator`] predicts what a request will cost,
//! * [`OrderPolicy`] ranks customers; [`policies`] has ours and the baselines,
//! * [`RankIndex`] finds the lowest rank among the customers that may use a free data hall,
//! * [`GapMeter`] measures the fairness gap between backlogged customers.
//!
//! Everything here is free of I/O and clocks.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod account;
mod estimate;
mod gap;
mod index;
mod policy;

pub use account::{ServiceAccount, ServiceLevel, LEVEL_SCALE};
pub use estimate::CostEstimator;
pub use gap::{GapMeter, GapReport};
pub use index::{CustomerIndex, RankIndex};
pub use policy::{policies, policy_named, HeadTicket, OrderPolicy, Rank, POLICY_NAMES};
