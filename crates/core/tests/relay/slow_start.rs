//! Tests of the limits of targets that start or recover, and of the load that targets state.

use std::time::Duration;

use wasabipier_core::names::{DcName, ServiceName, TargetName};
use wasabipier_core::relay::board::{OrderChange, RelayBoard};
use wasabipier_core::relay::slow_start::{LimitCause, LimitStep};
use wasabipier_core::relay::target_load::{LoadHistory, ReportedLoad};
use wasabipier_core::relay::targets::{CallResult, TargetEntry};

use crate::fixtures::{at, board, choose_for_plain_call, millis, target_entry};
use crate::slow_start_model::{LoadPattern, run, slow_start_rule};

/// Fraction of the oracle's work that must be served in the first 10 s.
const MIN_SERVED: f64 = 0.9;

/// Checks that `pattern` is served without a crash.
fn check_pattern(pattern: LoadPattern, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let result = run(pattern, 10_000, seed, &slow_start_rule);
        assert!(result.served >= MIN_SERVED && result.crashes == 0, "seed {seed}: {pattern:?} gave {result:?}");
    }
}

/// Guards against targets that are left idle or flooded while they warm up, whether or not they say that they are cold.
#[test]
fn targets_that_warm_up_in_half_a_second_or_twenty_serve_nearly_what_they_can() {
    for warm_up_ms in [500, 3_000, 20_000] {
        check_pattern(LoadPattern { warm_up_ms, ..LoadPattern::default() }, 0..3);
    }
}

/// Guards against a target that is flooded because it has turned cold without saying so.
#[test]
fn targets_that_turn_cold_again_without_a_notice_serve_nearly_what_they_can() {
    check_pattern(LoadPattern { cold_again_ms: Some(4_000), ..LoadPattern::default() }, 0..3);
}

/// Guards against a target that is left idle for good because it is slower than the others.
#[test]
fn targets_that_are_always_slow_serve_nearly_what_they_can() {
    check_pattern(LoadPattern { warm_up_ms: 500, pace: 2.5, ..LoadPattern::default() }, 0..3);
}

/// Guards against sixty nodes that each send a call to every new target at once, and against nodes that never join.
#[test]
fn twenty_targets_that_start_at_once_while_sixty_nodes_wait_serve_nearly_what_they_can() {
    check_pattern(LoadPattern { nodes: 60, targets: 20, ..LoadPattern::default() }, 0..1);
}

/// Guards against series of crashes of a target that each flood after its start crashes again.
#[test]
fn targets_that_crash_when_flooded_stay_up() {
    check_pattern(LoadPattern { crash_ratio: Some(3.0), ..LoadPattern::default() }, 0..5);
}

fn load(running: u32, work_time_percent: Option<u32>) -> ReportedLoad {
    ReportedLoad { running, waiting: 0, slots: 6, work_time_percent }
}

/// Returns the entry of a target of the service pure.
fn pure_entry(target: &TargetName) -> TargetEntry {
    target_entry(target.as_str(), "pure", "khomas-a")
}

/// Returns the state of a node with two targets of the service pure.
fn board_with_two_targets() -> (RelayBoard, ServiceName, [TargetName; 2]) {
    let mut board = board("edge-1");
    for target in ["i-1", "i-2"] {
        board.upsert_target(target_entry(target, "pure", "khomas-a"), at(0));
    }
    (board, ServiceName::new("pure"), [TargetName::new("i-1"), TargetName::new("i-2")])
}

/// Guards against old figures that steer long calls: they say much about a short call soon after, and little else.
#[test]
fn a_stated_work_time_counts_for_short_calls_that_follow_soon() {
    let mut history = LoadHistory::new(load(1, Some(100)), 1, at(0)).expect("the load has a work time");
    for ms in (0..3_000).step_by(50) {
        history.record(load(1, Some(100)), 1, at(ms));
    }
    history.record(load(1, Some(300)), 1, at(3_000));

    let expected = |call_ms: u64, age_ms: u64| history.expected_percent(millis(call_ms), at(3_000 + age_ms));
    assert!(expected(30, 50) > 150.0, "{}", expected(30, 50));
    assert!(expected(3_000, 50) < 115.0, "{}", expected(3_000, 50));
    assert!((expected(30, 20_000) - 100.0).abs() < 1.0, "{}", expected(30, 20_000));
}

/// Guards against a change for services whose targets state three figures or none: the choices must be the same.
#[test]
fn targets_without_the_work_time_are_chosen_as_if_they_stated_nothing() {
    let (mut silent, service, targets) = board_with_two_targets();
    let (mut stating, ..) = board_with_two_targets();
    for call in 0..200 {
        let now = at(call * 10);
        let chosen = choose_for_plain_call(&mut silent, &service, now).expect("targets are usable").target;
        assert_eq!(choose_for_plain_call(&mut stating, &service, now).map(|entry| entry.target), Some(chosen.clone()));
        for board in [&mut silent, &mut stating] {
            board.targets.record_call_start(&chosen, 0, now);
        }
        stating.targets.record_load(&pure_entry(&chosen), load(40, None), now);
        for board in [&mut silent, &mut stating] {
            let result = if call % 7 == 0 { CallResult::Broken } else { CallResult::Good(millis(10 + call % 5)) };
            board.targets.record_call_end(&chosen, result, now);
        }
    }
    assert_eq!(stating.targets.limited_count(), 0);
    assert_eq!(stating.targets.take_limit_changes(), []);
    assert!(targets.iter().all(|target| stating.targets.get(target).is_some_and(|view| view.start_limit().is_none())));
}

/// Guards against a flood of a target that has started again, and against requests that are refused for its limit.
#[test]
fn a_restarted_target_gets_few_calls_but_is_chosen_if_there_is_no_other() {
    let (mut board, service, [first, second]) = board_with_two_targets();
    for target in [&first, &second] {
        board.targets.record_load(&pure_entry(target), load(0, Some(100)), at(0));
    }
    let restarted = TargetEntry { incarnation: Some(2), ..pure_entry(&first) };
    board.upsert_target(restarted.clone(), at(10));
    let changes = board.targets.take_limit_changes();
    assert_eq!((changes[0].step, changes[0].cause), (LimitStep::Started, LimitCause::NewTarget));

    let mut counts = [0, 0];
    for call in 0..12 {
        let chosen = choose_for_plain_call(&mut board, &service, at(20 + call)).expect("targets are usable").target;
        board.targets.record_call_start(&chosen, 0, at(20 + call));
        counts[usize::from(chosen == second)] += 1;
    }
    assert!(counts[0] <= 2, "{counts:?}");

    board.targets.record_decline(&pure_entry(&second), Duration::from_secs(1), at(40));
    assert_eq!(choose_for_plain_call(&mut board, &service, at(50)).map(|entry| entry.target), Some(first.clone()));

    board.targets.record_load(&restarted, load(0, None), at(60));
    assert_eq!(board.targets.limited_count(), 0, "a target that states no work time has no limit");
}

/// Guards against the flood of targets whose data centre gets calls again.
#[test]
fn targets_of_a_data_centre_that_is_opened_have_a_limit() {
    let (mut board, _, [first, _]) = board_with_two_targets();
    board.targets.record_load(&pure_entry(&first), load(0, Some(100)), at(0));
    board.apply_order(OrderChange::Close(DcName::new("khomas-a")), at(10));
    board.apply_order(OrderChange::Open(DcName::new("khomas-a")), at(20));
    assert_eq!(board.targets.limited_count(), 1, "only the first target has stated its work time");
}
