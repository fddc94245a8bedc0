//! Reports of windows by the holder of the duty: which window is fixed in the store or sent to the platform, and when.
//!
//! The platform must never get two different reports of a window. What is sent is therefore what the window's row in the
//! store holds, and a row is only written if there is none. Windows are reported one after the other, so that a window older
//! than the newest row has been reported if it has no row any more.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::relay::usage::{OrgCounts, UsageTable};

/// What the holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Reads all rows of windows from the store, after which [`UsageReporter::record_rows`] is called.
    ReadRows,
    /// Writes the row of a window unless there is one, after which [`UsageReporter::record_fixed`] is called with what the
    /// row holds.
    Fix(WindowDraft),
    /// Sends the report of a window to the platform, after which [`UsageReporter::record_accepted`] is called.
    Send {
        /// Number of the window.
        window: u64,
        /// The report, as the row holds it.
        content: Arc<[u8]>,
    },
}

/// The row of a window, as it is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowDraft {
    /// Number of the window.
    pub window: u64,
    /// Requests by organisation, as far as this node knows.
    pub counts: OrgCounts,
    /// What the row held before the store lost it. It is written instead of the counts.
    pub content: Option<Arc<[u8]>>,
    /// Window whose row is removed by the same transaction.
    pub expired: Option<u64>,
}

/// Progress of the reports of the holder.
#[derive(Clone, Debug, Default)]
pub struct UsageReporter {
    /// Fencing token of the lease under which the rows were read.
    fence: Option<u64>,
    has_read_rows: bool,
    /// What rows hold or held, by window. Windows that are reported are removed.
    contents: BTreeMap<u64, Arc<[u8]>>,
    /// Windows whose row was seen under the present lease. Rows can be lost when the store is restored.
    confirmed: BTreeSet<u64>,
    /// Windows that have a row, as seen under the present lease, also those that are reported.
    rows: BTreeSet<u64>,
    /// The newest window whose row was seen under the present lease.
    newest_fixed: Option<u64>,
    retry_at: Moment,
    failure_count: u32,
}

impl UsageReporter {
    /// Number of newer windows after which the row of a window is removed.
    pub const KEPT_WINDOWS: u64 = 12;
    /// Time after the first failure until the step is tried again. It doubles with each further failure.
    const MIN_BACKOFF: Duration = Duration::from_millis(100);
    const MAX_BACKOFF: Duration = Duration::from_secs(2);

    /// Returns what to do now under the lease with the fencing token `fence`, or `None` if nothing is due.
    pub fn next_step(&mut self, table: &UsageTable, fence: u64, now: Moment) -> Option<UsageStep> {
        if self.fence != Some(fence) {
            let contents = std::mem::take(&mut self.contents);
            *self = Self { fence: Some(fence), contents, ..Self::default() };
        }
        if now < self.retry_at {
            return None;
        }
        if !self.has_read_rows {
            return Some(UsageStep::ReadRows);
        }
        self.contents.retain(|window, _| !table.is_done(*window));
        let fixed = self.contents.first_key_value().map(|(window, _)| *window);
        let window = fixed.into_iter().chain(table.next_settled(self.newest_fixed, now)).min()?;
        let content = self.contents.get(&window).cloned();
        match content {
            Some(content) if self.confirmed.contains(&window) => Some(UsageStep::Send { window, content }),
            content => Some(UsageStep::Fix(WindowDraft {
                window,
                counts: table.sum(window),
                content,
                // Rows from before a time without reports are removed one by one.
                expired: self.rows.first().copied().filter(|oldest| oldest + Self::KEPT_WINDOWS <= window),
            })),
        }
    }

    /// Records the rows of windows that the store held when it was asked under the lease with the token `fence`.
    pub fn record_rows(&mut self, table: &UsageTable, fence: u64, rows: Vec<(u64, Arc<[u8]>)>, now: Moment) {
        if self.fence != Some(fence) {
            return;
        }
        self.has_read_rows = true;
        // A row for a time that is still to come is not one of a holder.
        let newest = table.clock().window_at(now) + 1;
        for (window, content) in rows.into_iter().filter(|(window, _)| *window <= newest) {
            self.record_fixed(table, fence, window, content);
        }
    }

    /// Records what the row of a window holds, as the store showed under the lease with the token `fence`.
    pub fn record_fixed(&mut self, table: &UsageTable, fence: u64, window: u64, content: Arc<[u8]>) {
        if self.fence != Some(fence) {
            return;
        }
        self.failure_count = 0;
        self.rows.insert(window);
        self.newest_fixed = self.newest_fixed.max(Some(window));
        if !table.is_done(window) {
            self.contents.insert(window, content);
            self.confirmed.insert(window);
        }
    }

    /// Records that the platform accepted the report of a window.
    pub fn record_accepted(&mut self, table: &mut UsageTable, window: u64) {
        self.failure_count = 0;
        self.contents.remove(&window);
        self.confirmed.remove(&window);
        table.record_reported(Some(window));
    }

    /// Records that a step failed, so that it is tried again later. Returns the time until then.
    pub fn record_failure(&mut self, now: Moment) -> Duration {
        let backoff = (Self::MIN_BACKOFF * 2u32.pow(self.failure_count.min(8))).min(Self::MAX_BACKOFF);
        self.failure_count += 1;
        self.retry_at = now + backoff;
        backoff
    }
}
