//! Property test of the lease of a duty: two or three candidates under random faults of nodes and of the store. An oracle
//! that knows the true time checks what the platform sees.
//!
//! `DUTY_CASES` sets the number of cases of up to `MAX_STEPS` steps, and `DUTY_SEED` the seed that they are generated from.

#[path = "duties/oracle.rs"]
mod oracle;
#[path = "duties/world.rs"]
mod world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wasabipier_core::clock::Moment;
use wasabipier_core::fenced_lease::{FencedLease, LeaseClaim, LeaseReply, LeaseStep};
use wasabipier_core::names::{InstanceId, NodeName};
use wasabipier_core::relay::store_version::StoreVersion;

use crate::world::{DutyWorld, LEASE_MS, StoreMode};

/// Number of cases if `DUTY_CASES` is not set, as in CI.
const DEFAULT_CASES: u64 = 120;
/// Seed if `DUTY_SEED` is not set, as in CI.
const DEFAULT_SEED: u64 = 20_261_206;
/// Maximum number of steps of a case.
const MAX_STEPS: usize = 100;
/// Number of nodes in most cases.
const MAX_NODES: usize = 3;

/// A fault, its end, or time that passes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Run {
        ms: u64,
    },
    /// Holds back a node, which afterwards continues where it was.
    Pause {
        node: usize,
        ms: u64,
    },
    /// Sets how the store treats the calls of a node.
    SetMode {
        node: usize,
        mode: StoreMode,
    },
    /// Sets whether a node competes for the duty. A node that is leaving does not.
    SetCandidate {
        node: usize,
        is_candidate: bool,
    },
    /// Replaces a node by a new instance, which knows nothing.
    Restart {
        node: usize,
    },
    /// Copies the store.
    CopyStore,
    /// Replaces the store by its last copy, in a new era.
    RestoreStore,
    /// Refuses the holder's fencing token.
    RefuseHolder,
    /// Ends all faults, and checks that a node has the duty in time.
    EndFaults,
}

struct StepGenerator;

#[expect(clippy::renamed_function_params, reason = "the names say what the states are in this test")]
impl ReferenceStateMachine for StepGenerator {
    /// Number of nodes.
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        (2..=MAX_NODES).boxed()
    }

    fn transitions(node_count: &usize) -> BoxedStrategy<Step> {
        let node = 0..*node_count;
        let duration_ms = prop_oneof![3 => 25..400_u64, 2 => 400..2 * LEASE_MS, 1 => 2 * LEASE_MS..4 * LEASE_MS];
        let mode = prop_oneof![
            3 => Just(StoreMode::Sound),
            1 => Just(StoreMode::Refuses),
            2 => Just(StoreMode::LosesAnswers),
            1 => Just(StoreMode::LosesCalls),
            3 => (25..3 * LEASE_MS).prop_map(|ms| StoreMode::Late { ms }),
            2 => (25..LEASE_MS / 4).prop_map(|ms| StoreMode::SlowAnswers { ms }),
        ];
        prop_oneof![
            8 => duration_ms.clone().prop_map(|ms| Step::Run { ms }),
            3 => (node.clone(), duration_ms).prop_map(|(node, ms)| Step::Pause { node, ms }),
            5 => (node.clone(), mode).prop_map(|(node, mode)| Step::SetMode { node, mode }),
            3 => (node.clone(), any::<bool>()).prop_map(|(node, is_candidate)| Step::SetCandidate { node, is_candidate }),
            1 => node.prop_map(|node| Step::Restart { node }),
            1 => Just(Step::CopyStore),
            1 => Just(Step::RestoreStore),
            1 => Just(Step::RefuseHolder),
            1 => Just(Step::EndFaults),
        ]
        .boxed()
    }

    fn apply(node_count: usize, _: &Step) -> usize {
        node_count
    }
}

/// Applies the steps to the simulated nodes and checks the oracle's invariants.
struct DutyTest;

#[expect(clippy::renamed_function_params, reason = "the names say what the states are in this test")]
impl StateMachineTest for DutyTest {
    type SystemUnderTest = DutyWorld;
    type Reference = StepGenerator;

    fn init_test(node_count: &usize) -> DutyWorld {
        DutyWorld::new(*node_count)
    }

    fn apply(mut world: DutyWorld, _: &usize, step: Step) -> DutyWorld {
        match step {
            Step::Run { ms } => world.run(ms),
            Step::Pause { node, ms } => world.pause(node, ms),
            Step::SetMode { node, mode } => world.set_mode(node, mode),
            Step::SetCandidate { node, is_candidate } => world.set_candidate(node, is_candidate),
            Step::Restart { node } => world.restart(node),
            Step::CopyStore => world.copy_store(),
            Step::RestoreStore => world.restore_store(),
            Step::RefuseHolder => world.refuse_holder(),
            Step::EndFaults => world.end_faults_and_check(),
        }
        world
    }

    fn check_invariants(world: &DutyWorld, _: &usize) {
        assert!(world.oracle.violations.is_empty(), "{:#?}", world.oracle.violations);
    }

    fn teardown(mut world: DutyWorld, node_count: usize) {
        world.end_faults_and_check();
        Self::check_invariants(&world, &node_count);
    }
}

/// Returns the number in an environment variable, or `default` if it is unset or not a number.
fn number_from_env(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: number_from_env("DUTY_CASES", DEFAULT_CASES) as u32,
        rng_seed: RngSeed::Fixed(number_from_env("DUTY_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn one_node_at_a_time_has_a_duty_under_random_faults(sequential 1..MAX_STEPS => DutyTest);
}

/// Guards against a node that takes the duty back as soon as its successor has released it.
#[test]
fn the_holder_before_waits_for_a_lease_after_a_release() {
    // Arrange: node 0 has the duty, gives it up, and node 1 takes it
    let mut world = DutyWorld::new(2);
    world.set_candidate(1, false);
    world.run(1_000);
    assert_eq!(world.holder(), Some(0));
    world.set_candidate(0, false);
    world.set_candidate(1, true);
    world.run(1_000);
    assert_eq!(world.holder(), Some(1));

    // Act: node 1 gives it up in turn
    world.set_candidate(0, true);
    world.run(100);
    world.set_candidate(1, false);
    world.run(1_000);

    // Assert
    assert_eq!(world.holder(), None);
    world.run(LEASE_MS);
    assert_eq!(world.holder(), Some(0));
    assert!(world.oracle.violations.is_empty(), "{:#?}", world.oracle.violations);
}

/// Guards against a gap in which no node has the duty when the store comes back older, and against a token of the era before.
#[test]
fn the_holder_keeps_the_duty_with_a_higher_token_when_the_store_is_restored() {
    // Arrange
    let mut world = DutyWorld::new(3);
    world.copy_store();
    world.run(2 * LEASE_MS);
    let (holder, fence) = (world.holder(), world.oracle.last_fence);

    // Act
    world.restore_store();
    let mut gap_ms = 0;
    for _ in 0..LEASE_MS / 25 {
        world.run(25);
        gap_ms += if world.holder().is_none() { 25 } else { 0 };
    }

    // Assert
    assert_eq!((world.holder(), gap_ms), (holder, 0));
    assert!(world.oracle.last_fence >= 1 << 32, "{fence} then {}", world.oracle.last_fence);
    assert!(world.oracle.violations.is_empty(), "{:#?}", world.oracle.violations);
}

/// Guards against a write of the era before that meets its condition by chance and hides the token of the present holder.
#[test]
fn a_late_write_of_the_era_before_does_not_touch_the_row_of_the_present_era() {
    // The versions of the restored store pass that which the write expects at some of these times.
    for late_ms in (LEASE_MS..3 * LEASE_MS).step_by(250) {
        // Arrange: a renewal of node 0 is on its way
        let mut world = DutyWorld::new(2);
        world.copy_store();
        world.run(1_000);
        assert_eq!(world.holder(), Some(0));
        world.set_mode(0, StoreMode::Late { ms: late_ms });
        world.run(600);

        // Act: node 1 has the duty in the next era when the renewal arrives
        world.set_candidate(0, false);
        world.restore_store();
        world.run(late_ms);

        // Assert
        assert_eq!(world.row_fence() >> 32, u64::from(world.holder().is_some()), "after {late_ms} ms");
        world.run(LEASE_MS);
        assert_eq!(world.row_fence(), world.oracle.last_fence);
        assert!(world.oracle.violations.is_empty(), "{:#?}", world.oracle.violations);
    }
}

/// Guards against a lease that is counted from a later write than the one that made the row.
#[test]
fn a_row_made_by_a_late_write_does_not_prolong_the_lease() {
    // Arrange: two writes have no answer, and the first one took effect after the row was read as missing
    let node = NodeName::new("n0");
    let length = Duration::from_millis(LEASE_MS);
    let claim = LeaseClaim { node: &node, instance: InstanceId(1), length, can_acquire: true };
    let mut lease = FencedLease::default();
    let mut rows = Vec::new();
    for sent_at in [Moment(0), Moment(2 * LEASE_MS)] {
        assert_eq!(lease.due_step(&claim, sent_at), Some(LeaseStep::Read));
        let step = lease.handle_reply(&claim, LeaseReply::Row { era: 0, row: None }, sent_at);
        let Some(LeaseStep::Write(write)) = step else { panic!("the lease is free: {step:?}") };
        rows.push(write.row);
        assert_eq!(lease.handle_reply(&claim, LeaseReply::WriteLost, sent_at), None);
    }

    // Act
    let now = Moment(2 * LEASE_MS + 1);
    let row = Some((StoreVersion::new(0, 1), rows[0].clone()));
    let step = lease.handle_reply(&claim, LeaseReply::Row { era: 0, row }, now);

    // Assert: the lease is acquired again
    assert_eq!(lease.held(now), None);
    let Some(LeaseStep::Write(write)) = step else { panic!("the lease has expired: {step:?}") };
    assert_eq!(write.row.fence, rows[0].fence + 1);
}
