//! The report as a picture: SVG, written by hand.

use std::fmt::Write;

use crate::burn::report::{AlertRates, BurnReport, ReportRow, WindowRate};
use crate::burn::text;

/// Width of the picture; all lengths are in user units.
const WIDTH: f64 = 1060.0;
/// Height above the first row.
const HEAD: f64 = 100.0;
/// Height of a row.
const ROW: f64 = 36.0;
/// Height below the last row.
const FOOT: f64 = 64.0;
/// Left edge of labels.
const LABEL: f64 = 20.0;
/// Left edge of the budgets.
const BUDGET: f64 = 290.0;
/// Left edges of the paired burn rates.
const PAIRS: [f64; 2] = [540.0, 810.0];
/// Length of a whole bar.
const BAR: f64 = 150.0;
/// Share of a burn rate's bar at which its threshold stands.
const THRESHOLD: f64 = 0.5;

const INK: &str = "#1f2933";
const FAINT: &str = "#697586";
const TRACK: &str = "#e4e7eb";
const FINE: &str = "#2f7d4f";
const WARNING: &str = "#b7791f";
const ALARM: &str = "#c0392b";

/// The report as SVG.
pub fn draw(report: &BurnReport) -> String {
    let height = HEAD + ROW * report.rows.len() as f64 + FOOT;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" width=\"{WIDTH}\" \
         height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">"
    );
    let _ = writeln!(svg, "<rect width=\"{WIDTH}\" height=\"{height}\" fill=\"#ffffff\"/>");
    draw_head(&mut svg, report);
    let mut scope = "";
    for (number, row) in report.rows.iter().enumerate() {
        let top = HEAD + ROW * number as f64;
        if row.scope != scope {
            scope = &row.scope;
            let _ = writeln!(
                svg,
                "<line x1=\"{LABEL}\" x2=\"{}\" y1=\"{top}\" y2=\"{top}\" stroke=\"{TRACK}\"/>",
                WIDTH - LABEL
            );
        }
        draw_row(&mut svg, row, top);
    }
    draw_foot(&mut svg, height);
    svg.push_str("</svg>\n");
    svg
}

fn draw_head(svg: &mut String, report: &BurnReport) {
    write_text(svg, LABEL, 32.0, INK, "font-size=\"18\" font-weight=\"bold\"", "Service-level burn");
    write_text(svg, LABEL, 54.0, FAINT, "", text::head(report).trim_end());
    write_text(svg, BUDGET, HEAD - 14.0, INK, "font-weight=\"bold\"", "Error budget left (30 days)");
    let Some(row) = report.rows.first() else {
        return write_text(svg, LABEL, HEAD + 16.0, FAINT, "", "No request has ended yet.");
    };
    for (alert, left) in row.alerts.iter().zip(PAIRS) {
        let title = format!("Burn rate, {} and {}", alert.short.window, alert.long.window);
        write_text(svg, left, HEAD - 14.0, INK, "font-weight=\"bold\"", &title);
    }
}

fn draw_row(svg: &mut String, row: &ReportRow, top: f64) {
    write_text(svg, LABEL, top + 16.0, INK, "font-weight=\"bold\"", &row.name);
    let detail = format!("{}: {} of {} bad", row.scope, row.bad, row.events);
    write_text(svg, LABEL, top + 30.0, FAINT, "font-size=\"11\"", &detail);
    draw_budget(svg, row, top);
    for (alert, left) in row.alerts.iter().zip(PAIRS) {
        draw_pair(svg, alert, left, top);
    }
}

fn draw_budget(svg: &mut String, row: &ReportRow, top: f64) {
    let colour = match row.budget_left {
        left if left <= 0.0 => ALARM,
        left if left < 0.5 => WARNING,
        _ => FINE,
    };
    write_bar(svg, BUDGET, top + 10.0, 14.0, row.budget_left.clamp(0.0, 1.0), colour);
    write_text(svg, BUDGET + BAR + 8.0, top + 21.0, colour, "", &text::percent(row.budget_left));
}

fn draw_pair(svg: &mut String, alert: &AlertRates, left: f64, top: f64) {
    draw_rate(svg, alert, &alert.short, left, top + 7.0);
    draw_rate(svg, alert, &alert.long, left, top + 20.0);
    let mark = left + BAR * THRESHOLD;
    let (from, to) = (top + 4.0, top + 32.0);
    let _ = writeln!(
        svg,
        "<line x1=\"{mark}\" x2=\"{mark}\" y1=\"{from}\" y2=\"{to}\" stroke=\"{INK}\" stroke-dasharray=\"3 2\"/>"
    );
    if alert.raised {
        write_text(svg, left + BAR + 44.0, top + 21.0, ALARM, "font-weight=\"bold\"", &format!("{}!", alert.alert));
    }
}

/// A bar that ends at the threshold's mark if the rate is at the threshold; longer ones are cut at its end.
fn draw_rate(svg: &mut String, alert: &AlertRates, rate: &WindowRate, left: f64, top: f64) {
    let share = (rate.burn_rate / alert.threshold * THRESHOLD).clamp(0.0, 1.0);
    let colour = if rate.burn_rate >= alert.threshold { ALARM } else { FINE };
    write_bar(svg, left, top, 9.0, share, colour);
    write_text(svg, left + BAR + 8.0, top + 9.0, colour, "font-size=\"11\"", &format!("{:.1}", rate.burn_rate));
}

fn draw_foot(svg: &mut String, height: f64) {
    let notes = [
        "At burn rate 1 the budget lasts exactly as long as its period. Upper bar: short window; lower bar: long window.",
        "Dashed line: threshold (14.4 for 5m and 1h, 6 for 30m and 6h); an alert is raised when both bars reach it.",
    ];
    for (number, note) in notes.iter().enumerate() {
        write_text(svg, LABEL, height - 36.0 + 18.0 * number as f64, FAINT, "", note);
    }
}

fn write_bar(svg: &mut String, left: f64, top: f64, height: f64, share: f64, colour: &str) {
    let length = BAR * share;
    let _ = writeln!(svg, "<rect x=\"{left}\" y=\"{top}\" width=\"{BAR}\" height=\"{height}\" fill=\"{TRACK}\"/>");
    let _ =
        writeln!(svg, "<rect x=\"{left}\" y=\"{top}\" width=\"{length:.1}\" height=\"{height}\" fill=\"{colour}\"/>");
}

fn write_text(svg: &mut String, left: f64, base: f64, colour: &str, style: &str, text: &str) {
    let text = text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
    let _ = writeln!(svg, "<text x=\"{left}\" y=\"{base}\" fill=\"{colour}\" {style}>{text}</text>");
}
