//! The customers of a shard: accounts, queues and limits.

use super::counters::CustomerCounters;
use super::kind_queues::{KindQueues, TicketKind};
use super::rate::DecayingRate;
use super::tickets::WaitingTicket;
use super::tolerance::WaitTolerance;
use crate::event::ShardCustomer;
use micaspool_fair::{CostEstimator, CustomerIndex, OrderPolicy, Rank, ServiceAccount, ServiceLevel};
use micaspool_types::{Cost, CustomerName, HallMask, Moment, OrderNumber, RequestId, Weight};
use std::collections::HashMap;

/// The limit for a customer that is not in the settings yet.
const UNLISTED_MAX_WAITING: u32 = 64;

/// The position of a ticket in its customer's queue, ordered by priority and arrival. Tickets numbered
/// by different dispatchers may share an order number, so the request id breaks ties.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct QueuePlace {
    pub priority: u8,
    pub order: OrderNumber,
    pub request: RequestId,
    /// The kind whose queue holds the ticket.
    pub kind: TicketKind,
}

/// One customer in one shard.
#[derive(Debug)]
pub(super) struct CustomerState {
    pub name: CustomerName,
    pub halls: HallMask,
    pub max_waiting: u32,
    pub account: ServiceAccount,
    pub estimator: CostEstimator,
    pub queue: KindQueues,
    /// Load of the submitted tickets per second, except those refused because of crashes.
    pub demand_rate: DecayingRate,
    /// Load of the granted tickets per second.
    pub grant_rate: DecayingRate,
    /// Counters of granted and refused tickets.
    pub counters: CustomerCounters,
    /// How long the customer's requests are able to wait.
    pub tolerance: WaitTolerance,
    pub running: u32,
    /// The cost that this shard has delivered to the customer since it started.
    pub served: Cost,
    /// The halls and rank under which the customer is in the rank index.
    pub indexed: Option<(HallMask, Rank)>,
    /// The order number of the latest grant whose level the account includes.
    pub level_order: OrderNumber,
    /// When one of its tickets was last refused as overdue.
    pub refused_at: Option<Moment>,
}

/// All customers known to the shard.
#[derive(Debug)]
pub(super) struct CustomerTable {
    states: Vec<CustomerState>,
    names: HashMap<CustomerName, CustomerIndex>,
    /// The number of customers with waiting tickets.
    backlogged: usize,
    ceiling: Cost,
}

impl CustomerTable {
    pub fn new(ceiling: Cost) -> CustomerTable {
        CustomerTable { states: Vec::new(), names: HashMap::new(), backlogged: 0, ceiling }
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

    /// The index of the customer with this name, if it is known.
    pub fn by_name(&self, name: &CustomerName) -> Option<CustomerIndex> {
        self.names.get(name).copied()
    }

    /// The index of the customer with this name. An unknown customer is added without halls, so its
    /// tickets wait until newer settings arrive.
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
            queue: KindQueues::default(),
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

    /// The number of customers with waiting tickets.
    pub fn backlogged(&self) -> usize {
        let count = || self.states.iter().filter(|state| !state.queue.is_empty()).count();
        debug_assert_eq!(self.backlogged, count(), "every change of a queue updates the count");
        self.backlogged
    }

    /// Adds a ticket to the queue of its customer. Returns true if it is not the last one of its kind.
    pub fn add_to_queue(&mut self, now: Moment, ticket: &WaitingTicket) -> bool {
        let state = &mut self.states[ticket.customer.0 as usize];
        self.backlogged += usize::from(state.queue.is_empty());
        state.queue.insert(now, ticket.place, ticket.prompt.load())
    }

    /// Removes a ticket from the queue of its customer.
    pub fn take_from_queue(&mut self, ticket: &WaitingTicket) {
        let state = &mut self.states[ticket.customer.0 as usize];
        if state.queue.remove(&ticket.place) {
            self.backlogged -= usize::from(state.queue.is_empty());
        }
    }

    /// Applies weights, halls and limits; customers that are missing from the settings lose all halls.
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
    /// The level including all charges so far.
    pub fn level(&self, policy: &dyn OrderPolicy) -> ServiceLevel {
        self.account.base().saturating_add(policy.level(&self.account))
    }

    /// Charges the progress of a running request.
    pub fn note_delivered(&mut self, estimate: Cost, before: Cost, after: Cost) {
        self.account.charge_progress(estimate, before, after);
        self.served = self.served.saturating_add(after.saturating_sub(before));
    }

    /// Changes the weight and keeps the level reached so far.
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
