//! Where requests may run: sets of data halls as bit masks, and limits by name.

use crate::names::{HallName, RegionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The maximum number of data halls in a settings tree.
pub const MAX_HALLS: usize = 32;

/// A set of data halls. Bit `n` represents the hall with index `n` in the current settings.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HallMask(pub u32);

impl HallMask {
    /// The empty set.
    pub const EMPTY: HallMask = HallMask(0);

    /// Returns the set that contains only the hall with the given index.
    pub fn single(index: usize) -> Self {
        HallMask(1 << index)
    }

    /// Returns true if the hall with the given index is in the set.
    pub fn contains(self, index: usize) -> bool {
        self.0 & (1 << index) != 0
    }

    /// Returns the halls that are in both sets.
    pub fn intersect(self, other: HallMask) -> HallMask {
        HallMask(self.0 & other.0)
    }

    /// Returns the halls that are in either set.
    pub fn union(self, other: HallMask) -> HallMask {
        HallMask(self.0 | other.0)
    }

    /// Returns true if the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the indices in the set in ascending order.
    pub fn indices(self) -> impl Iterator<Item = usize> {
        (0..MAX_HALLS).filter(move |index| self.contains(*index))
    }
}

impl fmt::Debug for HallMask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "halls:{:b}", self.0)
    }
}

/// Limits where a request may run, by the names of regions or data halls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementLimit<N> {
    /// The request may run anywhere.
    #[default]
    Anywhere,
    /// The request may run only in these places; nowhere if the list is empty.
    Only(Arc<[N]>),
}

/// The regions in which a request may run.
pub type RegionLimit = PlacementLimit<RegionName>;

/// The data halls in which a request may run.
pub type HallLimit = PlacementLimit<HallName>;

impl<N: Clone + PartialEq> PlacementLimit<N> {
    /// Returns true if the request may run in this place.
    pub fn allows(&self, place: &N) -> bool {
        match self {
            PlacementLimit::Anywhere => true,
            PlacementLimit::Only(places) => places.contains(place),
        }
    }

    /// Returns true if the request may run nowhere.
    pub fn is_nowhere(&self) -> bool {
        matches!(self, PlacementLimit::Only(places) if places.is_empty())
    }

    /// Returns the places that both limits allow.
    pub fn intersect(&self, other: &PlacementLimit<N>) -> PlacementLimit<N> {
        match (self, other) {
            (limit, PlacementLimit::Anywhere) | (PlacementLimit::Anywhere, limit) => limit.clone(),
            (PlacementLimit::Only(places), other) => {
                PlacementLimit::Only(places.iter().filter(|place| other.allows(place)).cloned().collect())
            }
        }
    }
}

/// The region of each data hall, from the settings of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallRegions(pub BTreeMap<HallName, RegionName>);

impl HallRegions {
    /// Returns the data halls in the regions that a limit allows. A hall whose region is unknown is not among them.
    pub fn halls_within(&self, limit: &RegionLimit) -> HallLimit {
        if *limit == RegionLimit::Anywhere {
            return HallLimit::Anywhere;
        }
        let allowed = self.0.iter().filter(|(_, region)| limit.allows(region));
        HallLimit::Only(allowed.map(|(hall, _)| hall.clone()).collect())
    }
}
