//! Time types of the core. The current time is always passed as an argument and never read from the machine's clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Point on a node's monotonic clock, in milliseconds since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time from `earlier` to this moment, or zero if `earlier` lies after this moment.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from this moment until `later`, or zero if `later` lies before this moment.
    #[must_use]
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_millis() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.as_millis() as u64))
    }
}

/// Timer of an action that repeats at an interval. A new timer is due at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalTimer {
    due_at: Moment,
}

impl IntervalTimer {
    /// Returns whether the action is due. If so, restarts the timer: the action is next due `interval` after `now`.
    pub fn is_due(&mut self, interval: Duration, now: Moment) -> bool {
        if now < self.due_at {
            return false;
        }
        self.due_at = now + interval;
        true
    }
}

/// Wall-clock time in milliseconds since the Unix epoch. Used in records for people, never in decisions that must be
/// correct under clock skew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(pub u64);
