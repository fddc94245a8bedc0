//! Candidate versions over real processes: a bad one is taken back, a good one finishes.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::test_env::{ServicePlan, TestEnv, TestPlan};
use wasabipier_wire::caller::RolloutStatus;

/// Callers that ask at once.
const CALLERS: u64 = 4;

fn service() -> ServicePlan {
    ServicePlan { targets: 2, ..ServicePlan::default() }
}

/// Three nodes with two targets of `clubs` at `v1` and two at `v2`, not named by the document yet.
fn environment(faults: &FaultSettings) -> TestEnv {
    let plan = TestPlan { services: vec![service()], ..TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")) };
    let mut env = TestEnv::start(plan);
    for number in 1..=2 {
        let name = format!("clubs-new-{number}");
        env.add_target(&name, &service(), "v2", number);
        env.targets[&name].state().faults.set(faults.clone());
    }
    env
}

/// The document with `v2` as the candidate.
fn moving(env: &TestEnv) -> String {
    let section = "[service clubs]\ncandidate = v2\nfirst_share = 0.2\nfinish_within_s = 20\n";
    env.document().replace("[service clubs]\n", section)
}

fn candidate(env: &TestEnv, node: usize) -> Option<RolloutStatus> {
    env.status(node)?.rollouts.into_iter().next()
}

/// Ends the callers, also when the test fails.
struct EndGuard<'a>(&'a AtomicBool);

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Asks at all nodes until every node shows the candidate in `state`, recorded.
fn ask_until(env: &TestEnv, state: &str) {
    let asked = AtomicU64::new(0);
    let is_reached = || {
        let shows = |node| candidate(env, node).is_some_and(|known| known.state == state && known.recorded);
        (0..env.nodes.len()).all(shows)
    };
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let _ending = EndGuard(&ended);
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    let number = asked.fetch_add(1, Ordering::Relaxed);
                    let node = number as usize % env.nodes.len();
                    let _ = env.ask(node, "services/clubs", &format!("look-{number}"), r#"{"club":7}"#);
                }
            });
        }
        env.wait_until(state, |_| is_reached());
    });
}

/// Versions that answer the next calls.
fn versions_of_next(env: &TestEnv) -> Vec<String> {
    let answers = (0..12)
        .map(|number| env.ask(number % env.nodes.len(), "services/clubs", &format!("after-{number}"), r#"{"club":7}"#));
    let ends = answers.filter_map(|answer| answer.end);
    ends.flat_map(|end| end.charges).map(|charge| charge.version).collect()
}

#[test]
fn bad_version_is_taken_back() {
    // Arrange
    let env = environment(&FaultSettings { fail_share: 0.5, ..FaultSettings::default() });

    // Act
    let _ = env.promote(0, &moving(&env));
    ask_until(&env, "taken-back");

    // Assert
    let known = candidate(&env, 1).expect("a candidate");
    assert!(known.reason.contains("faults"), "{known:?}");
    assert_eq!(versions_of_next(&env), vec!["v1"; 12]);
}

#[test]
fn good_version_finishes() {
    // Arrange
    let env = environment(&FaultSettings::default());

    // Act
    let _ = env.promote(0, &moving(&env));
    ask_until(&env, "finished");

    // Assert
    assert_eq!(versions_of_next(&env), vec!["v2"; 12]);
}
