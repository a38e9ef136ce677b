//! Policies that decide which waiting customer is served next.

mod arrival;
mod counters;
mod rounds;

use crate::account::{ServiceAccount, ServiceLevel};
use micaspool_types::OrderNumber;
use std::fmt::Debug;
use std::sync::Arc;

/// The rank of a waiting customer; the lowest is served next.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct Rank(pub u64);

/// The properties of a customer's first waiting request that policies use.
#[derive(Clone, Copy, Debug)]
pub struct HeadTicket {
    /// Its position in the shard's arrival order.
    pub order: OrderNumber,
}

/// Ranks customers by their accounts.
pub trait OrderPolicy: Debug + Send + Sync {
    /// The name that selects the policy in settings and reports.
    fn name(&self) -> &'static str;

    /// Returns the level of an account without its base.
    fn level(&self, account: &ServiceAccount) -> ServiceLevel;

    /// Returns the rank of a waiting customer.
    fn rank(&self, account: &ServiceAccount, head: HeadTicket) -> Rank {
        let _ = head;
        Rank(account.base().saturating_add(self.level(account)).0)
    }

    /// Returns true if the level of a customer that returns from idle time is raised to those of waiting or
    /// recently served customers.
    fn lifts_returning(&self) -> bool {
        true
    }
}

/// The names that [`policy_named`] accepts, the default policy first.
pub const POLICY_NAMES: &[&str] = &["progress", "estimate", "hint", "settled", "rounds", "arrival"];

/// Returns the policy with this name, or `None` if there is none.
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

/// The policy types, for users that construct policies directly.
pub mod policies {
    pub use super::arrival::ArrivalOrder;
    pub use super::counters::{EstimateCounters, HintCounters, ProgressCounters, SettledCounters};
    pub use super::rounds::RequestRounds;
}
