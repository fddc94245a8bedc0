//! Timeout of calls to the store, which adapts to a store that is slow.

use std::time::Duration;

/// Timeout for the beginning of the store's answers. A call that is given up too early is made again and costs a slow
/// store as much as one that is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeout {
    usual: Duration,
    current: Duration,
}

impl AnswerTimeout {
    /// Maximum multiple of the usual timeout. After an outage, a call that was lost is given up after it.
    const MAX_FACTOR: u32 = 4;

    /// Creates a timeout that is `usual` until a call times out.
    #[must_use]
    pub fn new(usual: Duration) -> Self {
        Self { usual, current: usual }
    }

    /// Returns the timeout of the next call.
    #[must_use]
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Records a call that timed out.
    pub fn record_timeout(&mut self) {
        self.current = (self.current * 2).min(self.usual * Self::MAX_FACTOR);
    }

    /// Records an answer that began after `elapsed`, without the time for which the store was asked to hold the call.
    pub fn record_answer(&mut self, elapsed: Duration) {
        if elapsed < self.usual / 2 {
            self.current = self.usual;
        }
    }
}
