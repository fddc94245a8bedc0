//! Measures what a node's process spends on requests at several loads: processor time for each relayed token and each
//! booking, and memory for each open request.
//!
//! One real node runs against stand-ins in this process. Processor times are those that the kernel counts for the node.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use wasabipier_core::document::ServiceKind;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::TestEnv;
use wasabipier_fakes::test_plan::{ServicePlan, TestPlan};

/// Numbers of streams that are open at the same time, one number for each measured load.
const STREAM_COUNTS: [usize; 5] = [1, 10, 50, 100, 150];
/// Numbers of callers that call a plain service at the same time, one number for each measured load.
const CALLER_COUNTS: [usize; 4] = [1, 4, 16, 48];
/// Duration of each measured load.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Duration of the load that precedes the measurements of a goal. Meanwhile the node raises the number of calls at once
/// that it allows at each target.
const RAMP_DURATION: Duration = Duration::from_secs(6);
/// Number of tokens in each stream.
const TOKENS_PER_STREAM: u32 = 100;
/// Ticks a second of the kernel's processor time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Returns the plan of one node with one streaming service and two plain ones.
fn bench_plan() -> TestPlan {
    let settings = |work_ms| TargetSettings {
        work_duration: Duration::from_millis(work_ms),
        cold_capacity: 64,
        warm_capacity: 64,
        tokens: TOKENS_PER_STREAM,
        ..TargetSettings::default()
    };
    let services = vec![
        ServicePlan {
            name: "coachmodel",
            kind: ServiceKind::Generate,
            target_count: 4,
            settings: settings(10),
            ..ServicePlan::default()
        },
        ServicePlan {
            name: "bookings",
            repeatable: false,
            target_count: 3,
            settings: settings(5),
            ..ServicePlan::default()
        },
        ServicePlan { name: "clubs", target_count: 3, settings: settings(5), ..ServicePlan::default() },
    ];
    TestPlan { node_count: 1, services, ..TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")) }
}

/// Resources that a process uses.
#[derive(Clone, Copy, Debug)]
struct ProcessUsage {
    /// Processor time since the start of the process, in user and system mode.
    cpu_seconds: f64,
    resident_kb: u64,
}

/// Reads the usage of a process from `/proc`.
fn read_process_usage(pid: u32) -> ProcessUsage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kb = resident.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or_default();
    ProcessUsage { cpu_seconds: (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND, resident_kb }
}

/// Results of one load.
#[derive(Clone, Copy, Debug, Default)]
struct LoadCounts {
    /// Requests with the outcome `done`.
    done: u64,
    /// Requests with another outcome or without an answer.
    failed: u64,
    /// Tokens that all callers received.
    tokens: u64,
}

/// Sends requests from `callers` threads for `duration`, each thread one at a time, and returns the sums.
fn run_load(env: &Arc<TestEnv>, goal: &'static str, callers: usize, duration: Duration, label: &str) -> LoadCounts {
    let started = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|caller| {
            let (env, label) = (env.clone(), label.to_owned());
            thread::spawn(move || {
                let mut load = LoadCounts::default();
                while started.elapsed() < duration {
                    let request =
                        format!("{label}-{}-{callers}-{caller}-{}", goal.replace('/', "-"), load.done + load.failed);
                    let answer = env.ask(0, goal, &request, r#"{"prompt":"a season plan"}"#);
                    let done = answer.outcome() == "done";
                    if !done && load.failed == 0 {
                        eprintln!("{request}: {} {}", answer.status, answer.last_line);
                    }
                    load.done += u64::from(done);
                    load.failed += u64::from(!done);
                    load.tokens += answer.tokens.len() as u64;
                }
                load
            })
        })
        .collect();
    threads.into_iter().filter_map(|thread| thread.join().ok()).fold(LoadCounts::default(), |sum, load| LoadCounts {
        done: sum.done + load.done,
        failed: sum.failed + load.failed,
        tokens: sum.tokens + load.tokens,
    })
}

fn main() {
    let env = Arc::new(TestEnv::start(bench_plan()));
    let pid = env.pid(0).expect("the node runs");
    let idle_start = read_process_usage(pid);
    thread::sleep(LOAD_DURATION);
    let idle_end = read_process_usage(pid);
    let idle_share = (idle_end.cpu_seconds - idle_start.cpu_seconds) / LOAD_DURATION.as_secs_f64();
    println!("idle: {:.2} % of a core, {} KB", 100.0 * idle_share, idle_end.resident_kb);
    run_load(&env, "pipelines/season-plan", 40, RAMP_DURATION, "ramp");
    println!(
        "goal                   callers    done  failed    per s  tokens/s    CPU %  us/token  us/request  RSS KB"
    );
    for callers in STREAM_COUNTS {
        print_load(&env, pid, "pipelines/season-plan", callers, idle_share);
    }
    for goal in ["services/clubs", "services/bookings"] {
        run_load(&env, goal, 16, RAMP_DURATION, "ramp");
        for callers in CALLER_COUNTS {
            print_load(&env, pid, goal, callers, idle_share);
        }
    }
}

/// Runs one load and prints its row of the table. `idle_share` is the processor time in seconds that the idle node uses
/// a second, which is subtracted.
fn print_load(env: &Arc<TestEnv>, pid: u32, goal: &'static str, callers: usize, idle_share: f64) {
    let (before, started) = (read_process_usage(pid), Instant::now());
    let load = run_load(env, goal, callers, LOAD_DURATION, "load");
    let (after, seconds) = (read_process_usage(pid), started.elapsed().as_secs_f64());
    let busy_seconds = after.cpu_seconds - before.cpu_seconds - idle_share * seconds;
    let micros_per = |count: u64| 1e6 * busy_seconds / count.max(1) as f64;
    println!(
        "{goal:22} {callers:7} {:7} {:7} {:8.1} {:9.0} {:8.2} {:9.1} {:11.0} {:7}",
        load.done,
        load.failed,
        load.done as f64 / seconds,
        load.tokens as f64 / seconds,
        100.0 * busy_seconds / seconds,
        if load.tokens == 0 { 0.0 } else { micros_per(load.tokens) },
        micros_per(load.done),
        after.resident_kb,
    );
}
