//! Measures the whole system: the traffic of the two companies that use wasabipier through real nodes, with faults,
//! compared to a baseline.
//!
//! `cargo bench -p wasabipier --bench experiment -- --seed 1 --seconds 24` prints the table and writes it
//! into `docs/MEASUREMENTS.md`. Nodes run as processes, stand-ins and callers as threads of this process.

mod report;
mod traffic;
mod users;

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::test_env::TestEnv;
use wasabipier_fakes::test_load::TestLoad;

use crate::report::RunReport;
use crate::users::UserPlan;

/// Number of callers, which is the most requests in flight at once.
const CALLER_COUNT: usize = 300;
/// Time after which a data centre that was taken out must get no new calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the rollout of a new version must be finished or rolled back.
const ROLLOUT_TIMEOUT: Duration = Duration::from_mins(1);

/// Arguments of the command line; the defaults are seed 1 and 24 seconds. The rollouts take further time.
#[derive(Clone, Copy, Debug)]
struct RunArgs {
    seed: u64,
    seconds: u64,
}

impl RunArgs {
    fn from_env() -> Self {
        let args: Vec<String> = std::env::args().collect();
        let number = |name: &str, default: u64| {
            let position = args.iter().position(|arg| arg == name);
            position.and_then(|position| args.get(position + 1)?.parse().ok()).unwrap_or(default)
        };
        Self { seed: number("--seed", 1), seconds: number("--seconds", 24) }
    }
}

fn main() {
    let args = RunArgs::from_env();
    let mut reports = Vec::new();
    for user in UserPlan::all() {
        for baseline in [false, true] {
            let report = measure(&user, baseline, args);
            println!("{report:#?}");
            reports.push(report);
        }
    }
    report::write(&reports, args.seed, args.seconds);
}

/// Measures one run: first traffic with faults, then the rollout of two new versions under the same kind of traffic.
fn measure(user: &UserPlan, baseline: bool, args: RunArgs) -> RunReport {
    let mut env = TestEnv::start(user.test_plan(env!("CARGO_BIN_EXE_wasabipier"), baseline));
    let mut report = RunReport::new(user, baseline);
    let duration = Duration::from_secs(args.seconds);
    let load = start_load(&env, user, args.seed, duration);
    inject_faults(&mut env, duration, &mut report);
    report.count_requests(&env, user, &load.finish());
    if !baseline {
        let load = start_load(&env, user, args.seed + 1, ROLLOUT_TIMEOUT);
        roll_out_versions(&mut env, user, &mut report);
        let _ = load.stop();
    }
    report
}

/// Starts the traffic of a company for `duration`, the same requests for the same seed.
fn start_load(env: &TestEnv, user: &UserPlan, seed: u64, duration: Duration) -> TestLoad {
    let callers = (0..CALLER_COUNT).map(|number| {
        let mut caller = env.create_caller(number);
        caller.max_attempts = 3;
        caller
    });
    TestLoad::start(callers.collect(), traffic::create_schedule(user, seed, duration))
}

/// Injects the same faults at the same shares of the duration in each run.
fn inject_faults(env: &mut TestEnv, duration: Duration, report: &mut RunReport) {
    let started = Instant::now();
    let wait_until = |share: f64| thread::sleep(duration.mul_f64(share).saturating_sub(started.elapsed()));
    let open = env.document();
    let out = open.replacen("admission = open", "admission = out", 1);

    wait_until(0.2);
    let _ = env.promote(0, &out);
    report.out_at = started.elapsed();
    thread::sleep(DRAIN_TIMEOUT);
    let calls_after_drain = calls_in_first_dc(env);
    wait_until(0.45);
    report.late_calls = calls_in_first_dc(env) - calls_after_drain;
    for target in targets_in_first_dc(env) {
        target.state().turn_cold();
    }
    let overloads_before = sum_stat(env, "overloads");
    let _ = env.promote(1, &open);
    report.back_at = started.elapsed();
    wait_until(0.6);
    report.overloads_at_return = sum_stat(env, "overloads") - overloads_before;
    // One engine of the pipeline's last stage crashes and comes back cold. The open connections to the first target by
    // name go silent.
    if let Some((_, engine)) =
        env.targets.iter().find(|(_, target)| target.service == "coachmodel" || target.service == "kielipalvelu")
    {
        engine.state().crash();
    }
    if let Some(target) = env.targets.values().next() {
        target.state().link.freeze();
    }
    wait_until(0.7);
    env.send_signal(2, Signal::KILL);
    env.kill(2);
    env.spawn(2);
    wait_until(0.8);
    env.set_platform_faults(&FaultSettings { lose_answers: true, ..FaultSettings::default() });
    wait_until(0.9);
    env.set_platform_faults(&FaultSettings::default());
    wait_until(1.0);
}

/// Returns the targets in the data centre of the first node, which is the one that is taken out.
fn targets_in_first_dc(env: &TestEnv) -> impl Iterator<Item = &wasabipier_fakes::test_env::TestTarget> {
    let dc = env.nodes[0].dc.clone();
    env.targets.values().filter(move |target| target.dc == dc)
}

/// Returns the number of calls that the targets of the first data centre received.
fn calls_in_first_dc(env: &TestEnv) -> u64 {
    targets_in_first_dc(env).filter_map(|target| target.state().stats()["calls"].as_u64()).sum()
}

/// Returns the sum over all targets of the counter `name` in their stats.
fn sum_stat(env: &TestEnv, name: &str) -> u64 {
    env.targets.values().filter_map(|target| target.state().stats()[name].as_u64()).sum()
}

/// Rolls out a version without faults and one whose calls fail, of two services, under traffic. Records how and when
/// each rollout ends.
fn roll_out_versions(env: &mut TestEnv, user: &UserPlan, report: &mut RunReport) {
    for (service, faults) in user.candidates() {
        let plan = user.service(service);
        for number in 1..=plan.target_count {
            env.add_target(&format!("{service}-new-{number}"), &plan, "v2", number);
        }
        for target in env.targets.values().filter(|target| target.service == service && target.version == "v2") {
            target.state().faults.set(faults.clone());
        }
    }
    let mut text = env.document();
    for (service, _) in user.candidates() {
        let head = format!("[service {service}]\n");
        let lines =
            format!("{head}candidate = v2\nfirst_share = 0.1\nfinish_within_s = {}\n", ROLLOUT_TIMEOUT.as_secs());
        text = text.replacen(&head, &lines, 1);
    }
    let promoted_at = Instant::now();
    let _ = env.promote(0, &text);
    let (good_service, bad_service) = (user.candidates()[0].0, user.candidates()[1].0);
    while promoted_at.elapsed() < ROLLOUT_TIMEOUT + Duration::from_secs(3) {
        for rollout in env.status(0).map(|status| status.rollouts).unwrap_or_default() {
            let elapsed = promoted_at.elapsed();
            if rollout.service == good_service && rollout.state != "comparing" && report.good.is_none() {
                report.good = Some((rollout.state.clone(), elapsed));
            }
            if rollout.service == bad_service && rollout.state != "comparing" && report.bad.is_none() {
                report.bad = Some((rollout.state.clone(), elapsed));
            }
        }
        if report.good.is_some() && report.bad.is_some() {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}
