//! Counts of the calls of one version on one route.

/// Cumulative counts of calls by result. Within one instance of a node they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteTally {
    /// Number of calls that succeeded or that the version failed, excluding failed calls at cold targets.
    pub calls: u64,
    /// Number of calls that the version failed at a warm target.
    pub faults: u64,
    /// Number of calls whose duration was compared with the latency bound, excluding slow calls at cold targets.
    pub timed: u64,
    /// Number of calls at a warm target that were slower than the latency bound.
    pub slow: u64,
    /// Number of calls at cold targets.
    pub cold_calls: u64,
    /// Number of calls that failed at cold targets.
    pub cold_faults: u64,
    /// Number of calls at cold targets whose duration was compared with the latency bound.
    pub cold_timed: u64,
    /// Number of calls at cold targets that were slower than the latency bound.
    pub cold_slow: u64,
    /// Number of request contents during whose calls a target broke off. The contents may be the cause.
    pub crashes: u64,
}

impl RouteTally {
    /// Returns the tally in which each count is `combine` of the two counts of that field.
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

    /// Returns the sum of two tallies that count different calls.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the later of two cumulative tallies of one instance, which may have arrived in any order.
    #[must_use]
    pub fn latest(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }
}
