//! Finds peers, and exchanges heartbeats with them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::NodeName;
use wasabipier_core::relay::fleet::{FleetPartners, MAX_SMALL_FLEET_NODES};
use wasabipier_core::relay::members::RelayHeartbeat;
use wasabipier_wire::relay::{WireCall, WireReply};

use crate::clock;
use crate::part::PEERS;
use crate::peers;
use crate::state::SharedNode;
use crate::store::{self, StoreLink};

/// Time for a heartbeat's reply.
const HEARTBEAT_WITHIN: Duration = Duration::from_millis(500);
/// Share of the pause between two heartbeats for each peer: in a large fleet heartbeats are rarer, so that their cost stays.
const PAUSE_PER_PEER: Duration = Duration::from_millis(10);
/// Shortest pause between two heartbeats when there is news, and its share for each peer.
const SHORTEST_PAUSE: Duration = Duration::from_millis(30);
const SHORTEST_PER_PEER: Duration = Duration::from_millis(4);
/// Longest pause before a peer that does not answer is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Failures in a row after which an address is forgotten, unless the settings name it.
const MOST_FAILURES: u32 = 20;
/// Interval at which a node of a large fleet calls some others than its partners, and how many.
const OTHERS_EVERY: Duration = Duration::from_secs(3);
const OTHERS: usize = 2;
/// Pause between two tries to announce this node.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(500);
/// Pause between two looks at what others announced: nodes that were cut off at their start are found by it.
const LOOK_AGAIN: Duration = Duration::from_secs(20);
/// Multiple of that pause for a node with a hub.
const FOLLOWERS_LOOK: u32 = 4;

/// How it goes with an address.
#[derive(Clone, Copy, Debug, Default)]
struct ContactState {
    is_asked: bool,
    failures: u32,
    next: Moment,
}

/// Addresses of peers that this node heartbeats.
#[derive(Debug, Default)]
pub struct ContactBook {
    contacts: RefCell<BTreeMap<SocketAddr, ContactState>>,
}

impl ContactBook {
    fn add(&self, own: SocketAddr, address: SocketAddr) {
        if address != own {
            self.contacts.borrow_mut().entry(address).or_default();
        }
    }

    fn take_due(&self, wanted: Option<&BTreeSet<SocketAddr>>, now: Moment) -> Vec<SocketAddr> {
        let mut contacts = self.contacts.borrow_mut();
        let due = contacts.iter_mut().filter(|(_, state)| !state.is_asked && state.next <= now);
        let due = due.filter(|(address, _)| wanted.is_none_or(|wanted| wanted.contains(address)));
        due.map(|(address, state)| {
            state.is_asked = true;
            *address
        })
        .collect()
    }

    fn settle(&self, address: SocketAddr, answered: bool, is_seed: bool, pause: Duration, now: Moment) {
        let mut contacts = self.contacts.borrow_mut();
        let Some(state) = contacts.get_mut(&address) else { return };
        state.is_asked = false;
        state.failures = if answered { 0 } else { state.failures + 1 };
        // A peer that answered is due at the next turn; one that did not waits longer each time.
        let wait = if answered { Duration::ZERO } else { (pause * state.failures.min(16)).min(LONGEST_PAUSE) };
        state.next = now + wait;
        if state.failures > MOST_FAILURES && !is_seed {
            contacts.remove(&address);
        }
    }

    fn len(&self) -> usize {
        self.contacts.borrow().len()
    }

    fn any(&self, most: usize) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.contacts.borrow().keys().copied(), most)
    }
}

/// Exchanges heartbeats until the node ends.
pub async fn run(node: SharedNode) {
    let own = node.addresses.peers;
    let mut looked = Moment::default();
    let mut hub = None;
    loop {
        for seed in &node.addresses.seeds {
            node.contacts.add(own, *seed);
        }
        let now = clock::now();
        note_hub(&node, &mut hub, now);
        let partners = partners(&node, now);
        let wanted = wanted_contacts(&node, partners.as_deref(), &mut looked, now);
        for address in node.contacts.take_due(wanted.as_ref(), now) {
            spawn_local(heartbeat(node.clone(), address));
        }
        store::ask_peers(&node);
        let peers = partners.map_or(node.contacts.len(), |partners| partners.len()) as u32;
        let pause = node.times.heartbeat_every.max(PAUSE_PER_PEER * peers);
        let shortest = SHORTEST_PAUSE.max(SHORTEST_PER_PEER * peers);
        sleep(shortest).await;
        tokio::select! {
            () = sleep(pause.saturating_sub(shortest)) => {}
            () = node.heartbeat_now.notified() => {}
        }
    }
}

/// Logs which node is the hub of this data centre, when that changes.
fn note_hub(node: &SharedNode, known: &mut Option<NodeName>, now: Moment) {
    let board = node.board.borrow();
    let hub = (!board.is_small_fleet()).then(|| board.hub(&board.identity.dc, now).cloned()).flatten();
    if *known != hub {
        let name = hub.as_ref().map_or("none", |hub| hub.as_str());
        let (is_own, alive) = (board.is_store_reader(now), board.members.alive(now).count());
        info!("{PEERS} the hub of this data centre changed.", kv: { hub = name, is_own, alive });
        *known = hub;
    }
}

/// Addresses to call in this round; none: all. In a large fleet these are the partners, and at times some others, so
/// that nodes that lost each other meet again. A node that knows no partner yet asks seeds and others each round.
fn wanted_contacts(
    node: &SharedNode,
    partners: Option<&[SocketAddr]>,
    looked: &mut Moment,
    now: Moment,
) -> Option<BTreeSet<SocketAddr>> {
    if partners.is_none() && node.contacts.len() <= MAX_SMALL_FLEET_NODES {
        return None;
    }
    let partners = partners.unwrap_or_default();
    for address in partners {
        node.contacts.add(node.addresses.peers, *address);
    }
    let mut wanted: BTreeSet<SocketAddr> = partners.iter().copied().collect();
    if partners.is_empty() {
        wanted.extend(&node.addresses.seeds);
    }
    if partners.is_empty() || now.since(*looked) >= OTHERS_EVERY {
        *looked = now;
        wanted.extend(node.contacts.any(OTHERS));
    }
    Some(wanted)
}

/// Addresses of the nodes that this one exchanges heartbeats with; none: all.
fn partners(node: &SharedNode, now: Moment) -> Option<Vec<SocketAddr>> {
    let board = node.board.borrow();
    let FleetPartners::Only(names) = board.partners(now) else { return None };
    let views = names.iter().filter_map(|name| board.members.get(name));
    Some(views.map(|view| view.heartbeat.peer_address).collect())
}

async fn heartbeat(node: SharedNode, address: SocketAddr) {
    let asked = clock::now();
    let call = {
        let mut board = node.board.borrow_mut();
        let peer = board.members.known().find(|view| view.heartbeat.peer_address == address);
        let peer = peer.map(|view| view.heartbeat.node.clone());
        let news = peer.map(|peer| board.fleet_report_for(&peer, asked)).unwrap_or_default();
        WireCall::Heartbeat(Box::new((&board.heartbeat(asked)).into()), (&news).into())
    };
    let reply = node.peers.call(address, &call, HEARTBEAT_WITHIN).await;
    let answered = match reply {
        Ok(WireReply::Heartbeat(heartbeat, known, news)) => {
            let heartbeat = RelayHeartbeat::from(*heartbeat);
            let proofs = heartbeat.proofs.clone();
            peers::hear(&node, heartbeat, news.into(), asked);
            store::follow_proofs(&node, address, &proofs, Some(asked));
            for other in known {
                node.contacts.add(node.addresses.peers, other);
            }
            true
        }
        Ok(_) => false,
        Err(error) => {
            peers::suspect(&node, address, &error);
            false
        }
    };
    let is_seed = node.addresses.seeds.contains(&address);
    node.contacts.settle(address, answered, is_seed, node.times.heartbeat_every, clock::now());
}

/// Tells all peers that this node exchanges heartbeats with at once how it is.
pub fn heartbeat_all(node: &SharedNode) {
    let now = clock::now();
    let all = || node.board.borrow().members.alive(now).map(|view| view.heartbeat.peer_address).collect();
    let addresses: Vec<_> = partners(node, now).unwrap_or_else(all);
    for address in addresses {
        spawn_local(heartbeat(node.clone(), address));
    }
}

/// Tells the nodes that follow this hub at once that its copies have changed.
pub fn tell_followers(node: &SharedNode) {
    let now = clock::now();
    let addresses: Vec<_> = {
        let board = node.board.borrow();
        let views = board.followers(now).into_iter().filter_map(|name| board.members.get(&name));
        views.map(|view| view.heartbeat.peer_address).collect()
    };
    for address in addresses {
        spawn_local(heartbeat(node.clone(), address));
    }
}

/// Announces this node in the store, and learns of others there.
pub async fn announce(node: SharedNode) {
    let mut link = StoreLink::new(node.addresses.store);
    let name = node.board.borrow().identity.node.to_string();
    let within = node.times.store_slack;
    let mut is_announced = false;
    loop {
        if !is_announced {
            let request = node.port.announce_request(&name, node.addresses.peers);
            let answer = link.call(request, within).await;
            is_announced = answer.as_ref().is_ok_and(|(status, _)| status.is_success());
            if is_announced {
                info!("{PEERS} this node's address is in the store.");
            } else {
                let status = answer.map_or_else(|error| error.to_string(), |(status, _)| status.to_string());
                warn!("{PEERS} this node's address is not in the store yet.", kv: { status = status.as_str() });
            }
        }
        let seen = link.call(node.port.announced_request(), within).await;
        if let Ok((status, body)) = &seen
            && status.is_success()
        {
            for address in node.port.read_announced(body) {
                node.contacts.add(node.addresses.peers, address);
            }
            node.heartbeat_now.notify_one();
        }
        let is_reader = node.board.borrow().is_store_reader(clock::now());
        let pause = match is_announced && seen.is_ok() {
            false => ANNOUNCE_AGAIN,
            true if is_reader => LOOK_AGAIN,
            // Its hub tells it of others.
            true => LOOK_AGAIN * FOLLOWERS_LOOK,
        };
        sleep(pause.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
    }
}
