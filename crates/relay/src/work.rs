//! Tells work in flight between heartbeats in a large fleet, where these are too rare and take two hubs to arrive.
//!
//! Before a prompt is placed, its node asks its hub what is in flight; once it is placed, it tells the hub. Hubs tell
//! each other at a short interval while there is news.

use std::net::SocketAddr;
use std::time::Duration;

use spdlog::debug;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::names::{DcName, NodeName};
use wasabipier_core::relay::fleet::FleetPartners;
use wasabipier_wire::relay::{WireCall, WireNodeLoads, WireReply};

use crate::clock;
use crate::part::PEERS;
use crate::state::SharedNode;

/// Interval at which hubs tell each other of work while there is news: some tens of calls a second of a kilobyte each.
const HUBS_EVERY: Duration = Duration::from_millis(40);
/// Time for a hub's answer: placing a prompt on what is known already is better than waiting longer.
const ANSWER_WITHIN: Duration = Duration::from_millis(25);

/// Asks the hub for work in flight, if this node has one.
pub async fn ask(node: &SharedNode) {
    for (hub, dc, address) in partners(node) {
        if !node.board.borrow().is_hub(clock::now()) {
            exchange(node, &hub, &dc, address).await;
        }
    }
}

/// Tells the hub of work that changed; a hub tells the others at its next turn.
pub fn tell(node: &SharedNode) {
    node.work_news.notify_one();
    let (node, is_hub) = (node.clone(), node.board.borrow().is_hub(clock::now()));
    if !is_hub {
        spawn_local(async move { ask(&node).await });
    }
}

/// Tells other hubs of work, while this node is one, until the node ends.
pub async fn run(node: SharedNode) {
    loop {
        node.work_news.notified().await;
        if node.board.borrow().is_hub(clock::now()) {
            for (hub, dc, address) in partners(&node) {
                let node = node.clone();
                spawn_local(async move { exchange(&node, &hub, &dc, address).await });
            }
        }
        sleep(HUBS_EVERY).await;
    }
}

fn partners(node: &SharedNode) -> Vec<(NodeName, DcName, SocketAddr)> {
    let board = node.board.borrow();
    let FleetPartners::Only(names) = board.partners(clock::now()) else { return Vec::new() };
    let views = names.iter().filter_map(|name| board.members.get(name));
    views.map(|view| (view.heartbeat.node.clone(), view.heartbeat.dc.clone(), view.heartbeat.peer_address)).collect()
}

async fn exchange(node: &SharedNode, peer: &NodeName, dc: &DcName, address: SocketAddr) {
    let call = WireCall::Work(own_work(node, peer, dc));
    match node.peers.call(address, &call, ANSWER_WITHIN).await {
        Ok(WireReply::Work(work)) => {
            let (peer, _, loads) = work.into_parts();
            node.board.borrow_mut().handle_load_report(&peer, loads, clock::now());
        }
        Ok(_) => {}
        // Heartbeats find out whether the peer is gone.
        Err(error) => debug!("{PEERS} work in flight was not exchanged: {error}."),
    }
}

/// Takes in what a peer tells, and tells what is known here.
pub fn answer(node: &SharedNode, work: WireNodeLoads) -> WireNodeLoads {
    let (peer, dc, loads) = work.into_parts();
    let now = clock::now();
    let mut board = node.board.borrow_mut();
    board.handle_load_report(&peer, loads, now);
    if dc == board.identity.dc {
        node.work_news.notify_one();
    }
    drop(board);
    own_work(node, &peer, &dc)
}

fn own_work(node: &SharedNode, peer: &NodeName, dc: &DcName) -> WireNodeLoads {
    let board = node.board.borrow();
    let loads = board.loads_for(peer, dc, clock::now());
    WireNodeLoads::new(&board.identity.node, &board.identity.dc, &loads)
}
