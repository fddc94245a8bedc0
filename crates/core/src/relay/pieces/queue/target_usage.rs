//! This node's calls to one target, and the storage that their results occupy there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// This node's calls to one target, and the storage that their results occupy there.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetUsage {
    /// Number of calls in flight.
    pub in_flight: u32,
    /// When the call that was started last is expected to end.
    pub busy_until: Moment,
    /// Bytes of storage reserved for the results of the calls in flight.
    pub reserved_bytes: u64,
    /// Results stored at the target by handle: size in bytes, and when the target drops the result.
    pub stored_results: BTreeMap<Arc<str>, (u64, Moment)>,
    /// Time until which the target gets no pieces after it had no storage left. Reset when one of its results is freed.
    pub full_until: Moment,
    /// Number of calls in a row that failed as a whole.
    pub failed_calls: u32,
    /// Time until which the target gets no pieces after such a call.
    pub retry_at: Moment,
}

impl TargetUsage {
    /// Time for which a target gets no pieces after a call that failed as a whole. Each further such call doubles it.
    const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(250);
    /// Maximum backoff. A target that recovers gets a piece again within this time.
    const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(2);

    /// Records whether a call failed as a whole. A target that fails at once is free again at once, so that without a
    /// backoff it gets most of the pieces and uses up their attempts.
    pub fn record_call_end(&mut self, has_failed: bool, now: Moment) {
        if !has_failed {
            self.failed_calls = 0;
            return;
        }
        let factor = 1 << self.failed_calls.min(8);
        self.failed_calls += 1;
        self.retry_at = now + (Self::MIN_FAILURE_BACKOFF * factor).min(Self::MAX_FAILURE_BACKOFF);
    }

    /// Returns the bytes that stored results occupy at `now`. Forgets results that the target has dropped by then.
    pub fn stored_bytes(&mut self, now: Moment) -> u64 {
        self.stored_results.retain(|_, (_, until)| *until > now);
        self.stored_results.values().map(|(bytes, _)| bytes).sum()
    }
}
