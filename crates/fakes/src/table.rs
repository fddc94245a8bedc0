//! Rows with versions, written on condition, alone or all together.

use std::collections::BTreeMap;

use wasabipier_wire::platform::{BatchCall, TableOp, TableResult, TableRow};

/// The rows of the table service.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, TableRow>,
    last_version: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
    /// Batches.
    pub batches: u64,
}

impl FakeTable {
    /// Does a batch.
    pub fn apply(&mut self, batch: &BatchCall) -> Vec<TableResult> {
        self.batches += 1;
        let undone = batch.atomic.then(|| self.rows.clone());
        let results: Vec<TableResult> = batch.operations.iter().map(|op| self.apply_one(op)).collect();
        let conflict = results.iter().any(|result| matches!(result, TableResult::Conflict { .. }));
        if let (Some(rows), true) = (undone, conflict) {
            self.rows = rows;
        }
        results
    }

    fn apply_one(&mut self, op: &TableOp) -> TableResult {
        match op {
            TableOp::Read { key } => {
                self.reads += 1;
                TableResult::Read { row: self.rows.get(key).cloned() }
            }
            TableOp::Write { key, expected, value } => {
                let standing = self.rows.get(key);
                if standing.map(|row| row.version) != *expected {
                    return TableResult::Conflict { row: standing.cloned() };
                }
                self.writes += 1;
                self.last_version += 1;
                let row = TableRow { version: self.last_version, value: value.clone() };
                self.rows.insert(key.clone(), row);
                TableResult::Written { version: self.last_version }
            }
        }
    }

    /// All rows, by key.
    pub fn rows(&self) -> impl Iterator<Item = (&String, &TableRow)> {
        self.rows.iter()
    }
}
