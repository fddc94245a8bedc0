//! Draws the burn report as SVG, without an SVG library.

use std::fmt::Write;

use crate::burn::report::{AlertRates, BurnReport, ReportRow, WindowRate};
use crate::burn::text;

/// Width of the picture. All lengths are in SVG user units.
const WIDTH: f64 = 1060.0;
/// Height above the first row.
const HEADER_HEIGHT: f64 = 100.0;
/// Height of a row.
const ROW_HEIGHT: f64 = 36.0;
/// Height below the last row.
const FOOTER_HEIGHT: f64 = 64.0;
/// Left edge of the rows' labels.
const LABEL_X: f64 = 20.0;
/// Left edge of the column of error budgets.
const BUDGET_X: f64 = 290.0;
/// Left edges of the columns of burn rates, one for each alert.
const ALERT_X: [f64; 2] = [540.0, 810.0];
/// Length of a full bar.
const BAR_LENGTH: f64 = 150.0;
/// Position of the threshold on the bar of a burn rate, as a share of the bar's length.
const THRESHOLD_RATIO: f64 = 0.5;

const TEXT_COLOUR: &str = "#1f2933";
const MUTED_COLOUR: &str = "#697586";
const TRACK_COLOUR: &str = "#e4e7eb";
const OK_COLOUR: &str = "#2f7d4f";
const WARNING_COLOUR: &str = "#b7791f";
const ALARM_COLOUR: &str = "#c0392b";

/// Draws the report as an SVG document.
pub fn draw_report(report: &BurnReport) -> String {
    let height = HEADER_HEIGHT + ROW_HEIGHT * report.rows.len() as f64 + FOOTER_HEIGHT;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" width=\"{WIDTH}\" \
         height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">"
    );
    let _ = writeln!(svg, "<rect width=\"{WIDTH}\" height=\"{height}\" fill=\"#ffffff\"/>");
    draw_header(&mut svg, report);
    let mut scope = "";
    for (number, row) in report.rows.iter().enumerate() {
        let top = HEADER_HEIGHT + ROW_HEIGHT * number as f64;
        if row.scope != scope {
            scope = &row.scope;
            let _ = writeln!(
                svg,
                "<line x1=\"{LABEL_X}\" x2=\"{}\" y1=\"{top}\" y2=\"{top}\" stroke=\"{TRACK_COLOUR}\"/>",
                WIDTH - LABEL_X
            );
        }
        draw_row(&mut svg, row, top);
    }
    draw_footer(&mut svg, height);
    svg.push_str("</svg>\n");
    svg
}

fn draw_header(svg: &mut String, report: &BurnReport) {
    write_text(svg, LABEL_X, 32.0, TEXT_COLOUR, "font-size=\"18\" font-weight=\"bold\"", "Service-level burn");
    write_text(svg, LABEL_X, 54.0, MUTED_COLOUR, "", text::format_header(report).trim_end());
    write_text(svg, BUDGET_X, HEADER_HEIGHT - 14.0, TEXT_COLOUR, "font-weight=\"bold\"", "Error budget left (30 days)");
    let Some(row) = report.rows.first() else {
        return write_text(svg, LABEL_X, HEADER_HEIGHT + 16.0, MUTED_COLOUR, "", "No request has ended yet.");
    };
    for (alert, left) in row.alerts.iter().zip(ALERT_X) {
        let title = format!("Burn rate, {} and {}", alert.short.window, alert.long.window);
        write_text(svg, left, HEADER_HEIGHT - 14.0, TEXT_COLOUR, "font-weight=\"bold\"", &title);
    }
}

fn draw_row(svg: &mut String, row: &ReportRow, top: f64) {
    write_text(svg, LABEL_X, top + 16.0, TEXT_COLOUR, "font-weight=\"bold\"", &row.name);
    let detail = format!("{}: {} of {} bad", row.scope, row.bad, row.events);
    write_text(svg, LABEL_X, top + 30.0, MUTED_COLOUR, "font-size=\"11\"", &detail);
    draw_budget(svg, row, top);
    for (alert, left) in row.alerts.iter().zip(ALERT_X) {
        draw_alert(svg, alert, left, top);
    }
}

fn draw_budget(svg: &mut String, row: &ReportRow, top: f64) {
    let colour = match row.budget_left {
        left if left <= 0.0 => ALARM_COLOUR,
        left if left < 0.5 => WARNING_COLOUR,
        _ => OK_COLOUR,
    };
    write_bar(svg, BUDGET_X, top + 10.0, 14.0, row.budget_left.clamp(0.0, 1.0), colour);
    write_text(svg, BUDGET_X + BAR_LENGTH + 8.0, top + 21.0, colour, "", &text::format_percent(row.budget_left));
}

/// Draws the bars of both windows of an alert, the line of its threshold and, if the alert is raised, its name.
fn draw_alert(svg: &mut String, alert: &AlertRates, left: f64, top: f64) {
    draw_rate(svg, alert, &alert.short, left, top + 7.0);
    draw_rate(svg, alert, &alert.long, left, top + 20.0);
    let mark_x = left + BAR_LENGTH * THRESHOLD_RATIO;
    let (from, to) = (top + 4.0, top + 32.0);
    let _ = writeln!(
        svg,
        "<line x1=\"{mark_x}\" x2=\"{mark_x}\" y1=\"{from}\" y2=\"{to}\" stroke=\"{TEXT_COLOUR}\" \
         stroke-dasharray=\"3 2\"/>"
    );
    if alert.raised {
        write_text(
            svg,
            left + BAR_LENGTH + 44.0,
            top + 21.0,
            ALARM_COLOUR,
            "font-weight=\"bold\"",
            &format!("{}!", alert.alert),
        );
    }
}

/// Draws the bar of a burn rate. A rate at the threshold ends at the threshold's line; a rate of twice the threshold or
/// more fills the bar.
fn draw_rate(svg: &mut String, alert: &AlertRates, rate: &WindowRate, left: f64, top: f64) {
    let share = (rate.burn_rate / alert.threshold * THRESHOLD_RATIO).clamp(0.0, 1.0);
    let colour = if rate.burn_rate >= alert.threshold { ALARM_COLOUR } else { OK_COLOUR };
    write_bar(svg, left, top, 9.0, share, colour);
    write_text(svg, left + BAR_LENGTH + 8.0, top + 9.0, colour, "font-size=\"11\"", &format!("{:.1}", rate.burn_rate));
}

fn draw_footer(svg: &mut String, height: f64) {
    let notes = [
        "At burn rate 1 the budget lasts exactly as long as its period. Upper bar: short window; \
         lower bar: long window.",
        "Dashed line: threshold (14.4 for 5m and 1h, 6 for 30m and 6h); an alert is raised when both bars reach it.",
    ];
    for (number, note) in notes.iter().enumerate() {
        write_text(svg, LABEL_X, height - 36.0 + 18.0 * number as f64, MUTED_COLOUR, "", note);
    }
}

fn write_bar(svg: &mut String, left: f64, top: f64, height: f64, share: f64, colour: &str) {
    let length = BAR_LENGTH * share;
    let _ = writeln!(
        svg,
        "<rect x=\"{left}\" y=\"{top}\" width=\"{BAR_LENGTH}\" height=\"{height}\" \
         fill=\"{TRACK_COLOUR}\"/>"
    );
    let _ =
        writeln!(svg, "<rect x=\"{left}\" y=\"{top}\" width=\"{length:.1}\" height=\"{height}\" fill=\"{colour}\"/>");
}

fn write_text(svg: &mut String, left: f64, baseline: f64, colour: &str, style: &str, text: &str) {
    let text = text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
    let _ = writeln!(svg, "<text x=\"{left}\" y=\"{baseline}\" fill=\"{colour}\" {style}>{text}</text>");
}
