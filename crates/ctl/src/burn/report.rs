//! Data of the burn report, which the table, the JSON and the picture show.

use std::net::SocketAddr;

use serde::Serialize;
use strum::IntoEnumIterator;
use wasabipier_core::burn::latency::Latencies;
use wasabipier_core::burn::{BurnAlert, BurnRow, BurnWindow};
use wasabipier_wire::caller::NodeStatus;

/// Burn report of an environment. Its fields are the keys of the JSON output.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BurnReport {
    /// Name of the environment.
    pub environment: String,
    /// Revision of the document in force at the node given on the command line.
    pub revision: u64,
    /// Nodes that answered.
    pub nodes: Vec<NodeCoverage>,
    /// Nodes whose counts could not be fetched and are missing in the rows.
    pub silent_nodes: Vec<SilentNode>,
    /// One row for each subject: the environment, organisations, routes, stages and data centres.
    pub rows: Vec<ReportRow>,
}

impl BurnReport {
    /// Returns the longest time, in seconds, for which any node has counted.
    pub fn max_covers_s(&self) -> u64 {
        self.nodes.iter().map(|node| node.covers_s).max().unwrap_or_default()
    }

    /// Formats the report as indented JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

/// Node that answered, with the time that its counts cover.
#[derive(Clone, Debug, Serialize)]
pub struct NodeCoverage {
    /// Name of the node.
    pub node: String,
    /// Time in seconds for which the node has counted. Nodes lose their counts when they stop.
    pub covers_s: u64,
}

/// Node whose counts could not be fetched.
#[derive(Clone, Debug, Serialize)]
pub struct SilentNode {
    /// Name of the node.
    pub node: String,
    /// Address of the node for callers.
    pub address: SocketAddr,
}

impl From<&NodeStatus> for SilentNode {
    fn from(status: &NodeStatus) -> Self {
        Self { node: status.node.clone(), address: status.caller_address }
    }
}

/// Row of one subject.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// Scope of the subject: `environment`, `organisation`, `route`, `stage` or `data-centre`.
    pub scope: String,
    /// Name of the subject.
    pub name: String,
    /// Number of good and bad events, which are ended requests or calls, within the period of 30 days.
    pub events: u64,
    /// Number of bad events within the period.
    pub bad: u64,
    /// Share of the error budget that is left, at most 1; negative if the budget is overspent.
    pub budget_left: f64,
    /// Burn rates of each alert: first `fast`, then `slow`.
    pub alerts: Vec<AlertRates>,
    /// Median, 95th and 99th percentile of the latencies of the last one to two hours.
    pub latency_ms: LatencyMillis,
}

impl ReportRow {
    /// Returns the names of the alerts that are raised, joined by commas.
    pub fn raised_alerts(&self) -> String {
        let raised = self.alerts.iter().filter(|alert| alert.raised);
        raised.map(|alert| alert.alert.clone()).collect::<Vec<_>>().join(",")
    }
}

/// Burn rates of one alert.
#[derive(Clone, Debug, Serialize)]
pub struct AlertRates {
    /// Name of the alert: `fast` or `slow`.
    pub alert: String,
    /// Burn rate that both windows must reach to raise the alert.
    pub threshold: f64,
    /// Whether the alert is raised.
    pub raised: bool,
    /// Burn rate over the short window.
    pub short: WindowRate,
    /// Burn rate over the long window.
    pub long: WindowRate,
}

/// Burn rate of one window.
#[derive(Clone, Debug, Serialize)]
pub struct WindowRate {
    /// Length of the window, such as `5m`.
    pub window: String,
    /// Number of events within the window.
    pub events: u64,
    /// Ratio of the rate at which the error budget is spent to the rate that spends it exactly within its period.
    pub burn_rate: f64,
}

/// Percentiles of the latency in milliseconds, each `None` if no latency was counted.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyMillis {
    /// Median.
    pub p50: Option<u64>,
    /// 95th percentile.
    pub p95: Option<u64>,
    /// 99th percentile.
    pub p99: Option<u64>,
}

impl From<&BurnRow> for ReportRow {
    fn from(row: &BurnRow) -> Self {
        let period = row.counts(BurnWindow::Days30);
        let mut latencies = Latencies::default();
        latencies.add(&row.latencies);
        Self {
            scope: row.subject.scope.to_string(),
            name: row.subject.name.to_string(),
            events: period.events(),
            bad: period.bad,
            budget_left: period.budget_left(),
            alerts: BurnAlert::iter().map(|alert| alert_rates(row, alert)).collect(),
            latency_ms: LatencyMillis {
                p50: latencies.quantile_ms(0.50),
                p95: latencies.quantile_ms(0.95),
                p99: latencies.quantile_ms(0.99),
            },
        }
    }
}

fn alert_rates(row: &BurnRow, alert: BurnAlert) -> AlertRates {
    let [short, long] = alert.windows().map(|window| WindowRate {
        window: window.to_string(),
        events: row.counts(window).events(),
        burn_rate: row.counts(window).burn_rate(),
    });
    AlertRates { alert: alert.to_string(), threshold: alert.threshold(), raised: row.raises(alert), short, long }
}
