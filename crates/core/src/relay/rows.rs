//! Copies of the store's tables that every node keeps, with the latest time at which each was known to be up to date.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::relay::store_version::StoreVersion;

/// A table of the store that every node replicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum TableId {
    /// Operator settings: the document and the operators' orders.
    Orders,
    /// Entries that targets register.
    Targets,
}

/// A table of the store that only the nodes write, and that is read when needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum OwnTable {
    /// Leases of duties.
    Duties,
    /// Reports of windows of metering.
    Usage,
}

/// A write of a row that takes effect only if the row has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Table of the row.
    pub table: OwnTable,
    /// Key of the row.
    pub key: Arc<str>,
    /// Content that the row gets.
    pub value: Arc<[u8]>,
    /// Number of the version that the row must have; 0 if the row must not exist.
    pub expected_version: u64,
    /// Key of another row of the table that is removed in the same transaction.
    pub removed_key: Option<Arc<str>>,
}

/// A row of a table, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedRow {
    /// Key of the row.
    pub key: Arc<str>,
    /// Store version of the row's last change.
    pub version: StoreVersion,
    /// Content of the row, or `None` if the row was removed.
    pub value: Option<Arc<[u8]>>,
}

/// Rows received from the store or from a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowBatch {
    /// All rows of the table, or the changed and removed rows.
    pub rows: Vec<SharedRow>,
    /// Store version that the batch brings a copy to.
    pub version: StoreVersion,
    /// Whether `rows` holds all rows of the table. Otherwise it holds the changes since the version in the request.
    pub whole: bool,
}

/// Returns the latest time at which an answer of the store is known to have been the newest state.
///
/// Normally that is `requested_at`, when the request was sent. A long poll that the store held for `wait` without a
/// change ended at the store at least `wait` after it was sent, so its answer was still the newest state then.
#[must_use]
pub fn proven_at(batch: &RowBatch, requested_at: Moment, wait: Duration, answered_at: Moment) -> Moment {
    let has_timed_out_unchanged = !batch.whole && batch.rows.is_empty() && answered_at.since(requested_at) >= wait;
    if has_timed_out_unchanged { requested_at + wait } else { requested_at }
}

/// How a batch relates to a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchFit {
    /// The copy can apply the batch.
    Applicable,
    /// The store has been restored, and the batch holds only changes of a state that the copy does not have. The whole
    /// table must be read.
    NeedsWholeTable,
    /// The batch is from before the store was restored, and changes nothing.
    Obsolete,
}

/// A copy of one table.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<Arc<str>, SharedRow>,
    /// Store versions at which rows were removed, by key. Only the latest removals are kept.
    removal_versions: BTreeMap<Arc<str>, StoreVersion>,
    /// Store version of the copy. `NONE` before the first read.
    version: StoreVersion,
    /// Store version since which no row has changed, up to `version`.
    last_change_version: StoreVersion,
    /// Store version after which all removals are known.
    removals_complete_from: StoreVersion,
    /// Latest time at which the copy is known to have been up to date. `None` before the first read.
    confirmed_at: Option<Moment>,
    /// Store version of the newest row that the copy has had.
    newest_row_version: StoreVersion,
    /// Store versions of rows that peers have and this copy lacks, with the time at which that became known.
    missing_changes: BTreeMap<StoreVersion, Moment>,
}

impl TableCopy {
    /// Maximum number of removals that are remembered. Peers that need older ones get the whole table.
    const MAX_REMOVALS: usize = 2_000;
    /// Maximum number of missing changes that are remembered. The oldest ones matter.
    const MAX_MISSING_CHANGES: usize = 64;

    /// Applies a batch that was the newest state of the store at `up_to_date_at`. Returns the changes of this copy in
    /// order. A row may be among them several times.
    ///
    /// A batch from an older state never overwrites a newer row. A batch that is not applicable changes nothing, see
    /// [`Self::fit`]. The first batch after the store was restored replaces the whole copy, whatever its numbers.
    pub fn apply(&mut self, batch: &RowBatch, up_to_date_at: Moment) -> Vec<SharedRow> {
        let mut changed: Vec<SharedRow> = Vec::new();
        if self.fit(batch) != BatchFit::Applicable {
            return changed;
        }
        if self.version == StoreVersion::NONE || batch.version.era > self.version.era {
            // Removals before the first batch are not known.
            self.removal_versions.clear();
            (self.removals_complete_from, self.last_change_version) = (batch.version, batch.version);
        }
        if batch.whole && batch.version >= self.version {
            changed.extend(self.removals_implied_by(batch));
        }
        for row in &changed {
            self.apply_row(row);
        }
        // Check and apply the rows one by one: a batch may contain several changes of a row.
        for row in &batch.rows {
            if self.is_newer(row) {
                self.newest_row_version = self.newest_row_version.max(row.version);
                self.apply_row(row);
                changed.push(row.clone());
            }
        }
        // A row may have been added and removed between two reads of this node while a peer still has a copy of it. Its
        // removal must be passed on.
        for row in batch.rows.iter().filter(|row| row.value.is_none()) {
            if row.version > self.version && !self.rows.contains_key(&row.key) {
                self.newest_row_version = self.newest_row_version.max(row.version);
                self.apply_row(row);
            }
        }
        self.evict_old_removals();
        if batch.version >= self.version {
            self.version = batch.version;
            self.confirmed_at = self.confirmed_at.max(Some(up_to_date_at));
        }
        self.forget_applied_changes();
        changed
    }

    /// Returns whether a batch can be applied.
    #[must_use]
    pub fn fit(&self, batch: &RowBatch) -> BatchFit {
        match batch.version.era.cmp(&self.version.era) {
            Ordering::Less => BatchFit::Obsolete,
            Ordering::Greater if !batch.whole && self.version != StoreVersion::NONE => BatchFit::NeedsWholeTable,
            Ordering::Equal | Ordering::Greater => BatchFit::Applicable,
        }
    }

    fn apply_row(&mut self, row: &SharedRow) {
        self.last_change_version = self.last_change_version.max(row.version);
        if row.value.is_some() {
            self.removal_versions.remove(&row.key);
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            self.rows.remove(&row.key);
            self.removal_versions.insert(row.key.clone(), row.version);
        }
    }

    /// Drops the oldest removals in excess of `MAX_REMOVALS`.
    fn evict_old_removals(&mut self) {
        while self.removal_versions.len() > Self::MAX_REMOVALS {
            let oldest = self.removal_versions.iter().min_by_key(|(_, version)| **version);
            let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else { return };
            self.removal_versions.remove(&key);
            self.removals_complete_from = self.removals_complete_from.max(version);
        }
    }

    /// Records that a peer's copy at `version`, in which no row has changed since `last_change_version`, was the newest
    /// state at `up_to_date_at`. Returns whether this copy contains the same rows, so that it was up to date then too.
    /// If not, this copy remains as it is.
    pub fn confirm(&mut self, version: StoreVersion, last_change_version: StoreVersion, up_to_date_at: Moment) -> bool {
        if self.version == StoreVersion::NONE || last_change_version > self.version || version < self.version {
            return false;
        }
        self.version = version;
        self.confirmed_at = self.confirmed_at.max(Some(up_to_date_at));
        self.forget_applied_changes();
        true
    }

    /// Records that a peer's copy has a row of store version `version`.
    pub fn record_known_change(&mut self, version: StoreVersion, now: Moment) {
        if version > self.version && self.missing_changes.len() < Self::MAX_MISSING_CHANGES {
            self.missing_changes.entry(version).or_insert(now);
        }
    }

    /// Returns since when this copy is known to lack a change that it still lacks, or `None` if it lacks none that is
    /// known.
    #[must_use]
    pub fn outdated_since(&self) -> Option<Moment> {
        self.missing_changes.values().min().copied()
    }

    fn forget_applied_changes(&mut self) {
        let version = self.version;
        self.missing_changes.retain(|missing, _| *missing > version);
    }

    /// Returns a removal for each row that the whole table in `batch` does not contain.
    fn removals_implied_by<'a>(&'a self, batch: &'a RowBatch) -> impl Iterator<Item = SharedRow> + 'a {
        let is_in_batch = move |key: &Arc<str>| batch.rows.iter().any(|row| row.key == *key);
        let removed = self.rows.keys().filter(move |key| !is_in_batch(key)).cloned();
        removed.map(|key| SharedRow { key, version: batch.version, value: None })
    }

    /// Returns whether a received row changes this copy: it is newer than the copy's row, or new to the copy.
    fn is_newer(&self, row: &SharedRow) -> bool {
        match self.rows.get(&row.key) {
            Some(own) => row.version > own.version,
            // A row from an older state may have been removed since. It must not be restored.
            None => row.value.is_some() && (row.version > self.version || self.version == StoreVersion::NONE),
        }
    }

    /// Returns the store version of the copy. `NONE` means that nothing has been read yet.
    #[must_use]
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the latest time at which the copy is known to have been up to date, or `None` before the first read.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Returns the rows of the table in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &SharedRow> {
        self.rows.values()
    }

    /// Returns the store version since which no row of the copy has changed.
    #[must_use]
    pub fn last_change_version(&self) -> StoreVersion {
        self.last_change_version
    }

    /// Returns the store version of the newest row that the copy has had.
    #[must_use]
    pub fn newest_row_version(&self) -> StoreVersion {
        self.newest_row_version
    }

    /// Returns the changes for a peer whose copy is at version `have`, or all rows if not all removals since then are
    /// known.
    #[must_use]
    pub fn changes_after(&self, have: StoreVersion) -> RowBatch {
        let whole = have < self.removals_complete_from;
        let rows = self.rows.values().filter(|row| whole || row.version > have).cloned();
        let removed = self.removal_versions.iter().filter(|(_, version)| !whole && **version > have);
        let removed = removed.map(|(key, version)| SharedRow { key: key.clone(), version: *version, value: None });
        RowBatch { rows: rows.chain(removed).collect(), version: self.version, whole }
    }
}
