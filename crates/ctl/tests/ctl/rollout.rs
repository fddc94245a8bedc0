//! Tests of the trial and the promotion of a candidate version.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::test_env::{ServicePlan, TestEnv};

use crate::support::{CtlRun, ctl, start_environment, write_file};

/// Stops the caller threads when dropped, also if the test panics.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Starts an environment with additional targets of `clubs` at version `v2`, which have `faults`. Returns the
/// environment and the path of a document with `v2` as candidate.
fn start_environment_with_candidate(faults: FaultSettings) -> (TestEnv, String) {
    let mut env = start_environment();
    let service = ServicePlan { target_count: 2, ..ServicePlan::default() };
    env.add_target("clubs-new", &service, "v2", 1);
    env.targets["clubs-new"].state().faults.set(faults);
    let section = "[service clubs]\ncandidate = v2\nfirst_share = 0.2\nfinish_within_s = 20\n";
    let text = env.document().replace("[service clubs]\n", section);
    let path = write_file(&env, "moving.ini", &text);
    (env, path.to_string_lossy().into_owned())
}

/// Runs the command line while four threads send requests for `clubs` to the nodes in turn. `sent_count` numbers the
/// requests, also over several runs.
fn ctl_under_load(env: &TestEnv, sent_count: &AtomicU64, args: &[&str]) -> CtlRun {
    let is_stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stop_guard = StopGuard(&is_stopped);
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_stopped.load(Ordering::Relaxed) {
                    let sequence = sent_count.fetch_add(1, Ordering::Relaxed);
                    let node = sequence as usize % env.nodes.len();
                    let _ = env.ask(node, "services/clubs", &format!("look-{sequence}"), r#"{"club":7}"#);
                }
            });
        }
        ctl(env, args)
    })
}

/// Guards against the promotion of a candidate without a trial, and against a promotion that does not finish after one.
#[test]
fn candidate_is_promoted_only_after_a_trial_proved_it() {
    // Arrange
    let (env, path) = start_environment_with_candidate(FaultSettings::default());
    let sent_count = AtomicU64::new(0);

    // Act
    let untried = ctl(&env, &["promote", &path]);
    let trial = ctl_under_load(&env, &sent_count, &["trial", &path, "--wait"]);
    let promoted = ctl_under_load(&env, &sent_count, &["promote", &path, "--wait"]);
    let status = ctl(&env, &["status"]);

    // Assert
    assert_eq!(untried.code, Some(2), "{untried:?}");
    assert!(untried.stderr.contains("not proved in trial"), "{untried:?}");
    assert_eq!(trial.code, Some(0), "{trial:?}");
    assert!(trial.stdout.contains("clubs/v2 attempt 1 on trial proved"), "{trial:?}");
    assert_eq!(promoted.code, Some(0), "{promoted:?}");
    assert!(status.stdout.contains("clubs/v2 attempt 1 finished"), "{status:?}");
}

/// Guards against a candidate that is taken back without exit code 6, by which scripts notice it, and against its
/// later promotion with `--unproved`.
#[test]
fn candidate_that_fails_its_calls_ends_the_trial_with_exit_code_6() {
    // Arrange
    let (env, path) = start_environment_with_candidate(FaultSettings { fail_share: 0.6, ..FaultSettings::default() });
    let sent_count = AtomicU64::new(0);

    // Act
    let trial = ctl_under_load(&env, &sent_count, &["trial", &path, "--wait"]);
    let repeated = ctl(&env, &["promote", &path, "--unproved"]);

    // Assert
    assert_eq!(trial.code, Some(6), "{trial:?}");
    assert!(trial.stderr.contains("was taken back: faults"), "{trial:?}");
    assert_eq!(repeated.code, Some(6), "{repeated:?}");
}
