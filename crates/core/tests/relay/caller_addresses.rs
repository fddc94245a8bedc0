//! Tests of the addresses that callers of a fleet get that has more nodes than one answer names.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use wasabipier_core::message::NodeState;
use wasabipier_core::names::DcName;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::caller_addresses::AddressQuery;
use wasabipier_core::relay::members::RelayHeartbeat;

use crate::fixtures::{address, at, board, heartbeat};

const DCS: [&str; 5] = ["khomas-a", "khomas-b", "khomas-c", "khomas-d", "khomas-e"];
const MAX_COUNT: usize = 64;

/// Returns the board of the node edge-000 of a fleet of `size` nodes that are distributed over `DCS` in turn.
fn board_of_fleet(size: usize) -> RelayBoard {
    let mut board = board("edge-000");
    board.state = NodeState::Serving;
    for number in 1..size {
        let peer = RelayHeartbeat {
            dc: DcName::new(DCS[number % DCS.len()]),
            caller_address: address(8000 + number as u16),
            ..heartbeat(&format!("edge-{number:03}"), 1)
        };
        board.handle_heartbeat(peer, at(0));
    }
    board
}

/// Returns the query of the caller with this number, which is in one of `DCS`.
fn query(caller: u8) -> AddressQuery {
    let dc = Some(DcName::new(DCS[usize::from(caller) % DCS.len()]));
    AddressQuery { host: IpAddr::from([10, 9, 0, caller]), dc, max_count: MAX_COUNT }
}

/// Returns the data centre of the node with this address in a fleet of `board_of_fleet`.
fn dc_of(address: SocketAddr) -> &'static str {
    DCS[usize::from(address.port() - 8000) % DCS.len()]
}

/// Guards against a large fleet of which a few nodes get all callers: each answer named the same nodes, the first ones.
#[test]
fn callers_are_spread_over_all_nodes_of_a_large_fleet() {
    const CALLERS: u8 = 250;
    let board = board_of_fleet(295);

    let mut named: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for caller in 0..CALLERS {
        for address in board.addresses_for(&query(caller), at(100)) {
            *named.entry(address).or_default() += 1;
        }
    }

    let mean = f64::from(CALLERS) * MAX_COUNT as f64 / 295.0;
    assert_eq!(named.len(), 295, "every node is named");
    let most = named.values().max().copied().unwrap_or_default();
    assert!(f64::from(most) <= 1.5 * mean, "one node is named {most} times, {mean:.0} on average");
}

/// Guards against callers that lose their connections with each answer, and against requests that cross data centres.
#[test]
fn a_caller_gets_the_same_nodes_again_and_most_of_them_in_its_data_centre() {
    let (board, other_board) = (board_of_fleet(295), board_of_fleet(290));

    let first: BTreeSet<SocketAddr> = board.addresses_for(&query(7), at(100)).into_iter().collect();
    let second: BTreeSet<SocketAddr> = other_board.addresses_for(&query(7), at(100)).into_iter().collect();

    let local = first.iter().filter(|address| dc_of(**address) == DCS[2]).count();
    assert_eq!((first.len(), local), (MAX_COUNT, 48));
    let kept = first.intersection(&second).count();
    assert!(kept >= MAX_COUNT - 5, "{kept} addresses are named by a node that does not know five of the others");
}

#[test]
fn callers_of_a_lost_data_centre_or_of_none_get_nodes_of_the_others() {
    let board = board_of_fleet(295);
    let lost = AddressQuery { dc: Some(DcName::new("khomas-x")), ..query(1) };
    let unknown = AddressQuery { dc: None, ..query(1) };

    for query in [lost, unknown] {
        let dcs: BTreeSet<&str> = board.addresses_for(&query, at(100)).into_iter().map(dc_of).collect();
        assert_eq!(dcs.len(), DCS.len());
    }
}

#[test]
fn all_nodes_are_named_if_they_fit_into_one_answer() {
    let board = board_of_fleet(MAX_COUNT);

    assert_eq!(board.addresses_for(&query(3), at(100)), board.addresses(at(100)));
}
