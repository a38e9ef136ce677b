//! Limits and times of a shard.

use micaspool_fair::{policies::ProgressCounters, OrderPolicy};
use micaspool_quarantine::QuarantineOptions;
use micaspool_types::{Cost, InstanceName};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Limits and times of a shard; made by [`ShardOptions::builder`].
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

/// Builds [`ShardOptions`]; what is not set keeps its default.
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

    /// How long a grant holds its slot after the router was last heard.
    pub fn lease(&self) -> Duration {
        self.lease
    }
}

impl ShardOptionsBuilder {
    /// How waiting customers are ranked.
    pub fn policy(mut self, policy: Arc<dyn OrderPolicy>) -> Self {
        self.options.policy = policy;
        self
    }

    /// How long a grant holds its slot after the router was last heard.
    pub fn lease(mut self, lease: Duration) -> Self {
        self.options.lease = lease;
        self
    }

    /// When requests under which endpoints end are shut out, and for how long.
    pub fn quarantine(mut self, quarantine: QuarantineOptions) -> Self {
        self.options.quarantine = quarantine;
        self
    }

    /// How long a new shard waits for routers before its first grant.
    pub fn recovery_window(mut self, window: Duration) -> Self {
        self.options.recovery_window = window;
        self
    }

    /// The routers after whose joining a new shard need not wait longer.
    pub fn expected_routers(mut self, routers: BTreeSet<InstanceName>) -> Self {
        self.options.expected_routers = routers;
        self
    }

    /// The most tickets that wait in the shard.
    pub fn max_waiting(mut self, tickets: usize) -> Self {
        self.options.max_waiting = tickets;
        self
    }

    /// The most that one request can cost.
    pub fn cost_ceiling(mut self, ceiling: Cost) -> Self {
        self.options.cost_ceiling = ceiling;
        self
    }

    /// False for the baseline that ignores what joining routers hold, but for their tickets.
    pub fn use_held_state(mut self, used: bool) -> Self {
        self.options.use_held_state = used;
        self
    }

    /// The part of an engine's pace that is used before its reports tell who else uses it, in percent.
    pub fn initial_share(mut self, percent: u64) -> Self {
        self.options.initial_share = percent.clamp(1, 100);
        self
    }

    /// How many requests in a row may break at an endpoint before it is left alone for a while.
    /// Endpoints that lose an answer now and then serve the others well.
    pub fn tolerated_breaks(mut self, breaks: u32) -> Self {
        self.options.tolerated_breaks = breaks;
        self
    }

    /// False for the baseline that chooses endpoints by load alone.
    pub fn use_prefixes(mut self, used: bool) -> Self {
        self.options.use_prefixes = used;
        self
    }

    /// The options.
    pub fn build(self) -> ShardOptions {
        self.options
    }
}
