//! Copies of the store's tables that every node keeps, with the moment for which each is known to be the newest.

use std::collections::BTreeMap;
use std::sync::Arc;

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

/// A copy of one table.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<Arc<str>, SharedRow>,
    version: u64,
    asked: Option<Moment>,
}

impl TableCopy {
    /// Takes a batch in that was asked for at `asked`; gives back the rows that changed.
    ///
    /// A batch from an older state never undoes a newer row.
    pub fn apply(&mut self, batch: &RowBatch, asked: Moment) -> Vec<SharedRow> {
        let mut changed: Vec<SharedRow> = Vec::new();
        if batch.whole && batch.version >= self.version {
            changed.extend(self.missing_from(batch));
        }
        changed.extend(batch.rows.iter().filter(|row| self.is_newer(row)).cloned());
        for row in &changed {
            if row.value.is_some() {
                self.rows.insert(row.key.clone(), row.clone());
            } else {
                self.rows.remove(&row.key);
            }
        }
        if batch.version >= self.version {
            self.version = batch.version;
            self.asked = self.asked.max(Some(asked));
        }
        changed
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

    /// All rows, for a peer.
    #[must_use]
    pub fn batch(&self) -> RowBatch {
        RowBatch { rows: self.rows.values().cloned().collect(), version: self.version, whole: true }
    }
}
