//! Discovers peers through seeds, the store and other peers, and exchanges heartbeats with them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::NodeName;
use wasabipier_core::relay::fleet::{FleetPartners, FleetReport, MAX_SMALL_FLEET_NODES};
use wasabipier_core::relay::members::CallVersion;
use wasabipier_wire::relay::extension::HeartbeatExtension;
use wasabipier_wire::relay::{WireCall, WireReply};

use crate::blame;
use crate::clock;
use crate::log_prefixes::PEERS;
use crate::peers;
use crate::settled_eras;
use crate::state::SharedNode;
use crate::store_link::StoreLink;
use crate::table_transfers;

/// Timeout of a heartbeat call.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Heartbeat interval per peer. The interval grows with the number of peers, so that the number of heartbeats per
/// second stays constant.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(10);
/// Minimum interval between two rounds of heartbeats when one is requested at once. The interval is the larger of the
/// first value and the second multiplied by the number of peers.
const MIN_INTERVAL: Duration = Duration::from_millis(30);
const MIN_INTERVAL_PER_PEER: Duration = Duration::from_millis(4);
/// Maximum backoff before a peer that does not answer is called again.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Consecutive failures after which an address is removed, unless it is a seed in the settings.
const MAX_FAILURES: u32 = 20;
/// Interval at which a node of a large fleet also calls some random nodes, whether or not they are its partners, and
/// their number.
const NON_PARTNER_INTERVAL: Duration = Duration::from_secs(3);
const NON_PARTNER_COUNT: usize = 2;
/// Interval at which a failed announcement of this node or a failed read of the announced addresses is retried.
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the addresses that other nodes announced are read. This finds nodes that were partitioned when
/// they started.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(20);
/// Multiple of `DISCOVERY_INTERVAL` for a node that follows a hub, which reports other nodes in its heartbeats.
const FOLLOWER_DISCOVERY_FACTOR: u32 = 4;

/// State of the heartbeat calls to one address.
#[derive(Clone, Copy, Debug, Default)]
struct ContactState {
    is_call_pending: bool,
    failures: u32,
    retry_at: Moment,
}

/// Addresses of peers that this node sends heartbeats to.
#[derive(Debug, Default)]
pub struct PeerContacts {
    contacts: RefCell<BTreeMap<SocketAddr, ContactState>>,
}

impl PeerContacts {
    /// Adds `address` unless it is known already or is `own`, the address of this node.
    fn add(&self, own: SocketAddr, address: SocketAddr) {
        if address != own {
            self.contacts.borrow_mut().entry(address).or_default();
        }
    }

    /// Returns the addresses whose calls are due at `now`, and marks the calls as pending. Only addresses in `wanted`
    /// are returned; `None` stands for all.
    fn take_due(&self, wanted: Option<&BTreeSet<SocketAddr>>, now: Moment) -> Vec<SocketAddr> {
        let mut contacts = self.contacts.borrow_mut();
        let due = contacts.iter_mut().filter(|(_, state)| !state.is_call_pending && state.retry_at <= now);
        let due = due.filter(|(address, _)| wanted.is_none_or(|wanted| wanted.contains(address)));
        due.map(|(address, state)| {
            state.is_call_pending = true;
            *address
        })
        .collect()
    }

    /// Records the end of a call. `base` is the backoff after the first failure.
    fn record_call(&self, address: SocketAddr, has_answered: bool, is_seed: bool, min_backoff: Duration, now: Moment) {
        let mut contacts = self.contacts.borrow_mut();
        let Some(state) = contacts.get_mut(&address) else { return };
        state.is_call_pending = false;
        state.failures = if has_answered { 0 } else { state.failures + 1 };
        // A peer that answered is due in the next round. Each failure in a row increases the backoff.
        let backoff =
            if has_answered { Duration::ZERO } else { (min_backoff * state.failures.min(16)).min(MAX_BACKOFF) };
        state.retry_at = now + backoff;
        if state.failures > MAX_FAILURES && !is_seed {
            contacts.remove(&address);
        }
    }

    fn len(&self) -> usize {
        self.contacts.borrow().len()
    }

    /// Returns up to `max_count` distinct random addresses.
    fn choose_random(&self, max_count: usize) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.contacts.borrow().keys().copied(), max_count)
    }
}

/// Exchanges heartbeats with peers until the node ends.
pub async fn run(node: SharedNode) {
    let own = node.addresses.peers;
    let mut last_non_partner_round_at = Moment::default();
    let mut hub = None;
    loop {
        for seed in &node.addresses.seeds {
            node.contacts.add(own, *seed);
        }
        let now = clock::now();
        log_hub_change(&node, &mut hub, now);
        let partners = partner_addresses(&node, now);
        let wanted = contacts_to_call(&node, partners.as_deref(), &mut last_non_partner_round_at, now);
        for address in node.contacts.take_due(wanted.as_ref(), now) {
            spawn_local(send_heartbeat(node.clone(), address));
        }
        table_transfers::request_newer_copies(&node);
        let peers = partners.map_or(node.contacts.len(), |partners| partners.len()) as u32;
        let interval = node.times.heartbeat_interval.max(INTERVAL_PER_PEER * peers);
        let min_interval = MIN_INTERVAL.max(MIN_INTERVAL_PER_PEER * peers);
        sleep(min_interval).await;
        tokio::select! {
            () = sleep(interval.saturating_sub(min_interval)) => {}
            () = node.heartbeat_now.notified() => {}
        }
    }
}

/// Logs which node is the hub of this data centre, the node that reads the store and exchanges heartbeats for all
/// others, when that changes. `known` holds the hub that was logged last.
fn log_hub_change(node: &SharedNode, known: &mut Option<NodeName>, now: Moment) {
    let board = node.board.borrow();
    let hub = (!board.is_small_fleet()).then(|| board.hub(&board.identity.dc, now).cloned()).flatten();
    if *known != hub {
        let name = hub.as_ref().map_or("none", |hub| hub.as_str());
        let (is_own, alive) = (board.is_store_reader(now), board.members.alive(now).count());
        info!("{PEERS} hub of this data centre changed.", kv: { hub = name, is_own, alive });
        *known = hub;
    }
}

/// Returns the addresses to call in this round, or `None` for all. In a large fleet these are the partners, and at
/// intervals some other nodes, so that nodes that lost contact find each other again. A node that knows no partner yet
/// calls seeds and other nodes in each round.
fn contacts_to_call(
    node: &SharedNode,
    partners: Option<&[SocketAddr]>,
    last_non_partner_round_at: &mut Moment,
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
    if partners.is_empty() || now.since(*last_non_partner_round_at) >= NON_PARTNER_INTERVAL {
        *last_non_partner_round_at = now;
        wanted.extend(node.contacts.choose_random(NON_PARTNER_COUNT));
    }
    Some(wanted)
}

/// Returns the addresses of the nodes that this node exchanges heartbeats with, or `None` for all.
fn partner_addresses(node: &SharedNode, now: Moment) -> Option<Vec<SocketAddr>> {
    let board = node.board.borrow();
    let FleetPartners::Only(names) = board.partners(now) else { return None };
    let views = names.iter().filter_map(|name| board.members.get(name));
    Some(views.map(|view| view.heartbeat.peer_address).collect())
}

/// Sends a heartbeat to a peer and handles the reply. A peer that does not answer is marked as suspected.
async fn send_heartbeat(node: SharedNode, address: SocketAddr) {
    let called_at = clock::now();
    let (call, extension) = {
        let mut board = node.board.borrow_mut();
        let peer = board.members.known().find(|view| view.heartbeat.peer_address == address);
        let peer = peer.map(|view| (view.heartbeat.node.clone(), view.heartbeat.dc.clone()));
        let report = peer.as_ref().map(|(peer, _)| board.fleet_report_for(peer, called_at)).unwrap_or_default();
        let heartbeat = match &peer {
            Some((peer, dc)) => board.next_heartbeat_to(peer, dc, called_at),
            None => board.next_heartbeat(called_at),
        };
        let call = WireCall::Heartbeat(Box::new((&heartbeat).into()), (&report).into());
        let extension = HeartbeatExtension::of_call(CallVersion::CURRENT, &board.rosters.known());
        (call, extension.with_suspects(&heartbeat.suspects).with_settled_era(heartbeat.settled_from))
    };
    let reply = node.peers.call_heartbeat(address, &call, &extension, HEARTBEAT_TIMEOUT).await;
    let has_answered = match reply {
        Ok((WireReply::Heartbeat(heartbeat, known_addresses, report), extension)) => {
            let heartbeat = extension.complete(*heartbeat);
            let proofs = heartbeat.proofs.clone();
            let mut report = FleetReport::from(report);
            let (rosters, members) = extension.into_report();
            report.rosters = rosters;
            report.members.extend(members);
            let told = report.rosters.iter().flat_map(|update| &update.changed);
            for told in told.chain(report.members.iter().map(|(heartbeat, _)| heartbeat)) {
                node.contacts.add(node.addresses.peers, told.peer_address);
            }
            peers::handle_heartbeat(&node, heartbeat, report, called_at);
            table_transfers::handle_proofs(&node, address, &proofs, Some(called_at));
            for other in known_addresses {
                node.contacts.add(node.addresses.peers, other);
            }
            true
        }
        Ok(_) => false,
        Err(error) => {
            peers::record_unreachable(&node, address, &error);
            false
        }
    };
    let is_seed = node.addresses.seeds.contains(&address);
    node.contacts.record_call(address, has_answered, is_seed, node.times.heartbeat_interval, clock::now());
}

/// Sends a heartbeat at once to all peers that this node exchanges heartbeats with.
pub fn heartbeat_partners(node: &SharedNode) {
    let now = clock::now();
    let all = || node.board.borrow().members.alive(now).map(|view| view.heartbeat.peer_address).collect();
    let addresses: Vec<_> = partner_addresses(node, now).unwrap_or_else(all);
    for address in addresses {
        spawn_local(send_heartbeat(node.clone(), address));
    }
}

/// Sends a heartbeat at once to the nodes that follow this hub, after its copies have changed.
pub fn notify_followers(node: &SharedNode) {
    let now = clock::now();
    let addresses: Vec<_> = {
        let board = node.board.borrow();
        let views = board.followers(now).into_iter().filter_map(|name| board.members.get(&name));
        views.map(|view| view.heartbeat.peer_address).collect()
    };
    for address in addresses {
        spawn_local(send_heartbeat(node.clone(), address));
    }
}

/// Announces this node in the store, and reads the addresses of other nodes there at intervals until the node ends.
pub async fn announce_and_discover(node: SharedNode) {
    let mut link = StoreLink::new(&node);
    let name = node.board.borrow().identity.node.to_string();
    let mut is_announced = false;
    loop {
        if !is_announced {
            let request = node.platform.announce_request(&name, node.addresses.peers);
            let answer = link.call(request).await;
            is_announced = answer.as_ref().is_ok_and(|response| response.status().is_success());
            if is_announced {
                info!("{PEERS} node announced in the store.");
            } else {
                let status = answer.map_or_else(|error| error.to_string(), |response| response.status().to_string());
                warn!("{PEERS} node not announced in the store; trying again.", kv: { status = status.as_str() });
            }
        }
        let announced = link.call(node.platform.announced_addresses_request()).await;
        if let Ok(response) = &announced
            && response.status().is_success()
        {
            for address in node.platform.read_announced_addresses(response.body()) {
                node.contacts.add(node.addresses.peers, address);
            }
            settled_eras::learn_from_store(&node, response);
            blame::learn_from_store(&node, response);
            node.heartbeat_now.notify_one();
        }
        let is_reader = node.board.borrow().is_store_reader(clock::now());
        let pause = match is_announced && announced.is_ok() {
            false => ANNOUNCE_RETRY_INTERVAL,
            true if is_reader => DISCOVERY_INTERVAL,
            // The hub reports other nodes in its heartbeats.
            true => DISCOVERY_INTERVAL * FOLLOWER_DISCOVERY_FACTOR,
        };
        tokio::select! {
            () = sleep(pause.mul_f64(0.75 + 0.5 * fastrand::f64())) => {}
            // The store has lost what was written to it last.
            () = node.store_restored.notified() => is_announced = false,
        }
    }
}
