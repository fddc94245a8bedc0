//! Tests of what refused connections show.

use wasabipier_core::names::TargetName;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::refusals::RefusalEvidence;
use wasabipier_core::relay::suspects::{CrashId, SuspectKey};
use wasabipier_core::relay::targets::TargetEntry;

use crate::fixtures::{at, board, millis, target_entry};

/// Returns a board that knows targets of services, by name and service.
fn board_with_targets(targets: &[(&str, &str)]) -> RelayBoard {
    let mut board = board("edge-0");
    for (name, service) in targets {
        board.upsert_target(target_entry(name, service, "khomas-a"), at(0));
    }
    board
}

/// Returns the names of the targets that are tried after `i-0` of the service coaches has refused a connection, sorted.
fn control_names(board: &mut RelayBoard) -> Vec<String> {
    let controls = board.control_targets(&target_entry("i-0", "coaches", "khomas-a"), 8);
    let mut names: Vec<String> = controls.iter().map(|entry: &TargetEntry| entry.target.to_string()).collect();
    names.sort();
    names
}

/// Guards against a partition that counts as a crash, and a crash that counts for nothing where no one else can tell.
#[test]
fn a_refusal_shows_a_crash_unless_a_peer_reaches_the_target_or_this_node_no_other() {
    let cases = [
        (None, None, true),
        (Some(true), None, true),
        (Some(true), Some(false), true),
        (None, Some(false), true),
        (Some(true), Some(true), false),
        (None, Some(true), false),
        (Some(false), None, false),
        (Some(false), Some(false), false),
    ];
    for (reaches_others, is_reached_by_peer, expected) in cases {
        let evidence =
            RefusalEvidence { is_refused: true, reaches_others, is_reached_by_peer, is_missed_by_witness: false };
        assert_eq!(evidence.shows_crash(), expected, "{evidence:?}");
    }
}

/// Guards against a node without paths that takes each crash for its partition, although a peer with paths sees it, and
/// against one that takes the partition of its peers, or a target that is silent, for a crash.
#[test]
fn a_node_without_paths_goes_by_what_a_peer_with_paths_sees() {
    let cases =
        [(Some(false), true, true), (Some(true), true, false), (Some(false), false, false), (None, false, false)];
    for (is_reached_by_peer, is_missed_by_witness, expected) in cases {
        for is_refused in [false, true] {
            let reaches_others = Some(false);
            let evidence = RefusalEvidence { is_refused, reaches_others, is_reached_by_peer, is_missed_by_witness };
            assert_eq!(evidence.shows_crash(), expected, "{evidence:?}");
        }
    }
    let silent = RefusalEvidence { reaches_others: Some(true), ..RefusalEvidence::default() };
    assert!(!silent.shows_crash(), "it does not answer in time, and nobody else tells");
}

/// Guards against a crash that seems a partition, since the other targets that are tried have crashed, too.
#[test]
fn targets_that_have_crashed_are_not_tried_to_find_out_whether_this_node_is_partitioned() {
    let mut board = board_with_targets(&[("i-0", "coaches"), ("i-1", "coaches"), ("i-2", "coaches"), ("i-3", "clubs")]);
    board.upsert_target(target_entry("i-4", "coaches", "khomas-b"), at(0));
    let crashed = CrashId::from(&target_entry("i-1", "coaches", "khomas-a"));
    board.suspects.record_crash(&[SuspectKey::Part(7)], crashed, at(1));

    assert_eq!(control_names(&mut board), ["i-2", "i-4"]);
    let missed = target_entry("i-0", "coaches", "khomas-a");
    let controls = board.witness_controls(&missed, 3, at(300));
    let names: Vec<&str> = controls.iter().map(|entry| entry.target.as_str()).collect();
    assert_eq!(names, ["i-2", "i-3", "i-4"], "the same data centre first, and the same service in it");
}

/// Guards against a partition from one service that is not noticed, since targets of other services are tried.
#[test]
fn targets_of_the_same_service_whose_paths_have_not_failed_are_tried_first() {
    let mut board = board_with_targets(&[("i-0", "coaches"), ("i-1", "coaches"), ("i-2", "coaches"), ("i-3", "clubs")]);

    assert_eq!(control_names(&mut board), ["i-1", "i-2"]);
    board.record_connect_failure(&TargetName::new("i-1"), at(1));
    assert_eq!(control_names(&mut board), ["i-2"]);
    board.record_connect_failure(&TargetName::new("i-2"), at(2));
    assert_eq!(control_names(&mut board), ["i-3"]);
}

/// Guards against a crash that counts as an outage of its data centre since only targets are looked at that have crashed,
/// too, and against an outage that seems none, since a target has started again after it.
#[test]
fn targets_of_the_data_centre_that_have_not_crashed_and_are_warm_show_whether_it_goes_on() {
    let mut board = board_with_targets(&[("i-0", "coaches"), ("i-1", "coaches"), ("i-2", "coaches"), ("i-3", "clubs")]);
    board.upsert_target(target_entry("i-4", "coaches", "khomas-b"), at(0));
    board.upsert_target(TargetEntry { cold_time: millis(5_000), ..target_entry("i-5", "clubs", "khomas-a") }, at(0));
    let crashed = [target_entry("i-0", "coaches", "khomas-a"), target_entry("i-1", "coaches", "khomas-a")];
    for entry in &crashed {
        board.suspects.record_crash(&[SuspectKey::Part(7)], CrashId::from(entry), at(1));
    }

    let controls = board.outage_controls(&crashed[0], 4, at(300));

    let names: Vec<&str> = controls.iter().map(|entry| entry.target.as_str()).collect();
    assert_eq!(names, ["i-2", "i-3"], "the same service first");
}

/// Guards against a whole data centre that is down and makes its nodes' peers look as if they had no paths.
#[test]
fn peers_are_asked_for_targets_that_are_reached_here_and_elsewhere_first() {
    let mut board = board("edge-0");
    let targets = [("i-0", "khomas-a"), ("i-1", "khomas-a"), ("i-2", "khomas-b"), ("i-3", "khomas-b")];
    for (name, dc) in targets {
        board.upsert_target(target_entry(name, "coaches", dc), at(0));
    }
    board.record_connect_failure(&TargetName::new("i-0"), at(1));
    board.record_connect_failure(&TargetName::new("i-2"), at(1));

    let controls = board.path_controls(&target_entry("i-0", "coaches", "khomas-a"), 8, at(2));

    let names: Vec<&str> = controls.iter().map(|entry| entry.target.as_str()).collect();
    assert_eq!(names, ["i-3", "i-1", "i-2"]);
}
