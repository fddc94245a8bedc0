//! Trial and promotion of a candidate, as an operator does them.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::test_env::{ServicePlan, TestEnv};

use crate::support::{CtlRun, ctl, environment, write};

/// Ends the callers, also when the test fails.
struct EndGuard<'a>(&'a AtomicBool);

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// An environment with targets of `clubs` at `v2`, and the document that names them as the candidate.
fn moving(faults: FaultSettings) -> (TestEnv, String) {
    let mut env = environment();
    let service = ServicePlan { targets: 2, ..ServicePlan::default() };
    env.add_target("clubs-new", &service, "v2", 1);
    env.targets["clubs-new"].state().faults.set(faults);
    let section = "[service clubs]\ncandidate = v2\nfirst_share = 0.2\nfinish_within_s = 20\n";
    let text = env.document().replace("[service clubs]\n", section);
    let path = write(&env, "moving.ini", &text);
    (env, path.to_string_lossy().into_owned())
}

/// Runs a command while callers ask.
fn ctl_under_load(env: &TestEnv, calls: &AtomicU64, args: &[&str]) -> CtlRun {
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let _ending = EndGuard(&ended);
        for _ in 0..4 {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    let number = calls.fetch_add(1, Ordering::Relaxed);
                    let node = number as usize % env.nodes.len();
                    let _ = env.ask(node, "services/clubs", &format!("look-{number}"), r#"{"club":7}"#);
                }
            });
        }
        ctl(env, args)
    })
}

#[test]
fn proved_version_may_be_promoted_and_finishes() {
    // Arrange
    let (env, path) = moving(FaultSettings::default());
    let calls = AtomicU64::new(0);

    // Act
    let untried = ctl(&env, &["promote", &path]);
    let trial = ctl_under_load(&env, &calls, &["trial", &path, "--wait"]);
    let promoted = ctl_under_load(&env, &calls, &["promote", &path, "--wait"]);
    let status = ctl(&env, &["status"]);

    // Assert
    assert_eq!(untried.code, Some(2), "{untried:?}");
    assert!(untried.errors.contains("not proved in trial"), "{untried:?}");
    assert_eq!(trial.code, Some(0), "{trial:?}");
    assert!(trial.out.contains("clubs/v2 attempt 1 on trial proved"), "{trial:?}");
    assert_eq!(promoted.code, Some(0), "{promoted:?}");
    assert!(status.out.contains("clubs/v2 attempt 1 finished"), "{status:?}");
}

#[test]
fn bad_version_is_told_by_exit_code() {
    // Arrange
    let (env, path) = moving(FaultSettings { fail_share: 0.6, ..FaultSettings::default() });
    let calls = AtomicU64::new(0);

    // Act
    let trial = ctl_under_load(&env, &calls, &["trial", &path, "--wait"]);
    let again = ctl(&env, &["promote", &path, "--unproved"]);

    // Assert
    assert_eq!(trial.code, Some(6), "{trial:?}");
    assert!(trial.errors.contains("was taken back: faults"), "{trial:?}");
    assert_eq!(again.code, Some(6), "{again:?}");
}
