//! Attempts to read a table of the store: when the next one starts, also while earlier ones have no answer.

use std::time::Duration;

use crate::clock::Moment;

/// Attempts to read a table since the last answer of the store.
///
/// An attempt that was lost in an outage is never answered, and one at a slow store is answered late. So an attempt is
/// given long, and others start beside it meanwhile: a store that is back is asked soon, whatever was lost before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadAttempts {
    usual_answer_time: Duration,
    last_started_at: Moment,
    /// Time for which the store may hold the last attempt.
    last_wait: Duration,
    /// Attempts that have neither been answered nor failed.
    open_count: u32,
    /// Minimum time from the start of the last attempt until the next one, if none is open.
    pause: Duration,
    failure_count: u32,
    is_answered: bool,
}

impl ReadAttempts {
    /// Multiple of the usual answer time after which an attempt is given up.
    const MAX_ANSWER_FACTOR: u32 = 4;
    /// Pause after the first failure. It is doubled with each further failure, up to the usual answer time.
    const MIN_BACKOFF: Duration = Duration::from_millis(100);
    /// Minimum interval between the starts of two attempts. Many targets that start at the same time are read by one.
    const MIN_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates the state before the first attempt. `usual_answer_time` is the time within which a store that is not slow
    /// answers.
    #[must_use]
    pub fn new(usual_answer_time: Duration) -> Self {
        Self {
            usual_answer_time,
            last_started_at: Moment::default(),
            last_wait: Duration::ZERO,
            open_count: 0,
            pause: Duration::ZERO,
            failure_count: 0,
            is_answered: false,
        }
    }

    /// Returns when the next attempt is to start.
    #[must_use]
    pub fn next_start(&self) -> Moment {
        let pause = if self.open_count > 0 { self.last_wait + self.usual_answer_time } else { self.pause };
        self.last_started_at + pause
    }

    /// Returns the time for which the store may hold the next attempt, which is `wait` unless the store has stopped to
    /// answer. An answer that comes at once shows sooner that it is back.
    #[must_use]
    pub fn next_wait(&self, wait: Duration) -> Duration {
        if self.is_answered { wait } else { Duration::ZERO }
    }

    /// Records an attempt that starts now, which the store may hold for `wait`. Returns the time after which it is given
    /// up.
    pub fn record_start(&mut self, wait: Duration, now: Moment) -> Duration {
        (self.last_started_at, self.last_wait) = (now, wait);
        self.open_count += 1;
        self.is_answered = false;
        wait + self.usual_answer_time * Self::MAX_ANSWER_FACTOR
    }

    /// Returns whether an attempt is open that a store that is not slow would have answered by now.
    #[must_use]
    pub fn is_overdue(&self, now: Moment) -> bool {
        self.open_count > 0 && now >= self.next_start()
    }

    /// Records that parts of an answer arrived up to `arrived_at`. Another attempt would only take from the link.
    pub fn record_arrival(&mut self, arrived_at: Moment) {
        if self.open_count > 0 && arrived_at > self.last_started_at {
            (self.last_started_at, self.last_wait) = (arrived_at, Duration::ZERO);
        }
    }

    /// Records an answer. The attempts that are still open are not waited for.
    pub fn record_answer(&mut self) {
        (self.open_count, self.failure_count, self.pause) = (0, 0, Self::MIN_INTERVAL);
        self.is_answered = true;
    }

    /// Records an attempt that failed or was given up. `backoff_factor` stretches the pause until the next attempt, and
    /// `jitter`, 0 to 1, spreads the attempts of many nodes.
    pub fn record_failure(&mut self, backoff_factor: u32, jitter: f64) {
        self.open_count = self.open_count.saturating_sub(1);
        let doubled = Self::MIN_BACKOFF * 2_u32.pow(self.failure_count.min(8));
        self.failure_count += 1;
        self.pause = (doubled.min(self.usual_answer_time) * backoff_factor).mul_f64(0.5 + 0.5 * jitter);
    }
}
