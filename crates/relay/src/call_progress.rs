//! Progress of the calls of one request, by which others notice that a target is silent.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wasabipier_core::clock::Moment;

use crate::clock;

/// Progress of the newest call of a request.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// When the request was sent on a connection.
    sent_at: Cell<Option<Moment>>,
    /// When the call started or the head of its answer arrived.
    changed_at: Cell<Moment>,
    sent: Notify,
}

impl CallProgress {
    /// Records the start of a call.
    pub fn record_start(&self) {
        self.sent_at.set(None);
        self.changed_at.set(clock::now());
        self.sent.notify_waiters();
    }

    /// Records that the request is being sent on a connection.
    pub fn record_sent(&self) {
        self.sent_at.set(Some(clock::now()));
        self.sent.notify_waiters();
    }

    /// Records that the head of the answer has arrived.
    pub fn record_head(&self) {
        self.changed_at.set(clock::now());
    }

    /// Records that the call has ended.
    pub fn record_end(&self) {
        self.sent_at.set(None);
        self.sent.notify_waiters();
    }

    /// Waits until there has been no progress for `silence_timeout`.
    pub async fn wait_for_silence(&self, silence_timeout: Duration) {
        loop {
            let left = clock::now().until(self.changed_at.get() + silence_timeout);
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }

    /// Waits until the request was sent, and `duration` longer. Starts again with each call.
    pub async fn wait_after_send(&self, duration: Duration) {
        loop {
            let Some(sent_at) = self.sent_at.get() else {
                self.sent.notified().await;
                continue;
            };
            let left = clock::now().until(sent_at + duration);
            if left.is_zero() {
                return;
            }
            // Either the time is over, or the call has changed.
            let _ = timeout(left, self.sent.notified()).await;
        }
    }
}
