//! Formats the burn report as a table for a terminal.

use std::fmt::Write;

use crate::burn::report::{AlertRates, BurnReport, ReportRow};

/// Formats the report as a header, a table and a legend that explains the figures.
pub fn format_table(report: &BurnReport) -> String {
    let mut text = format_header(report);
    let width = report.rows.iter().map(|row| row.name.len()).max().unwrap_or_default().max("NAME".len());
    let _ = writeln!(
        text,
        "{:<12} {:<width$} {:>8} {:>6} {:>8} {:>11} {:>11} {:>8} {:>8}  ALERT",
        "SCOPE", "NAME", "EVENTS", "BAD", "LEFT", "5m/1h", "30m/6h", "P50 ms", "P95 ms"
    );
    for row in &report.rows {
        write_row(&mut text, row, width);
    }
    text.push_str(&format_legend(report));
    text
}

/// Formats one line with the environment, the revision, the number of nodes that answered and the longest time that a
/// node's counts cover.
pub fn format_header(report: &BurnReport) -> String {
    let asked_count = report.nodes.len() + report.silent_nodes.len();
    format!(
        "environment {}, revision {}: {} of {asked_count} nodes answered, counting for up to {}\n",
        report.environment,
        report.revision,
        report.nodes.len(),
        format_duration(report.max_covers_s())
    )
}

fn format_legend(report: &BurnReport) -> String {
    if report.rows.is_empty() {
        return "no request has ended yet\n".to_owned();
    }
    "LEFT: share of the error budget of 30 days that is left, for the events that were counted.\n\
     5m/1h and 30m/6h: burn rates; at 1 the budget lasts exactly as long as its period.\n\
     ALERT: fast if both rates of 5m/1h are 14.4 or more, slow if both of 30m/6h are 6 or more.\n"
        .to_owned()
}

fn write_row(text: &mut String, row: &ReportRow, width: usize) {
    let [fast, slow] = [0, 1].map(|pair| row.alerts.get(pair).map(format_rates).unwrap_or_default());
    let line = format!(
        "{:<12} {:<width$} {:>8} {:>6} {:>8} {fast:>11} {slow:>11} {:>8} {:>8}  {}",
        row.scope,
        row.name,
        row.events,
        row.bad,
        format_percent(row.budget_left),
        format_millis(row.latency_ms.p50),
        format_millis(row.latency_ms.p95),
        row.raised_alerts()
    );
    let _ = writeln!(text, "{}", line.trim_end());
}

fn format_rates(alert: &AlertRates) -> String {
    format!("{:.1}/{:.1}", alert.short.burn_rate, alert.long.burn_rate)
}

fn format_millis(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Formats a share, where 1 is 100 %, as a percentage with one decimal place.
pub fn format_percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn format_duration(seconds: u64) -> String {
    match seconds {
        0..120 => format!("{seconds} s"),
        120..7200 => format!("{} min", seconds / 60),
        7200..172_800 => format!("{} h", seconds / 3600),
        _ => format!("{} days", seconds / 86_400),
    }
}
