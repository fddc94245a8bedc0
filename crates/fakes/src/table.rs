//! In-memory table service: versioned rows with conditional writes, in batches that may be atomic.

use std::collections::BTreeMap;

use wasabipier_wire::platform::{BatchCall, TableOp, TableResult, TableRow};

/// Rows and counters of the table service.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, TableRow>,
    /// Version of the last written row. Versions are unique among all rows.
    last_version: u64,
    /// Number of writes whose expected version was the row's version, also if the batch was undone.
    pub writes: u64,
    /// Number of reads.
    pub reads: u64,
    /// Number of batches.
    pub batches: u64,
}

impl FakeTable {
    /// Applies a batch and returns one result per operation, in the batch's order.
    ///
    /// A conflict undoes all writes of an atomic batch.
    pub fn apply(&mut self, batch: &BatchCall) -> Vec<TableResult> {
        self.batches += 1;
        let rows_before = batch.atomic.then(|| self.rows.clone());
        let results: Vec<TableResult> = batch.operations.iter().map(|op| self.apply_operation(op)).collect();
        let has_conflict = results.iter().any(|result| matches!(result, TableResult::Conflict { .. }));
        if let (Some(rows), true) = (rows_before, has_conflict) {
            self.rows = rows;
        }
        results
    }

    fn apply_operation(&mut self, op: &TableOp) -> TableResult {
        match op {
            TableOp::Read { key } => {
                self.reads += 1;
                TableResult::Read { row: self.rows.get(key).cloned() }
            }
            TableOp::Write { key, expected, value } => {
                let current = self.rows.get(key);
                if current.map(|row| row.version) != *expected {
                    return TableResult::Conflict { row: current.cloned() };
                }
                self.writes += 1;
                self.last_version += 1;
                let row = TableRow { version: self.last_version, value: value.clone() };
                self.rows.insert(key.clone(), row);
                TableResult::Written { version: self.last_version }
            }
        }
    }

    /// Returns all rows in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&String, &TableRow)> {
        self.rows.iter()
    }
}
