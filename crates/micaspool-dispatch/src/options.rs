//! Limits and timing of a shard.

use micaspool_fair::{policies::ProgressCounters, OrderPolicy};
use micaspool_quarantine::QuarantineOptions;
use micaspool_types::{Cost, InstanceName};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Limits and timing of a shard, built with [`ShardOptions::builder`].
#[derive(Clone, Debug)]
pub struct ShardOptions {
    pub(crate) policy: Arc<dyn OrderPolicy>,
    pub(crate) lease: Duration,
    pub(crate) recovery_window: Duration,
    pub(crate) expected_routers: BTreeSet<InstanceName>,
    pub(crate) max_waiting: usize,
    pub(crate) cost_ceiling: Cost,
    pub(crate) prefix_capacity: usize,
    pub(crate) use_held_state: bool,
    pub(crate) use_prefixes: bool,
    pub(crate) tolerated_breaks: u32,
    pub(crate) initial_share: u64,
    pub(crate) quarantine: QuarantineOptions,
}

/// Builds [`ShardOptions`]; unset options keep their defaults.
#[derive(Clone, Debug)]
pub struct ShardOptionsBuilder {
    options: ShardOptions,
}

impl Default for ShardOptions {
    fn default() -> Self {
        ShardOptions {
            policy: Arc::new(ProgressCounters::default()),
            lease: Duration::from_secs(3),
            recovery_window: Duration::from_millis(400),
            expected_routers: BTreeSet::new(),
            max_waiting: 100_000,
            cost_ceiling: Cost(65_536),
            prefix_capacity: 65_536,
            use_held_state: true,
            use_prefixes: true,
            tolerated_breaks: 0,
            initial_share: 100,
            quarantine: QuarantineOptions::default(),
        }
    }
}

impl ShardOptions {
    /// Starts from the defaults.
    pub fn builder() -> ShardOptionsBuilder {
        ShardOptionsBuilder { options: ShardOptions::default() }
    }

    /// How long a grant keeps its slot after the last contact with the router.
    pub fn lease(&self) -> Duration {
        self.lease
    }
}

impl ShardOptionsBuilder {
    /// Sets the policy that ranks waiting customers.
    pub fn policy(mut self, policy: Arc<dyn OrderPolicy>) -> Self {
        self.options.policy = policy;
        self
    }

    /// Sets how long a grant keeps its slot after the last contact with the router.
    pub fn lease(mut self, lease: Duration) -> Self {
        self.options.lease = lease;
        self
    }

    /// Sets when, and for how long, requests that crash endpoints are quarantined.
    pub fn quarantine(mut self, quarantine: QuarantineOptions) -> Self {
        self.options.quarantine = quarantine;
        self
    }

    /// Sets how long a new shard waits for routers before its first grant.
    pub fn recovery_window(mut self, window: Duration) -> Self {
        self.options.recovery_window = window;
        self
    }

    /// Sets the routers that a new shard expects. Once all of them have joined, it stops waiting for
    /// others.
    pub fn expected_routers(mut self, routers: BTreeSet<InstanceName>) -> Self {
        self.options.expected_routers = routers;
        self
    }

    /// Sets the maximum number of waiting tickets.
    pub fn max_waiting(mut self, tickets: usize) -> Self {
        self.options.max_waiting = tickets;
        self
    }

    /// Sets the maximum cost of one request.
    pub fn cost_ceiling(mut self, ceiling: Cost) -> Self {
        self.options.cost_ceiling = ceiling;
        self
    }

    /// If false, ignores everything but tickets that joining routers hold. Serves as a baseline for
    /// comparison.
    pub fn use_held_state(mut self, used: bool) -> Self {
        self.options.use_held_state = used;
        self
    }

    /// Sets the share of an engine's prefill budget that is used until its load reports show who else
    /// uses it, in percent.
    pub fn initial_share(mut self, percent: u64) -> Self {
        self.options.initial_share = percent.clamp(1, 100);
        self
    }

    /// Sets how many requests in a row may break at an endpoint before it is paused. Endpoints that
    /// lose an answer now and then still serve the others well.
    pub fn tolerated_breaks(mut self, breaks: u32) -> Self {
        self.options.tolerated_breaks = breaks;
        self
    }

    /// If false, chooses endpoints by load alone. Serves as a baseline for comparison.
    pub fn use_prefixes(mut self, used: bool) -> Self {
        self.options.use_prefixes = used;
        self
    }

    /// Returns the options.
    pub fn build(self) -> ShardOptions {
        self.options
    }
}
