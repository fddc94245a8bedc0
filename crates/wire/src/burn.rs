//! What one node counted for the service-level report: `GET /v1/operator/burn`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::burn::latency::LatencyCount;
use wasabipier_core::burn::{BurnRow, BurnSubject, EventCounts};

/// Counts of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReply {
    /// The node.
    pub node: String,
    /// Environment.
    pub environment: String,
    /// Revision in force there.
    pub revision: u64,
    /// Seconds since the node started to count.
    pub covers_s: u64,
    /// Counts by subject.
    pub rows: Vec<WireBurnRow>,
}

/// Counts of one subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireBurnRow {
    /// `environment`, `organisation`, `route`, `stage` or `data-centre`.
    pub scope: String,
    /// Name of the subject.
    pub name: String,
    /// Events by window.
    pub windows: Vec<WireWindow>,
    /// Latencies of the last one to two hours.
    pub latencies: Vec<WireLatency>,
}

/// Events of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWindow {
    /// `5m`, `30m`, `1h`, `6h` or `30d`.
    pub window: String,
    /// Good events.
    pub good: u64,
    /// Bad events.
    pub bad: u64,
    /// Bad events that the objectives allow, in millionths.
    pub budget_micros: u64,
}

/// How often a latency came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLatency {
    /// Milliseconds, to two digits.
    pub ms: u64,
    /// How often.
    pub count: u64,
}

impl From<&BurnRow> for WireBurnRow {
    fn from(row: &BurnRow) -> Self {
        let windows = row.windows.iter().map(|(window, counts)| WireWindow {
            window: window.to_string(),
            good: counts.good,
            bad: counts.bad,
            budget_micros: counts.budget_micros,
        });
        Self {
            scope: row.subject.scope.to_string(),
            name: row.subject.name.to_string(),
            windows: windows.collect(),
            latencies: row
                .latencies
                .iter()
                .map(|latency| WireLatency { ms: latency.ms, count: latency.count })
                .collect(),
        }
    }
}

/// A word that this version does not know.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown scope or window `{0}`: use the `wasabipierctl` of the nodes' release")]
pub struct UnknownWord(String);

impl TryFrom<&WireBurnRow> for BurnRow {
    type Error = UnknownWord;

    fn try_from(wire: &WireBurnRow) -> Result<Self, Self::Error> {
        let scope = wire.scope.parse().map_err(|_| UnknownWord(wire.scope.clone()))?;
        let windows = wire.windows.iter().map(|wire| {
            let window = wire.window.parse().map_err(|_| UnknownWord(wire.window.clone()))?;
            Ok((window, EventCounts { good: wire.good, bad: wire.bad, budget_micros: wire.budget_micros }))
        });
        let latencies = wire.latencies.iter().map(|wire| LatencyCount { ms: wire.ms, count: wire.count });
        Ok(Self {
            subject: BurnSubject { scope, name: Arc::from(wire.name.as_str()) },
            windows: windows.collect::<Result<_, UnknownWord>>()?,
            latencies: latencies.collect(),
        })
    }
}
