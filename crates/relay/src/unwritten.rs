//! Counts the connections whose answers wait for a slow reader, so that a process does not end before they are written.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

/// Number of connections with bytes that the system does not take yet.
#[derive(Clone, Debug, Default)]
pub struct UnwrittenAnswers {
    count: Rc<Cell<usize>>,
}

impl UnwrittenAnswers {
    /// Returns the number of connections whose last write is pending.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Returns the state of the writes of one connection, with none pending.
    #[must_use]
    pub fn begin_connection(&self) -> PendingWrite {
        PendingWrite { answers: self.clone(), is_pending: false }
    }
}

/// Counts one connection while its write is pending, and until it is dropped at the latest.
#[derive(Debug)]
pub struct PendingWrite {
    answers: UnwrittenAnswers,
    is_pending: bool,
}

impl PendingWrite {
    /// Returns whether the last write waits for its reader.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Records whether the last write waits for its reader.
    pub fn set(&mut self, is_pending: bool) {
        let was_pending = std::mem::replace(&mut self.is_pending, is_pending);
        let count = self.answers.count.get() + usize::from(is_pending) - usize::from(was_pending);
        self.answers.count.set(count);
    }
}

impl Drop for PendingWrite {
    fn drop(&mut self) {
        self.set(false);
    }
}
