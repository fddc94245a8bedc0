//! Peers: what each said last, and when.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::Moment;
use crate::message::{Heartbeat, NodeState};
use crate::names::NodeName;

/// What is known of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where to connect.
    pub peer_address: SocketAddr,
    /// Its last heartbeat, if any came.
    pub heartbeat: Option<Heartbeat>,
    /// When that came.
    pub heard: Moment,
    /// Whether it is taken for alive.
    pub alive: bool,
    /// Whether the platform's list says that it is leaving.
    pub leaving: bool,
}

/// Peers by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeName, Member>,
}

impl MemberTable {
    /// Adds a peer by its address, or corrects the address; tells whether a connection is needed.
    pub fn introduce(&mut self, node: &NodeName, address: SocketAddr) -> bool {
        if let Some(member) = self.members.get_mut(node) {
            let moved = member.peer_address != address;
            member.peer_address = address;
            return moved;
        }
        let member =
            Member { peer_address: address, heartbeat: None, heard: Moment::default(), alive: false, leaving: false };
        self.members.insert(node.clone(), member);
        true
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
            .filter(|(_, member)| member.alive && !member.leaving)
            .filter_map(|(node, member)| member.heartbeat.as_ref().map(|beat| (node, beat)))
            .filter(|(_, beat)| beat.state == NodeState::Serving)
    }

    /// When any peer was last heard.
    #[must_use]
    pub fn last_heard(&self) -> Moment {
        self.members.values().map(|member| member.heard).max().unwrap_or_default()
    }
}
