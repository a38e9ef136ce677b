//! Policy layers: sets of optional policy values.

use super::{HallPolicy, RequestPolicy};
use crate::document::{DocumentNode, FaultList};
use micaspool_types::{HallMask, Weight};
use std::time::Duration;

/// The keys allowed in a policy layer.
pub const LAYER_FIELDS: &[&str] = &[
    "weight",
    "halls",
    "max_waiting",
    "max_waiting_bytes",
    "max_body_bytes",
    "wait_limit_ms",
    "silence_limit_ms",
    "priority",
    "repeatable",
];

const MAX_WEIGHT: u64 = 10_000;
const MAX_WAITING: u64 = 100_000;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const MAX_LIMIT_MILLIS: u64 = 24 * 3_600 * 1_000;
const MAX_PRIORITY: u64 = 9;

/// The policy values that one layer of the tree overrides; absent values are inherited.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PolicyLayer {
    weight: Option<Weight>,
    halls: Option<HallMask>,
    max_waiting: Option<u32>,
    max_waiting_bytes: Option<u64>,
    max_body_bytes: Option<u64>,
    wait_limit: Option<Duration>,
    silence_limit: Option<Duration>,
    priority: Option<u8>,
    repeatable: Option<bool>,
}

impl PolicyLayer {
    /// Reads a layer and adds its faults to `faults`.
    pub fn read(node: &DocumentNode<'_>, halls: &[HallPolicy], faults: &mut FaultList) -> PolicyLayer {
        node.object(LAYER_FIELDS, faults);
        let number = |key: &str, low: u64, high: u64, faults: &mut FaultList| {
            node.child(key).and_then(|child| child.number(low, high, faults))
        };
        let weight = number("weight", 1, MAX_WEIGHT, faults);
        let priority = number("priority", 0, MAX_PRIORITY, faults);
        let max_waiting = number("max_waiting", 0, MAX_WAITING, faults);
        PolicyLayer {
            weight: weight.and_then(|value| Weight::new(value as u32)),
            halls: node.child("halls").and_then(|child| read_halls(&child, halls, faults)),
            max_waiting: max_waiting.map(|value| value as u32),
            max_waiting_bytes: number("max_waiting_bytes", 0, u64::MAX, faults),
            max_body_bytes: number("max_body_bytes", 0, MAX_BODY_BYTES, faults),
            wait_limit: number("wait_limit_ms", 1, MAX_LIMIT_MILLIS, faults).map(Duration::from_millis),
            silence_limit: number("silence_limit_ms", 1, MAX_LIMIT_MILLIS, faults).map(Duration::from_millis),
            priority: priority.map(|value| value as u8),
            repeatable: node.child("repeatable").and_then(|child| child.boolean(faults)),
        }
    }

    /// Overrides the values of `policy` that this layer sets.
    pub fn apply_to(&self, policy: &mut RequestPolicy) {
        replace(&mut policy.weight, self.weight);
        replace(&mut policy.halls, self.halls);
        replace(&mut policy.max_waiting, self.max_waiting);
        replace(&mut policy.max_waiting_bytes, self.max_waiting_bytes);
        replace(&mut policy.max_body_bytes, self.max_body_bytes);
        replace(&mut policy.wait_limit, self.wait_limit);
        replace(&mut policy.silence_limit, self.silence_limit);
        replace(&mut policy.priority, self.priority);
        replace(&mut policy.repeatable, self.repeatable);
    }
}

fn replace<T: Copy>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

/// Reads a list of hall or region names, in which `*` matches every hall.
fn read_halls(node: &DocumentNode<'_>, halls: &[HallPolicy], faults: &mut FaultList) -> Option<HallMask> {
    let mut mask = HallMask::EMPTY;
    for name in node.texts(faults)? {
        let is_match =
            |hall: &HallPolicy| name == "*" || hall.name.as_str() == name || hall.region.as_str() == name;
        let matching = halls.iter().enumerate().filter(|(_, hall)| is_match(hall));
        let matched = matching.fold(HallMask::EMPTY, |sum, (index, _)| sum.union(HallMask::single(index)));
        if matched.is_empty() {
            faults.add(
                node,
                format!("replace {name:?} by a data hall or region that 'halls' lists, or by \"*\""),
            );
        }
        mask = mask.union(matched);
    }
    Some(mask)
}
