//! Peer membership: which other nodes are alive, according to the heartbeats that nodes exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, InstanceId, NodeName, ServiceName, TargetName, stable_hash};
use crate::relay::brittle::RejectTolerance;
use crate::relay::fleet::FleetReport;
use crate::relay::paths::PathReport;
use crate::relay::pieces::QueueWait;
use crate::relay::prompts::PromptCacheUpdate;
use crate::relay::rate_limits::LimitReport;
use crate::relay::rollout::RolloutReport;
use crate::relay::rows::TableId;
use crate::relay::store_version::StoreVersion;
use crate::relay::suspects::SuspectReport;

/// Load that one node, or several together, put on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// Number of calls in flight.
    pub in_flight: u32,
    /// Total prompt tokens of these calls that the engine has not processed yet.
    pub pending_prompt_tokens: u32,
}

/// Proof of how recent a node's copy of a table is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableProof {
    /// The table.
    pub table: TableId,
    /// Store version of the copy.
    pub version: StoreVersion,
    /// Store version since which no row of the table changed, up to `version`.
    pub last_change_version: StoreVersion,
    /// Store version of the newest row that the copy has had. Nodes with an older copy lack that row.
    pub newest_row_version: StoreVersion,
    /// Time in milliseconds since the copy was last known to be up to date.
    pub age_ms: u32,
}

/// Version of the calls between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallVersion(pub u32);

impl CallVersion {
    /// Version of nodes that do not tell theirs.
    pub const BASE: Self = Self(6);
    /// Version from which on nodes tell rosters and load reports, and place prompts for each other.
    pub const ROSTERS: Self = Self(7);
    /// Version from which on nodes tell the candidates of a duty what they counted.
    pub const DUTIES: Self = Self(8);
    /// Version from which on nodes read which crashes are isolated.
    pub const ISOLATION: Self = Self(9);
    /// Version from which on nodes record settled eras of the store, and tell them.
    pub const SETTLED_ERAS: Self = Self(10);
    /// Highest version that this release reads.
    pub const CURRENT: Self = Self::SETTLED_ERAS;
}

impl Default for CallVersion {
    fn default() -> Self {
        Self::BASE
    }
}

/// State of a node that it sends to its peers at a regular interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHeartbeat {
    /// Name of the node.
    pub node: NodeName,
    /// Identifier of the current run of the node's process.
    pub instance: InstanceId,
    /// Sequence number of the heartbeat within the instance.
    pub sequence: u64,
    /// Highest version of calls that the node reads.
    pub call_version: CallVersion,
    /// Data centre of the node.
    pub dc: DcName,
    /// Relative strength of the node's VM. Stronger nodes are preferred as hubs and for batching.
    pub capacity: u32,
    /// Address on which the node serves callers.
    pub caller_address: SocketAddr,
    /// Address on which the node serves its peers.
    pub peer_address: SocketAddr,
    /// Lifecycle state of the node, which tells whether it accepts new work.
    pub state: NodeState,
    /// Proofs of how recent the node's copies of tables are. A table that was never read is missing.
    pub proofs: Vec<TableProof>,
    /// Version of the document that the node has in force; 0 if it has none. The store may have lost that document.
    pub document_version: u64,
    /// Version of the store from which on its newest settled era is settled, if the node knows one.
    pub settled_from: Option<StoreVersion>,
    /// Calls that the node has in flight, by target.
    pub loads: Vec<TargetLoad>,
    /// Prompts that the node recently sent to engines.
    pub prompts: Vec<PromptCacheUpdate>,
    /// Expected queue waits, indexed by priority rank, of the services for which the node has pending pieces.
    pub waits: Vec<(ServiceName, Vec<QueueWait>)>,
    /// Content that the node suspects of crashes: harmful content and recent changes, its own and those of peers.
    pub suspects: Vec<SuspectReport>,
    /// Limits that targets named recently.
    pub limits: Vec<LimitReport>,
    /// Rejections that brittle targets withstand, as they said recently.
    pub brittle: Vec<LimitReport<RejectTolerance>>,
    /// The node's view of the rollouts and its own calls to their versions.
    pub rollouts: Vec<RolloutReport>,
    /// What the node knows of its own paths to targets.
    pub paths: PathReport,
}

/// The last known state of a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Last heartbeat of the peer.
    pub heartbeat: RelayHeartbeat,
    /// When that heartbeat arrived. If a hub relayed it, about when the peer sent it.
    pub last_heartbeat_at: Moment,
    /// Whether that heartbeat came from the peer itself and not through a hub.
    pub is_direct: bool,
    /// When a heartbeat last came from the peer itself.
    pub last_direct_heartbeat_at: Option<Moment>,
    /// When the peer failed to answer a call. `None` if the peer has answered since, or a hub reported a heartbeat that
    /// the peer sent at least two seconds after the failure.
    pub suspected_since: Option<Moment>,
}

impl PeerView {
    /// Returns whether the last heartbeat is recent enough for the peer to count as alive. A peer that did not answer
    /// this node counts as alive only if a hub reports it. Heartbeats relayed by hubs have a longer timeout because
    /// they are older by up to three heartbeat intervals.
    #[must_use]
    pub fn is_alive(&self, now: Moment) -> bool {
        let timeout = if self.is_direct { PeerTable::PEER_TIMEOUT } else { PeerTable::RELAYED_PEER_TIMEOUT };
        (self.suspected_since.is_none() || !self.is_direct) && now.since(self.last_heartbeat_at) < timeout
    }

    /// Returns whether a heartbeat came from the peer itself, not through a hub, within the timeout.
    #[must_use]
    pub fn has_direct_contact(&self, now: Moment) -> bool {
        self.last_direct_heartbeat_at.is_some_and(|at| now.since(at) < PeerTable::PEER_TIMEOUT)
    }

    /// Returns whether the peer is alive and answers this node.
    #[must_use]
    pub fn is_reachable(&self, now: Moment) -> bool {
        self.suspected_since.is_none() && self.is_alive(now)
    }
}

/// A service with the number of its targets that this node knows.
#[derive(Clone, Copy, Debug)]
pub struct ServiceScope<'a> {
    /// Name of the service.
    pub name: &'a ServiceName,
    /// Number of its targets.
    pub target_count: u32,
}

impl ServiceScope<'_> {
    /// Returns whether a peer reports that it reaches at least half of the targets.
    #[must_use]
    pub fn is_reached_by(&self, peer: &PeerView) -> bool {
        peer.heartbeat.paths.reaches(self.name, self.target_count)
    }
}

/// A node that may batch the pieces of a service.
#[derive(Clone, Copy, Debug)]
pub struct BatchingCandidate<'a> {
    /// Whether the node reaches the targets of the service.
    pub reaches_service: bool,
    /// Relative strength of the node's VM.
    pub capacity: u32,
    /// Name of the node.
    pub node: &'a NodeName,
}

/// Known peers by name.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeName, PeerView>,
    /// Maximum number of nodes that were alive at one time, including this one.
    max_alive_nodes: usize,
}

impl PeerTable {
    /// Time without a heartbeat after which a peer counts as gone. It covers several heartbeats and the retransmission
    /// of a lost packet.
    pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_800);
    /// Time without a heartbeat after which a peer counts as gone if its heartbeats are relayed by hubs.
    pub const RELAYED_PEER_TIMEOUT: Duration = Duration::from_millis(3_600);
    /// Time after which a hub's report clears the suspicion of a peer that did not answer.
    const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
    /// Time without a heartbeat after which a peer is removed.
    const EVICTION_TIMEOUT: Duration = Duration::from_secs(30);

    /// Handles a heartbeat that came from the peer itself. Returns whether the peer's instance is new. A heartbeat that
    /// is older than the last one of the same instance is ignored.
    pub fn handle_heartbeat(&mut self, heartbeat: RelayHeartbeat, now: Moment) -> bool {
        let known = self.peers.get(&heartbeat.node);
        let is_older = known.is_some_and(|view| {
            view.heartbeat.instance == heartbeat.instance && view.heartbeat.sequence >= heartbeat.sequence
        });
        if is_older {
            return false;
        }
        let is_new = known.is_none_or(|view| view.heartbeat.instance != heartbeat.instance);
        let view = PeerView {
            heartbeat,
            last_heartbeat_at: now,
            is_direct: true,
            last_direct_heartbeat_at: Some(now),
            suspected_since: None,
        };
        self.peers.insert(view.heartbeat.node.clone(), view);
        self.count_alive(now);
        is_new
    }

    /// Handles a peer's report on other nodes, which answers a request made at `requested_at`. Heartbeats of the node
    /// `own` are ignored.
    pub fn handle_fleet_report(&mut self, report: &FleetReport, own: &NodeName, requested_at: Moment) {
        for (heartbeat, age) in report.members.iter().filter(|(heartbeat, _)| heartbeat.node != *own) {
            self.handle_relayed_heartbeat(heartbeat, requested_at - *age);
        }
        self.count_alive(requested_at);
    }

    /// Handles a heartbeat that a hub relayed and that the peer sent at about `sent_at`, or that its hub vouched for
    /// then. It is ignored if a later one is known. One that is not newer than the last one of the same instance only
    /// shows that the peer is alive.
    pub(super) fn handle_relayed_heartbeat(&mut self, heartbeat: &RelayHeartbeat, sent_at: Moment) {
        let Some(view) = self.peers.get_mut(&heartbeat.node) else {
            let view = PeerView {
                heartbeat: heartbeat.clone(),
                last_heartbeat_at: sent_at,
                is_direct: false,
                last_direct_heartbeat_at: None,
                suspected_since: None,
            };
            self.peers.insert(heartbeat.node.clone(), view);
            return;
        };
        if view.last_heartbeat_at >= sent_at {
            return;
        }
        let known = &view.heartbeat;
        if known.instance != heartbeat.instance || known.sequence < heartbeat.sequence {
            view.heartbeat = heartbeat.clone();
        }
        view.last_heartbeat_at = sent_at;
        view.is_direct = false;
        view.suspected_since = view.suspected_since.filter(|since| sent_at.since(*since) < Self::SUSPICION_TIMEOUT);
    }

    /// Records that a peer that only hubs tell of is in no hub's roster any more. It counts as gone.
    pub(super) fn handle_departure(&mut self, node: &NodeName, now: Moment) {
        if let Some(view) = self.peers.get_mut(node).filter(|view| !view.has_direct_contact(now)) {
            view.is_direct = false;
            view.last_heartbeat_at = view.last_heartbeat_at.min(now - Self::RELAYED_PEER_TIMEOUT);
        }
    }

    /// Counts the nodes that are alive at `now` for the largest number that were at one time.
    pub(super) fn count_alive(&mut self, now: Moment) {
        self.max_alive_nodes = self.max_alive_nodes.max(self.alive(now).count() + 1);
    }

    /// Returns the peers that count as alive.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = &PeerView> {
        self.peers.values().filter(move |view| view.is_alive(now))
    }

    /// Records that a peer did not answer a call. Returns `true` if the peer is known and was not suspected before.
    pub fn mark_suspected(&mut self, node: &NodeName, now: Moment) -> bool {
        let view = self.peers.get_mut(node).filter(|view| view.suspected_since.is_none());
        view.is_some_and(|view| view.suspected_since.replace(now).is_none())
    }

    /// Returns the peers that are alive and accept new work.
    pub fn serving(&self, now: Moment) -> impl Iterator<Item = &PeerView> {
        self.alive(now).filter(|view| view.heartbeat.state == NodeState::Serving)
    }

    /// Returns all peers that have not been removed.
    pub fn known(&self) -> impl Iterator<Item = &PeerView> {
        self.peers.values()
    }

    /// Removes peers that have been silent for longer than `EVICTION_TIMEOUT`.
    pub fn evict_expired(&mut self, now: Moment) {
        self.peers.retain(|_, view| now.since(view.last_heartbeat_at) < Self::EVICTION_TIMEOUT);
    }

    /// Returns the number of nodes that share a limit: the maximum number that were alive at one time, including this
    /// one. Nodes that are unreachable now count too, since they may still be using their shares.
    #[must_use]
    pub fn budget_node_count(&self) -> usize {
        self.max_alive_nodes.max(1)
    }

    /// Returns the node that batches the pieces of a service: the strongest of the reachable and serving peers and this
    /// node, `own`, among those that reach the targets of the service, or among all if none does. A rendezvous hash
    /// decides among equally strong nodes. Without `own`, it is one of the peers, or `None` if there is none.
    #[must_use]
    pub fn batching_node<'a>(
        &'a self,
        service: ServiceScope<'_>,
        own: Option<BatchingCandidate<'a>>,
        now: Moment,
    ) -> Option<&'a NodeName> {
        let peers = self.serving(now).filter(|view| view.is_reachable(now)).map(|view| BatchingCandidate {
            reaches_service: service.is_reached_by(view),
            capacity: view.heartbeat.capacity,
            node: &view.heartbeat.node,
        });
        let weight = |node: &NodeName| rendezvous_weight(service.name.as_str(), node.as_str());
        let nodes = own.into_iter().chain(peers);
        nodes.max_by_key(|node| (node.reaches_service, node.capacity, weight(node.node))).map(|first| first.node)
    }

    /// Returns the longest wait that live peers report for pieces of a service with priority `rank`, or zero if none
    /// reports any. Ranks beyond the reported ones have the wait of the last one. With `only_reaching`, the waits of
    /// peers that do not reach the targets of the service are ignored.
    #[must_use]
    pub fn queue_wait(&self, service: ServiceScope<'_>, rank: u8, only_reaching: bool, now: Moment) -> QueueWait {
        let peers = self.alive(now).filter(|view| !only_reaching || service.is_reached_by(view));
        let reported = peers.flat_map(|view| &view.heartbeat.waits).filter(|(other, _)| other == service.name);
        let waits = reported.filter_map(|(_, waits)| waits.get(usize::from(rank)).or(waits.last()));
        waits.copied().max_by_key(|wait| wait.late).unwrap_or_default()
    }

    /// Returns the position of this node, named `own`, among the live nodes in the rendezvous order of `key`. 0 is the
    /// first.
    #[must_use]
    pub fn rendezvous_position(&self, key: &str, own: &NodeName, now: Moment) -> usize {
        let score = rendezvous_weight(key, own.as_str());
        self.alive(now).filter(|view| rendezvous_weight(key, view.heartbeat.node.as_str()) > score).count()
    }

    /// Returns the peer named `node`, or `None` if it is unknown or was removed.
    #[must_use]
    pub fn get(&self, node: &NodeName) -> Option<&PeerView> {
        self.peers.get(node)
    }
}

/// Returns the rendezvous hash weight of `member` for `key`. Every node computes the same weight. The member with the
/// highest weight comes first.
#[must_use]
pub fn rendezvous_weight(key: &str, member: &str) -> u64 {
    stable_hash(&[key.as_bytes(), member.as_bytes()])
}
