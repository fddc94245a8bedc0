//! Targets whose process ends and starts again under the same entry.

use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::names::{ServiceName, TargetName};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::document::{DocumentIndex, RelayService};
use wasabipier_core::relay::refusals::RefusalEvidence;
use wasabipier_core::relay::targets::{CallResult, TargetEntry};

use crate::fixtures::{at, board, millis, target_entry, version};

const SERVICE: &str = "bookings";
const WARM_UP: Duration = Duration::from_secs(10);

/// Returns a board with one target of a service that limits calls to cold targets, and the target's entry.
fn board_with_target() -> (RelayBoard, TargetEntry) {
    let mut board = board("edge-1");
    let service = RelayService { cold_rate: 4.0, warm_up: WARM_UP, ..RelayService::default() };
    let mut index = DocumentIndex::default();
    index.services.insert(ServiceName::new(SERVICE), service);
    board.index = Arc::new(index);
    let entry = target_entry("i-1", SERVICE, "khomas-a");
    board.upsert_target(entry.clone(), at(0));
    (board, entry)
}

/// Returns evidence that a process has ended: the target refuses connections, and another one does not.
fn end_evidence() -> RefusalEvidence {
    RefusalEvidence { is_refused: true, reaches_others: Some(true), ..RefusalEvidence::default() }
}

/// Lets a check show that the process of `entry` has ended.
fn end_process(board: &mut RelayBoard, entry: &TargetEntry) {
    assert!(board.begin_process_check(entry), "the end is not known");
    assert!(board.finish_process_check(entry, end_evidence()));
}

fn is_cold(board: &RelayBoard, ms: u64) -> bool {
    board.targets.get(&TargetName::new("i-1")).expect("the target is known").is_cold(at(ms))
}

/// Guards against a cold target that counts as warm, since its process has written no entry yet (FAILBACK).
#[test]
fn a_target_whose_process_has_ended_is_cold_once_it_accepts_connections_again() {
    let (mut board, entry) = board_with_target();
    end_process(&mut board, &entry);

    let delay = board.record_accepting(&entry.target, at(2_000));

    assert_eq!(delay, Some(RelayBoard::ENTRY_TIME));
    assert!(is_cold(&board, 11_999) && !is_cold(&board, 12_000));
    assert!(board.is_restarted(&entry, at(3_000)));
    assert_eq!(board.record_accepting(&entry.target, at(4_000)), None, "it has started once");
}

#[test]
fn a_target_that_was_only_out_of_reach_is_not_cold_when_it_is_reached_again() {
    let (mut board, entry) = board_with_target();
    board.record_connect_failure(&entry.target, at(1_000));

    let delay = board.record_accepting(&entry.target, at(2_000));

    assert_eq!(delay, None);
    assert!(!is_cold(&board, 2_000));
}

/// Guards against a target that gets no calls while others have room, since calls to its earlier process have failed.
#[test]
fn failures_of_a_process_that_has_ended_do_not_count_against_the_next_one() {
    let (mut board, entry) = board_with_target();
    board.targets.record_call_start(&entry.target, 0, at(900));
    board.targets.record_call_end(&entry.target, CallResult::Broken, at(1_000));
    end_process(&mut board, &entry);

    board.record_accepting(&entry.target, at(1_100));

    let view = board.targets.get(&entry.target).expect("the target is known");
    assert_eq!((view.failure_ratio, view.backoff_until <= at(1_100)), (0.0, true));
}

/// Guards against an entry of the process that has ended, which the store comes back with, and one of the new process.
#[test]
fn only_an_entry_of_the_new_process_tells_how_long_it_stays_cold() {
    let (mut board, entry) = board_with_target();
    end_process(&mut board, &entry);
    board.record_accepting(&entry.target, at(2_000));

    let old = TargetEntry { sequence: Some(9), row_version: version(7), ..entry.clone() };
    board.upsert_target(old, at(3_000));
    assert!(is_cold(&board, 3_000));

    let new = TargetEntry { incarnation: Some(2), cold_time: millis(4_000), row_version: version(8), ..entry.clone() };
    board.upsert_target(new, at(5_000));
    assert!(is_cold(&board, 8_999) && !is_cold(&board, 9_000));
    assert!(!board.is_restarted(&entry, at(5_000)));
}

#[test]
fn a_target_that_tells_that_it_is_warm_gets_calls_again() {
    let (mut board, entry) = board_with_target();
    end_process(&mut board, &entry);
    board.record_accepting(&entry.target, at(2_000));

    board.targets.record_cold_time(&entry, Duration::ZERO, at(3_000));

    assert!(!is_cold(&board, 3_000));
    assert!(!board.is_restarted(&entry, at(3_000)));
}

/// Guards against a target that gets too many calls, or none for good, since an answer of the process before comes late.
#[test]
fn what_an_earlier_process_says_does_not_hold_for_the_next_one() {
    let (mut board, entry) = board_with_target();
    let new = TargetEntry { incarnation: Some(2), cold_time: millis(4_000), row_version: version(8), ..entry.clone() };
    board.upsert_target(new, at(5_000));

    board.targets.record_cold_time(&entry, Duration::ZERO, at(5_100));
    board.targets.record_decline(&entry, millis(1_000), at(5_100));
    let is_news = board.targets.record_leaving(&entry);

    assert!(is_cold(&board, 8_999));
    let view = board.targets.get(&entry.target).expect("the target is known");
    assert!(view.takes_calls(at(5_200)) && !is_news);
}

/// Guards against a target that hangs before its process ends, whose end is not seen since a check has shown nothing
/// before (FAILBACK).
#[test]
fn a_process_is_checked_until_its_end_is_known() {
    let (mut board, entry) = board_with_target();

    assert!(board.begin_process_check(&entry));
    assert!(!board.begin_process_check(&entry), "one check runs");
    assert!(!board.finish_process_check(&entry, RefusalEvidence::default()), "it did not answer in time");
    assert!(board.begin_process_check(&entry));
    assert!(board.finish_process_check(&entry, end_evidence()));
    assert!(!board.begin_process_check(&entry), "its end is known");
    board.record_accepting(&entry.target, at(2_000));
    assert!(board.begin_process_check(&entry), "the next process may end, too");
}

#[test]
fn processes_are_checked_only_if_calls_depend_on_it() {
    let (mut board, entry) = board_with_target();
    let leaving = TargetEntry { leaving: true, ..entry.clone() };
    let other = target_entry("i-2", "unlimited", "khomas-a");
    board.upsert_target(other.clone(), at(0));

    assert!(!board.begin_process_check(&leaving));
    assert!(!board.begin_process_check(&other), "its service does not limit calls to cold targets");
}

/// Guards against a partition of this node, or of all, that is taken for the end of a process.
#[test]
fn a_process_has_ended_only_if_another_target_was_reached() {
    let refused = RefusalEvidence { is_refused: true, ..RefusalEvidence::default() };
    let reaching = RefusalEvidence { reaches_others: Some(true), ..refused };
    let witnessed = RefusalEvidence { reaches_others: Some(false), is_missed_by_witness: true, ..refused };

    assert!(reaching.shows_end() && witnessed.shows_end());
    assert!(!refused.shows_end(), "there was no other target to reach");
    assert!(!RefusalEvidence { reaches_others: Some(false), ..refused }.shows_end());
    assert!(!RefusalEvidence { is_reached_by_peer: Some(true), ..reaching }.shows_end());
    assert!(!RefusalEvidence { is_refused: false, ..reaching }.shows_end(), "it may be slow");
}
