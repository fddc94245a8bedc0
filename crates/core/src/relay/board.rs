//! The blackboard of a relaying node: what it knows, and the questions that its edges ask.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::blackboard::Identity;
use crate::clock::Moment;
use crate::harmful::HarmfulTable;
use crate::message::NodeState;
use crate::names::{DcName, Fingerprint, NodeName, ServiceName, TargetName};
use crate::relay::access::{AccessClaim, AccessDenial, AccessGrant, FreshBounds, check_access};
use crate::relay::budget::{RepeatBounds, RepeatLedger};
use crate::relay::choice::{CallWish, ChoiceScene, ChoiceWeights, choose_target};
use crate::relay::document::{DocumentIndex, RelayRoute, RelayService};
use crate::relay::fleet::{FleetNews, sum_loads};
use crate::relay::members::{MemberBook, RelayHeartbeat, TableProof};
use crate::relay::overload::OverloadBounds;
use crate::relay::pieces::{PieceTable, QueueWait};
use crate::relay::prompts::PromptBook;
use crate::relay::rows::{SharedTable, TableCopy};
use crate::relay::steps::PatienceBounds;
use crate::relay::targets::{TargetBook, TargetEntry};

/// Times and bounds of the relay's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayTuning {
    /// How old the document may be.
    pub fresh: FreshBounds,
    /// Repeats over all nodes.
    pub repeats: RepeatBounds,
    /// What is taken in while stages are busy.
    pub overload: OverloadBounds,
    /// Weights of the choice.
    pub weights: ChoiceWeights,
    /// When a silent target is given up for another.
    pub patience: PatienceBounds,
    /// Targets that content brings down before it is refused; one may be chance.
    pub harmful_after: usize,
    /// Time that entries may take to come back after the store was out; source: the users' platform page.
    pub return_within: Duration,
    /// Age of a table at which a node that gets it from a hub reads the store itself.
    pub own_read_after: Duration,
    /// Relative strength of this VM; duties for others go to the strongest.
    pub capacity: u32,
}

impl Default for RelayTuning {
    fn default() -> Self {
        Self {
            fresh: FreshBounds::default(),
            repeats: RepeatBounds::default(),
            overload: OverloadBounds::default(),
            weights: ChoiceWeights::default(),
            patience: PatienceBounds::default(),
            harmful_after: 2,
            return_within: Duration::from_millis(1_900),
            own_read_after: Duration::from_millis(1_400),
            capacity: 0,
        }
    }
}

/// A change of what operators want.
#[derive(Clone, Debug)]
pub enum OrderChange {
    /// A new document.
    Document(DocumentIndex),
    /// A data centre gets no new work.
    Close(DcName),
    /// It may get work again.
    Open(DcName),
}

/// Content that ran at a target when its connection broke.
#[derive(Clone, Debug)]
struct SuspectCall {
    content: Fingerprint,
    target: TargetName,
    since: Moment,
}

/// Urgencies that waits are told of; less urgent requests are told the last one's.
const RANKS_TOLD: u8 = 4;
/// Time after a broken call within which its target shows that it is down.
const SUSPECT_FOR: Duration = Duration::from_secs(5);
/// Most calls that are suspected at a time.
const MOST_SUSPECTS: usize = 1_000;

/// What a relaying node knows.
#[derive(Debug)]
pub struct RelayBoard {
    /// Who it is.
    pub identity: Identity,
    /// Bounds.
    pub tuning: RelayTuning,
    /// Whether it takes new work.
    pub state: NodeState,
    /// The document in force.
    pub index: Arc<DocumentIndex>,
    /// Copies of the store's tables.
    pub copies: BTreeMap<SharedTable, TableCopy>,
    /// Data centres that get no new work.
    pub closed: BTreeSet<DcName>,
    /// Targets.
    pub targets: TargetBook,
    /// Prompts that engines have read.
    pub prompts: PromptBook,
    /// Nodes.
    pub members: MemberBook,
    /// Repeats of this node.
    pub ledger: RepeatLedger,
    /// Pieces that this node gathers.
    pub pieces: PieceTable,
    /// Content that brings targets down.
    pub harmful: HarmfulTable,
    /// Content that ran where a connection broke: harmful if its target turns out to be down.
    suspects: Vec<SuspectCall>,
    /// Randomness.
    pub random: fastrand::Rng,
    /// When the store answered again after it had not; entries may be missing for a while after this.
    store_back: Option<Moment>,
    store_out: bool,
    heartbeats: u64,
}

impl RelayBoard {
    /// A board of a node that knows nothing yet.
    #[must_use]
    pub fn new(identity: Identity, tuning: RelayTuning) -> Self {
        let random = fastrand::Rng::with_seed(identity.instance.0);
        Self {
            identity,
            tuning,
            state: NodeState::Starting,
            index: Arc::default(),
            copies: BTreeMap::new(),
            closed: BTreeSet::new(),
            targets: TargetBook::default(),
            prompts: PromptBook::default(),
            members: MemberBook::default(),
            ledger: RepeatLedger::default(),
            pieces: PieceTable::default(),
            harmful: HarmfulTable::default(),
            suspects: Vec::new(),
            random,
            store_back: None,
            store_out: false,
            heartbeats: 0,
        }
    }

    /// Time since the document was last known to be the newest; none: there is no document.
    #[must_use]
    pub fn document_age(&self, now: Moment) -> Option<Duration> {
        let asked = self.copies.get(&SharedTable::Orders)?.asked()?;
        (self.index.version > 0).then(|| now.since(asked))
    }

    /// Whether a request may be served.
    ///
    /// # Errors
    ///
    /// Why not.
    pub fn check_access(&self, claim: AccessClaim<'_>, now: Moment) -> Result<AccessGrant, AccessDenial> {
        check_access(&self.index, self.document_age(now), &self.tuning.fresh, claim)
    }

    /// The service that a request of `route` goes to, drawn by weight.
    pub fn draw_service(&mut self, route: &RelayRoute) -> Option<ServiceName> {
        let total: u32 = route.services.iter().map(|entry| entry.weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = self.random.u32(..total);
        for entry in &route.services {
            if drawn < entry.weight {
                return Some(entry.service.clone());
            }
            drawn -= entry.weight;
        }
        None
    }

    /// Settings of a service, if the document has it.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&RelayService> {
        self.index.services.get(service)
    }

    /// The target for a call; none if no target may get new work.
    pub fn choose(&mut self, wish: &CallWish<'_>, now: Moment) -> Option<TargetEntry> {
        let mut random = self.random.clone();
        let scene = ChoiceScene {
            targets: &self.targets,
            prompts: &self.prompts,
            members: &self.members,
            service: self.index.services.get(wish.service),
            closed: &self.closed,
            node: &self.identity.node,
            dc: &self.identity.dc,
            weights: &self.tuning.weights,
            now,
        };
        let chosen = choose_target(&scene, wish, &mut random);
        self.random = random;
        self.targets.get(&chosen?).map(|view| view.entry.clone())
    }

    /// Whether any target of a service may get new work.
    #[must_use]
    pub fn has_target(&self, service: &ServiceName) -> bool {
        self.targets.of(service).any(|view| !view.entry.leaving && !self.closed.contains(&view.entry.dc))
    }

    /// Takes one repeat for `service`, if this node's share of the bound holds one.
    pub fn take_repeat(&mut self, service: &ServiceName, now: Moment) -> bool {
        let nodes = self.members.sharers();
        self.ledger.take_repeat(service, &self.tuning.repeats, nodes, now)
    }

    /// Whether content has brought down too many targets to be run again.
    #[must_use]
    pub fn is_harmful(&self, content: Fingerprint) -> bool {
        self.harmful.downed(content) >= self.tuning.harmful_after
    }

    /// Notes that a connection broke while its target ran `content`.
    pub fn suspect(&mut self, content: Fingerprint, target: &TargetName, now: Moment) {
        self.suspects.retain(|suspect| now.since(suspect.since) < SUSPECT_FOR);
        if self.suspects.len() < MOST_SUSPECTS {
            self.suspects.push(SuspectCall { content, target: target.clone(), since: now });
        }
    }

    /// Notes that a target is down; gives back content that it ran when it went down, for peers to know.
    pub fn confirm_down(&mut self, target: &TargetName, now: Moment) -> Vec<Fingerprint> {
        let is_hit = |suspect: &SuspectCall| suspect.target == *target && now.since(suspect.since) < SUSPECT_FOR;
        let (hits, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.suspects).into_iter().partition(is_hit);
        self.suspects = rest;
        let contents = hits.into_iter().map(|suspect| suspect.content);
        contents.filter(|content| self.harmful.note(*content, target.clone())).collect()
    }

    /// Takes a change of the operators in; tells whether it changed anything.
    pub fn apply_order(&mut self, change: OrderChange) -> bool {
        match change {
            // A document never goes back within one run of the process.
            OrderChange::Document(index) if index.version <= self.index.version => false,
            OrderChange::Document(index) => {
                self.index = Arc::new(index);
                true
            }
            OrderChange::Close(dc) => self.closed.insert(dc),
            OrderChange::Open(dc) => self.closed.remove(&dc),
        }
    }

    /// Notes that the store does not answer.
    pub fn note_store_out(&mut self) {
        self.store_out = true;
    }

    /// Notes that the store answers.
    pub fn note_store_answer(&mut self, now: Moment) {
        if std::mem::take(&mut self.store_out) {
            self.store_back = Some(now);
        }
    }

    /// Notes that a peer showed a state of the store that was the newest at `proven`: if that is recent, the store
    /// answers, though not this node.
    pub fn note_store_proof(&mut self, proven: Moment, now: Moment) {
        if now.since(proven) < self.tuning.own_read_after {
            self.note_store_answer(now);
        }
    }

    /// Takes a target's entry in.
    pub fn upsert_target(&mut self, entry: TargetEntry, now: Moment) {
        let target = entry.target.clone();
        if self.targets.upsert(entry, now) {
            self.prompts.forget(&target);
        }
    }

    /// Notes that a target's entry vanished. Right after the store was out, it may still come back.
    pub fn vanish_target(&mut self, target: &TargetName, now: Moment) {
        let lapse_ends = self.store_back.map(|back| back + self.tuning.return_within);
        let at = match lapse_ends {
            _ if self.store_out => now + self.tuning.return_within,
            Some(ends) if ends > now => ends,
            _ => now,
        };
        self.targets.vanish(target, at);
    }

    /// Addresses for callers: nodes that take new work, this one included.
    #[must_use]
    pub fn addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let own = (self.state == NodeState::Serving).then_some(self.identity.caller_address);
        let peers = self.members.serving(now).map(|view| view.heartbeat.caller_address);
        own.into_iter().chain(peers).collect()
    }

    /// What this node tells its peers.
    pub fn heartbeat(&mut self, now: Moment) -> RelayHeartbeat {
        self.heartbeats += 1;
        let proofs = self.copies.iter().filter_map(|(table, copy)| {
            let age = now.since(copy.asked()?);
            let (version, changed) = (copy.version(), copy.changed());
            Some(TableProof { table: *table, version, changed, age_ms: age.as_millis() as u32 })
        });
        RelayHeartbeat {
            node: self.identity.node.clone(),
            instance: self.identity.instance,
            sequence: self.heartbeats,
            dc: self.identity.dc.clone(),
            capacity: self.tuning.capacity,
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            state: self.state,
            proofs: proofs.collect(),
            loads: self.targets.own_loads(),
            prompts: self.prompts.news(now),
            waits: self.own_waits(now),
        }
    }

    /// Waits at the services that this node gathers pieces for, by urgency.
    fn own_waits(&self, now: Moment) -> Vec<(ServiceName, Vec<QueueWait>)> {
        let waits = self.pieces.busy().into_iter().filter_map(|service| {
            let wait = |rank| self.own_wait(&service, rank, now);
            let waits: Option<Vec<QueueWait>> = (0..RANKS_TOLD).map(wait).collect();
            Some((service.clone(), waits?))
        });
        waits.collect()
    }

    fn own_wait(&self, service: &ServiceName, rank: u8, now: Moment) -> Option<QueueWait> {
        let spec = self.index.services.get(service)?.batch.as_ref()?;
        let open = self.targets.of(service).filter(|view| !view.entry.leaving && !self.closed.contains(&view.entry.dc));
        Some(self.pieces.get(service)?.expected_wait(spec, open.count(), rank, now))
    }

    /// Wait of a piece of urgency `rank` that comes now, here or at the node that gathers for its service.
    #[must_use]
    pub fn queue_wait(&self, service: &ServiceName, rank: u8, now: Moment) -> QueueWait {
        let told = self.members.queue_wait(service, rank, now);
        let own = self.own_wait(service, rank, now).unwrap_or_default();
        if own.late > told.late { own } else { told }
    }

    /// Takes a peer's heartbeat in; tells whether its instance was not met before.
    pub fn hear(&mut self, heartbeat: RelayHeartbeat, now: Moment) -> bool {
        let (node, loads) = (heartbeat.node.clone(), heartbeat.loads.clone());
        self.prompts.hear(&node, &heartbeat.prompts, now);
        let is_new = self.members.hear(heartbeat, now);
        let loads = if self.work_sources(now).contains(&node) { loads } else { Vec::new() };
        self.targets.learn_loads(&node, loads);
        is_new
    }

    /// Takes in a peer's heartbeat that was asked for at `asked`, and what it tells of others; tells whether its
    /// instance was not met before.
    pub fn hear_reply(&mut self, mut heartbeat: RelayHeartbeat, news: FleetNews, asked: Moment, now: Moment) -> bool {
        self.members.hear_news(&news, &self.identity.node, asked);
        heartbeat.loads = sum_loads(heartbeat.loads.iter().chain(&news.loads));
        heartbeat.prompts.extend(news.prompts);
        self.hear(heartbeat, now)
    }

    /// The node that gathers the pieces of a service.
    #[must_use]
    pub fn gatherer(&self, service: &ServiceName, now: Moment) -> &NodeName {
        self.members.gatherer(service, &self.identity.node, self.tuning.capacity, now)
    }

    /// Drops what is due: entries that vanished, peers that are gone, work that they had in flight.
    pub fn sweep(&mut self, now: Moment) -> Vec<TargetName> {
        let sources = self.work_sources(now);
        for node in self.targets.load_sources().iter().filter(|node| !sources.contains(*node)) {
            self.targets.learn_loads(node, Vec::new());
        }
        self.members.forget(now);
        let gone = self.targets.sweep(now);
        for target in &gone {
            self.prompts.forget(target);
        }
        gone
    }
}
