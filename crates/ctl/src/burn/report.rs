//! The report as data: what the text, the JSON and the picture show.

use std::net::SocketAddr;

use serde::Serialize;
use strum::IntoEnumIterator;
use wasabipier_core::burn::latency::Latencies;
use wasabipier_core::burn::{BurnAlert, BurnRow, BurnWindow};
use wasabipier_wire::caller::NodeStatus;

/// The whole report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BurnReport {
    /// Environment.
    pub environment: String,
    /// Revision of the document at the node that was asked first.
    pub revision: u64,
    /// Nodes that answered.
    pub nodes: Vec<NodeCover>,
    /// Nodes that did not.
    pub silent_nodes: Vec<SilentNode>,
    /// Subjects: the environment, organisations, routes, stages, data centres.
    pub rows: Vec<ReportRow>,
}

impl BurnReport {
    /// The longest time for which a node has counted, in seconds.
    pub fn covers_s(&self) -> u64 {
        self.nodes.iter().map(|node| node.covers_s).max().unwrap_or_default()
    }

    /// The report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

/// A node that answered.
#[derive(Clone, Debug, Serialize)]
pub struct NodeCover {
    /// Its name.
    pub node: String,
    /// Seconds for which it has counted: nodes keep nothing when they stop.
    pub covers_s: u64,
}

/// A node that did not answer.
#[derive(Clone, Debug, Serialize)]
pub struct SilentNode {
    /// Its name.
    pub node: String,
    /// Its address for callers.
    pub address: SocketAddr,
}

impl From<&NodeStatus> for SilentNode {
    fn from(status: &NodeStatus) -> Self {
        Self { node: status.node.clone(), address: status.caller_address }
    }
}

/// One subject.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// `environment`, `organisation`, `route`, `stage` or `data-centre`.
    pub scope: String,
    /// Name.
    pub name: String,
    /// Events within the period.
    pub events: u64,
    /// Bad ones among them.
    pub bad: u64,
    /// Share of the error budget that is left; below 0 if more than all is spent.
    pub budget_left: f64,
    /// Burn rates of the paired windows.
    pub alerts: Vec<AlertRates>,
    /// Latencies of the last one to two hours that half of the events, 95 and 99 in 100 did not exceed.
    pub latency_ms: LatencyMillis,
}

impl ReportRow {
    /// Kinds of the alerts that are raised, joined by commas.
    pub fn raised(&self) -> String {
        let raised = self.alerts.iter().filter(|alert| alert.raised);
        raised.map(|alert| alert.alert.clone()).collect::<Vec<_>>().join(",")
    }
}

/// Burn rates of one alert.
#[derive(Clone, Debug, Serialize)]
pub struct AlertRates {
    /// `fast` or `slow`.
    pub alert: String,
    /// Rate from which both windows raise it.
    pub threshold: f64,
    /// Whether they do.
    pub raised: bool,
    /// Rate over the short window.
    pub short: WindowRate,
    /// Rate over the long window.
    pub long: WindowRate,
}

/// Burn rate of one window.
#[derive(Clone, Debug, Serialize)]
pub struct WindowRate {
    /// The window.
    pub window: String,
    /// Events within it.
    pub events: u64,
    /// How many times faster than allowed the budget is spent.
    pub burn_rate: f64,
}

/// Latencies in milliseconds; none without events that ran.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyMillis {
    /// Median.
    pub p50: Option<u64>,
    /// 95 in 100.
    pub p95: Option<u64>,
    /// 99 in 100.
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
