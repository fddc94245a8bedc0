//! Which nodes live, from the heartbeats that they exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, InstanceId, NodeName, ServiceName, TargetName, stable_hash};
use crate::relay::fleet::FleetNews;
use crate::relay::pieces::QueueWait;
use crate::relay::prompts::PromptNews;
use crate::relay::rows::SharedTable;

/// Work of one node at one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// Calls in flight.
    pub in_flight: u32,
    /// Prompt tokens of calls that have not answered yet.
    pub unread_tokens: u32,
}

/// How new a node's copy of a table is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableProof {
    /// The table.
    pub table: SharedTable,
    /// The store's version that the copy stands at.
    pub version: u64,
    /// The store's version after which no row of it changed.
    pub changed: u64,
    /// Time since that state was asked for, in milliseconds.
    pub age_ms: u32,
}

/// What a node tells its peers at an interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHeartbeat {
    /// The node.
    pub node: NodeName,
    /// Run of its process.
    pub instance: InstanceId,
    /// Counts up within the instance.
    pub sequence: u64,
    /// Its data centre.
    pub dc: DcName,
    /// Relative strength of its VM.
    pub capacity: u32,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Whether it takes new work.
    pub state: NodeState,
    /// How new its copies are.
    pub proofs: Vec<TableProof>,
    /// Its work in flight.
    pub loads: Vec<TargetLoad>,
    /// Prompts that it sent to engines lately.
    pub prompts: Vec<PromptNews>,
    /// Waits at the services that it gathers pieces for, by urgency.
    pub waits: Vec<(ServiceName, Vec<QueueWait>)>,
}

/// A peer as last heard.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// Its last heartbeat.
    pub heartbeat: RelayHeartbeat,
    /// When that came, or left the node itself if another told it.
    pub heard: Moment,
    /// Whether it came from the node itself; otherwise a hub told it.
    pub is_direct: bool,
    /// When the last one came from the node itself.
    pub heard_directly: Option<Moment>,
    /// When it did not answer a call; it counts as gone until it is heard of again.
    pub suspected: Option<Moment>,
}

impl MemberView {
    /// Whether it was heard of lately: if it did not answer this node, a hub has to speak for it. News that hubs pass
    /// on is older by up to three pauses between heartbeats.
    #[must_use]
    pub fn is_alive(&self, now: Moment) -> bool {
        let gone_after = if self.is_direct { MemberBook::GONE_AFTER } else { MemberBook::RELAYED_GONE_AFTER };
        (self.suspected.is_none() || !self.is_direct) && now.since(self.heard) < gone_after
    }

    /// Whether it exchanges heartbeats with this node.
    #[must_use]
    pub fn is_heard_directly(&self, now: Moment) -> bool {
        self.heard_directly.is_some_and(|at| now.since(at) < MemberBook::GONE_AFTER)
    }

    /// Whether it lives and answers this node.
    #[must_use]
    pub fn is_reachable(&self, now: Moment) -> bool {
        self.suspected.is_none() && self.is_alive(now)
    }
}

/// Peers by name.
#[derive(Clone, Debug, Default)]
pub struct MemberBook {
    peers: BTreeMap<NodeName, MemberView>,
    /// Most nodes that were alive at one time, this one included.
    most_alive: usize,
}

impl MemberBook {
    /// Silence after which a peer counts as gone: several heartbeats and a lost packet's repeat.
    pub const GONE_AFTER: Duration = Duration::from_millis(1_800);
    /// The same for a peer of which hubs tell.
    pub const RELAYED_GONE_AFTER: Duration = Duration::from_millis(3_600);
    /// Time after which a hub's news of a peer that did not answer is believed again.
    const SUSPECTED_FOR: Duration = Duration::from_secs(2);
    /// Time after which a peer that is gone is forgotten.
    const FORGET_AFTER: Duration = Duration::from_secs(30);

    /// Takes a heartbeat in; tells whether it is of an instance not met before.
    pub fn hear(&mut self, heartbeat: RelayHeartbeat, now: Moment) -> bool {
        let known = self.peers.get(&heartbeat.node);
        let is_older = known.is_some_and(|view| {
            view.heartbeat.instance == heartbeat.instance && view.heartbeat.sequence >= heartbeat.sequence
        });
        if is_older {
            return false;
        }
        let is_new = known.is_none_or(|view| view.heartbeat.instance != heartbeat.instance);
        let view = MemberView { heartbeat, heard: now, is_direct: true, heard_directly: Some(now), suspected: None };
        self.peers.insert(view.heartbeat.node.clone(), view);
        self.most_alive = self.most_alive.max(self.alive(now).count() + 1);
        is_new
    }

    /// Takes in what a hub tells of other nodes; `asked` is when it was asked for.
    pub fn hear_news(&mut self, news: &FleetNews, own: &NodeName, asked: Moment) {
        for (heartbeat, age) in news.members.iter().filter(|(heartbeat, _)| heartbeat.node != *own) {
            self.hear_relayed(heartbeat, asked - *age);
        }
        self.most_alive = self.most_alive.max(self.alive(asked).count() + 1);
    }

    fn hear_relayed(&mut self, heartbeat: &RelayHeartbeat, heard: Moment) {
        let known = self.peers.get(&heartbeat.node);
        if known.is_some_and(|view| view.heard >= heard) {
            return;
        }
        let heard_directly = known.and_then(|view| view.heard_directly);
        let suspected = known.and_then(|view| view.suspected);
        let suspected = suspected.filter(|since| heard.since(*since) < Self::SUSPECTED_FOR);
        let view = MemberView { heartbeat: heartbeat.clone(), heard, is_direct: false, heard_directly, suspected };
        self.peers.insert(heartbeat.node.clone(), view);
    }

    /// Peers heard of lately.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = &MemberView> {
        self.peers.values().filter(move |view| view.is_alive(now))
    }

    /// Notes that a peer did not answer; tells whether it counted as alive until now.
    pub fn suspect(&mut self, node: &NodeName, now: Moment) -> bool {
        let view = self.peers.get_mut(node).filter(|view| view.suspected.is_none());
        view.is_some_and(|view| view.suspected.replace(now).is_none())
    }

    /// Peers that take new work.
    pub fn serving(&self, now: Moment) -> impl Iterator<Item = &MemberView> {
        self.alive(now).filter(|view| view.heartbeat.state == NodeState::Serving)
    }

    /// All peers that are remembered.
    pub fn known(&self) -> impl Iterator<Item = &MemberView> {
        self.peers.values()
    }

    /// Forgets peers that have been gone for long.
    pub fn forget(&mut self, now: Moment) {
        self.peers.retain(|_, view| now.since(view.heard) < Self::FORGET_AFTER);
    }

    /// Nodes to share a bound among: those that were alive together, also if some cannot be heard now.
    #[must_use]
    pub fn sharers(&self) -> usize {
        self.most_alive.max(1)
    }

    /// The node that gathers the pieces of `service`: the first by rendezvous hash among the strongest of `own` and
    /// its live peers.
    #[must_use]
    pub fn gatherer<'a>(
        &'a self,
        service: &ServiceName,
        own: &'a NodeName,
        capacity: u32,
        now: Moment,
    ) -> &'a NodeName {
        let peers = self.serving(now).filter(|view| view.is_reachable(now));
        let peers = peers.map(|view| (view.heartbeat.capacity, &view.heartbeat.node));
        let nodes = std::iter::once((capacity, own)).chain(peers);
        let first = nodes.max_by_key(|(capacity, node)| (*capacity, rendezvous(service.as_str(), node.as_str())));
        first.map_or(own, |(_, node)| node)
    }

    /// Wait of a piece at a service, as the node that gathers for it told last.
    #[must_use]
    pub fn queue_wait(&self, service: &ServiceName, rank: u8, now: Moment) -> QueueWait {
        let told = self.alive(now).flat_map(|view| &view.heartbeat.waits).filter(|(other, _)| other == service);
        let waits = told.filter_map(|(_, waits)| waits.get(usize::from(rank)).or(waits.last()));
        waits.copied().max_by_key(|wait| wait.late).unwrap_or_default()
    }

    /// Place of `own` among its live peers by rendezvous hash on `key`; 0 is first.
    #[must_use]
    pub fn place(&self, key: &str, own: &NodeName, now: Moment) -> usize {
        let score = rendezvous(key, own.as_str());
        self.alive(now).filter(|view| rendezvous(key, view.heartbeat.node.as_str()) > score).count()
    }

    /// One peer.
    #[must_use]
    pub fn get(&self, node: &NodeName) -> Option<&MemberView> {
        self.peers.get(node)
    }
}

/// Weight of `member` for `key`; every node works out the same.
#[must_use]
pub fn rendezvous(key: &str, member: &str) -> u64 {
    stable_hash(&[key.as_bytes(), member.as_bytes()])
}
