//! The order in which waiting customers are served: accounts, cost estimates, policies and the fairness gap.
//!
//! * [`ServiceAccount`] records the service that one customer has received in one shard,
//! * [`CostEstimator`] predicts the cost of a request,
//! * [`OrderPolicy`] ranks customers; [`policies`] contains the default policy and the baselines,
//! * [`RankIndex`] finds the lowest rank among the customers that may use a free data hall,
//! * [`GapMeter`] measures the fairness gap between backlogged customers.
//!
//! The crate performs no I/O and reads no clock.
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
