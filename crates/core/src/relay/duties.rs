//! Duties: calls to the platform that one node at a time makes for all, under a fenced lease.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;

/// Kind of a duty.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum DutyKind {
    /// Reports the requests that began to run, by organisation and window of time.
    Metering,
    /// Orders the number of targets of each service that can be scaled.
    Autoscale,
}

/// Times of the duties, as the settings give them.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyTimes {
    /// Length of the lease under which a node has a duty.
    pub lease_length: Duration,
    /// Length of a window of metering.
    pub window_length: Duration,
    /// Time from the end of a window by which its report is due.
    pub report_timeout: Duration,
}

impl Default for DutyTimes {
    fn default() -> Self {
        Self {
            lease_length: Duration::from_secs(3),
            window_length: Duration::from_secs(5),
            report_timeout: Duration::from_secs(10),
        }
    }
}

/// A duty that this node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldDuty {
    /// Fencing token that calls carry. It grows with each new holder.
    pub fence: u64,
    /// Time from which this node must not act under the lease any more.
    pub expires_at: Moment,
}

/// Duties that this node has, at most one lease of each kind.
#[derive(Clone, Debug, Default)]
pub struct DutyTable {
    held: BTreeMap<DutyKind, HeldDuty>,
}

impl DutyTable {
    /// Returns the duty of `kind` if this node may act on it at `now`.
    #[must_use]
    pub fn held(&self, kind: DutyKind, now: Moment) -> Option<HeldDuty> {
        self.held.get(&kind).copied().filter(|held| now < held.expires_at)
    }

    /// Ends the right to act on a duty at once, after a call was refused for its fencing token.
    pub fn end_right(&mut self, kind: DutyKind) {
        self.held.remove(&kind);
    }
}
