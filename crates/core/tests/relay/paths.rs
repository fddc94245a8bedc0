//! Tests of what a node knows of its paths to targets, and of the roles and addresses that depend on it.

use std::net::SocketAddr;

use wasabipier_core::message::NodeState;
use wasabipier_core::names::{NodeName, ServiceName, TargetName};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::document::{BatchSpec, DocumentIndex, RelayDocument, RelayService};
use wasabipier_core::relay::members::RelayHeartbeat;
use wasabipier_core::relay::paths::{PathChoice, PathReport, PathTable, ReachChange};
use wasabipier_core::relay::pieces::QueueWait;

use crate::fixtures::{address, at, board, heartbeat, millis, target_entry};

/// Number of known targets.
const TARGET_COUNT: usize = 8;

fn target(number: usize) -> TargetName {
    TargetName::new(format!("i-{number}"))
}

/// Returns a path table that has failed to connect to each of the targets `numbers`.
fn failed_paths(numbers: impl Iterator<Item = usize>) -> PathTable {
    let mut paths = PathTable::default();
    for number in numbers {
        paths.record_failed(&target(number), TARGET_COUNT, at(number as u64));
    }
    paths
}

/// Returns the board of the serving node edge-0, which knows four targets of the service coaches, with peers that report
/// `paths`. The peers are edge-1 and so on.
fn board_with_peers(paths: &[PathReport]) -> RelayBoard {
    let mut board = board("edge-0");
    board.state = NodeState::Serving;
    let batch = BatchSpec {
        slots: 1,
        max_pieces: 8,
        fixed_call_time: millis(20),
        piece_time: millis(1),
        storage_bytes: 36_000_000,
        result_ttl: millis(4_000),
    };
    let coaches = ServiceName::new("coaches");
    let service = RelayService { batch: Some(batch), ..RelayService::default() };
    let services = [(coaches, service)].into();
    board.index = DocumentIndex::new(RelayDocument { version: 1, services, ..RelayDocument::default() }).into();
    for number in 0..4 {
        board.upsert_target(target_entry(&format!("i-{number}"), "coaches", "khomas-a"), at(0));
    }
    for (number, paths) in paths.iter().enumerate() {
        let peer = heartbeat(&format!("edge-{}", number + 1), 1);
        let caller_address = address(8001 + number as u16);
        board.handle_heartbeat(RelayHeartbeat { paths: paths.clone(), caller_address, ..peer }, at(0));
    }
    board
}

fn cut_off() -> PathReport {
    PathReport { is_cut_off: true, unreached: vec![(ServiceName::new("coaches"), 4)] }
}

/// Returns a report of a node that misses `count` targets of the service coaches.
fn missing(count: u32) -> PathReport {
    PathReport { is_cut_off: false, unreached: vec![(ServiceName::new("coaches"), count)] }
}

fn batching_node(board: &RelayBoard) -> NodeName {
    board.batching_node(&ServiceName::new("coaches"), at(10)).clone()
}

fn cut_off_own(board: &mut RelayBoard) {
    for number in 0..4 {
        board.record_connect_failure(&target(number), at(5));
    }
    assert!(board.paths.is_cut_off());
}

/// Guards against a partitioned node that tries target after target and waits for each of them, and against one that
/// counts as cut off because of the targets of one service.
#[test]
fn a_node_that_fails_to_connect_to_targets_in_a_row_doubts_all_paths_and_counts_as_cut_off_after_more() {
    let mut paths = failed_paths(0..2);
    assert!(!paths.is_doubtful(&target(7)));

    assert_eq!(paths.record_failed(&target(2), TARGET_COUNT, at(10)), None);
    assert!(paths.is_doubtful(&target(7)) && !paths.has_failed(&target(7)));
    let known: Vec<TargetName> = (0..TARGET_COUNT).map(target).collect();
    assert_eq!(paths.take_due_probes(known.iter(), at(11)), [target(3), target(4), target(5)]);
    paths.record_failed(&target(3), TARGET_COUNT, at(12));
    let change = paths.record_failed(&target(4), TARGET_COUNT, at(12));

    assert_eq!(change, Some(ReachChange::CutOff));
    assert!(paths.has_failed(&target(7)));
    assert_eq!(paths.record_failed(&target(5), TARGET_COUNT, at(13)), None, "the change is reported once");
    assert_eq!(paths.record_connected(&target(3), at(14)), Some(ReachChange::Restored));
    assert!(!paths.is_doubtful(&target(7)) && !paths.is_doubtful(&target(3)));
    assert!(paths.has_failed(&target(0)), "one connection does not prove the other failed paths");
}

/// Guards against a node that counts as cut off because of some targets, while it reaches others.
#[test]
fn a_node_that_reaches_some_targets_is_not_cut_off() {
    let mut paths = failed_paths(0..2);
    paths.record_connected(&target(7), at(10));

    for round in 0..20 {
        for number in 0..2 {
            assert_eq!(paths.record_failed(&target(number), TARGET_COUNT, at(20 + round)), None);
            assert_eq!(paths.record_relayed(&target(number), TARGET_COUNT, at(20 + round)), None);
        }
    }
    assert_eq!(paths.record_failed(&target(2), TARGET_COUNT, at(50)), None);
}

/// Guards against a node that counts as cut off because targets are down for all nodes.
#[test]
fn targets_that_no_peer_reaches_do_not_make_a_node_cut_off() {
    let mut paths = PathTable::default();
    for number in 0..TARGET_COUNT - 1 {
        assert_eq!(paths.record_failed(&target(number), TARGET_COUNT, at(10)), None);
        assert!(paths.begin_down_check(&target(number), at(11)));
        paths.finish_down_check(&target(number), true, at(11));
    }

    assert!(!paths.is_cut_off());
    for number in 0..4 {
        assert_eq!(paths.record_relayed(&target(number), TARGET_COUNT, at(20)), None);
    }
    let change = paths.record_relayed(&target(4), TARGET_COUNT, at(20));
    assert_eq!(change, Some(ReachChange::CutOff), "peers reach five targets that this node has not reached");
}

/// Guards against a node without paths that refuses requests since peers do not reach their targets either, which have lost
/// their paths, too.
#[test]
fn a_target_is_down_only_if_a_peer_that_misses_it_reaches_others() {
    let mut board = board_with_peers(&[PathReport::default(), PathReport::default()]);
    let missed = target(0);
    board.record_connect_failure(&missed, at(10));

    assert!(board.paths.begin_down_check(&missed, at(11)));
    assert!(!board.paths.begin_down_check(&missed, at(11)), "one check runs");
    board.paths.finish_down_check(&missed, false, at(12));
    assert_eq!(board.choose_path(&missed, at(13)), PathChoice::Tunnel);

    assert!(board.paths.begin_down_check(&missed, at(14)));
    board.paths.finish_down_check(&missed, true, at(15));
    assert_eq!(board.choose_path(&missed, at(16)), PathChoice::Closed);
    assert!(!board.paths.begin_down_check(&missed, at(16)), "it is known");
    assert_eq!(board.choose_path(&missed, at(515)), PathChoice::Tunnel);
}

/// Guards against requests of a node without paths that are all passed to peers without paths.
#[test]
fn peers_that_missed_a_target_just_now_are_asked_last() {
    let mut board = board_with_peers(&[PathReport::default(), PathReport::default(), PathReport::default()]);
    let service = ServiceName::new("coaches");
    let [first, second] = ["edge-1", "edge-3"].map(NodeName::new);

    board.paths.record_miss(&first, at(10));
    board.paths.record_miss(&second, at(20));

    for _ in 0..20 {
        let asked = board.tunnel_peers(&service, 1, at(400));
        assert_eq!(asked[0].node, NodeName::new("edge-2"));
    }
    let may_be_asked = |ms: u64, board: &mut RelayBoard| {
        let mut asked = (0..100).flat_map(|_| board.tunnel_peers(&service, 1, at(ms)));
        asked.any(|heartbeat| heartbeat.node == first)
    };
    assert!(may_be_asked(510, &mut board), "heartbeats tell more by then");
}

/// Guards against attempts to connect that pile up at targets which a node does not reach, and against paths that are
/// never tried again.
#[test]
fn failed_paths_are_probed_one_after_another_with_growing_pauses() {
    let mut paths = failed_paths(0..TARGET_COUNT);
    let targets: Vec<TargetName> = (0..TARGET_COUNT).map(target).collect();
    let mut probes = 0;

    for round in 0..100 {
        let now = at(300 + round * 100);
        let due = paths.take_due_probes(targets.iter(), now);
        assert!(due.len() <= 1, "a node that is cut off probes one path at a time");
        for probed in &due {
            paths.record_failed(probed, TARGET_COUNT, now);
        }
        probes += due.len();
    }

    assert!((24..=60).contains(&probes), "{probes} probes in 10 s");
}

/// Guards against a target that hangs for a moment and gets no calls for seconds after it, since calls that fail at the
/// same time count as attempts in a row.
#[test]
fn calls_that_fail_at_the_same_time_do_not_delay_the_first_probe() {
    let mut paths = PathTable::default();
    let targets = [target(0), target(1)];

    for ms in 10..30 {
        paths.record_failed(&target(0), TARGET_COUNT, at(ms));
    }

    assert_eq!(paths.take_due_probes(targets.iter(), at(300)), [target(0)]);
    paths.record_failed(&target(0), TARGET_COUNT, at(310));
    paths.record_failed(&target(0), TARGET_COUNT, at(311));
    assert!(paths.take_due_probes(targets.iter(), at(800)).is_empty(), "the pause has doubled");
    assert_eq!(paths.take_due_probes(targets.iter(), at(810)), [target(0)]);
}

/// Guards against paths that count as sound although their calls break: a partition leaves connections open.
#[test]
fn a_path_is_probed_after_a_call_has_broken() {
    let mut paths = PathTable::default();
    let targets = [target(0), target(1)];
    assert!(paths.take_due_probes(targets.iter(), at(10)).is_empty());

    paths.record_doubt(&target(1));

    assert_eq!(paths.take_due_probes(targets.iter(), at(11)), [target(1)]);
    assert!(paths.take_due_probes(targets.iter(), at(12)).is_empty());
}

/// Guards against pieces of all nodes that are sent to a node which reaches no target, and against pieces that move when
/// a target is down for all.
#[test]
fn pieces_are_batched_by_a_node_that_reaches_their_targets() {
    let sound = board_with_peers(&[PathReport::default(), PathReport::default(), PathReport::default()]);
    let first = batching_node(&sound);
    let reports = |report: &PathReport| {
        let own = (1..4).map(|number| format!("edge-{number}") == first.as_str());
        own.map(|is_first| if is_first { report.clone() } else { PathReport::default() }).collect::<Vec<_>>()
    };
    assert_ne!(first.as_str(), "edge-0", "the test needs a peer that batches");

    assert_ne!(batching_node(&board_with_peers(&reports(&cut_off()))), first);
    assert_ne!(batching_node(&board_with_peers(&reports(&missing(3)))), first);
    assert_eq!(batching_node(&board_with_peers(&reports(&missing(1)))), first);
    let mut all_cut_off = board_with_peers(&[cut_off(), cut_off(), cut_off()]);
    cut_off_own(&mut all_cut_off);
    assert_eq!(batching_node(&all_cut_off), first);
}

/// Guards against requests that are refused because stages are busy, by the word of a node that reaches no target.
#[test]
fn queue_waits_of_cut_off_nodes_do_not_count_while_others_reach_the_targets() {
    let wait = QueueWait { on_time: millis(7_000), late: millis(11_000) };
    let coaches = ServiceName::new("coaches");
    let report = |board: &mut RelayBoard, paths: PathReport| {
        let waits = vec![(coaches.clone(), vec![wait])];
        board.handle_heartbeat(RelayHeartbeat { waits, paths, ..heartbeat("edge-1", 2) }, at(1));
        board.queue_wait(&coaches, 0, at(10))
    };

    let mut board = board_with_peers(&[PathReport::default()]);
    assert_eq!(report(&mut board, cut_off()), QueueWait::default());
    let mut board = board_with_peers(&[PathReport::default()]);
    assert_eq!(report(&mut board, PathReport::default()), wait);
    let mut board = board_with_peers(&[PathReport::default()]);
    cut_off_own(&mut board);
    assert_eq!(report(&mut board, cut_off()), wait, "no node reaches the targets");
}

/// Guards against callers that are sent to nodes which reach no target, and against a directory that names too few nodes
/// when many are cut off.
#[test]
fn cut_off_nodes_are_not_named_while_they_are_not_most() {
    let named = |reports: &[PathReport], is_own_cut_off: bool| -> Vec<SocketAddr> {
        let mut board = board_with_peers(reports);
        if is_own_cut_off {
            cut_off_own(&mut board);
        }
        let mut named = board.addresses(at(10));
        named.sort();
        named
    };
    let (own, peers) = (address(8000), [address(8001), address(8002), address(8003)]);
    let sound = PathReport::default;

    assert_eq!(named(&[cut_off(), sound(), sound()], false), [own, peers[1], peers[2]]);
    assert_eq!(named(&[sound(), sound(), sound()], true), peers);
    assert_eq!(named(&[missing(4), sound(), sound()], false), [own, peers[0], peers[1], peers[2]]);
    assert_eq!(named(&[cut_off(), cut_off(), sound()], true), [own, peers[0], peers[1], peers[2]]);
    assert_eq!(named(&[cut_off(), cut_off(), cut_off()], true), [own, peers[0], peers[1], peers[2]]);
}
