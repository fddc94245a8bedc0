//! Tests of the choice of the nodes that batch pieces in a large fleet: one for each service and data centre.

use std::collections::{BTreeMap, BTreeSet};

use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::board::{OrderChange, RelayBoard, RelayTuning};
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat};
use wasabipier_core::relay::piece_nodes::PieceScope;
use wasabipier_core::relay::pieces::QueueWait;
use wasabipier_core::relay::rate_limits::RequestRate;

use crate::fixtures::{at, heartbeat, identity, millis, target_entry};

const DCS: [&str; 5] = ["khomas-a", "khomas-b", "khomas-c", "khomas-d", "khomas-e"];
const SERVICES: [&str; 3] = ["clubs", "coaches", "notify"];

/// Returns the heartbeat of a node of the data centre with this number, of which the first three are strong.
fn peer(dc: usize, number: usize) -> RelayHeartbeat {
    RelayHeartbeat {
        dc: DcName::new(DCS[dc]),
        capacity: if number < 3 { 100 } else { 1 },
        ..heartbeat(&format!("edge-{dc}-{number}"), 1)
    }
}

/// Returns the board of a weak node of khomas-a in a fleet of ten nodes in each data centre, with two targets of each
/// service there.
fn fleet_board() -> RelayBoard {
    let mut board = RelayBoard::new(identity("edge-0-9"), RelayTuning { capacity: 1, ..RelayTuning::default() });
    board.state = NodeState::Serving;
    for (dc, dc_name) in DCS.iter().enumerate() {
        for number in (0..10).filter(|number| (dc, *number) != (0, 9)) {
            board.handle_heartbeat(peer(dc, number), at(0));
        }
        for service in SERVICES {
            for target in 0..2 {
                board.upsert_target(target_entry(&format!("i-{service}-{dc}-{target}"), service, dc_name), at(0));
            }
        }
    }
    board
}

/// Returns how often each data centre is chosen for 200 stages whose results are wanted in the data centre `wanted_in`.
fn chosen_dcs(board: &mut RelayBoard, service: &str, wanted_in: usize, remote_bytes: u64) -> BTreeMap<String, u32> {
    let (service, dc) = (ServiceName::new(service), DcName::new(DCS[wanted_in]));
    let mut chosen = BTreeMap::new();
    for _ in 0..200 {
        let scope = PieceScope { service: &service, wanted_in: Some(&dc), rank: 0, remote_bytes };
        let node = board.choose_batching_node(scope, at(10));
        let dc = board.members.get(&node).map_or("own".to_owned(), |view| view.heartbeat.dc.to_string());
        *chosen.entry(dc).or_default() += 1;
    }
    chosen
}

/// Has the node that batches pieces of `service` in a data centre report a wait.
fn report_wait(board: &mut RelayBoard, service: &str, dc: usize, wait_ms: u64) {
    let name = ServiceName::new(service);
    let node = board.batching_node_in(&name, &DcName::new(DCS[dc]), at(5)).expect("there are nodes").clone();
    let known = board.members.get(&node).expect("it is a peer").heartbeat.clone();
    let wait = QueueWait { on_time: millis(wait_ms), late: millis(wait_ms) };
    let waits = vec![(name, vec![wait])];
    board.handle_heartbeat(RelayHeartbeat { waits, sequence: known.sequence + 1, ..known }, at(5));
}

/// Guards against one node whose work grows with the fleet: all pieces of a service met at one node.
#[test]
fn each_data_centre_has_its_own_strong_batching_nodes_apart_from_its_hub() {
    let board = fleet_board();

    let mut nodes = BTreeSet::new();
    for dc in DCS.map(DcName::new) {
        let hub = board.hub(&dc, at(10)).expect("there is a hub").clone();
        for service in SERVICES.map(ServiceName::new) {
            let node = board.batching_node_in(&service, &dc, at(10)).expect("there are nodes");
            let view = board.members.get(node).expect("it is a peer");
            assert_eq!((&view.heartbeat.dc, view.heartbeat.capacity), (&dc, 100));
            assert_ne!(*node, hub);
            nodes.insert(node.clone());
        }
    }
    assert!(nodes.len() >= 2 * DCS.len() - 2, "{nodes:?}");
}

#[test]
fn pieces_stay_in_the_data_centre_that_needs_them_unless_its_queue_is_long() {
    let mut board = fleet_board();
    let idle = chosen_dcs(&mut board, "clubs", 2, 7_500_000);
    report_wait(&mut board, "clubs", 2, 140);
    let short = chosen_dcs(&mut board, "clubs", 2, 0);
    report_wait(&mut board, "clubs", 2, 2_000);
    let long = chosen_dcs(&mut board, "clubs", 2, 0);
    let dear = chosen_dcs(&mut board, "clubs", 2, 60_000_000);

    assert_eq!((idle.len(), short.len()), (1, 1));
    assert!(idle.contains_key(DCS[2]) && dear.keys().eq([DCS[2]]), "{dear:?}");
    assert_eq!(long.len(), 4, "all other data centres get some: {long:?}");
}

/// Guards against a herd: late news of one free data centre draws the pieces of all nodes to it.
#[test]
fn a_slightly_longer_queue_sends_few_pieces_elsewhere() {
    let mut board = fleet_board();
    for dc in 0..DCS.len() {
        report_wait(&mut board, "clubs", dc, if dc == 2 { 500 } else { 400 });
    }

    let chosen = chosen_dcs(&mut board, "clubs", 2, 0);

    assert!(chosen[DCS[2]] >= 140, "{chosen:?}");
}

#[test]
fn pieces_of_a_data_centre_without_targets_are_made_in_all_others() {
    let mut board = fleet_board();

    board.apply_order(OrderChange::Close(DcName::new(DCS[2])), at(5));

    assert_eq!(chosen_dcs(&mut board, "clubs", 2, 0).len(), 4);
}

/// Guards against a batching node that is down: its successor in the data centre takes over.
#[test]
fn the_next_node_of_the_data_centre_takes_over_from_one_that_does_not_answer() {
    let mut board = fleet_board();
    let (service, dc) = (ServiceName::new("clubs"), DcName::new(DCS[2]));
    let first = board.batching_node_in(&service, &dc, at(10)).expect("there are nodes").clone();

    board.members.mark_suspected(&first, at(10));

    let second = board.batching_node_in(&service, &dc, at(10)).expect("there are nodes");
    assert_ne!(*second, first);
    assert_eq!(board.members.get(second).map(|view| view.heartbeat.dc.clone()), Some(dc));
}

/// Guards against limits that several nodes count separately, and against nodes of an earlier release, which send all pieces
/// of a service to one node.
#[test]
fn one_node_batches_all_pieces_of_a_service_with_limits_or_beside_an_earlier_release() {
    let service = ServiceName::new("clubs");
    let mut limited = fleet_board();
    limited.rate_limits.record_answer(&TargetName::new("i-clubs-3-0"), Some(RequestRate(2_000)), at(1), at(2));
    let mut mixed = fleet_board();
    let old = RelayHeartbeat { call_version: CallVersion::BASE, sequence: 2, ..peer(4, 5) };
    mixed.handle_heartbeat(old, at(5));

    assert!(fleet_board().batches_by_dc(&service, at(10)));
    for mut board in [limited, mixed] {
        assert!(!board.batches_by_dc(&service, at(10)));
        let chosen: BTreeSet<NodeName> = (0..DCS.len())
            .map(|dc| {
                let dc = DcName::new(DCS[dc]);
                let scope = PieceScope { service: &service, wanted_in: Some(&dc), rank: 0, remote_bytes: 0 };
                board.choose_batching_node(scope, at(10))
            })
            .collect();
        assert_eq!(chosen.len(), 1);
    }
}
