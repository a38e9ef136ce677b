//! The customers of a shard: accounts, queues and limits.

use super::counters::CustomerCounters;
use super::rate::DecayingRate;
use super::tickets::WaitingTicket;
use super::tolerance::WaitTolerance;
use crate::event::ShardCustomer;
use micaspool_fair::{CostEstimator, CustomerIndex, OrderPolicy, Rank, ServiceAccount, ServiceLevel};
use micaspool_types::{Cost, CustomerName, HallMask, Moment, OrderNumber, RequestId, Weight};
use std::collections::{BTreeMap, HashMap};

/// The limit for a customer that the settings in force here do not name yet.
const UNLISTED_MAX_WAITING: u32 = 64;

/// The place of a ticket in its customer's queue: priority, then arrival. Tickets that two
/// dispatchers numbered may have the same order number, so the request tells them apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct QueuePlace {
    pub priority: u8,
    pub order: OrderNumber,
    pub request: RequestId,
}

/// One customer in one shard.
#[derive(Debug)]
pub(super) struct CustomerState {
    pub name: CustomerName,
    pub halls: HallMask,
    pub max_waiting: u32,
    pub account: ServiceAccount,
    pub estimator: CostEstimator,
    pub queue: BTreeMap<QueuePlace, RequestId>,
    /// The prompt tokens of the queue; requests where they have none.
    pub queued_load: u64,
    /// The same of all its tickets that came, a second.
    pub demand_rate: DecayingRate,
    /// The same of its grants, a second.
    pub grant_rate: DecayingRate,
    /// What became of its tickets.
    pub counters: CustomerCounters,
    /// What its tickets bear.
    pub tolerance: WaitTolerance,
    pub running: u32,
    /// What this shard has delivered to the customer since it began.
    pub served: Cost,
    /// The halls and rank under which the customer stands in the index.
    pub indexed: Option<(HallMask, Rank)>,
    /// The order number of the newest grant whose level is in the account.
    pub level_order: OrderNumber,
    /// When a ticket of it was last refused because it had waited for too long.
    pub refused_at: Option<Moment>,
}

/// Every customer that the shard has met.
#[derive(Debug)]
pub(super) struct CustomerTable {
    states: Vec<CustomerState>,
    names: HashMap<CustomerName, CustomerIndex>,
    ceiling: Cost,
}

impl CustomerTable {
    pub fn new(ceiling: Cost) -> CustomerTable {
        CustomerTable { states: Vec::new(), names: HashMap::new(), ceiling }
    }

    pub fn indices(&self) -> impl Iterator<Item = CustomerIndex> {
        (0..self.states.len() as u32).map(CustomerIndex)
    }

    pub fn iter(&self) -> impl Iterator<Item = &CustomerState> {
        self.states.iter()
    }

    pub fn get(&self, index: CustomerIndex) -> &CustomerState {
        &self.states[index.0 as usize]
    }

    pub fn get_mut(&mut self, index: CustomerIndex) -> &mut CustomerState {
        &mut self.states[index.0 as usize]
    }

    /// The customer with this name. One that the settings do not name yet may use no hall, so
    /// that its tickets wait until newer settings arrive.
    pub fn ensure(&mut self, name: &CustomerName) -> CustomerIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = CustomerIndex(self.states.len() as u32);
        self.names.insert(name.clone(), index);
        self.states.push(CustomerState {
            name: name.clone(),
            halls: HallMask::EMPTY,
            max_waiting: UNLISTED_MAX_WAITING,
            account: ServiceAccount::new(Weight::ONE),
            estimator: CostEstimator::new(self.ceiling),
            queue: BTreeMap::new(),
            queued_load: 0,
            demand_rate: DecayingRate::default(),
            grant_rate: DecayingRate::default(),
            counters: CustomerCounters::default(),
            tolerance: WaitTolerance::default(),
            running: 0,
            served: Cost(0),
            indexed: None,
            level_order: OrderNumber(0),
            refused_at: None,
        });
        index
    }

    /// Takes over weights, halls and limits; customers that are no longer named lose all halls.
    pub fn adopt(&mut self, specs: &[ShardCustomer], present: HallMask, policy: &dyn OrderPolicy) {
        for state in &mut self.states {
            state.halls = HallMask::EMPTY;
        }
        for spec in specs {
            let index = self.ensure(&spec.name);
            let state = self.get_mut(index);
            state.halls = spec.halls.intersect(present);
            state.max_waiting = spec.max_waiting;
            state.change_weight(spec.weight, policy);
        }
    }
}

impl CustomerState {
    /// The level with everything charged so far.
    pub fn level(&self, policy: &dyn OrderPolicy) -> ServiceLevel {
        self.account.base().plus(policy.level(&self.account))
    }

    /// Takes a ticket out of the queue.
    pub fn take_from_queue(&mut self, ticket: &WaitingTicket) {
        if self.queue.remove(&ticket.place).is_some() {
            self.queued_load -= ticket.prompt.load();
        }
    }

    /// Charges the progress of a running request.
    pub fn note_delivered(&mut self, estimate: Cost, before: Cost, after: Cost) {
        self.account.charge_progress(estimate, before, after);
        self.served = self.served.plus(after.minus(before));
    }

    /// Keeps what was received under the old weight and counts on under the new one.
    fn change_weight(&mut self, weight: Weight, policy: &dyn OrderPolicy) {
        if weight == self.account.weight() {
            return;
        }
        let level = self.level(policy);
        self.account.rebase(ServiceLevel(0), weight);
        let running = policy.level(&self.account);
        self.account.rebase(ServiceLevel(level.0.saturating_sub(running.0)), weight);
    }
}
