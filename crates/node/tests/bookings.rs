//! Calls that must run at most once, while nodes, targets and the table service fail.
//!
//! Each test fails one component at one point of a booking. It guards against bookings that run twice and against
//! outcomes that do not match what ran.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::{TestAnswer, TestEnv, TestPlan};

const BOOKING_GOAL: &str = "services/bookings";
const BODY: &str = r#"{"lane":3}"#;

/// Starts an environment with three nodes, in which a booking takes `work_duration` at its target.
fn start_env(work_duration: Duration) -> TestEnv {
    let mut plan = TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier"));
    plan.edge_lines = "store_ms = 400";
    plan.tuning_lines = "peer_dead_ms = 2000";
    for service in plan.services.iter_mut().filter(|service| service.name == "bookings") {
        // Three calls at once are one for each node's share of the target, so that the other nodes need not wait until
        // the share of a killed one is free.
        service.settings = TargetSettings { work_duration, cold_capacity: 3, ..TargetSettings::default() };
    }
    TestEnv::start(plan)
}

fn no_faults() -> FaultSettings {
    FaultSettings::default()
}

/// Waits until a booking at a node has the outcome `done`, which needs the table service.
fn wait_for_store(env: &TestEnv, node: usize) {
    let number = std::cell::Cell::new(0);
    env.wait_until("bookings complete again", |env| {
        number.set(number.get() + 1);
        env.ask(node, BOOKING_GOAL, &format!("probe-{node}-{}", number.get()), BODY).outcome() == "done"
    });
}

/// Checks that a request ran at most once and that each answer matches: no `done` without a run, no `not-run` after
/// one.
fn assert_answers_match_runs(env: &TestEnv, request: &str, answers: &[&TestAnswer]) {
    let runs = env.count_runs("bookings", request);
    assert!(runs <= 1, "{request} ran {runs} times");
    let wrong = if runs == 1 { "not-run" } else { "done" };
    for answer in answers {
        assert_ne!(answer.outcome(), wrong, "{request} ran {runs} times: {answer:?}");
    }
}

/// Returns whether a target of `bookings` has received a call.
fn target_was_called(env: &TestEnv) -> bool {
    let mut bookings = env.targets.values().filter(|target| target.service == "bookings");
    bookings.any(|target| target.state().stats()["calls"] != 0)
}

/// The node writes the claim and is killed before it calls the target. Other nodes must not run the booking.
#[test]
fn node_killed_between_claim_and_send() {
    // Arrange
    let mut env = start_env(Duration::from_millis(5));
    env.set_platform_faults(&FaultSettings { lose_answers: true, ..no_faults() });

    // Act
    let lost = thread::scope(|scope| {
        let caller = scope.spawn(|| env.ask(0, BOOKING_GOAL, "b-1", BODY));
        env.wait_until("the claim is stored", |env| env.is_claimed("b-1"));
        env.send_signal(0, Signal::KILL);
        caller.join().expect("the caller thread ends")
    });
    env.kill(0);
    env.set_platform_faults(&no_faults());
    wait_for_store(&env, 1);
    let second = env.ask_within(1, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2));
    let third = env.ask_within(2, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2));

    // Assert
    assert_eq!(lost.status, 0, "the first caller lost its node");
    assert_answers_match_runs(&env, "b-1", &[&second, &third]);
    assert_eq!((second.outcome(), third.outcome()), ("unknown", "unknown"));
    assert_eq!(env.count_runs("bookings", "b-1"), 0);
}

/// The node is killed while its target works. Neither another node nor the new instance of this one may run the booking
/// again.
#[test]
fn node_killed_between_send_and_record() {
    // Arrange
    let mut env = start_env(Duration::from_millis(300));

    // Act
    thread::scope(|scope| {
        let caller = scope.spawn(|| env.ask(0, BOOKING_GOAL, "b-1", BODY));
        env.wait_until("the target runs the booking", target_was_called);
        env.send_signal(0, Signal::KILL);
        let _ = caller.join();
    });
    env.kill(0);
    env.wait_until("the booking has run", |env| env.count_runs("bookings", "b-1") == 1);
    let second = env.ask_within(1, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2));
    env.spawn(0);
    env.wait_until("the new instance serves", |env| {
        env.status(0).is_some_and(|status| status.revision > 0 && status.nodes[0].state == "serving")
    });
    let third = env.ask_within(0, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2));

    // Assert
    assert_answers_match_runs(&env, "b-1", &[&second, &third]);
    assert_eq!((second.outcome(), third.outcome()), ("unknown", "unknown"));
    assert_eq!(env.count_runs("bookings", "b-1"), 1);
}

/// The table service goes down while the target works, and the node is killed before it can write the result.
#[test]
fn node_killed_before_the_record_could_be_written() {
    // Arrange
    let mut env = start_env(Duration::from_millis(300));

    // Act
    let first = thread::scope(|scope| {
        let caller = scope.spawn(|| env.ask(0, BOOKING_GOAL, "b-1", BODY));
        env.wait_until("the target runs the booking", target_was_called);
        env.set_platform_faults(&FaultSettings { down: true, ..no_faults() });
        caller.join().expect("the caller thread ends")
    });
    env.kill(0);
    env.set_platform_faults(&no_faults());
    wait_for_store(&env, 1);
    let second = env.ask_within(1, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2));

    // Assert
    assert_eq!(first.outcome(), "done");
    assert_answers_match_runs(&env, "b-1", &[&first, &second]);
    assert_eq!(second.outcome(), "unknown");
}

/// The node is frozen while its target works and another node is asked. Both must give outcomes that match one run.
#[test]
fn node_frozen_while_its_target_works() {
    // Arrange
    let env = start_env(Duration::from_millis(300));

    // Act
    let (first, second) = thread::scope(|scope| {
        let caller = scope.spawn(|| env.ask(0, BOOKING_GOAL, "b-1", BODY));
        env.wait_until("the target runs the booking", target_was_called);
        env.send_signal(0, Signal::STOP);
        let second = env.ask_within(1, BOOKING_GOAL, "b-1", BODY, Duration::from_millis(1500));
        env.send_signal(0, Signal::CONT);
        (caller.join().expect("the caller thread ends"), second)
    });
    env.wait_until("another node reports the recorded outcome", |env| {
        env.ask_within(2, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(1)).outcome() == first.outcome()
    });

    // Assert
    assert_answers_match_runs(&env, "b-1", &[&first, &second]);
    assert_eq!(second.outcome(), "unknown");
}

/// The node is frozen after its claim and before its call. When it continues, the booking must run at most once.
#[test]
fn node_frozen_between_claim_and_send() {
    // Arrange
    let env = start_env(Duration::from_millis(5));
    env.set_platform_faults(&FaultSettings { delay_ms: 300, ..no_faults() });

    // Act
    let (first, second) = thread::scope(|scope| {
        let caller = scope.spawn(|| env.ask_within(0, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2)));
        thread::sleep(Duration::from_millis(150));
        env.send_signal(0, Signal::STOP);
        env.wait_until("the claim is stored", |env| env.is_claimed("b-1"));
        env.set_platform_faults(&no_faults());
        let second = env.ask_within(1, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(3));
        env.send_signal(0, Signal::CONT);
        (caller.join().expect("the caller thread ends"), second)
    });
    let third = env.ask_within(2, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2));

    // Assert
    assert_answers_match_runs(&env, "b-1", &[&first, &second, &third]);
    assert_eq!(second.outcome(), "unknown");
}

/// The target runs the booking but its answer is lost. The outcome is unknown, and asking again must not run it twice.
#[test]
fn answer_of_the_target_lost_after_the_work() {
    // Arrange
    let env = start_env(Duration::from_millis(5));
    env.set_service_faults("bookings", &FaultSettings { lose_answers: true, ..no_faults() });

    // Act
    let first = env.ask_within(0, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(1));
    env.set_service_faults("bookings", &no_faults());
    let repeated = env.ask_within(0, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(1));
    let elsewhere = env.ask_within(1, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(1));

    // Assert
    assert_eq!(env.count_runs("bookings", "b-1"), 1);
    for answer in [&first, &repeated, &elsewhere] {
        assert_eq!(answer.outcome(), "unknown", "{answer:?}");
    }
}

/// The table service stores the claim but its answer is lost. The node must recognise its own claim and go on.
#[test]
fn answers_of_the_table_service_lost_after_the_write() {
    // Arrange
    let env = start_env(Duration::from_millis(5));
    env.set_platform_faults(&FaultSettings { lose_answers: true, ..no_faults() });

    // Act
    let first = thread::scope(|scope| {
        let caller = scope.spawn(|| env.ask(0, BOOKING_GOAL, "b-1", BODY));
        env.wait_until("the claim is stored", |env| env.is_claimed("b-1"));
        env.set_platform_faults(&no_faults());
        caller.join().expect("the caller thread ends")
    });
    wait_for_store(&env, 1);
    let second = env.ask_within(1, BOOKING_GOAL, "b-1", BODY, Duration::from_secs(2));

    // Assert
    assert_answers_match_runs(&env, "b-1", &[&first, &second]);
    assert_eq!((first.outcome(), second.outcome()), ("done", "done"));
}

/// While the table service is down, bookings must be refused without a run and repeatable calls must go on.
#[test]
fn table_service_down_and_back() {
    // Arrange
    let env = start_env(Duration::from_millis(5));
    env.set_platform_faults(&FaultSettings { down: true, ..no_faults() });

    // Act
    let refused: Vec<TestAnswer> = (0..6).map(|n| env.ask(n % 3, BOOKING_GOAL, &format!("down-{n}"), BODY)).collect();
    let plan = env.ask(0, "pipelines/season-plan", "plan-1", r#"{"prompt":"nets"}"#);
    let lookup = env.ask(1, "services/clubs", "club-1", "{}");
    env.set_platform_faults(&no_faults());
    wait_for_store(&env, 0);

    // Assert
    for (n, answer) in refused.iter().enumerate() {
        assert_eq!(answer.outcome(), "not-run", "{answer:?}");
        assert_eq!(env.count_runs("bookings", &format!("down-{n}")), 0);
    }
    assert_eq!((plan.outcome(), lookup.outcome()), ("done", "done"));
}
