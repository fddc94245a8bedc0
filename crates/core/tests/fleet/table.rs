//! A table service with conditional rows, and its faults.

use std::collections::BTreeMap;

use wasabipier_core::prelude::*;

/// How the table service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableMode {
    /// It answers within milliseconds.
    #[default]
    Up,
    /// It answers within seconds.
    Slow,
    /// It refuses connections.
    Refusing,
    /// It never answers, and nothing takes effect.
    Silent,
    /// Writes take effect, answers are lost.
    LosingAnswers,
    /// Writes take effect long after their sender gave up.
    Delaying,
}

/// When an operation takes effect and when its sender hears of it, in milliseconds from now.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    /// When it takes effect, if it does.
    pub effect: Option<u64>,
    /// When it is answered truly; otherwise the sender gives up after `gives_up`.
    pub answer: Option<u64>,
    /// When the sender gives up.
    pub gives_up: u64,
}

/// The table service.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
    pub mode: TableMode,
    /// Documents in the order of their acceptance, with the time.
    pub documents: Vec<(u64, std::sync::Arc<AcceptedDocument>)>,
}

impl Table {
    /// Decides what becomes of an operation that is sent now.
    pub fn course(&self, random: &mut fastrand::Rng) -> Course {
        let quick = random.u64(1..10);
        let gives_up = 1_000;
        match self.mode {
            TableMode::Up => Course { effect: Some(quick), answer: Some(quick * 2), gives_up },
            TableMode::Slow => {
                let effect = random.u64(100..1_500);
                let answer = effect + random.u64(1..500);
                Course { effect: Some(effect), answer: (answer < gives_up).then_some(answer), gives_up }
            }
            TableMode::Refusing => Course { effect: None, answer: None, gives_up: quick },
            TableMode::Silent => Course { effect: None, answer: None, gives_up },
            TableMode::LosingAnswers => Course { effect: Some(quick), answer: None, gives_up },
            TableMode::Delaying => Course { effect: Some(random.u64(1_000..20_000)), answer: None, gives_up },
        }
    }

    /// Applies an operation.
    pub fn apply(&mut self, op: &StoreOp, now: u64) -> StoreReply {
        match op {
            StoreOp::Read { key } => StoreReply::Read(self.rows.get(key).cloned()),
            StoreOp::Write { key, expected, value } => {
                let standing = self.rows.get(key);
                if standing.map(|row| row.version) != *expected {
                    return StoreReply::Conflict(standing.cloned());
                }
                let version = RowVersion(expected.map_or(1, |version| version.0 + 1));
                if let RowValue::Document(document) = value {
                    self.documents.push((now, document.clone()));
                }
                self.rows.insert(key.clone(), Row { version, value: value.clone() });
                StoreReply::Written(version)
            }
        }
    }

    /// A row.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }
}
