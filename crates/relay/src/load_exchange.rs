//! Exchanges the load of targets, the calls in flight and their unread prompt tokens, between heartbeats. In a large
//! fleet heartbeats are too rare for this, and pass through two hubs.
//!
//! This concerns nodes whose hub does not place prompts, see `crate::placement`: before such a node chooses a target for a prompt, it asks its hub for the calls in flight. After the choice, it reports
//! its own load to the hub. Hubs exchange loads at a short interval while there are changes.

use std::net::SocketAddr;
use std::time::Duration;

use spdlog::debug;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::names::{DcName, NodeName};
use wasabipier_core::relay::members::CallVersion;
use wasabipier_wire::relay::{WireCall, WireNodeLoads, WireReply};

use crate::clock;
use crate::log_prefixes::PEERS;
use crate::state::SharedNode;

/// Interval at which hubs exchange loads while there are changes. This costs some tens of calls per second, of a
/// kilobyte each.
const HUB_EXCHANGE_INTERVAL: Duration = Duration::from_millis(40);
/// Timeout of a hub's answer. Choosing a target by the loads known so far is better than waiting longer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);

/// Exchanges loads with the hub and waits for its answer. Has no effect in a small fleet and at a hub.
pub async fn exchange_with_hub(node: &SharedNode) {
    for (hub, dc, address) in partner_hubs(node) {
        if !node.board.borrow().is_hub(clock::now()) {
            exchange_load(node, &hub, &dc, address).await;
        }
    }
}

/// Reports a changed load to the hub without waiting. A hub reports it to the other hubs in the next round of [`run`].
pub fn notify_hub(node: &SharedNode) {
    node.load_changed.notify_one();
    let (node, is_hub) = (node.clone(), node.board.borrow().is_hub(clock::now()));
    if !is_hub {
        spawn_local(async move { exchange_with_hub(&node).await });
    }
}

/// Exchanges changed loads with other hubs while this node is a hub, until the node ends.
pub async fn run(node: SharedNode) {
    loop {
        node.load_changed.notified().await;
        if node.board.borrow().is_hub(clock::now()) {
            for (hub, dc, address) in partner_hubs(&node) {
                let node = node.clone();
                spawn_local(async move { exchange_load(&node, &hub, &dc, address).await });
            }
        }
        sleep(HUB_EXCHANGE_INTERVAL).await;
    }
}

/// Returns the nodes that this node exchanges loads with: the hub of its data centre, or the other hubs if it is a hub.
/// There are none in a small fleet, and hubs that place prompts are told the calls in flight otherwise.
fn partner_hubs(node: &SharedNode) -> Vec<(NodeName, DcName, SocketAddr)> {
    let board = node.board.borrow();
    let views = board.partner_views(clock::now()).into_iter();
    let views = views.filter(|view| view.heartbeat.call_version < CallVersion::ROSTERS);
    views.map(|view| (view.heartbeat.node.clone(), view.heartbeat.dc.clone(), view.heartbeat.peer_address)).collect()
}

async fn exchange_load(node: &SharedNode, peer: &NodeName, dc: &DcName, address: SocketAddr) {
    let call = WireCall::Work(build_load_report(node, peer, dc));
    match node.peers.call(address, &call, ANSWER_TIMEOUT).await {
        Ok(WireReply::Work(report)) => {
            let (peer, _, loads) = report.into_parts();
            node.board.borrow_mut().handle_load_report(&peer, loads, clock::now());
        }
        Ok(_) => {}
        // The peer is not marked as suspected: this timeout is too short to tell, and heartbeats detect failed peers.
        Err(error) => debug!("{PEERS} loads were not exchanged: {error}."),
    }
}

/// Handles the loads that a peer reports, and returns the loads known to this node.
pub fn answer_exchange(node: &SharedNode, report: WireNodeLoads) -> WireNodeLoads {
    let (peer, dc, loads) = report.into_parts();
    let now = clock::now();
    let mut board = node.board.borrow_mut();
    board.handle_load_report(&peer, loads, now);
    if dc == board.identity.dc {
        node.load_changed.notify_one();
    }
    drop(board);
    build_load_report(node, &peer, &dc)
}

/// Returns the loads that this node reports to a peer: those of its own calls and, at a hub, of the nodes that it
/// reports for.
fn build_load_report(node: &SharedNode, peer: &NodeName, dc: &DcName) -> WireNodeLoads {
    let board = node.board.borrow();
    let loads = board.loads_for(peer, dc, clock::now());
    WireNodeLoads::new(&board.identity.node, &board.identity.dc, &loads)
}
