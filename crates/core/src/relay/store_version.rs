//! Versions of the store's state.

use std::fmt;

/// Version of the store's state, or of a row.
///
/// A store that is restored from an older copy of itself counts on from there, in a new era: it gives numbers out again
/// that it had given before. So numbers are comparable only within an era, and a later era is always newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion {
    /// Number of times that the store has been restored from an older copy.
    pub era: u64,
    /// Number that increases with each change in the era.
    pub number: u64,
}

impl StoreVersion {
    /// Version of a copy that has not been read yet.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// Creates a version.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
