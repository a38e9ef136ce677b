//! Sets of data halls as bit masks.

use std::fmt;

/// The largest number of data halls that one settings tree may name.
pub const MAX_HALLS: usize = 32;

/// A set of data halls. Bit `n` stands for the hall with index `n` in the settings in force.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HallMask(pub u32);

impl HallMask {
    /// No hall at all.
    pub const EMPTY: HallMask = HallMask(0);

    /// The hall with the given index alone.
    pub fn single(index: usize) -> Self {
        HallMask(1 << index)
    }

    /// True when the hall with the given index is in the set.
    pub fn contains(self, index: usize) -> bool {
        self.0 & (1 << index) != 0
    }

    /// The halls that are in both sets.
    pub fn intersect(self, other: HallMask) -> HallMask {
        HallMask(self.0 & other.0)
    }

    /// The halls that are in either set.
    pub fn union(self, other: HallMask) -> HallMask {
        HallMask(self.0 | other.0)
    }

    /// True when no hall is in the set.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The indices in the set, lowest first.
    pub fn indices(self) -> impl Iterator<Item = usize> {
        (0..MAX_HALLS).filter(move |index| self.contains(*index))
    }
}

impl fmt::Debug for HallMask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "halls:{:b}", self.0)
    }
}
