//! The newest order about each hall.

use crate::order::{HallOrder, HallUse, OrderCommand, OrderVerdict};
use micaspool_types::{HallName, MAX_HALLS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The newest order about each hall that any was given about.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct HallOrders {
    newest: u64,
    halls: BTreeMap<HallName, HallOrder>,
}

impl HallOrders {
    /// Decides on an order. One that wants what holds already changes nothing and is confirmed again.
    pub fn accept(&mut self, command: &OrderCommand) -> OrderVerdict {
        let since = self.halls.get(&command.hall).map_or(0, |order| order.number);
        if self.use_of(&command.hall) == command.wanted {
            return OrderVerdict::InForce(since);
        }
        if since > command.known {
            return OrderVerdict::Overtaken(since);
        }
        if since == 0 && self.halls.len() >= MAX_HALLS {
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

    /// Takes over what a keeper tells of a hall, if that is newer; true when it was.
    pub fn merge(&mut self, hall: &HallName, order: HallOrder) -> bool {
        let known = self.halls.get(hall).map_or(0, |known| known.number);
        if order.number <= known {
            return false;
        }
        self.newest = self.newest.max(order.number);
        self.halls.insert(hall.clone(), order);
        true
    }

    /// The number of the newest order; zero before the first.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether the endpoints of a hall get requests.
    pub fn use_of(&self, hall: &HallName) -> HallUse {
        self.halls.get(hall).map_or(HallUse::Open, |order| order.wanted)
    }

    /// True while the endpoints of a hall get no requests.
    pub fn is_evacuated(&self, hall: &HallName) -> bool {
        self.use_of(hall) == HallUse::Evacuated
    }

    /// Every hall that an order was given about, with the newest, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&HallName, &HallOrder)> {
        self.halls.iter()
    }

    /// How many halls are evacuated.
    pub fn evacuated(&self) -> usize {
        self.halls.values().filter(|order| order.wanted == HallUse::Evacuated).count()
    }
}
