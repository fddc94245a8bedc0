//! Checks the verdicts on candidate versions against simulated versions whose flaws are known.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_core::judge::{PassScope, RouteTallies, VersionFlaw, VersionJudge};
use wasabipier_core::tally::RouteTally;

/// Calls of each version in a simulated run.
const CALLS: u32 = 3_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Simulation of two versions whose calls fail or are slow at given shares.
struct JudgeRun {
    random: fastrand::Rng,
    judge: VersionJudge,
    candidate: RouteTally,
    stable: RouteTally,
}

impl JudgeRun {
    fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            judge: VersionJudge::default(),
            candidate: RouteTally::default(),
            stable: RouteTally::default(),
        }
    }

    /// Adds calls of both versions, evaluates at random intervals, and returns the first flaw found.
    ///
    /// `fault_shares` and `slow_shares` hold the share of the candidate, then the share of the stable version.
    fn add_calls(&mut self, calls: u32, fault_shares: (f64, f64), slow_shares: (f64, f64)) -> Option<VersionFlaw> {
        let mut found = None;
        for _ in 0..calls {
            add_call(&mut self.random, &mut self.candidate, fault_shares.0, slow_shares.0);
            add_call(&mut self.random, &mut self.stable, fault_shares.1, slow_shares.1);
            if self.random.f64() < 0.2 {
                found = found.or(self.evaluate());
            }
        }
        found.or(self.evaluate())
    }

    fn evaluate(&mut self) -> Option<VersionFlaw> {
        let finding = self.judge.evaluate(&one_route(self.candidate), &one_route(self.stable));
        finding.map(|finding| finding.flaw)
    }
}

/// Adds one call that fails with the probability `fault_share`, and otherwise is slow with `slow_share`.
fn add_call(random: &mut fastrand::Rng, tally: &mut RouteTally, fault_share: f64, slow_share: f64) {
    let is_fault = random.f64() < fault_share;
    tally.calls += 1;
    tally.faults += u64::from(is_fault);
    tally.timed += u64::from(!is_fault);
    tally.slow += u64::from(!is_fault && random.f64() < slow_share);
}

fn one_route(tally: RouteTally) -> RouteTallies {
    BTreeMap::from([(Arc::from("season-plan"), tally)])
}

proptest! {
    #![proptest_config(config())]

    /// A version as good as the stable one passes and is not found bad, however often it is evaluated.
    #[test]
    fn good_versions_pass_despite_frequent_evaluation(seed: u64, faults in 0.0..0.2_f64, slow in 0.0..0.1_f64) {
        // Arrange
        let mut run = JudgeRun::new(seed);

        // Act
        let flaw = run.add_calls(CALLS, (faults, faults), (slow, slow));

        // Assert
        prop_assert_eq!(flaw, None);
        prop_assert!(run.judge.has_passed(PassScope::EachRoute));
    }

    /// A version that degrades after a long good period is found bad, for its faults.
    #[test]
    fn faults_that_start_late_are_found(
        seed: u64,
        good_calls in 100..CALLS,
        faults in 0.0..0.1_f64,
        effect in 0.25..0.9_f64,
    ) {
        // Arrange
        let mut run = JudgeRun::new(seed);
        let before = run.add_calls(good_calls, (faults, faults), (0.03, 0.03));

        // Act
        let after = run.add_calls(300, (faults + effect * (1.0 - faults), faults), (0.03, 0.03));

        // Assert
        prop_assert_eq!(before, None);
        prop_assert_eq!(after, Some(VersionFlaw::Faults));
    }

    /// A slow version is reported as slow, not as failing.
    #[test]
    fn slow_versions_are_reported_as_slow(seed: u64, slow in 0.4..1.0_f64) {
        // Arrange
        let mut run = JudgeRun::new(seed);

        // Act
        let flaw = run.add_calls(500, (0.01, 0.01), (slow, 0.05));

        // Assert
        prop_assert_eq!(flaw, Some(VersionFlaw::Slow));
    }

    /// Few calls of a candidate give neither a pass nor a flaw, however many calls the stable version has had.
    #[test]
    fn few_candidate_calls_give_no_verdict(calls in 0..10_u64, stable in 0..10_000_u64) {
        // Arrange
        let mut judge = VersionJudge::default();
        let tally = |calls| one_route(RouteTally { calls, timed: calls, ..RouteTally::default() });

        // Act
        let finding = judge.evaluate(&tally(calls), &tally(stable));

        // Assert
        prop_assert_eq!(finding, None);
        prop_assert!(!judge.has_passed(PassScope::EachRoute));
        prop_assert!(!judge.has_passed(PassScope::Pooled));
    }
}

#[test]
fn a_fault_of_both_versions_is_not_the_candidates() {
    // Arrange
    let mut run = JudgeRun::new(1);
    let before = run.add_calls(CALLS, (0.0, 0.0), (0.03, 0.03));

    // Act: a dependency of both versions fails.
    let during = run.add_calls(300, (0.6, 0.6), (0.03, 0.03));

    // Assert
    assert_eq!((before, during), (None, None));
}
