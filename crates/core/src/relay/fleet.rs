//! Who talks to whom in a large fleet.
//!
//! In a small fleet every node exchanges heartbeats with every other and reads the store itself. Both grow with the
//! square of the fleet or load the store, so a large fleet has one hub in each data centre: the others exchange
//! heartbeats with it alone and take the store's tables from it; hubs exchange what they gathered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, NodeName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::members::{MemberView, RelayHeartbeat, TargetLoad, rendezvous};
use crate::relay::prompts::PromptNews;
use crate::relay::rows::{SharedTable, TableCopy};

/// Nodes up to which all exchange heartbeats with all; at 400 ms a heartbeat that is some 30 calls/s a node.
pub const SMALL_FLEET: usize = 12;

/// What a hub tells of nodes that the asker does not hear itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetNews {
    /// Heartbeats, without loads, prompts and proofs, and their ages.
    pub members: Vec<(RelayHeartbeat, Duration)>,
    /// Work in flight of the nodes that the hub speaks for, added up.
    pub loads: Vec<TargetLoad>,
    /// Prompts that these nodes sent to engines lately.
    pub prompts: Vec<PromptNews>,
}

/// With whom a node exchanges heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetPartners {
    /// With every node that it knows.
    All,
    /// With these.
    Only(Vec<NodeName>),
}

impl RelayBoard {
    /// Whether every node exchanges heartbeats with every other.
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.members.sharers() <= SMALL_FLEET
    }

    /// The hub of a data centre: the strongest of the nodes there that are heard of and take work. Nodes with
    /// different views may take different ones for it; a hub serves whoever asks.
    #[must_use]
    pub fn hub(&self, dc: &DcName, now: Moment) -> Option<&NodeName> {
        let identity = &self.identity;
        let own = (identity.dc == *dc)
            .then_some((true, self.state == NodeState::Serving, self.tuning.capacity, &identity.node))
            .filter(|_| self.state != NodeState::Leaving);
        let in_dc = |view: &&MemberView| {
            view.heartbeat.dc == *dc && view.suspected.is_none() && view.heartbeat.state != NodeState::Leaving
        };
        let peers = self.members.known().filter(in_dc).map(|view| {
            let is_serving = view.heartbeat.state == NodeState::Serving;
            (view.is_alive(now), is_serving, view.heartbeat.capacity, &view.heartbeat.node)
        });
        let rank = |(alive, serving, capacity, node): &(bool, bool, u32, &NodeName)| {
            (*alive, *serving, *capacity, rendezvous(dc.as_str(), node.as_str()))
        };
        own.into_iter().chain(peers).max_by_key(rank).map(|(_, _, _, node)| node)
    }

    /// Whether this node is the hub of its data centre.
    #[must_use]
    pub fn is_hub(&self, now: Moment) -> bool {
        self.hub(&self.identity.dc, now) == Some(&self.identity.node)
    }

    /// With whom this node exchanges heartbeats.
    #[must_use]
    pub fn partners(&self, now: Moment) -> FleetPartners {
        if self.is_small_fleet() {
            return FleetPartners::All;
        }
        let own = &self.identity.node;
        if !self.is_hub(now) {
            return FleetPartners::Only(self.hub(&self.identity.dc, now).cloned().into_iter().collect());
        }
        let hubs = self.dcs().into_iter().filter_map(|dc| self.hub(&dc, now).cloned());
        FleetPartners::Only(hubs.filter(|node| node != own).collect())
    }

    fn dcs(&self) -> Vec<DcName> {
        let peers = self.members.known().map(|view| view.heartbeat.dc.clone());
        let mut dcs: Vec<DcName> = peers.chain([self.identity.dc.clone()]).collect();
        dcs.sort();
        dcs.dedup();
        dcs
    }

    /// What this node tells a peer of others: a hub of another data centre learns what was gathered in this one.
    #[must_use]
    pub fn fleet_news(&self, peer: &NodeName, peer_dc: &DcName, now: Moment) -> FleetNews {
        if self.is_small_fleet() {
            return FleetNews::default();
        }
        let told: Vec<&MemberView> = self.members.alive(now).filter(|view| view.heartbeat.node != *peer).collect();
        let added = self.spoken_for(peer, peer_dc, now);
        FleetNews {
            members: told.iter().map(|view| (summary(&view.heartbeat), now.since(view.heard))).collect(),
            loads: self.targets.loads_of(&added),
            prompts: self.prompts.heard(|node| added.contains(node), now),
        }
    }

    /// Nodes whose work this one tells a peer, so that each node's work is told by one hub.
    fn spoken_for(&self, peer: &NodeName, peer_dc: &DcName, now: Moment) -> BTreeSet<&NodeName> {
        if self.is_small_fleet() || !self.is_hub(now) {
            return BTreeSet::new();
        }
        let is_for_hub = *peer_dc != self.identity.dc && self.hub(peer_dc, now) == Some(peer);
        let is_added = |view: &&MemberView| {
            let is_own = view.is_heard_directly(now) && view.heartbeat.dc == self.identity.dc;
            view.heartbeat.node != *peer && (is_own || !is_for_hub)
        };
        self.members.alive(now).filter(is_added).map(|view| &view.heartbeat.node).collect()
    }

    /// Work in flight that this node tells a peer between heartbeats: its own, and that of those it speaks for.
    #[must_use]
    pub fn work_for(&self, peer: &NodeName, peer_dc: &DcName, now: Moment) -> Vec<TargetLoad> {
        let added = self.targets.loads_of(&self.spoken_for(peer, peer_dc, now));
        sum_loads(self.targets.own_loads().iter().chain(&added))
    }

    /// Takes in what a peer tells of work between heartbeats.
    pub fn learn_work(&mut self, peer: &NodeName, loads: Vec<TargetLoad>, now: Moment) {
        if self.work_sources(now).contains(peer) {
            self.targets.learn_loads(peer, loads);
        }
    }

    /// Peers whose heartbeats tell work that no other peer's heartbeats tell here.
    #[must_use]
    pub fn work_sources(&self, now: Moment) -> BTreeSet<NodeName> {
        match self.partners(now) {
            FleetPartners::All => {
                let peers = self.members.known().filter(|view| view.is_heard_directly(now));
                peers.map(|view| view.heartbeat.node.clone()).collect()
            }
            FleetPartners::Only(partners) => self.followers(now).into_iter().chain(partners).collect(),
        }
    }

    /// What this node tells a peer that it calls: only hubs know more than their peers.
    #[must_use]
    pub fn news_for(&self, peer: &NodeName, now: Moment) -> FleetNews {
        let dc = self.members.get(peer).map(|view| view.heartbeat.dc.clone());
        dc.filter(|_| self.is_hub(now)).map(|dc| self.fleet_news(peer, &dc, now)).unwrap_or_default()
    }

    /// Nodes that get what they know from this one.
    #[must_use]
    pub fn followers(&self, now: Moment) -> Vec<NodeName> {
        if self.is_small_fleet() || !self.is_hub(now) {
            return Vec::new();
        }
        let is_follower = |view: &&MemberView| view.is_heard_directly(now) && view.heartbeat.dc == self.identity.dc;
        self.members.alive(now).filter(is_follower).map(|view| view.heartbeat.node.clone()).collect()
    }

    /// Whether this node reads a table from the store: in a large fleet hubs do, and whoever gets it from no hub.
    #[must_use]
    pub fn reads_store(&self, table: SharedTable, now: Moment) -> bool {
        let asked = self.copies.get(&table).and_then(TableCopy::asked);
        let is_old = asked.is_none_or(|asked| now.since(asked) >= self.tuning.own_read_after);
        is_old || self.state == NodeState::Starting || self.is_reader(now)
    }

    /// Whether this node reads the store for itself and others at all times.
    #[must_use]
    pub fn is_reader(&self, now: Moment) -> bool {
        self.is_small_fleet() || self.is_hub(now)
    }
}

/// A heartbeat with what the nodes of other data centres need.
fn summary(heartbeat: &RelayHeartbeat) -> RelayHeartbeat {
    RelayHeartbeat { proofs: Vec::new(), loads: Vec::new(), prompts: Vec::new(), ..heartbeat.clone() }
}

/// Adds loads up by target.
pub(crate) fn sum_loads<'a>(loads: impl Iterator<Item = &'a TargetLoad>) -> Vec<TargetLoad> {
    let mut sums: BTreeMap<&TargetName, (u32, u32)> = BTreeMap::new();
    for load in loads {
        let sum = sums.entry(&load.target).or_default();
        *sum = (sum.0 + load.in_flight, sum.1 + load.unread_tokens);
    }
    let sums = sums.into_iter();
    sums.map(|(target, (in_flight, unread_tokens))| TargetLoad { target: target.clone(), in_flight, unread_tokens })
        .collect()
}
