//! Which waiting customer is served next.

mod arrival;
mod counters;
mod rounds;

use crate::account::{ServiceAccount, ServiceLevel};
use micaspool_types::OrderNumber;
use std::fmt::Debug;
use std::sync::Arc;

/// The position of a customer among those that wait; the lowest is served next.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct Rank(pub u64);

/// What a policy may know of the first waiting request of a customer.
#[derive(Clone, Copy, Debug)]
pub struct HeadTicket {
    /// Its place in the arrival order of the shard.
    pub order: OrderNumber,
}

/// Ranks customers from their accounts.
pub trait OrderPolicy: Debug + Send + Sync {
    /// The name by which settings and reports select the policy.
    fn name(&self) -> &'static str;

    /// The level of an account without its base.
    fn level(&self, account: &ServiceAccount) -> ServiceLevel;

    /// The rank of a customer that waits.
    fn rank(&self, account: &ServiceAccount, head: HeadTicket) -> Rank {
        let _ = head;
        Rank(account.base().plus(self.level(account)).0)
    }

    /// True when a customer that comes back from idle time starts at the lowest level of those
    /// that wait.
    fn lifts_returning(&self) -> bool {
        true
    }
}

/// The names that [`policy_named`] knows, ours first.
pub const POLICY_NAMES: &[&str] = &["progress", "estimate", "hint", "settled", "rounds", "arrival"];

/// The policy with this name.
pub fn policy_named(name: &str) -> Option<Arc<dyn OrderPolicy>> {
    let policy: Arc<dyn OrderPolicy> = match name {
        "progress" => Arc::new(counters::ProgressCounters::default()),
        "estimate" => Arc::new(counters::EstimateCounters),
        "hint" => Arc::new(counters::HintCounters),
        "settled" => Arc::new(counters::SettledCounters),
        "rounds" => Arc::new(rounds::RequestRounds),
        "arrival" => Arc::new(arrival::ArrivalOrder),
        _ => return None,
    };
    Some(policy)
}

/// The policies by type, for those that embed this crate.
pub mod policies {
    pub use super::arrival::ArrivalOrder;
    pub use super::counters::{EstimateCounters, HintCounters, ProgressCounters, SettledCounters};
    pub use super::rounds::RequestRounds;
}
