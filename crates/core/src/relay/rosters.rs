//! Rosters: which nodes each hub of a large fleet speaks for.
//!
//! A hub lists itself and its followers in a roster, whose version counts the changes. Rosters pass from node to node as
//! differences to the version that the receiver has, or whole if it has none that the sender can continue. The age of a
//! roster is the time since its hub vouched for its members, whichever way the roster came.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{InstanceId, NodeName, stable_hash};
use crate::relay::members::{PeerTable, RelayHeartbeat};

/// Identifier of the roster of one run of a hub's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RosterId(pub u64);

impl RosterId {
    /// Returns the identifier of the roster that `instance` of `hub` keeps.
    #[must_use]
    pub fn of(hub: &NodeName, instance: InstanceId) -> Self {
        Self(stable_hash(&[hub.as_str().as_bytes(), &instance.0.to_le_bytes()]))
    }
}

/// A roster that a node has a copy of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRoster {
    /// The roster.
    pub id: RosterId,
    /// Version of the copy, from 1.
    pub version: u64,
}

/// The differences between two versions of a roster, or the whole roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterUpdate {
    /// The roster and its version after the update.
    pub known: KnownRoster,
    /// Version that the update continues; 0 if it is whole.
    pub base: u64,
    /// Time since the hub vouched for the members.
    pub age: Duration,
    /// Last heartbeats of the members that are new or changed, without what only partners need.
    pub changed: Vec<RelayHeartbeat>,
    /// Nodes that are members no longer. Empty if the update is whole.
    pub gone: Vec<NodeName>,
}

#[derive(Clone, Debug)]
struct RosterMember {
    heartbeat: RelayHeartbeat,
    /// Version of the roster in which the heartbeat changed last, or a later one.
    version: u64,
}

/// Names of the members that an update changed and removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterChange {
    /// Members that are new or changed.
    pub changed: Vec<NodeName>,
    /// Nodes that are members no longer.
    pub gone: Vec<NodeName>,
}

/// A copy of a roster, or the roster that this node keeps.
#[derive(Clone, Debug, Default)]
pub struct NodeRoster {
    version: u64,
    members: BTreeMap<NodeName, RosterMember>,
    /// Nodes that left the roster, with the version in which they did.
    departures: VecDeque<(u64, NodeName)>,
    /// Lowest version that differences can continue. Departures before it are forgotten.
    oldest_base: u64,
    vouched_at: Moment,
}

impl NodeRoster {
    /// Maximum number of departures that are remembered.
    const MAX_DEPARTURES: usize = 500;

    /// Replaces the members by the nodes with these heartbeats, for which this node vouches at `now`.
    fn set_members(&mut self, heartbeats: Vec<RelayHeartbeat>, now: Moment) {
        let next = self.version + 1;
        let mut kept = BTreeMap::new();
        let mut is_changed = self.version == 0;
        for heartbeat in heartbeats {
            let known = self.members.remove(&heartbeat.node);
            let member = match known.filter(|known| is_same_content(&known.heartbeat, &heartbeat)) {
                Some(known) => known,
                None => RosterMember { heartbeat, version: next },
            };
            is_changed |= member.version == next;
            kept.insert(member.heartbeat.node.clone(), member);
        }
        let departed = std::mem::replace(&mut self.members, kept);
        is_changed |= !departed.is_empty();
        self.departures.extend(departed.into_keys().map(|node| (next, node)));
        self.forget_departures();
        if is_changed {
            self.version = next;
        }
        self.vouched_at = now;
    }

    fn forget_departures(&mut self) {
        while self.departures.len() > Self::MAX_DEPARTURES {
            if let Some((version, _)) = self.departures.pop_front() {
                self.oldest_base = version;
            }
        }
    }

    /// Returns the update to the present version for a node with a copy of the version `base`, 0 for none.
    fn update_after(&self, id: RosterId, base: u64, now: Moment) -> RosterUpdate {
        let base = if base < self.oldest_base || base > self.version { 0 } else { base };
        let changed = self.members.values().filter(|member| member.version > base);
        let gone = self.departures.iter().filter(|(version, _)| base > 0 && *version > base);
        RosterUpdate {
            known: KnownRoster { id, version: self.version },
            base,
            age: now.since(self.vouched_at),
            changed: changed.map(|member| member.heartbeat.clone()).collect(),
            gone: gone.map(|(_, node)| node.clone()).filter(|node| !self.members.contains_key(node)).collect(),
        }
    }

    /// Applies an update by the node that vouched at `vouched_at`. Returns `None` if the update does not continue this
    /// copy, which then stays as it is.
    fn apply(&mut self, update: &RosterUpdate, vouched_at: Moment) -> Option<RosterChange> {
        let version = update.known.version;
        if version < self.version || update.base > self.version {
            return None;
        }
        self.vouched_at = self.vouched_at.max(vouched_at);
        let mut change = RosterChange::default();
        if update.base == 0 {
            let is_listed = |node: &NodeName| update.changed.iter().any(|heartbeat| heartbeat.node == *node);
            change.gone = self.members.keys().filter(|node| !is_listed(node)).cloned().collect();
            self.departures.clear();
            self.oldest_base = version;
        } else {
            change.gone.clone_from(&update.gone);
        }
        for node in &change.gone {
            self.members.remove(node);
            if update.base > 0 {
                self.departures.push_back((version, node.clone()));
            }
        }
        self.forget_departures();
        for heartbeat in &update.changed {
            change.changed.push(heartbeat.node.clone());
            let member = RosterMember { heartbeat: heartbeat.clone(), version };
            self.members.insert(heartbeat.node.clone(), member);
        }
        self.version = version;
        Some(change)
    }
}

/// Returns whether two heartbeats of a node differ at most in their sequence number.
fn is_same_content(one: &RelayHeartbeat, other: &RelayHeartbeat) -> bool {
    // Cheap fields first: most heartbeats of a busy node differ in one of them.
    one.instance == other.instance
        && one.waits == other.waits
        && RelayHeartbeat { sequence: one.sequence, ..other.clone() } == *one
}

/// The roster that this node keeps as a hub, and its copies of those of other hubs.
#[derive(Clone, Debug, Default)]
pub struct RosterTable {
    own: NodeRoster,
    received: BTreeMap<RosterId, NodeRoster>,
}

impl RosterTable {
    /// Minimum interval at which the own roster is compared with the followers' heartbeats.
    const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

    /// Returns whether the own roster is to be set again.
    #[must_use]
    pub fn is_refresh_due(&self, now: Moment) -> bool {
        self.own.version == 0 || now.since(self.own.vouched_at) >= Self::REFRESH_INTERVAL
    }

    /// Sets the members of the own roster to the nodes with these heartbeats.
    pub fn set_own_members(&mut self, heartbeats: Vec<RelayHeartbeat>, now: Moment) {
        self.own.set_members(heartbeats, now);
    }

    /// Returns the copies that this node has of other hubs' rosters.
    #[must_use]
    pub fn known(&self) -> Vec<KnownRoster> {
        let received = self.received.iter();
        received.map(|(id, roster)| KnownRoster { id: *id, version: roster.version }).collect()
    }

    /// Returns the updates for a node that has the copies `known`: one for each roster that this node has, except
    /// that of the receiver itself. `own` is the id of the roster that this node keeps, if it is a hub.
    #[must_use]
    pub fn updates_for(
        &self,
        known: &[KnownRoster],
        own: Option<RosterId>,
        receiver: RosterId,
        now: Moment,
    ) -> Vec<RosterUpdate> {
        let own = own.map(|id| (id, &self.own));
        let copies = self.received.iter().map(|(id, roster)| (*id, roster));
        let told = own.into_iter().chain(copies).filter(|(id, _)| *id != receiver);
        told.map(|(id, roster)| {
            let base = known.iter().find(|known| known.id == id).map_or(0, |known| known.version);
            roster.update_after(id, base, now)
        })
        .collect()
    }

    /// Applies an update of another hub's roster, for which its hub vouched at `vouched_at`. Returns `None` if it does
    /// not continue this node's copy.
    pub fn apply(&mut self, update: &RosterUpdate, vouched_at: Moment) -> Option<RosterChange> {
        if update.base > 0 && !self.received.contains_key(&update.known.id) {
            return None;
        }
        self.received.entry(update.known.id).or_default().apply(update, vouched_at)
    }

    /// Returns the last heartbeats of the members of a received roster, and when its hub vouched for them.
    pub fn members(&self, id: RosterId) -> impl Iterator<Item = (&RelayHeartbeat, Moment)> {
        let roster = self.received.get(&id).into_iter();
        roster.flat_map(|roster| roster.members.values().map(|member| (&member.heartbeat, roster.vouched_at)))
    }

    /// Returns whether a received roster lists `node`.
    #[must_use]
    pub fn lists(&self, node: &NodeName) -> bool {
        self.received.values().any(|roster| roster.members.contains_key(node))
    }

    /// Returns whether the own roster lists `node`.
    #[must_use]
    pub fn lists_in_own(&self, node: &NodeName) -> bool {
        self.own.members.contains_key(node)
    }

    /// Returns the time since the hub vouched for the roster that is the oldest, or zero without any.
    #[must_use]
    pub fn oldest_age(&self, now: Moment) -> Duration {
        self.received.values().map(|roster| now.since(roster.vouched_at)).max().unwrap_or_default()
    }

    /// Forgets copies of rosters whose hubs have not vouched for them for as long as relayed heartbeats count.
    pub fn remove_expired(&mut self, now: Moment) {
        self.received.retain(|_, roster| now.since(roster.vouched_at) < PeerTable::RELAYED_PEER_TIMEOUT);
    }
}
