//! Copies of the store's tables that every node keeps, with the moment for which each is known to be the newest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// Tables that nodes keep copies of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum SharedTable {
    /// What operators want: the document and their orders.
    Orders,
    /// Targets, as they register themselves.
    Targets,
}

/// One row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedRow {
    /// Its key.
    pub key: Arc<str>,
    /// The store's version of its last change.
    pub version: u64,
    /// Its bytes; none: it was removed.
    pub value: Option<Arc<[u8]>>,
}

/// Rows from the store or from a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowBatch {
    /// The rows.
    pub rows: Vec<SharedRow>,
    /// The store's newest version when it answered.
    pub version: u64,
    /// Whether these are all rows of the table; otherwise they are changes.
    pub whole: bool,
}

/// For which moment an answer of the store shows the newest state: when it was asked for, or when a call that was
/// held for `wait` without a change came to its end at the store, which is at least that long after.
#[must_use]
pub fn proven_at(batch: &RowBatch, asked: Moment, wait: Duration, answered: Moment) -> Moment {
    let is_held_out = !batch.whole && batch.rows.is_empty() && answered.since(asked) >= wait;
    if is_held_out { asked + wait } else { asked }
}

/// A copy of one table.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<Arc<str>, SharedRow>,
    /// Versions at which rows were removed.
    removed: BTreeMap<Arc<str>, u64>,
    version: u64,
    /// Version after which no row changed.
    changed: u64,
    /// Version from which on every removal is known.
    complete_from: u64,
    asked: Option<Moment>,
}

impl TableCopy {
    /// Most removals remembered; peers that are further behind get the whole table.
    const MOST_REMOVED: usize = 2_000;

    /// Takes a batch in that was asked for at `asked`; gives back the rows that changed.
    ///
    /// A batch from an older state never undoes a newer row.
    pub fn apply(&mut self, batch: &RowBatch, asked: Moment) -> Vec<SharedRow> {
        let mut changed: Vec<SharedRow> = Vec::new();
        if self.version == 0 {
            // What was removed before is not known.
            (self.complete_from, self.changed) = (batch.version, batch.version);
        }
        if batch.whole && batch.version >= self.version {
            changed.extend(self.missing_from(batch));
        }
        for row in &changed {
            self.take(row);
        }
        // One after the other: a batch may hold several changes of a row.
        for row in &batch.rows {
            if self.is_newer(row) {
                self.take(row);
                changed.push(row.clone());
            }
        }
        // A row that came and went between two reads may be held by a peer.
        for row in batch.rows.iter().filter(|row| row.value.is_none()) {
            if row.version > self.version && !self.rows.contains_key(&row.key) {
                self.take(row);
            }
        }
        self.forget_removed();
        if batch.version >= self.version {
            self.version = batch.version;
            self.asked = self.asked.max(Some(asked));
        }
        changed
    }

    fn take(&mut self, row: &SharedRow) {
        self.changed = self.changed.max(row.version);
        if row.value.is_some() {
            self.removed.remove(&row.key);
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            self.rows.remove(&row.key);
            self.removed.insert(row.key.clone(), row.version);
        }
    }

    /// Drops the oldest removals beyond what is remembered.
    fn forget_removed(&mut self) {
        while self.removed.len() > Self::MOST_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
            let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else { return };
            self.removed.remove(&key);
            self.complete_from = self.complete_from.max(version);
        }
    }

    /// Notes that a peer's copy at `version`, whose last row changed at `changed`, was the newest at `asked`; tells
    /// whether this copy holds the same rows.
    pub fn confirm(&mut self, version: u64, changed: u64, asked: Moment) -> bool {
        if self.version == 0 || changed > self.version || version < self.version {
            return false;
        }
        self.version = version;
        self.asked = self.asked.max(Some(asked));
        true
    }

    fn missing_from<'a>(&'a self, batch: &'a RowBatch) -> impl Iterator<Item = SharedRow> + 'a {
        let kept = move |key: &Arc<str>| batch.rows.iter().any(|row| row.key == *key);
        let gone = self.rows.keys().filter(move |key| !kept(key)).cloned();
        gone.map(|key| SharedRow { key, version: batch.version, value: None })
    }

    fn is_newer(&self, row: &SharedRow) -> bool {
        match self.rows.get(&row.key) {
            Some(own) => row.version > own.version,
            // A row that was removed since must not come back from an older state.
            None => row.value.is_some() && (row.version > self.version || self.version == 0),
        }
    }

    /// The store's version that the copy stands at; 0: nothing was read yet.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When the state that the copy shows was asked for: it was the newest then.
    #[must_use]
    pub fn asked(&self) -> Option<Moment> {
        self.asked
    }

    /// The rows.
    pub fn rows(&self) -> impl Iterator<Item = &SharedRow> {
        self.rows.values()
    }

    /// The store's version after which no row changed.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// What a peer lacks whose copy stands at `have`: the changes since then, or all rows if not all are known.
    #[must_use]
    pub fn changes_after(&self, have: u64) -> RowBatch {
        let whole = have < self.complete_from;
        let rows = self.rows.values().filter(|row| whole || row.version > have).cloned();
        let removed = self.removed.iter().filter(|(_, version)| !whole && **version > have);
        let removed = removed.map(|(key, version)| SharedRow { key: key.clone(), version: *version, value: None });
        RowBatch { rows: rows.chain(removed).collect(), version: self.version, whole }
    }
}
