//! Waiting customers in rank order, grouped by the data halls that they may use.

use crate::policy::Rank;
use micaspool_types::HallMask;
use std::collections::{BTreeMap, BTreeSet};

/// The index of a customer in its shard's list.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct CustomerIndex(pub u32);

/// Backlogged customers by placement and rank.
///
/// Customers with the same halls form one ordered set, so that a search visits only as many sets as there
/// are different placements.
#[derive(Debug, Default)]
pub struct RankIndex {
    classes: BTreeMap<HallMask, BTreeSet<(Rank, CustomerIndex)>>,
}

impl RankIndex {
    /// Adds a customer.
    pub fn insert(&mut self, halls: HallMask, rank: Rank, customer: CustomerIndex) {
        self.classes.entry(halls).or_default().insert((rank, customer));
    }

    /// Removes a customer that was inserted with the same halls and rank.
    pub fn remove(&mut self, halls: HallMask, rank: Rank, customer: CustomerIndex) {
        if let Some(class) = self.classes.get_mut(&halls) {
            class.remove(&(rank, customer));
            if class.is_empty() {
                self.classes.remove(&halls);
            }
        }
    }

    /// Returns the lowest rank among the customers that may use one of `halls`.
    pub fn lowest_rank(&self, halls: HallMask) -> Option<Rank> {
        let usable = self.classes.iter().filter(|(class, _)| !class.intersect(halls).is_empty());
        usable.filter_map(|(_, class)| class.first()).map(|(rank, _)| *rank).min()
    }

    /// Passes the customers that may use one of `free` to `choose`, lowest rank first, and returns its first
    /// choice.
    pub fn find<T>(&self, free: HallMask, mut choose: impl FnMut(CustomerIndex) -> Option<T>) -> Option<T> {
        let usable = self.classes.iter().filter(|(halls, _)| !halls.intersect(free).is_empty());
        let mut cursors: Vec<ClassCursor<'_>> =
            usable.filter_map(|(_, class)| ClassCursor::start(class)).collect();
        loop {
            let (position, _) = cursors.iter().enumerate().min_by_key(|(_, cursor)| cursor.entry)?;
            let (_, customer) = cursors[position].entry;
            if let Some(choice) = choose(customer) {
                return Some(choice);
            }
            if !cursors[position].advance() {
                cursors.swap_remove(position);
            }
        }
    }

    /// Returns true if a waiting customer may use one of `free`.
    pub fn has_usable_customer(&self, free: HallMask) -> bool {
        self.classes.keys().any(|halls| !halls.intersect(free).is_empty())
    }
}

/// The position of a search in one placement class.
struct ClassCursor<'a> {
    entry: (Rank, CustomerIndex),
    remaining: std::collections::btree_set::Iter<'a, (Rank, CustomerIndex)>,
}

impl<'a> ClassCursor<'a> {
    fn start(class: &'a BTreeSet<(Rank, CustomerIndex)>) -> Option<ClassCursor<'a>> {
        let mut remaining = class.iter();
        let entry = *remaining.next()?;
        Some(ClassCursor { entry, remaining })
    }

    fn advance(&mut self) -> bool {
        let next = self.remaining.next();
        self.entry = next.copied().unwrap_or(self.entry);
        next.is_some()
    }
}
