//! Peers: what each said last, when, and whether this node keeps a connection to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::Moment;
use crate::message::{Heartbeat, NodeState};
use crate::names::{DcName, NodeName, stable_hash};

/// What the platform's list says of a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VmListing {
    /// Nothing: it is too new for the list, or gone.
    #[default]
    Absent,
    /// Its VM runs.
    Live,
    /// Its VM will be stopped soon.
    Leaving,
}

/// What is known of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where to connect.
    pub peer_address: SocketAddr,
    /// Its data centre, once known.
    pub dc: Option<DcName>,
    /// Its last heartbeat, if any came.
    pub heartbeat: Option<Heartbeat>,
    /// When that came.
    pub heard: Moment,
    /// Whether it is taken for alive.
    pub alive: bool,
    /// What the platform's list, which lags, says of it.
    pub listing: VmListing,
    /// Whether this node keeps a connection to it.
    pub linked: bool,
}

/// Peers by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeName, Member>,
    last_heard: Moment,
}

impl MemberTable {
    /// Adds a peer, or corrects its address, which ends the connection to the old one.
    pub fn introduce(&mut self, node: &NodeName, address: SocketAddr, dc: Option<&DcName>) {
        let member = self.members.entry(node.clone()).or_insert_with(|| Member {
            peer_address: address,
            dc: None,
            heartbeat: None,
            heard: Moment::default(),
            alive: false,
            listing: VmListing::default(),
            linked: false,
        });
        if member.peer_address != address {
            member.peer_address = address;
            member.linked = false;
        }
        if let Some(dc) = dc {
            member.dc = Some(dc.clone());
        }
    }

    /// Notes a heartbeat; an older one of the same instance is dropped.
    pub fn note(&mut self, node: &NodeName, beat: &Heartbeat, now: Moment) {
        let Some(member) = self.members.get_mut(node) else { return };
        let old = member.heartbeat.as_ref();
        if old.is_some_and(|old| old.instance == beat.instance && old.sequence >= beat.sequence) {
            return;
        }
        member.heartbeat = Some(beat.clone());
        member.heard = now;
        member.alive = true;
        self.last_heard = now;
    }

    /// Notes that this node connects to a peer.
    pub fn link(&mut self, node: &NodeName) {
        if let Some(member) = self.members.get_mut(node) {
            member.linked = true;
        }
    }

    /// Removes a peer.
    pub fn forget(&mut self, node: &NodeName) {
        self.members.remove(node);
    }

    /// One peer.
    #[must_use]
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// All peers, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.members.iter()
    }

    /// All peers, by name, to change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&NodeName, &mut Member)> {
        self.members.iter_mut()
    }

    /// Number of peers known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Peers that are alive, with their last heartbeats.
    pub fn alive(&self) -> impl Iterator<Item = (&NodeName, &Heartbeat)> {
        self.members
            .iter()
            .filter(|(_, member)| member.alive)
            .filter_map(|(node, member)| member.heartbeat.as_ref().map(|beat| (node, beat)))
    }

    /// Peers that callers can be sent to.
    pub fn serving(&self) -> impl Iterator<Item = (&NodeName, &Heartbeat)> {
        self.members
            .iter()
            .filter(|(_, member)| member.alive && member.listing != VmListing::Leaving)
            .filter_map(|(node, member)| member.heartbeat.as_ref().map(|beat| (node, beat)))
            .filter(|(_, beat)| beat.state == NodeState::Serving)
    }

    /// When any peer was last heard.
    #[must_use]
    pub fn last_heard(&self) -> Moment {
        self.last_heard
    }

    /// Peers that a node should keep connections to: all of a small environment; of a large one those
    /// of its own data centre and `across` of each other, dealt out by a hash so that no node is
    /// chosen by all.
    #[must_use]
    pub fn chosen(&self, own: &NodeName, dc: &DcName, full_mesh_up_to: usize, across: usize) -> BTreeSet<NodeName> {
        if self.members.len() <= full_mesh_up_to {
            return self.members.keys().cloned().collect();
        }
        let mut chosen = BTreeSet::new();
        let mut others: BTreeMap<&DcName, Vec<(u64, &NodeName)>> = BTreeMap::new();
        for (node, member) in &self.members {
            match &member.dc {
                Some(theirs) if theirs != dc => {
                    let rank = stable_hash(&[own.as_str().as_bytes(), node.as_str().as_bytes()]);
                    others.entry(theirs).or_default().push((rank, node));
                }
                _ => {
                    chosen.insert(node.clone());
                }
            }
        }
        for ranked in others.values_mut() {
            ranked.sort_unstable();
            chosen.extend(ranked.iter().take(across).map(|(_, node)| (*node).clone()));
        }
        chosen
    }
}
