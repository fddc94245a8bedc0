//! What a node's process spends on requests: processor time for each token relayed and each booking,
//! and memory for each request open, at several loads.
//!
//! One real node, stand-ins in this process. Times are the node's own, as the kernel counts them.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use wasabipier_core::document::ServiceKind;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::TestEnv;
use wasabipier_fakes::test_plan::{ServicePlan, TestPlan};

/// Streams open at once.
const STREAMS: [usize; 5] = [1, 10, 50, 100, 150];
/// Callers of plain services at once.
const CALLERS: [usize; 4] = [1, 4, 16, 48];
/// Time that each load lasts.
const SPAN: Duration = Duration::from_secs(4);
/// Time for targets to earn their limits.
const RAMP: Duration = Duration::from_secs(6);
const TOKENS: u32 = 100;
/// Units of the kernel's processor time in a second.
const CLOCK_TICKS: f64 = 100.0;

fn plan() -> TestPlan {
    let settings = |work_ms| TargetSettings {
        work: Duration::from_millis(work_ms),
        cold_bears: 64,
        warm_bears: 64,
        tokens: TOKENS,
        ..TargetSettings::default()
    };
    let services = vec![
        ServicePlan {
            name: "coachmodel",
            kind: ServiceKind::Generate,
            targets: 4,
            settings: settings(10),
            ..ServicePlan::default()
        },
        ServicePlan {
            name: "bookings",
            repeatable: false,
            targets: 3,
            settings: settings(5),
            ..ServicePlan::default()
        },
        ServicePlan { name: "clubs", targets: 3, settings: settings(5), ..ServicePlan::default() },
    ];
    TestPlan { nodes: 1, services, ..TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")) }
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug)]
struct ProcessUse {
    busy: f64,
    resident_kb: u64,
}

fn process_use(pid: u32) -> ProcessUse {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kb = resident.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or_default();
    ProcessUse { busy: (ticks(11) + ticks(12)) / CLOCK_TICKS, resident_kb }
}

/// What one load did.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    done: u64,
    failed: u64,
    tokens: u64,
}

/// Asks from as many threads as `callers` for `span`.
fn drive(env: &Arc<TestEnv>, goal: &'static str, callers: usize, span: Duration, label: &str) -> Load {
    let started = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|caller| {
            let (env, label) = (env.clone(), label.to_owned());
            thread::spawn(move || {
                let mut load = Load::default();
                while started.elapsed() < span {
                    let request =
                        format!("{label}-{}-{callers}-{caller}-{}", goal.replace('/', "-"), load.done + load.failed);
                    let answer = env.ask(0, goal, &request, r#"{"prompt":"a season plan"}"#);
                    let done = answer.outcome() == "done";
                    if !done && load.failed == 0 {
                        eprintln!("{request}: {} {}", answer.status, answer.raw);
                    }
                    load.done += u64::from(done);
                    load.failed += u64::from(!done);
                    load.tokens += answer.tokens.len() as u64;
                }
                load
            })
        })
        .collect();
    threads.into_iter().filter_map(|thread| thread.join().ok()).fold(Load::default(), |sum, load| Load {
        done: sum.done + load.done,
        failed: sum.failed + load.failed,
        tokens: sum.tokens + load.tokens,
    })
}

fn main() {
    let env = Arc::new(TestEnv::start(plan()));
    let pid = env.pid(0).expect("the node runs");
    let idle = process_use(pid);
    thread::sleep(SPAN);
    let later = process_use(pid);
    let idle_share = (later.busy - idle.busy) / SPAN.as_secs_f64();
    println!("idle: {:.2} % of a core, {} KB", 100.0 * idle_share, later.resident_kb);
    drive(&env, "pipelines/season-plan", 40, RAMP, "ramp");
    println!(
        "goal                   callers    done  failed    per s  tokens/s    CPU %  us/token  us/request  RSS KB"
    );
    for callers in STREAMS {
        report(&env, pid, "pipelines/season-plan", callers, idle_share);
    }
    for goal in ["services/clubs", "services/bookings"] {
        drive(&env, goal, 16, RAMP, "ramp");
        for callers in CALLERS {
            report(&env, pid, goal, callers, idle_share);
        }
    }
}

fn report(env: &Arc<TestEnv>, pid: u32, goal: &'static str, callers: usize, idle_share: f64) {
    let (before, started) = (process_use(pid), Instant::now());
    let load = drive(env, goal, callers, SPAN, "load");
    let (after, seconds) = (process_use(pid), started.elapsed().as_secs_f64());
    let busy = after.busy - before.busy - idle_share * seconds;
    let each = |count: u64| 1e6 * busy / count.max(1) as f64;
    println!(
        "{goal:22} {callers:7} {:7} {:7} {:8.1} {:9.0} {:8.2} {:9.1} {:11.0} {:7}",
        load.done,
        load.failed,
        load.done as f64 / seconds,
        load.tokens as f64 / seconds,
        100.0 * busy / seconds,
        if load.tokens == 0 { 0.0 } else { each(load.tokens) },
        each(load.done),
        after.resident_kb,
    );
}
