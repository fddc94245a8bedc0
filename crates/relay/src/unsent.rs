//! Bounds the bytes of an answer that wait to be written, whatever the HTTP library would buffer.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Number of bytes of an answer that are unsent from which on its body gives no more. The buffer of the HTTP library for them
/// has the same bound as that for heads.
const MAX_UNSENT_BYTES: usize = 16 * 1024;

/// Bytes that the body of an answer has given and its connection has not written yet.
#[derive(Debug, Default)]
pub struct UnsentBytes {
    count: Cell<usize>,
    /// Wakes the body when bytes have been written.
    waker: RefCell<Option<Waker>>,
}

impl UnsentBytes {
    /// Returns whether the body may give more. If not, `cx` is woken when it may.
    pub fn poll_room(&self, cx: &Context<'_>) -> Poll<()> {
        if self.count.get() < MAX_UNSENT_BYTES {
            return Poll::Ready(());
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records bytes that the body has given.
    pub fn add(&self, bytes: usize) {
        self.count.set(self.count.get() + bytes);
    }

    /// Records bytes that were written. Those of heads and chunks are among them, so that fewer count as unsent than are.
    pub fn record_written(&self, bytes: usize) {
        self.count.set(self.count.get().saturating_sub(bytes));
        if self.count.get() < MAX_UNSENT_BYTES
            && let Some(waker) = self.waker.borrow_mut().take()
        {
            waker.wake();
        }
    }
}
