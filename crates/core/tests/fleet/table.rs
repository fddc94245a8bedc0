//! A simulated table service with conditional writes, and its faults.

use std::collections::BTreeMap;

use wasabipier_core::prelude::*;

/// Behaviour of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableMode {
    /// Operations are answered within milliseconds.
    #[default]
    Up,
    /// Operations are answered within two seconds, which may be after the sender's timeout.
    Slow,
    /// Connections are refused.
    Refusing,
    /// Operations are never answered and take no effect.
    Silent,
    /// Operations take effect, but their answers are lost.
    LosingAnswers,
    /// Operations take effect long after the sender's timeout.
    Delaying,
}

/// Times at which an operation takes effect and its sender gets a reply, in milliseconds from now.
#[derive(Clone, Copy, Debug)]
pub struct OpTiming {
    /// Time until the operation takes effect, or `None` if it never does.
    pub effect_after: Option<u64>,
    /// Time until the sender gets the actual result, or `None` if the sender runs into `timeout`.
    pub reply_after: Option<u64>,
    /// Time until the sender stops waiting for a reply.
    pub timeout: u64,
}

/// A simulated table service.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
    pub mode: TableMode,
    /// Accepted documents with the times of their acceptance, oldest first.
    pub documents: Vec<(u64, std::sync::Arc<AcceptedDocument>)>,
}

impl Table {
    /// Returns random times for an operation that is sent now, within the bounds of the mode.
    pub fn sample_timing(&self, rng: &mut fastrand::Rng) -> OpTiming {
        let short_delay_ms = rng.u64(1..10);
        let timeout = 1_000;
        match self.mode {
            TableMode::Up => {
                OpTiming { effect_after: Some(short_delay_ms), reply_after: Some(short_delay_ms * 2), timeout }
            }
            TableMode::Slow => {
                let effect_after = rng.u64(100..1_500);
                let reply_after = effect_after + rng.u64(1..500);
                OpTiming {
                    effect_after: Some(effect_after),
                    reply_after: (reply_after < timeout).then_some(reply_after),
                    timeout,
                }
            }
            TableMode::Refusing => OpTiming { effect_after: None, reply_after: None, timeout: short_delay_ms },
            TableMode::Silent => OpTiming { effect_after: None, reply_after: None, timeout },
            TableMode::LosingAnswers => OpTiming { effect_after: Some(short_delay_ms), reply_after: None, timeout },
            TableMode::Delaying => OpTiming { effect_after: Some(rng.u64(1_000..20_000)), reply_after: None, timeout },
        }
    }

    /// Applies an operation at the time `now` and returns its reply.
    ///
    /// A write conflicts unless the row has the expected version, where `None` expects no row.
    pub fn apply(&mut self, op: &StoreOp, now: u64) -> StoreReply {
        match op {
            StoreOp::Read { key } => StoreReply::Read(self.rows.get(key).cloned()),
            StoreOp::Write { key, expected, value } => {
                let current = self.rows.get(key);
                if current.map(|row| row.version) != *expected {
                    return StoreReply::Conflict(current.cloned());
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

    /// Returns the row under `key`.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }
}
