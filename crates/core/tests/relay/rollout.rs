//! Tests of rollouts: simulated nodes judge a candidate together, and record the outcome in the store.

#[path = "rollout/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Answer, CallFacts, ORDER_AT_MS, ORDER_DURATION, RolloutSimulation, StoreMode, sound_answer};
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{ServiceName, VersionName};
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::rollout::{RecordedState, RolloutOrder, RolloutPhase, RolloutWatch, VersionLane};
use wasabipier_core::relay::targets::TargetEntry;

use crate::fixtures::{at, board, target_entry, version};

/// Calls per second of a small fleet, and of a large one.
const SMALL_RATE: f64 = 23.0;
const LARGE_RATE: f64 = 200.0;
/// Calls per second to a service that few requests use.
const FEW_CALLS_RATE: f64 = 17.0;

/// Half of the candidate's answers take four times as long.
fn slow_answer(call: &CallFacts) -> Answer {
    let sound = sound_answer(call);
    let is_slow = call.is_candidate && call.random < 0.5;
    if is_slow { Answer { first_part_ms: 100, rest_ms: 3_000, ..sound } } else { sound }
}

/// The candidate fails half of its calls from six seconds after the order on.
fn late_fault_answer(call: &CallFacts) -> Answer {
    let is_fault = call.is_candidate && call.after_order_ms > 6_000 && call.random < 0.5;
    Answer { is_fault, ..sound_answer(call) }
}

/// All versions fail a sixth of their calls; the candidate fails more than half.
fn often_faulty_answer(call: &CallFacts) -> Answer {
    let fault_ratio = if call.is_candidate { 0.56 } else { 0.16 };
    Answer { is_fault: call.random < fault_ratio, rest_ms: 10, ..sound_answer(call) }
}

/// The candidate fails its calls on one of three routes.
fn one_route_answer(call: &CallFacts) -> Answer {
    Answer { is_fault: call.is_candidate && call.route == 1, ..sound_answer(call) }
}

/// The candidate is sound but has nothing cached, so that it reads 5,000 tokens first. While it takes over all calls,
/// the prompts that it reads delay its events.
fn uncached_answer(call: &CallFacts) -> Answer {
    let sound = sound_answer(call);
    let pause_ms = if call.after_order_ms > 11_200 { 90 } else { 20 };
    if call.is_candidate {
        Answer { tokens: 5_000, first_part_ms: sound.first_part_ms * 6, pause_ms, ..sound }
    } else {
        sound
    }
}

/// Returns the number of calls that a bad candidate may get.
fn allowed(total: usize) -> usize {
    (total as f64 * 0.1 + 50.0) as usize
}

/// Guards against a slow version that gets too many requests and is kept.
#[test]
fn a_slow_candidate_is_rolled_back_within_the_exposure_limit() {
    for (nodes, rate) in [(7, SMALL_RATE), (61, LARGE_RATE)] {
        let mut fleet = RolloutSimulation::new(nodes, rate, slow_answer);

        fleet.run_for(ORDER_DURATION);

        let (exposed, total) = fleet.exposure();
        let rolled_back_after = fleet.recorded_after(RecordedState::RolledBack).expect("it is rolled back");
        assert!(exposed < allowed(total), "{nodes} nodes: {exposed} of {total}");
        let late_calls = fleet.candidate_calls_after(rolled_back_after + Duration::from_secs(2));
        assert_eq!(late_calls, 0, "{nodes} nodes, rolled back after {rolled_back_after:?}");
    }
}

/// Guards against a good version that is not completed in time, and against requests cut off when the stable targets
/// stop at once.
#[test]
fn a_good_candidate_is_completed_in_time_once_no_calls_are_in_flight_at_stable_targets() {
    for (nodes, rate, answer) in [
        (7, SMALL_RATE, sound_answer as fn(&CallFacts) -> Answer),
        (61, LARGE_RATE, sound_answer),
        (7, SMALL_RATE, uncached_answer),
    ] {
        let mut fleet = RolloutSimulation::new(nodes, rate, answer);

        fleet.run_for(ORDER_DURATION + Duration::from_secs(1));

        assert_eq!(fleet.recorded(), Some(RecordedState::Completed), "{nodes} nodes");
        assert!(fleet.recorded_after(RecordedState::Completed) < Some(ORDER_DURATION), "{nodes} nodes");
        assert_eq!(fleet.stable_calls_at_completion, Some(0), "{nodes} nodes");
    }
}

/// Guards against a judgement that ends before the version turns bad.
#[test]
fn a_candidate_that_turns_bad_later_is_rolled_back_within_the_exposure_limit() {
    let mut fleet = RolloutSimulation::new(7, SMALL_RATE, late_fault_answer);

    fleet.run_for(ORDER_DURATION);

    let (exposed, total) = fleet.exposure();
    assert_eq!(fleet.recorded(), Some(RecordedState::RolledBack));
    assert!(exposed < allowed(total), "{exposed} of {total}");
}

/// Guards against a fault on one route that the sound answers on the others hide.
#[test]
fn a_candidate_that_fails_on_one_route_only_is_rolled_back() {
    let mut fleet = RolloutSimulation::new(7, SMALL_RATE, one_route_answer);

    fleet.run_for(ORDER_DURATION);

    assert_eq!(fleet.recorded(), Some(RecordedState::RolledBack));
}

/// Guards against a verdict after the deadline where calls are few and the stable version fails some of them.
#[test]
fn a_bad_candidate_of_a_service_with_few_calls_is_rolled_back_in_time() {
    let mut fleet = RolloutSimulation::new(7, FEW_CALLS_RATE, often_faulty_answer);

    fleet.run_for(ORDER_DURATION);

    let (exposed, total) = fleet.exposure();
    assert_eq!(fleet.recorded(), Some(RecordedState::RolledBack), "{exposed} of {total}");
    assert!(exposed < allowed(total), "{exposed} of {total}");
}

/// Guards against a node that starts after the verdict, reads the order, and sends calls to the bad version again.
#[test]
fn a_node_that_starts_after_the_verdict_sends_nothing_to_the_candidate() {
    let mut fleet = RolloutSimulation::new(7, SMALL_RATE, slow_answer);
    fleet.run_for(ORDER_DURATION);
    let before = fleet.sent.len();

    fleet.restart(3);
    fleet.run_for(Duration::from_secs(5));

    assert!(fleet.sent[before..].iter().any(|call| call.node == 3), "the node serves");
    assert!(fleet.sent[before..].iter().all(|call| !call.is_candidate));
}

/// Guards against a second deadline at a node that starts in the middle, and against a rollout that waits for it.
#[test]
fn a_good_candidate_is_completed_in_time_although_nodes_restart() {
    let mut fleet = RolloutSimulation::new(7, SMALL_RATE, sound_answer);
    fleet.run_for(Duration::from_secs(7));

    fleet.restart(0);
    fleet.restart(4);
    fleet.run_until(ORDER_AT_MS + ORDER_DURATION.as_millis() as u64);

    assert_eq!(fleet.recorded(), Some(RecordedState::Completed));
}

/// Guards against a verdict that needs the store: calls must stop at once, and the state is recorded later.
#[test]
fn a_bad_candidate_gets_no_calls_while_the_store_is_away_and_is_recorded_when_it_returns() {
    let mut fleet = RolloutSimulation::new(7, SMALL_RATE, slow_answer);
    fleet.store_mode = StoreMode::Away;

    fleet.run_for(ORDER_DURATION);
    let late_calls = fleet.candidate_calls_after(ORDER_DURATION.mul_f64(0.8));
    let recorded_before = fleet.recorded();
    fleet.store_mode = StoreMode::Healthy;
    fleet.run_for(Duration::from_secs(1));

    assert_eq!((late_calls, recorded_before), (0, None));
    assert_eq!(fleet.recorded(), Some(RecordedState::RolledBack));
}

/// Guards against a write that is repeated for ever, or undone, after its answer was lost.
#[test]
fn a_write_whose_answer_was_lost_is_found_in_the_row() {
    let mut fleet = RolloutSimulation::new(7, SMALL_RATE, slow_answer);
    fleet.store_mode = StoreMode::AnswersLost;

    fleet.run_for(ORDER_DURATION);

    assert_eq!(
        fleet.writes.iter().map(|(_, state)| *state).collect::<Vec<_>>(),
        [RecordedState::Active, RecordedState::RolledBack]
    );
    let service = ServiceName::new("coachmodel");
    let knows = |board: &wasabipier_core::relay::board::RelayBoard| {
        board.rollouts.get(&service).and_then(RolloutWatch::recorded) == Some(RecordedState::RolledBack)
    };
    assert!(fleet.boards.iter().all(knows));
}

fn order(candidate: &str, number: u64) -> RolloutOrder {
    RolloutOrder {
        service: ServiceName::new("coachmodel"),
        candidate: VersionName::new(candidate),
        duration: ORDER_DURATION,
        order_version: version(number),
    }
}

fn version_entry(target: &str, version: &str) -> TargetEntry {
    TargetEntry { version: VersionName::new(version), ..target_entry(target, "coachmodel", "khomas-a") }
}

/// Guards against full traffic to a new version whose targets are read before the order.
#[test]
fn a_version_that_appears_beside_another_gets_no_calls_until_its_order_can_be_known() {
    let mut board = board("edge-1");
    board.state = NodeState::Serving;
    board.upsert_target(version_entry("i-1", "v1"), at(0));
    board.upsert_target(version_entry("i-2", "v2"), at(5_000));
    let service = ServiceName::new("coachmodel");

    assert_eq!(board.version_lanes(&service, at(5_500)), [VersionLane::Except(VersionName::new("v2"))]);
    assert_eq!(board.version_lanes(&service, at(8_000)), [VersionLane::Any]);
}

/// Guards against evidence or verdicts that outlive their order.
#[test]
fn a_later_order_replaces_an_earlier_one_and_a_withdrawn_order_ends() {
    let mut board = board("edge-1");
    board.state = NodeState::Serving;
    let service = ServiceName::new("coachmodel");
    let phase = |board: &wasabipier_core::relay::board::RelayBoard| {
        board.rollouts.get(&service).map(|watch| (watch.order().order_version, watch.phase()))
    };

    assert!(board.apply_order(OrderChange::Rollout(order("v2", 5)), at(0)));
    assert!(board.apply_order(OrderChange::Rollout(order("v3", 9)), at(100)));
    assert!(!board.apply_order(OrderChange::Rollout(order("v2", 5)), at(200)));
    assert_eq!(phase(&board), Some((version(9), RolloutPhase::Trial)));

    assert!(board.apply_order(OrderChange::RolloutWithdrawn(service.clone()), at(300)));
    assert_eq!(phase(&board), None);
}
