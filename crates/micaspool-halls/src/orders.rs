//! The order in force for each hall.

use crate::order::{HallOrder, HallState, OrderCommand, OrderVerdict};
use micaspool_types::{HallName, MAX_HALLS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The order in force for each hall about which one was given. All other halls are open.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct HallOrders {
    /// The number of the newest order about any hall.
    newest: u64,
    halls: BTreeMap<HallName, HallOrder>,
}

impl HallOrders {
    /// Accepts or rejects an order. An order for the state that is already in force changes nothing and is confirmed
    /// again.
    pub fn accept(&mut self, command: &OrderCommand) -> OrderVerdict {
        let in_force_number = self.halls.get(&command.hall).map_or(0, |order| order.number);
        if self.state_of(&command.hall) == command.wanted {
            return OrderVerdict::InForce(in_force_number);
        }
        if in_force_number > command.known {
            return OrderVerdict::Overtaken(in_force_number);
        }
        if in_force_number == 0 && self.halls.len() >= MAX_HALLS {
            return OrderVerdict::TooManyHalls;
        }
        self.newest += 1;
        let order = HallOrder {
            number: self.newest,
            wanted: command.wanted,
            ordered_by: command.ordered_by.clone(),
            at_millis: command.at_millis,
        };
        self.halls.insert(command.hall.clone(), order);
        OrderVerdict::InForce(self.newest)
    }

    /// Adopts the order that a keeper reports for a hall if it is newer than the known one. Returns true if it was.
    pub fn merge(&mut self, hall: &HallName, order: HallOrder) -> bool {
        let known = self.halls.get(hall).map_or(0, |known| known.number);
        if order.number <= known {
            return false;
        }
        self.newest = self.newest.max(order.number);
        self.halls.insert(hall.clone(), order);
        true
    }

    /// Returns the number of the newest order about any hall, or zero before the first.
    pub fn newest_number(&self) -> u64 {
        self.newest
    }

    /// Returns the state of a hall; open if no order was given about it.
    pub fn state_of(&self, hall: &HallName) -> HallState {
        self.halls.get(hall).map_or(HallState::Open, |order| order.wanted)
    }

    /// Returns true if a hall is evacuated.
    pub fn is_evacuated(&self, hall: &HallName) -> bool {
        self.state_of(hall) == HallState::Evacuated
    }

    /// Iterates over the halls about which an order was given, in name order, each with the order in force.
    pub fn iter(&self) -> impl Iterator<Item = (&HallName, &HallOrder)> {
        self.halls.iter()
    }

    /// Returns the number of evacuated halls.
    pub fn evacuated_count(&self) -> usize {
        self.halls.values().filter(|order| order.wanted == HallState::Evacuated).count()
    }
}
