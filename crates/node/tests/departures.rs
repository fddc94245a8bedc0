//! Nodes that stop, and data centres that are taken out and come back, under load.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::{TestAsk, TestEnv, TestPlan, ask_at};
use wasabipier_fakes::test_load::{DueAsk, LoadRecord, TestLoad};

use wasabipier_wire::agent::ip_agent;

/// Time within which a data centre that was taken out must get no new work.
const LEFT_WITHIN: Duration = Duration::from_secs(3);

/// Three nodes and services whose limits leave each node a share.
fn env() -> TestEnv {
    let mut plan = TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier"));
    plan.tuning = "addresses_kept_ms = 1000\nlongest_call_ms = 1500\npeer_dead_ms = 2000";
    for service in &mut plan.services {
        service.targets = 3;
        service.settings = TargetSettings { cold_bears: 6, warm_bears: 12, ..service.settings.clone() };
    }
    TestEnv::start(plan)
}

/// Both users' kinds of request, 50 a second until it is stopped.
fn load(env: &TestEnv) -> TestLoad {
    let goals =
        [("pipelines/season-plan", r#"{"prompt":"nets"}"#), ("services/bookings", "{}"), ("services/clubs", "{}")];
    let ask = |number: u32| {
        let (goal, body) = goals[number as usize % goals.len()];
        DueAsk { due: Duration::from_millis(20) * number, ask: TestAsk::new(goal, &format!("load-{number}"), body) }
    };
    TestLoad::start((0..24).map(|number| env.caller(number)).collect(), (0..5000).map(ask).collect())
}

fn assert_all_done(env: &TestEnv, records: &[LoadRecord]) {
    for record in records {
        assert_eq!(record.answer.outcome(), "done", "after {:?}: {record:?}", record.due);
        if record.ask.goal == "services/bookings" {
            assert_eq!(env.runs("bookings", &record.ask.request), 1);
        }
    }
}

fn serves(env: &TestEnv, node: usize) -> bool {
    env.status(node).is_some_and(|status| status.nodes[0].state == "serving" && status.nodes.len() == env.nodes.len())
}

#[test]
fn each_node_is_replaced_in_turn_and_no_request_is_cut() {
    // Arrange
    let mut env = env();
    let load = load(&env);

    // Act
    let mut codes = Vec::new();
    for node in 0..env.nodes.len() {
        let answered = load.answered();
        env.signal(node, Signal::TERM);
        codes.push(env.wait_for_exit(node));
        env.spawn(node);
        env.wait_until("the new instance serves", |env| serves(env, node));
        env.wait_until("the load goes on", |_| load.answered() > answered + 20);
    }
    let records = load.stop();

    // Assert
    assert_eq!(codes, [Some(0); 3]);
    assert_all_done(&env, &records);
}

#[test]
fn second_signal_says_what_it_cuts() {
    // Arrange
    let mut env = env();
    env.fault("clubs", &FaultSettings { delay_ms: 5000, ..FaultSettings::default() });

    // Act
    let (code, cut) = thread::scope(|scope| {
        let address = env.nodes[0].caller_address;
        let agent = ip_agent(ureq::config::Config::default());
        let ask = TestAsk::new("services/clubs", "cut-1", "{}");
        let asking = scope.spawn(move || ask_at(&agent, address, &ask));
        env.wait_until("the request runs", |env| {
            env.targets.values().any(|target| target.state().link.open_connections() > 0 && target.service == "clubs")
        });
        env.signal(0, Signal::TERM);
        env.wait_until("the first signal is heard", |env| env.log("entry-1").contains("asked to stop"));
        env.signal(0, Signal::TERM);
        let code = env.wait_for_exit(0);
        (code, asking.join().expect("the caller ends"))
    });

    // Assert
    assert_eq!(code, Some(4));
    assert!(env.log("entry-1").contains("1 requests are cut"), "{}", env.log("entry-1"));
    assert_ne!(cut.outcome(), "done");
}

#[test]
fn data_centre_leaves_and_comes_back_as_a_ramp() {
    // Arrange
    let env = env();
    let load = load(&env);
    let open = env.document();
    let out = open.replacen("admission = open", "admission = out", 1);
    let left = open.split("[data-centre ").nth(1).and_then(|text| text.split(']').next()).expect("a data centre");
    let sum = |env: &TestEnv, what: &str| -> u64 {
        let targets = env.targets.values().filter(|target| target.dc == left);
        targets.filter_map(|target| target.state().stats()[what].as_u64()).sum()
    };
    env.wait_until("the data centre has work", |env| sum(env, "calls") > 50);

    // Act
    let _ = env.promote(0, &out);
    thread::sleep(LEFT_WITHIN);
    let (calls, answered) = (sum(&env, "calls"), load.answered());
    env.wait_until("traffic goes on", |_| load.answered() > answered + 100);
    let later = sum(&env, "calls");
    for target in env.targets.values().filter(|target| target.dc == left) {
        target.state().turn_cold();
    }
    let overloads = sum(&env, "overloads");
    let _ = env.promote(1, &open);
    env.wait_until("the data centre has work again", |env| sum(env, "calls") > later + 100);
    let records = load.stop();

    // Assert
    assert_eq!(later, calls, "new work {LEFT_WITHIN:?} after it was taken out");
    assert_eq!(sum(&env, "overloads"), overloads, "more than a cold target bears");
    assert_all_done(&env, &records);
}
