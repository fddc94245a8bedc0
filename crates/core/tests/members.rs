//! Tests of which peers are offered to callers when the platform's VM list lags behind or names a VM as leaving.

use wasabipier_core::event::{VmEntry, VmState};
use wasabipier_core::message::{Heartbeat, NodeState};
use wasabipier_core::prelude::*;

fn address(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Returns the core of node `entry-1`, which has `entry-2` as its configured peer.
fn new_node() -> NodeCore {
    let identity = Identity {
        node: "entry-1".into(),
        instance: InstanceId(1),
        dc: "khomas-a".into(),
        caller_address: address(8001),
        peer_address: address(7001),
    };
    let peers = vec![PeerSpec { node: "entry-2".into(), address: address(7002) }];
    NodeCore::new(NodeConfig { identity, tuning: Tuning::default(), seed: 1, peers }).0
}

/// Returns the arrival of a heartbeat of `entry-2`, which serves.
fn heartbeat_event() -> Event {
    let heartbeat = Heartbeat {
        instance: InstanceId(2),
        sequence: 1,
        dc: "khomas-b".into(),
        caller_address: address(8002),
        peer_address: address(7002),
        state: NodeState::Serving,
        revision: Revision(0),
        seats: Vec::new(),
    };
    Event::Peer("entry-2".into(), Box::new(PeerMessage::Heartbeat(heartbeat)))
}

/// Returns the entry of `entry-2` in the platform's VM list.
fn vm_entry(state: VmState) -> VmEntry {
    VmEntry {
        node: "entry-2".into(),
        dc: "khomas-b".into(),
        caller_address: address(8002),
        peer_address: address(7002),
        state,
    }
}

/// Guards against a peer that is hidden from callers although it is alive, because the list does not name it yet.
#[test]
fn a_peer_missing_from_a_lagging_vm_list_is_offered_to_callers_after_its_first_heartbeat() {
    // Arrange: the VM list does not name the configured peer yet
    let mut core = new_node();
    core.handle(Moment(100), WallTime(0), &Event::VmsListed(Vec::new()));

    // Act
    core.handle(Moment(200), WallTime(0), &heartbeat_event());

    // Assert
    assert!(core.addresses().contains(&address(8002)));
}

/// Guards against callers that are sent to a peer whose VM will be stopped soon, while the peer still sends heartbeats.
#[test]
fn a_peer_that_the_vm_list_names_as_leaving_is_not_offered_to_callers() {
    // Arrange
    let mut core = new_node();
    core.handle(Moment(200), WallTime(0), &heartbeat_event());

    // Act
    core.handle(Moment(300), WallTime(0), &Event::VmsListed(vec![vm_entry(VmState::Leaving)]));

    // Assert
    assert!(!core.addresses().contains(&address(8002)));
}
