//! Communication topology of a fleet: which nodes exchange heartbeats, and which read the store.
//!
//! In a small fleet every node exchanges heartbeats with every other and reads the store itself. The number of
//! heartbeats grows with the square of the number of nodes, and the load on the store grows with it too. A large fleet
//! therefore has one hub in each data centre: a node that collects and passes on information. The other nodes of the
//! data centre are the hub's followers. They exchange heartbeats with the hub alone and receive the store's tables from
//! it. Hubs exchange the collected information among themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, InstanceId, NodeName, ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::members::{CallVersion, PeerTable, PeerView, RelayHeartbeat, TargetLoad, rendezvous_weight};
use crate::relay::prompts::PromptCacheUpdate;
use crate::relay::rosters::{KnownRoster, RosterId, RosterUpdate};
use crate::relay::rows::{TableCopy, TableId};

/// Maximum number of nodes of a small fleet, in which all exchange heartbeats with all. With a heartbeat interval of
/// 400 ms that is about 30 calls per second and node.
pub const MAX_SMALL_FLEET_NODES: usize = 12;

/// A node's report on other nodes, sent with its heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetReport {
    /// Last heartbeats of other live nodes, without loads, prompts and proofs, with the age of each.
    pub members: Vec<(RelayHeartbeat, Duration)>,
    /// Total load by target of the nodes that the sender represents to the receiver.
    pub loads: Vec<TargetLoad>,
    /// Prompts that the represented nodes recently sent to engines.
    pub prompts: Vec<PromptCacheUpdate>,
    /// Rosters of hubs, whose members are not among `members`. Nodes that read calls of version 7 get them.
    pub rosters: Vec<RosterUpdate>,
}

/// A node that sends its heartbeat and asks for a report on the fleet.
#[derive(Clone, Debug)]
pub struct FleetCaller {
    /// Name of the node.
    pub node: NodeName,
    /// Its instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub dc: DcName,
    /// Highest version of calls that it reads.
    pub call_version: CallVersion,
    /// Copies of rosters that it has.
    pub known: Vec<KnownRoster>,
}

/// The nodes with which a node exchanges heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetPartners {
    /// All known nodes.
    All,
    /// The listed nodes.
    Only(Vec<NodeName>),
}

impl RelayBoard {
    /// Returns whether the fleet is small enough for every node to exchange heartbeats with every other.
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.members.budget_node_count() <= MAX_SMALL_FLEET_NODES
    }

    /// Returns the hub of a data centre, or `None` if no known node can be the hub. The hub is the strongest of the
    /// data centre's nodes, where nodes that are alive come first, and among them those that are serving. Nodes that
    /// are leaving or did not answer this node are excluded. Nodes with different views may choose different hubs, so a
    /// hub serves any node that asks it.
    #[must_use]
    pub fn hub(&self, dc: &DcName, now: Moment) -> Option<&NodeName> {
        self.first_hub(dc, |view| view.suspected_since.is_none(), now)
    }

    /// Returns the node that would be the hub of a data centre if it had answered, unless it has been silent for long.
    fn suspected_hub(&self, dc: &DcName, now: Moment) -> Option<&NodeName> {
        let is_recent = |view: &PeerView| now.since(view.last_heartbeat_at) < PeerTable::RELAYED_PEER_TIMEOUT;
        let hub = self.first_hub(dc, is_recent, now)?;
        self.members.get(hub).filter(|view| view.suspected_since.is_some()).map(|_| hub)
    }

    /// Returns the first of the nodes of a data centre that may be its hub, with those peers that `is_allowed` selects.
    fn first_hub(&self, dc: &DcName, is_allowed: impl Fn(&PeerView) -> bool, now: Moment) -> Option<&NodeName> {
        let identity = &self.identity;
        let own = (identity.dc == *dc)
            .then_some((true, self.state == NodeState::Serving, self.tuning.capacity, &identity.node))
            .filter(|_| self.state != NodeState::Leaving);
        let in_dc = |view: &&PeerView| {
            view.heartbeat.dc == *dc && is_allowed(view) && view.heartbeat.state != NodeState::Leaving
        };
        let peers = self.members.known().filter(in_dc).map(|view| {
            let is_serving = view.heartbeat.state == NodeState::Serving;
            (view.is_alive(now), is_serving, view.heartbeat.capacity, &view.heartbeat.node)
        });
        let preference = |(alive, serving, capacity, node): &(bool, bool, u32, &NodeName)| {
            (*alive, *serving, *capacity, rendezvous_weight(dc.as_str(), node.as_str()))
        };
        own.into_iter().chain(peers).max_by_key(preference).map(|(_, _, _, node)| node)
    }

    /// Returns whether this node is the hub of its data centre.
    #[must_use]
    pub fn is_hub(&self, now: Moment) -> bool {
        self.hub(&self.identity.dc, now) == Some(&self.identity.node)
    }

    /// Returns the nodes with which this node exchanges heartbeats: all in a small fleet, the other hubs for a hub, and
    /// otherwise the hub of the data centre. A hub that has not answered is called, too, so that the node returns to it as
    /// soon as it does: the node that it takes for the hub meanwhile does not speak for it.
    #[must_use]
    pub fn partners(&self, now: Moment) -> FleetPartners {
        if self.is_small_fleet() {
            return FleetPartners::All;
        }
        let own = &self.identity.node;
        let dcs = if self.is_hub(now) { self.known_dcs() } else { vec![self.identity.dc.clone()] };
        let hubs = dcs.iter().filter_map(|dc| self.hub(dc, now));
        let suspected = dcs.iter().filter_map(|dc| self.suspected_hub(dc, now));
        FleetPartners::Only(hubs.chain(suspected).filter(|node| *node != own).cloned().collect())
    }

    /// Returns the nodes of `partners`, or none in a small fleet.
    #[must_use]
    pub fn partner_views(&self, now: Moment) -> Vec<&PeerView> {
        let FleetPartners::Only(names) = self.partners(now) else { return Vec::new() };
        names.iter().filter_map(|name| self.members.get(name)).collect()
    }

    /// Returns the data centres of all known nodes, sorted.
    fn known_dcs(&self) -> Vec<DcName> {
        let peers = self.members.known().map(|view| view.heartbeat.dc.clone());
        let mut dcs: Vec<DcName> = peers.chain([self.identity.dc.clone()]).collect();
        dcs.sort();
        dcs.dedup();
        dcs
    }

    /// Returns the report for a node that asks for one, in the form that the node reads. The report is empty in a small
    /// fleet.
    pub fn report_to(&mut self, caller: &FleetCaller, now: Moment) -> FleetReport {
        if caller.call_version < CallVersion::ROSTERS {
            return self.fleet_report(&caller.node, &caller.dc, now);
        }
        if self.is_small_fleet() {
            return FleetReport::default();
        }
        let is_hub = self.is_hub(now);
        let own = is_hub.then(|| RosterId::of(&self.identity.node, self.identity.instance));
        if is_hub && self.rosters.is_refresh_due(now) {
            self.refresh_own_roster(now);
        }
        let receiver = RosterId::of(&caller.node, caller.instance);
        let rosters = self.rosters.updates_for(&caller.known, own, receiver, now);
        let is_listed = |node: &NodeName| self.rosters.lists(node) || (is_hub && self.rosters.lists_in_own(node));
        let others = self.members.alive(now).filter(|view| view.heartbeat.node != caller.node);
        let unlisted = others.filter(|view| !is_listed(&view.heartbeat.node));
        let members =
            unlisted.map(|view| (summarize_heartbeat(&view.heartbeat), now.since(view.last_heartbeat_at))).collect();
        FleetReport { members, rosters, ..self.load_report(&caller.node, &caller.dc, now) }
    }

    /// Returns the loads and prompts that this node tells a peer which reads rosters, as a hub.
    fn load_report(&self, peer: &NodeName, dc: &DcName, now: Moment) -> FleetReport {
        if self.is_small_fleet() || !self.is_hub(now) {
            return FleetReport::default();
        }
        if !self.is_other_hub(peer, dc, now) {
            return FleetReport { loads: self.plain_peer_loads(peer, now), ..FleetReport::default() };
        }
        let represented = self.represented_nodes(peer, dc, now);
        let prompts = self.prompts.forwardable_updates(|node| represented.contains(node), now);
        FleetReport { loads: self.targets.sum_peer_loads(&represented), prompts, ..FleetReport::default() }
    }

    /// Returns whether `node` in `dc` is the hub of another data centre.
    fn is_other_hub(&self, node: &NodeName, dc: &DcName, now: Moment) -> bool {
        *dc != self.identity.dc && self.hub(dc, now) == Some(node)
    }

    /// Sets the own roster to this hub and its followers.
    fn refresh_own_roster(&mut self, now: Moment) {
        let followers = self.members.alive(now).filter(|view| self.is_follower(view, now));
        let followers = followers.map(|view| summarize_heartbeat(&view.heartbeat));
        let own = summarize_heartbeat(&self.build_heartbeat(now));
        let members = followers.chain([own]).collect();
        self.rosters.set_own_members(members, now);
    }

    fn is_follower(&self, view: &PeerView, now: Moment) -> bool {
        view.has_direct_contact(now) && view.heartbeat.dc == self.identity.dc
    }

    /// Returns whether the follower `node` is told the load of `service`: followers choose its targets by themselves or judge
    /// it, or the node may come to order its targets. Hubs place prompts, and the nodes that batch pieces know the calls of
    /// stages.
    fn is_load_told(&self, service: &ServiceName, node: &NodeName, now: Moment) -> bool {
        let settings = self.index.services.get(service);
        let is_chosen_by_all = settings.is_none_or(|settings| !settings.has_engines && settings.batch.is_none());
        let is_scaled = settings.is_some_and(|settings| settings.scaling.is_some());
        is_chosen_by_all || self.rollouts.get(service).is_some() || (is_scaled && self.is_scaling_candidate(node, now))
    }

    /// Returns the load that all peers but the follower `except` have reported, by target of services whose load it is told.
    fn plain_peer_loads(&self, except: &NodeName, now: Moment) -> Vec<TargetLoad> {
        let services = self.targets.services().filter(|service| self.is_load_told(service, except, now));
        let views = services.flat_map(|service| self.targets.of(service));
        let loads = views.map(|view| {
            let target = &view.entry.target;
            let (in_flight, tokens) = match self.targets.peer_load(except, target) {
                Some(load) => (load.in_flight, load.pending_prompt_tokens),
                None => (0, 0),
            };
            TargetLoad {
                target: target.clone(),
                in_flight: view.others_in_flight.saturating_sub(in_flight),
                pending_prompt_tokens: view.others_pending_prompt_tokens.saturating_sub(tokens),
            }
        });
        loads.filter(|load| load.in_flight > 0).collect()
    }

    /// Builds the next heartbeat for a known peer. In a large fleet only hubs get the prompts and all loads.
    pub fn next_heartbeat_to(&mut self, peer: &NodeName, dc: &DcName, now: Moment) -> RelayHeartbeat {
        let mut heartbeat = self.next_heartbeat(now);
        if self.members.get(peer).is_some_and(|view| view.heartbeat.call_version < CallVersion::ISOLATION) {
            heartbeat.suspects = self.suspects.reports_by_time(now);
        }
        if !self.is_small_fleet() && self.hub(dc, now) != Some(peer) {
            heartbeat.prompts.clear();
            let is_told = |load: &TargetLoad| {
                let view = self.targets.get(&load.target);
                view.is_some_and(|view| self.is_load_told(&view.entry.service, peer, now))
            };
            heartbeat.loads.retain(is_told);
        }
        heartbeat
    }

    /// Handles updates of rosters that a peer sent in reply to a call made at `requested_at`.
    pub(super) fn handle_roster_updates(&mut self, updates: &[RosterUpdate], requested_at: Moment, now: Moment) {
        if updates.is_empty() {
            return;
        }
        for update in updates {
            let vouched_at = requested_at - update.age;
            let Some(change) = self.rosters.apply(update, vouched_at) else { continue };
            let members = self.rosters.members(update.known.id);
            for (heartbeat, vouched_at) in members.filter(|(heartbeat, _)| heartbeat.node != self.identity.node) {
                self.members.handle_relayed_heartbeat(heartbeat, vouched_at);
            }
            for heartbeat in &update.changed {
                self.handle_rollout_reports(heartbeat, vouched_at, now);
            }
            for node in change.gone.iter().filter(|node| !self.rosters.lists(node)) {
                self.members.handle_departure(node, now);
            }
        }
        self.members.count_alive(now);
    }

    /// Returns the report for `peer`, a node in `peer_dc` that does not read rosters: the heartbeats of all other live
    /// peers, and the loads and prompts of the nodes that this node represents to `peer`. The report is empty in a small
    /// fleet.
    #[must_use]
    pub fn fleet_report(&self, peer: &NodeName, peer_dc: &DcName, now: Moment) -> FleetReport {
        if self.is_small_fleet() {
            return FleetReport::default();
        }
        let peers: Vec<&PeerView> = self.members.alive(now).filter(|view| view.heartbeat.node != *peer).collect();
        let represented = self.represented_nodes(peer, peer_dc, now);
        FleetReport {
            members: peers
                .iter()
                .map(|view| (summarize_heartbeat(&view.heartbeat), now.since(view.last_heartbeat_at)))
                .collect(),
            loads: self.targets.sum_peer_loads(&represented),
            prompts: self.prompts.forwardable_updates(|node| represented.contains(node), now),
            rosters: Vec::new(),
        }
    }

    /// Returns the nodes whose load this node reports to `peer` as a hub: its followers if `peer` is the hub of another
    /// data centre, otherwise all live nodes. The load of each node thus reaches a peer through one hub only. Returns
    /// no nodes if this node is not a hub or the fleet is small.
    fn represented_nodes(&self, peer: &NodeName, peer_dc: &DcName, now: Moment) -> BTreeSet<&NodeName> {
        if self.is_small_fleet() || !self.is_hub(now) {
            return BTreeSet::new();
        }
        let is_peer_hub = self.is_other_hub(peer, peer_dc, now);
        let is_represented =
            |view: &&PeerView| view.heartbeat.node != *peer && (self.is_follower(view, now) || !is_peer_hub);
        self.members.alive(now).filter(is_represented).map(|view| &view.heartbeat.node).collect()
    }

    /// Returns the load by target that this node reports to `peer` between heartbeats: its own load, and that of the
    /// nodes that it represents to `peer`.
    #[must_use]
    pub fn loads_for(&self, peer: &NodeName, peer_dc: &DcName, now: Moment) -> Vec<TargetLoad> {
        let represented_loads = self.targets.sum_peer_loads(&self.represented_nodes(peer, peer_dc, now));
        sum_loads(self.targets.own_loads().iter().chain(&represented_loads))
    }

    /// Handles the loads that a peer reports between heartbeats. They replace the earlier ones of the peer, and are
    /// ignored if the loads of the peer do not count.
    pub fn handle_load_report(&mut self, peer: &NodeName, loads: Vec<TargetLoad>, now: Moment) {
        if self.counts_loads_of(peer, now) {
            self.targets.set_peer_loads(peer, loads);
        }
    }

    /// Returns whether this node counts the loads that `peer` reports. The load of any other peer is included in the
    /// report of one that counts.
    #[must_use]
    pub fn counts_loads_of(&self, peer: &NodeName, now: Moment) -> bool {
        let Some(view) = self.members.get(peer) else { return false };
        if self.is_small_fleet() {
            return view.has_direct_contact(now);
        }
        if !self.is_hub(now) {
            return self.hub(&self.identity.dc, now) == Some(peer);
        }
        (view.is_alive(now) && self.is_follower(view, now)) || self.hub(&view.heartbeat.dc, now) == Some(peer)
    }

    /// Returns the report that this node sends when it calls `peer`. The report is empty if `peer` is unknown or this
    /// node is not a hub, since only hubs know more than their peers. Peers that read rosters ask for them.
    #[must_use]
    pub fn fleet_report_for(&self, peer: &NodeName, now: Moment) -> FleetReport {
        let Some(view) = self.members.get(peer).filter(|_| self.is_hub(now)) else { return FleetReport::default() };
        if view.heartbeat.call_version < CallVersion::ROSTERS {
            self.fleet_report(peer, &view.heartbeat.dc, now)
        } else {
            self.load_report(peer, &view.heartbeat.dc, now)
        }
    }

    /// Returns the followers of this hub: the live nodes of its data centre that exchange heartbeats with it. Returns
    /// no nodes if this node is not a hub or the fleet is small.
    #[must_use]
    pub fn followers(&self, now: Moment) -> Vec<NodeName> {
        if self.is_small_fleet() || !self.is_hub(now) {
            return Vec::new();
        }
        self.members
            .alive(now)
            .filter(|view| self.is_follower(view, now))
            .map(|view| view.heartbeat.node.clone())
            .collect()
    }

    /// Returns whether this node reads a table from the store. In a large fleet that is the case for hubs, for starting
    /// nodes, and for nodes whose copy was not confirmed within `max_hub_copy_age`.
    #[must_use]
    pub fn reads_store(&self, table: TableId, now: Moment) -> bool {
        let confirmed_at = self.copies.get(&table).and_then(TableCopy::confirmed_at);
        let is_copy_old =
            confirmed_at.is_none_or(|confirmed_at| now.since(confirmed_at) >= self.tuning.max_hub_copy_age);
        // In a large fleet, nodes that start together and only wait for a proof learn it from the hub.
        let is_loading = self.state == NodeState::Starting && self.restoration_wait(now).is_none();
        is_copy_old || is_loading || self.is_store_reader(now)
    }

    /// Returns whether this node reads the store whatever the age of its copies, as hubs and the nodes of small fleets
    /// do.
    #[must_use]
    pub fn is_store_reader(&self, now: Moment) -> bool {
        self.is_small_fleet() || self.is_hub(now)
    }
}

/// Returns a heartbeat without proofs, settled era, loads, prompts, suspects and limits. A fleet report carries loads and prompts
/// separately, and each node reports the suspects and limits of its peers with its own.
fn summarize_heartbeat(heartbeat: &RelayHeartbeat) -> RelayHeartbeat {
    let (loads, prompts, suspects) = (Vec::new(), Vec::new(), Vec::new());
    let (limits, brittle) = (Vec::new(), Vec::new());
    let proofs = Vec::new();
    RelayHeartbeat { proofs, settled_from: None, loads, prompts, suspects, limits, brittle, ..heartbeat.clone() }
}

/// Returns the sums of `loads` by target.
pub(crate) fn sum_loads<'a>(loads: impl Iterator<Item = &'a TargetLoad>) -> Vec<TargetLoad> {
    let mut sums: BTreeMap<&TargetName, (u32, u32)> = BTreeMap::new();
    for load in loads {
        let sum = sums.entry(&load.target).or_default();
        *sum = (sum.0 + load.in_flight, sum.1 + load.pending_prompt_tokens);
    }
    let sums = sums.into_iter();
    sums.map(|(target, (in_flight, pending_prompt_tokens))| TargetLoad {
        target: target.clone(),
        in_flight,
        pending_prompt_tokens,
    })
    .collect()
}
