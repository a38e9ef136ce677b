//! Sets of data halls as bit masks.

use std::fmt;

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
