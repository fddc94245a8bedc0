//! What was counted of one version on one route.

/// Running counts; within one instance of a node they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteTally {
    /// Calls that ended, without the faults of cold targets.
    pub calls: u64,
    /// Calls that the version failed at a warm target.
    pub faults: u64,
    /// Calls whose time was compared with the bound, without the slow ones of cold targets.
    pub timed: u64,
    /// Calls slower than the bound at a warm target.
    pub slow: u64,
    /// Calls at cold targets.
    pub cold_calls: u64,
    /// Calls that failed there.
    pub cold_faults: u64,
    /// Calls at cold targets whose time was compared with the bound.
    pub cold_timed: u64,
    /// Calls slower than the bound there.
    pub cold_slow: u64,
    /// Contents during whose calls a target broke off; they may be the contents' doing.
    pub crashes: u64,
}

impl RouteTally {
    /// Combines two tallies field by field.
    #[must_use]
    pub fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            calls: combine(self.calls, other.calls),
            faults: combine(self.faults, other.faults),
            timed: combine(self.timed, other.timed),
            slow: combine(self.slow, other.slow),
            cold_calls: combine(self.cold_calls, other.cold_calls),
            cold_faults: combine(self.cold_faults, other.cold_faults),
            cold_timed: combine(self.cold_timed, other.cold_timed),
            cold_slow: combine(self.cold_slow, other.cold_slow),
            crashes: combine(self.crashes, other.crashes),
        }
    }

    /// The sum of two instances' tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// The later of two tallies of one instance, in whatever order they came.
    #[must_use]
    pub fn latest(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }
}
