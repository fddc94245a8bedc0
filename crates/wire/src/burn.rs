//! Encoded form of the event counts that each node contributes to the service-level report, which shows how fast an
//! environment uses up its error budget (burn rate).

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::burn::latency::LatencyCount;
use wasabipier_core::burn::{BurnRow, BurnSubject, EventCounts};

/// Reply to `GET /v1/operator/burn`: event counts of the node that replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReply {
    /// Name of the node.
    pub node: String,
    /// Name of the environment.
    pub environment: String,
    /// Document revision in force at the node.
    pub revision: u64,
    /// Time since the node started to count, in seconds.
    pub covers_s: u64,
    /// Counts by subject.
    pub rows: Vec<WireBurnRow>,
}

/// Encoded form of [`BurnRow`]: event counts and latencies of one subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireBurnRow {
    /// Kind of the subject: `environment`, `organisation`, `route`, `stage` or `data-centre`.
    pub scope: String,
    /// Name of the subject.
    pub name: String,
    /// Event counts by window.
    pub windows: Vec<WireWindow>,
    /// Latencies of the last one to two hours.
    pub latencies: Vec<WireLatency>,
}

/// Event counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWindow {
    /// Name of the window: `5m`, `30m`, `1h`, `6h` or `30d`.
    pub window: String,
    /// Number of good events.
    pub good: u64,
    /// Number of bad events.
    pub bad: u64,
    /// Number of bad events that the objectives allow, in millionths of an event.
    pub budget_micros: u64,
}

/// Number of events with the same latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLatency {
    /// Latency in milliseconds, to two significant digits.
    pub ms: u64,
    /// Number of events.
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

/// Error for a scope or window whose name this release does not know.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown scope or window `{0}`: use the `wasabipierctl` of the nodes' release")]
pub struct UnknownBurnName(String);

impl TryFrom<&WireBurnRow> for BurnRow {
    type Error = UnknownBurnName;

    fn try_from(wire: &WireBurnRow) -> Result<Self, Self::Error> {
        let scope = wire.scope.parse().map_err(|_| UnknownBurnName(wire.scope.clone()))?;
        let windows = wire.windows.iter().map(|wire| {
            let window = wire.window.parse().map_err(|_| UnknownBurnName(wire.window.clone()))?;
            Ok((window, EventCounts { good: wire.good, bad: wire.bad, budget_micros: wire.budget_micros }))
        });
        let latencies = wire.latencies.iter().map(|wire| LatencyCount { ms: wire.ms, count: wire.count });
        Ok(Self {
            subject: BurnSubject { scope, name: Arc::from(wire.name.as_str()) },
            windows: windows.collect::<Result<_, UnknownBurnName>>()?,
            latencies: latencies.collect(),
        })
    }
}
