//! Results of a run, and the table of all runs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::time::Duration;

use wasabipier_fakes::test_env::TestEnv;
use wasabipier_fakes::test_load::LoadRecord;

use crate::users::UserPlan;

/// Heading of the section that this bench writes.
const HEADING: &str = "## Whole system\n";
/// Time after the return of the data centre for which requests are counted separately.
const RETURN_DURATION: Duration = Duration::from_secs(4);
/// Page into which the table is written.
const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/MEASUREMENTS.md");

/// Number of requests that meet a condition, among all counted requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    good: u32,
    all: u32,
}

impl Share {
    fn record(&mut self, is_good: bool) {
        self.all += 1;
        self.good += u32::from(is_good);
    }

    fn format(self) -> String {
        format!("{:.1} % of {}", 100.0 * f64::from(self.good) / f64::from(self.all.max(1)), self.all)
    }
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    name: String,
    /// `baseline` or `wasabipier`.
    setting: &'static str,
    /// Time from the start at which the data centre was taken out.
    pub out_at: Duration,
    /// Time from the start at which the data centre was back in service.
    pub back_at: Duration,
    /// Number of calls that reached the data centre more than three seconds after it was taken out.
    pub late_calls: u64,
    /// Number of calls beyond the capacity of targets when the data centre came back.
    pub overloads_at_return: u64,
    /// End of the rollout of the version without faults: its state and the time since the promotion. `None` if not
    /// measured or not decided in time.
    pub good: Option<(String, Duration)>,
    /// End of the rollout of the version whose calls fail: its state and the time since the promotion. `None` if not
    /// measured or not decided in time.
    pub bad: Option<(String, Duration)>,
    in_time: Share,
    in_time_while_out: Share,
    in_time_after_return: Share,
    /// Bookings that ran once and were told `done`, or did not run and were told `not-run`.
    booked_right: Share,
    /// Number of bookings whose answer was `unknown` or missing.
    booked_unknown: u32,
    /// Number of bookings that ran more than once.
    booked_twice: u32,
    /// Number of bookings told `done` without a run, or `not-run` after one.
    told_wrong: u32,
    /// 99th percentile of the response times.
    tail_ms: u128,
    /// Numbers of calls at targets and of charged calls, by service.
    calls_by_stage: BTreeMap<&'static str, (u64, u64)>,
    /// Number of calls beyond the capacity of targets in the whole run.
    overloads: u64,
}

impl RunReport {
    /// Creates an empty report.
    pub fn new(user: &UserPlan, baseline: bool) -> Self {
        let setting = if baseline { "baseline" } else { "wasabipier" };
        Self { name: user.name.to_owned(), setting, ..Self::default() }
    }

    /// Counts how the requests of a run ended.
    pub fn count_requests(&mut self, env: &TestEnv, user: &UserPlan, records: &[LoadRecord]) {
        let booking_goal = format!("services/{}", user.booking_service());
        let mut response_times_ms: Vec<u128> = Vec::new();
        for record in records {
            let in_time = record.answer.outcome() == "done" && record.response_time <= record.request.deadline;
            self.in_time.record(in_time);
            if (self.out_at..self.back_at).contains(&record.due) {
                self.in_time_while_out.record(in_time);
            } else if (self.back_at..self.back_at + RETURN_DURATION).contains(&record.due) {
                self.in_time_after_return.record(in_time);
            }
            if record.request.goal == booking_goal {
                self.count_booking(env, user, record);
            }
            response_times_ms.push(record.response_time.as_millis());
        }
        response_times_ms.sort_unstable();
        self.tail_ms = response_times_ms.get(response_times_ms.len() * 99 / 100).copied().unwrap_or_default();
        for service in user.services() {
            let targets = env.targets.values().filter(|target| target.service == service.name);
            let calls = targets.filter_map(|target| target.state().stats()["calls"].as_u64()).sum();
            let lines =
                records.iter().filter_map(|record| record.answer.final_reply.as_ref()).flat_map(|reply| &reply.charges);
            let charged = lines.filter(|charge| charge.service == service.name).count() as u64;
            self.calls_by_stage.insert(service.name, (calls, charged));
        }
        let stats = env.targets.values().map(|target| target.state().stats());
        self.overloads = stats.filter_map(|stats| stats["overloads"].as_u64()).sum();
    }

    /// Compares the outcome of a booking with how often it ran.
    fn count_booking(&mut self, env: &TestEnv, user: &UserPlan, record: &LoadRecord) {
        let key = format!("{}/{}", record.request.org, record.request.request_id);
        let targets = env.targets.values().filter(|target| target.service == user.booking_service());
        let runs: u32 = targets.map(|target| target.state().runs().get(&key).copied().unwrap_or_default()).sum();
        let outcome = record.answer.outcome();
        let is_right = (runs == 1 && outcome == "done") || (runs == 0 && outcome == "not-run");
        self.booked_right.record(is_right);
        self.booked_unknown += u32::from(outcome == "unknown" || outcome.is_empty());
        self.booked_twice += u32::from(runs > 1);
        self.told_wrong += u32::from((runs == 0 && outcome == "done") || (runs > 0 && outcome == "not-run"));
    }

    /// Formats the number of calls at targets for each charged call, by service.
    fn format_cost(&self) -> String {
        let format_service = |(name, (calls, charged)): (&&str, &(u64, u64))| {
            format!("{name} {:.2}", *calls as f64 / (*charged).max(1) as f64)
        };
        self.calls_by_stage.iter().map(format_service).collect::<Vec<_>>().join(", ")
    }
}

fn format_rollout(end: Option<&(String, Duration)>) -> String {
    end.map_or("not measured or undecided".to_owned(), |(state, at)| format!("{state} after {:.1} s", at.as_secs_f64()))
}

/// Prints the table and replaces the section of the page that has it, or adds the section at the end.
pub fn write(reports: &[RunReport], seed: u64, seconds: u64) {
    let table = format_table(reports, seed, seconds);
    println!("{table}");
    let page = fs::read_to_string(PAGE).unwrap_or_default();
    let (before, after) = match page.split_once(HEADING) {
        Some((before, rest)) => (before, rest.find("\n## ").map_or("", |end| &rest[end + 1..])),
        None => (page.as_str(), ""),
    };
    let gap = if before.ends_with("\n\n") || before.is_empty() { "" } else { "\n" };
    let tail = if after.is_empty() { String::new() } else { format!("\n{after}") };
    if let Err(error) = fs::write(PAGE, format!("{before}{gap}{table}{tail}")) {
        eprintln!("{PAGE}: {error}; write the table there by hand");
    }
}

fn format_table(reports: &[RunReport], seed: u64, seconds: u64) -> String {
    let mut text = format!(
        "{HEADING}\n`cargo bench -p wasabipier --bench experiment -- --seed {seed} --seconds {seconds}`, 10 cores and \
        32 GiB shared\nwith other work, all on loopback. Seven nodes a user as processes, stand-ins as threads of one \
        more; bursts\nof 400 requests a second between 80. In each run, at the same times: a data centre is taken out \
        and\nback, an engine crashes, links go silent, a node is killed, the store loses its answers for a tenth\nof \
        the time. Callers ask again with the same id when they get no answer. The baseline takes targets\nin turn, \
        without limits, early refusal, hedges or a retry budget; claims are the same.\nCost is calls \
        at targets for each one charged to a caller.\n\n"
    );
    let mut write_row = |name: &str, value: &dyn Fn(&RunReport) -> String| {
        let cells: Vec<String> = reports.iter().map(value).collect();
        let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
    };
    write_row("", &|report| format!("{}, {}", report.name, report.setting));
    write_row("---", &|_| "---".to_owned());
    write_row("done within the deadline", &|report| report.in_time.format());
    write_row("the same while a data centre is out", &|report| report.in_time_while_out.format());
    write_row("the same after its return", &|report| report.in_time_after_return.format());
    write_row("99th percentile, all answers", &|report| format!("{} ms", report.tail_ms));
    write_row("bookings: ran once and told so, or did not and told so", &|report| report.booked_right.format());
    write_row("bookings told unknown, or nothing", &|report| report.booked_unknown.to_string());
    write_row("bookings run twice", &|report| report.booked_twice.to_string());
    write_row("bookings told wrongly", &|report| report.told_wrong.to_string());
    write_row("calls at the data centre from 3 s after it was out", &|report| report.late_calls.to_string());
    write_row("calls beyond what targets bear, at its return", &|report| report.overloads_at_return.to_string());
    write_row("the same over the whole run", &|report| report.overloads.to_string());
    write_row("good version", &|report| format_rollout(report.good.as_ref()));
    write_row("bad version (30 % of its calls fail)", &|report| format_rollout(report.bad.as_ref()));
    write_row("cost by stage", &RunReport::format_cost);
    text
}
