//! Checks how a node moves a service to a candidate version, and that a rollout never moves back.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fixture::{NodeFixture, PoolSpec, document};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_core::document::{CandidateSpec, TargetSpec};
use wasabipier_core::message::VersionCounts;
use wasabipier_core::prelude::*;
use wasabipier_core::store::{RolloutRow, RolloutState};
use wasabipier_core::tally::RouteTally;
use wasabipier_core::versions::{CandidateKey, CountKey, VersionTable};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns a document with one service, `clubs`, that is being moved from `v1` to `v2`.
fn rollout_document() -> Document {
    let mut content = document(&[PoolSpec::default()], 1);
    let target = TargetSpec {
        version: "v2".into(),
        address: ([127, 0, 0, 1], 9100).into(),
        ..content.targets.values().next().cloned().expect("a target")
    };
    content.targets.insert("clubs-v2".into(), target);
    let spec = content.services.get_mut(&ServiceName::new("clubs")).expect("the service");
    spec.candidate = Some(CandidateSpec {
        version: "v2".into(),
        finish_within: Duration::from_mins(10),
        first_share: 0.1,
        trial_only: false,
        attempt: 1,
    });
    content
}

fn candidate_key(version: &str, attempt: u32) -> CandidateKey {
    CandidateKey { version: VersionKey { service: "clubs".into(), version: version.into() }, attempt }
}

fn rollout_row(attempt: u32, state: RolloutState, step: u32) -> RolloutRow {
    RolloutRow {
        candidate: candidate_key("v2", attempt),
        revision: Revision(1),
        trial: false,
        state,
        step,
        reason: Arc::from(""),
        elapsed_ms: 0,
    }
}

fn step_event(row: RolloutRow) -> Event {
    let message = PeerMessage::RolloutStep { service: "clubs".into(), row: Box::new(row), from: "entry-2".into() };
    Event::Peer("entry-2".into(), Box::new(message))
}

/// Returns the rollout row that the node knows for `clubs`, if any.
fn known_row(node: &NodeFixture) -> Option<&RolloutRow> {
    node.core.board().versions.rollouts.get(&ServiceName::new("clubs"))
}

/// Sends one request to the node, finishes it, and returns the target that it was dispatched to.
fn dispatch_request(node: &mut NodeFixture, request: &str) -> TargetName {
    node.ask(request, "clubs", Duration::from_secs(2), Priority::Normal);
    let request = node.sent_attempts.last().expect("an attempt was sent").clone();
    node.finish(request.attempt);
    request.target
}

fn any_state() -> impl Strategy<Value = RolloutState> {
    prop_oneof![
        4 => Just(RolloutState::Comparing),
        1 => Just(RolloutState::Finished),
        1 => Just(RolloutState::RolledBack),
    ]
}

/// Returns how far a row has come. The ranks are independent of those in the code under test.
fn progress_rank(row: &RolloutRow) -> u32 {
    match row.state {
        RolloutState::Comparing => row.step,
        RolloutState::Proved => 0,
        RolloutState::Finished => 1_000,
        RolloutState::RolledBack => 2_000,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn known_rows_never_move_back(updates in prop::collection::vec((1..3_u32, any_state(), 0..4_u32), 1..40)) {
        // Arrange
        let mut node = NodeFixture::serving(rollout_document(), Tuning::default());
        let mut furthest_rank = known_row(&node).map(progress_rank);

        for (attempt, state, step) in updates {
            // Act
            node.handle(&step_event(rollout_row(attempt, state, step)));

            // Assert
            if attempt == 1 {
                furthest_rank = furthest_rank.max(Some(progress_rank(&rollout_row(1, state, step))));
            }
            prop_assert_eq!(known_row(&node).map(progress_rank), furthest_rank);
        }
    }

    #[test]
    fn peer_counts_merge_in_any_order(
        steps in prop::collection::vec((0..3_u64, 0..50_u64, 0..5_u64), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        // Arrange: running counts of three instances, each message delivered at least once, in any order.
        let content = rollout_document();
        let mut running: BTreeMap<u64, RouteTally> = BTreeMap::new();
        let messages: Vec<(u64, VersionCounts)> = steps.iter().map(|(instance, calls, faults)| {
            let tally = running.entry(*instance).or_default();
            tally.calls += calls;
            tally.faults += faults;
            let key = CountKey { candidate: candidate_key("v2", 1), route: Arc::from("clubs") };
            (*instance, VersionCounts { key, tally: *tally })
        }).collect();
        let shuffled = order.iter().map(|index| index.get(&messages)).chain(messages.iter().rev());

        // Act
        let mut table = VersionTable::default();
        for (instance, counts) in shuffled {
            table.merge_peer_counts(&content, InstanceId(*instance), std::slice::from_ref(counts));
        }

        // Assert
        let expected = running.values().fold(RouteTally::default(), |sum, tally| sum.plus(*tally));
        prop_assert_eq!(table.totals(&candidate_key("v2", 1)).get("clubs").copied(), Some(expected));
    }
}

#[test]
fn a_bad_version_reported_by_a_peer_loses_its_traffic_at_once_and_is_recorded() {
    // Arrange
    let mut node = NodeFixture::serving(rollout_document(), Tuning::default());
    node.handle(&step_event(rollout_row(1, RolloutState::Finished, 3)));
    let target_before = dispatch_request(&mut node, "before");

    // Act
    let bad = PeerMessage::VersionBad { candidate: candidate_key("v2", 1), reason: Arc::from("faults on route clubs") };
    node.handle(&Event::Peer("entry-2".into(), Box::new(bad)));
    let target_after = dispatch_request(&mut node, "after");
    node.advance(Duration::from_secs(30));

    // Assert
    assert_eq!(target_before.as_str(), "clubs-v2");
    assert!(target_after.as_str().starts_with("clubs-0"), "{target_after}");
    let recorded = known_row(&node).expect("a row");
    assert_eq!((recorded.state, &*recorded.reason), (RolloutState::RolledBack, "faults on route clubs"));
}

#[test]
fn a_bad_version_report_for_another_attempt_is_ignored() {
    // Arrange
    let mut node = NodeFixture::serving(rollout_document(), Tuning::default());
    node.handle(&step_event(rollout_row(1, RolloutState::Finished, 3)));

    // Act
    let bad = PeerMessage::VersionBad { candidate: candidate_key("v2", 2), reason: Arc::from("faults") };
    node.handle(&Event::Peer("entry-2".into(), Box::new(bad)));

    // Assert
    assert_eq!(dispatch_request(&mut node, "next").as_str(), "clubs-v2");
}
