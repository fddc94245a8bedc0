//! The row of the store that names content which crashes targets, so that it is still refused after all nodes have ended.
//!
//! A few nodes write the row when the harmful content changes, one after the other, and a starting node reads it beside the
//! addresses of its peers. What a node learns from it is merged like the report of a peer.

use std::collections::BTreeSet;

use crate::clock::Moment;
use crate::relay::board::RelayBoard;
use crate::relay::store_version::StoreVersion;
use crate::relay::suspects::{SuspectChange, SuspectKey, SuspectReport};

/// The row as the store has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectRow {
    /// Version of the row, with the era of the store. The number is 0 if there is no row.
    pub version: StoreVersion,
    /// Reports on harmful content, with ages as of the write.
    pub reports: Vec<SuspectReport>,
}

/// A write of the row on condition that it has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRowWrite {
    /// Number of the version that the row must have; 0 if it must not exist.
    pub expected_version: u64,
    /// Reports on all harmful content.
    pub reports: Vec<SuspectReport>,
}

/// What a node knows of the row, and when it is to write it.
#[derive(Clone, Debug, Default)]
pub struct SuspectRowState {
    /// Version of the row as last seen.
    version: StoreVersion,
    /// Content that the row names.
    recorded: BTreeSet<SuspectKey>,
    /// Harmful content that the row does not name, or no longer harmful content that it names, and when to write it.
    due: Option<(BTreeSet<SuspectKey>, Moment)>,
}

fn keys_of(reports: &[SuspectReport]) -> BTreeSet<SuspectKey> {
    reports.iter().map(|report| report.key).collect()
}

impl RelayBoard {
    /// Maximum number of suspects in the row, which bounds its size.
    const MAX_ROW_SUSPECTS: usize = 50;

    /// Merges what the row tells, after it was read or found to be another than expected. A row of an earlier era is not
    /// looked at.
    pub fn record_suspect_row(&mut self, row: &SuspectRow, now: Moment) -> SuspectChange {
        if row.version < self.suspect_row.version {
            return SuspectChange::default();
        }
        self.suspect_row.version = row.version;
        self.suspect_row.recorded = keys_of(&row.reports);
        self.suspects.merge_reports(&row.reports, now)
    }

    /// Records that this node's write of the row has taken effect and has given it `version`.
    pub fn record_suspect_row_written(&mut self, write: &SuspectRowWrite, version: StoreVersion) {
        self.suspect_row.version = version;
        self.suspect_row.recorded = keys_of(&write.reports);
    }

    /// Returns the write of the row that this node is to make now, if there is one. If it fails, it is due again later.
    pub fn take_suspect_row_write(&mut self, now: Moment) -> Option<SuspectRowWrite> {
        let mut reports = self.suspects.harmful_reports(now);
        reports.truncate(Self::MAX_ROW_SUSPECTS);
        let wanted = keys_of(&reports);
        if wanted == self.suspect_row.recorded {
            self.suspect_row.due = None;
            return None;
        }
        let position = self.recorder_position("suspects", now)?;
        let due = self.suspect_row.due.take().filter(|(keys, _)| *keys == wanted);
        let due_at = due.map_or(now + Self::RECORD_DELAY * position as u32, |(_, due_at)| due_at);
        let is_due = due_at <= now;
        self.suspect_row.due = Some((wanted, if is_due { now + Self::RECORD_RETRY_PAUSE } else { due_at }));
        is_due.then_some(SuspectRowWrite { expected_version: self.suspect_row.version.number, reports })
    }

    /// Forgets what the row named, since the store was restored from an older copy.
    pub(super) fn forget_suspect_row(&mut self, era: u64) {
        self.suspect_row = SuspectRowState { version: StoreVersion::new(era, 0), ..SuspectRowState::default() };
    }
}
