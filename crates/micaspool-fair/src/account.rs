//! The service that one customer has received in one shard.

use micaspool_types::{Cost, Weight};

/// Level units per unit of cost at weight 1.
pub const LEVEL_SCALE: u64 = 1_024;

/// Service received, divided by the customer's weight, in units of 1/[`LEVEL_SCALE`].
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct ServiceLevel(pub u64);

impl ServiceLevel {
    /// Returns the level that a cost adds for a customer of this weight; `u64::MAX` if it does not fit.
    pub fn from_cost(cost: Cost, weight: Weight) -> ServiceLevel {
        let scaled = u128::from(cost.0) * u128::from(LEVEL_SCALE) / u128::from(weight.get());
        ServiceLevel(u64::try_from(scaled).unwrap_or(u64::MAX))
    }

    /// Returns the sum of two levels; `u64::MAX` if it does not fit.
    pub fn saturating_add(self, other: ServiceLevel) -> ServiceLevel {
        ServiceLevel(self.0.saturating_add(other.0))
    }
}

/// The service that one customer has received, from which policies compute its level.
///
/// Except for the charges of running requests, all sums count from the last [`ServiceAccount::rebase`];
/// earlier service is part of the base level.
#[derive(Clone, Debug)]
pub struct ServiceAccount {
    weight: Weight,
    base: ServiceLevel,
    settled: Cost,
    granted_estimate: Cost,
    granted_count: u64,
    running_delivered: Cost,
    running_remaining: Cost,
}

/// The part of an account that belongs to one running request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RunningCharge {
    delivered: Cost,
    remaining: Cost,
}

impl ServiceAccount {
    /// Creates an account that has received no service.
    pub fn new(weight: Weight) -> ServiceAccount {
        ServiceAccount {
            weight,
            base: ServiceLevel(0),
            settled: Cost(0),
            granted_estimate: Cost(0),
            granted_count: 0,
            running_delivered: Cost(0),
            running_remaining: Cost(0),
        }
    }

    /// The customer's weight.
    pub fn weight(&self) -> Weight {
        self.weight
    }

    /// The level that covers service before the current sums, service received elsewhere and lifts after
    /// idle time.
    pub fn base(&self) -> ServiceLevel {
        self.base
    }

    /// The cost of requests that have ended.
    pub fn settled(&self) -> Cost {
        self.settled
    }

    /// The cost delivered so far by running requests.
    pub fn running_delivered(&self) -> Cost {
        self.running_delivered
    }

    /// The estimated cost that running requests have not delivered yet.
    pub fn running_remaining(&self) -> Cost {
        self.running_remaining
    }

    /// The sum of the estimates of all granted requests.
    pub fn granted_estimate(&self) -> Cost {
        self.granted_estimate
    }

    /// The number of granted requests.
    pub fn granted_count(&self) -> u64 {
        self.granted_count
    }

    /// Charges the estimate of a request that starts.
    pub fn charge_grant(&mut self, estimate: Cost) {
        self.granted_count += 1;
        self.granted_estimate = self.granted_estimate.saturating_add(estimate);
        self.running_remaining = self.running_remaining.saturating_add(estimate);
    }

    /// Charges a request that was found running after a recovery and has already delivered a part of its
    /// cost.
    pub fn charge_recovered(&mut self, estimate: Cost, delivered: Cost) {
        let charge = RunningCharge::new(estimate, delivered);
        self.granted_count += 1;
        self.granted_estimate = self.granted_estimate.saturating_add(estimate);
        self.add_running(charge);
    }

    /// Updates the charge of a running request whose delivered cost grows from `before` to `after`.
    pub fn charge_progress(&mut self, estimate: Cost, before: Cost, after: Cost) {
        self.remove_running(RunningCharge::new(estimate, before));
        self.add_running(RunningCharge::new(estimate, after));
    }

    /// Replaces the charge of a running request by its actual cost.
    pub fn charge_end(&mut self, estimate: Cost, delivered: Cost, cost: Cost) {
        self.remove_running(RunningCharge::new(estimate, delivered));
        self.settled = self.settled.saturating_add(cost);
    }

    /// Reverts the charge of a grant whose request did not run.
    pub fn revoke_grant(&mut self, estimate: Cost, delivered: Cost) {
        self.remove_running(RunningCharge::new(estimate, delivered));
        self.granted_count = self.granted_count.saturating_sub(1);
        self.granted_estimate = self.granted_estimate.saturating_sub(estimate);
    }

    /// Raises the base so that base and `level` together are at least `floor`, and returns by how much;
    /// `level` is the level without the base.
    pub fn lift(&mut self, level: ServiceLevel, floor: ServiceLevel) -> ServiceLevel {
        let current = self.base.saturating_add(level);
        let raise = ServiceLevel(floor.0.saturating_sub(current.0));
        self.base = self.base.saturating_add(raise);
        raise
    }

    /// Raises the base by service that the customer received from other shards.
    pub fn add_remote(&mut self, level: ServiceLevel) {
        self.base = self.base.saturating_add(level);
    }

    /// Restarts the sums at the level `base` with a new weight; the charges of running requests stay.
    pub fn rebase(&mut self, base: ServiceLevel, weight: Weight) {
        self.base = base;
        self.weight = weight;
        self.settled = Cost(0);
        self.granted_estimate = Cost(0);
        self.granted_count = 0;
    }

    fn add_running(&mut self, charge: RunningCharge) {
        self.running_delivered = self.running_delivered.saturating_add(charge.delivered);
        self.running_remaining = self.running_remaining.saturating_add(charge.remaining);
    }

    fn remove_running(&mut self, charge: RunningCharge) {
        self.running_delivered = self.running_delivered.saturating_sub(charge.delivered);
        self.running_remaining = self.running_remaining.saturating_sub(charge.remaining);
    }
}

impl RunningCharge {
    fn new(estimate: Cost, delivered: Cost) -> RunningCharge {
        RunningCharge { delivered, remaining: estimate.saturating_sub(delivered) }
    }
}
