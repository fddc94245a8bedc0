//! Table of peers: the last heartbeat of each, when it arrived, and whether this node keeps a connection to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::Moment;
use crate::message::{Heartbeat, NodeState};
use crate::names::{DcName, NodeName, stable_hash};

/// State of a peer's VM in the platform's VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VmListing {
    /// The list does not name the peer: the VM is gone or too new for the list, or no list has arrived.
    #[default]
    Absent,
    /// The VM runs.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// State of one peer as known to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address that the peer accepts connections from other nodes on.
    pub peer_address: SocketAddr,
    /// Data centre of the peer; `None` until it is known.
    pub dc: Option<DcName>,
    /// Last heartbeat of the peer; `None` until one arrives.
    pub heartbeat: Option<Heartbeat>,
    /// Time at which the last heartbeat arrived, or the start of this node's clock before the first.
    pub last_heartbeat_at: Moment,
    /// Whether the peer is considered alive.
    pub is_alive: bool,
    /// State of the peer's VM in the platform's VM list, which lags.
    pub listing: VmListing,
    /// Whether this node wants a connection to the peer and has asked for it. The connection may not be open.
    pub is_connected: bool,
}

/// Peers of this node by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeName, Member>,
    /// Time at which the last heartbeat of any peer arrived.
    last_heartbeat_at: Moment,
}

impl MemberTable {
    /// Adds a peer or updates its address and data centre; a `dc` of `None` leaves the data centre as it is. A new
    /// address marks the peer as not connected, so that the next update of connections replaces the connection to the
    /// old address.
    pub fn add_or_update(&mut self, node: &NodeName, address: SocketAddr, dc: Option<&DcName>) {
        let member = self.members.entry(node.clone()).or_insert_with(|| Member {
            peer_address: address,
            dc: None,
            heartbeat: None,
            last_heartbeat_at: Moment::default(),
            is_alive: false,
            listing: VmListing::default(),
            is_connected: false,
        });
        if member.peer_address != address {
            member.peer_address = address;
            member.is_connected = false;
        }
        if let Some(dc) = dc {
            member.dc = Some(dc.clone());
        }
    }

    /// Records a heartbeat of a known peer and marks the peer as alive. Heartbeats of unknown peers and those that are
    /// not newer than the last one of the same instance are ignored.
    pub fn record_heartbeat(&mut self, node: &NodeName, heartbeat: &Heartbeat, now: Moment) {
        let Some(member) = self.members.get_mut(node) else { return };
        let last = member.heartbeat.as_ref();
        if last.is_some_and(|last| last.instance == heartbeat.instance && last.sequence >= heartbeat.sequence) {
            return;
        }
        member.heartbeat = Some(heartbeat.clone());
        member.last_heartbeat_at = now;
        member.is_alive = true;
        self.last_heartbeat_at = now;
    }

    /// Records that a connection to a known peer was asked for.
    pub fn mark_connected(&mut self, node: &NodeName) {
        if let Some(member) = self.members.get_mut(node) {
            member.is_connected = true;
        }
    }

    /// Removes a peer from the table. Does not close its connection.
    pub fn remove(&mut self, node: &NodeName) {
        self.members.remove(node);
    }

    /// Returns a peer by name.
    #[must_use]
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// Iterates over all peers in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.members.iter()
    }

    /// Iterates over all peers in order of name, with mutable access.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&NodeName, &mut Member)> {
        self.members.iter_mut()
    }

    /// Returns the number of known peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Iterates over live peers and their last heartbeats, in order of name.
    pub fn alive(&self) -> impl Iterator<Item = (&NodeName, &Heartbeat)> {
        self.members
            .iter()
            .filter(|(_, member)| member.is_alive)
            .filter_map(|(node, member)| member.heartbeat.as_ref().map(|heartbeat| (node, heartbeat)))
    }

    /// Iterates over peers that callers can be sent to, in order of name: live, serving, and not on a VM that will be
    /// stopped soon.
    pub fn serving(&self) -> impl Iterator<Item = (&NodeName, &Heartbeat)> {
        self.members
            .iter()
            .filter(|(_, member)| member.is_alive && member.listing != VmListing::Leaving)
            .filter_map(|(node, member)| member.heartbeat.as_ref().map(|heartbeat| (node, heartbeat)))
            .filter(|(_, heartbeat)| heartbeat.state == NodeState::Serving)
    }

    /// Returns the time at which the last heartbeat of any peer arrived, or the start of this node's clock before the
    /// first.
    #[must_use]
    pub fn last_heartbeat_at(&self) -> Moment {
        self.last_heartbeat_at
    }

    /// Selects the peers that the node `own` in data centre `dc` keeps connections to.
    ///
    /// In an environment of at most `max_full_mesh_peers` peers these are all peers. In a larger one they are the peers
    /// of the same data centre and `links_per_remote_dc` peers of each other data centre, ranked by a hash of both
    /// names so that no peer is selected by every node. Peers whose data centre is unknown are selected too.
    #[must_use]
    pub fn select_peers(
        &self,
        own: &NodeName,
        dc: &DcName,
        max_full_mesh_peers: usize,
        links_per_remote_dc: usize,
    ) -> BTreeSet<NodeName> {
        if self.members.len() <= max_full_mesh_peers {
            return self.members.keys().cloned().collect();
        }
        let mut selected = BTreeSet::new();
        let mut remote: BTreeMap<&DcName, Vec<(u64, &NodeName)>> = BTreeMap::new();
        for (node, member) in &self.members {
            match &member.dc {
                Some(member_dc) if member_dc != dc => {
                    let rank = stable_hash(&[own.as_str().as_bytes(), node.as_str().as_bytes()]);
                    remote.entry(member_dc).or_default().push((rank, node));
                }
                _ => {
                    selected.insert(node.clone());
                }
            }
        }
        for ranked in remote.values_mut() {
            ranked.sort_unstable();
            selected.extend(ranked.iter().take(links_per_remote_dc).map(|(_, node)| (*node).clone()));
        }
        selected
    }
}
