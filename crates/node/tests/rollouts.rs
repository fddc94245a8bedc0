//! Rollouts of candidate versions with real processes: a failing version is rolled back, a good one is finished.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::test_env::{ServicePlan, TestEnv, TestPlan};
use wasabipier_wire::caller::RolloutStatus;

/// Number of callers that send requests at the same time.
const CALLER_COUNT: u64 = 4;

/// Returns the plan of the service `clubs` with two targets.
fn clubs_plan() -> ServicePlan {
    ServicePlan { target_count: 2, ..ServicePlan::default() }
}

/// Starts three nodes with two targets of `clubs` at `v1`, and two at `v2`, which have `faults` and which the document
/// does not name yet.
fn start_environment(faults: &FaultSettings) -> TestEnv {
    let plan = TestPlan { services: vec![clubs_plan()], ..TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")) };
    let mut env = TestEnv::start(plan);
    for number in 1..=2 {
        let name = format!("clubs-new-{number}");
        env.add_target(&name, &clubs_plan(), "v2", number);
        env.targets[&name].state().faults.set(faults.clone());
    }
    env
}

/// Returns the document with `v2` as the candidate of `clubs`.
fn document_with_candidate(env: &TestEnv) -> String {
    let section = "[service clubs]\ncandidate = v2\nfirst_share = 0.2\nfinish_within_s = 20\n";
    env.document().replace("[service clubs]\n", section)
}

/// Returns the rollout that a node reports, or `None` if the node reports none.
fn find_rollout(env: &TestEnv, node: usize) -> Option<RolloutStatus> {
    env.status(node)?.rollouts.into_iter().next()
}

/// Stops the callers when dropped, also if the test fails.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends requests to all nodes until every node reports the candidate in `state`, as recorded in the table service.
fn send_until(env: &TestEnv, state: &str) {
    let sent_count = AtomicU64::new(0);
    let is_reached = || {
        let has_state =
            |node| find_rollout(env, node).is_some_and(|rollout| rollout.state == state && rollout.recorded);
        (0..env.nodes.len()).all(has_state)
    };
    let is_stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stop_guard = StopGuard(&is_stopped);
        for _ in 0..CALLER_COUNT {
            scope.spawn(|| {
                while !is_stopped.load(Ordering::Relaxed) {
                    let number = sent_count.fetch_add(1, Ordering::Relaxed);
                    let node = number as usize % env.nodes.len();
                    let _ = env.ask(node, "services/clubs", &format!("look-{number}"), r#"{"club":7}"#);
                }
            });
        }
        env.wait_until(state, |_| is_reached());
    });
}

/// Sends 12 requests one after another and returns the version that answered each.
fn versions_of_next_calls(env: &TestEnv) -> Vec<String> {
    let answers = (0..12)
        .map(|number| env.ask(number % env.nodes.len(), "services/clubs", &format!("after-{number}"), r#"{"club":7}"#));
    let replies = answers.filter_map(|answer| answer.final_reply);
    replies.flat_map(|reply| reply.charges).map(|charge| charge.version).collect()
}

/// Guards against a candidate that keeps getting calls although half of them fail.
#[test]
fn candidate_whose_calls_fail_is_rolled_back() {
    // Arrange
    let env = start_environment(&FaultSettings { fail_share: 0.5, ..FaultSettings::default() });

    // Act
    let _ = env.promote(0, &document_with_candidate(&env));
    send_until(&env, "taken-back");

    // Assert
    let rollout = find_rollout(&env, 1).expect("a candidate");
    assert!(rollout.reason.contains("faults"), "{rollout:?}");
    assert_eq!(versions_of_next_calls(&env), vec!["v1"; 12]);
}

/// Guards against a rollout that does not finish although the candidate works.
#[test]
fn candidate_without_faults_finishes_its_rollout() {
    // Arrange
    let env = start_environment(&FaultSettings::default());

    // Act
    let _ = env.promote(0, &document_with_candidate(&env));
    send_until(&env, "finished");

    // Assert
    assert_eq!(versions_of_next_calls(&env), vec!["v2"; 12]);
}
