//! The board: the whole state of a relay node, with the queries and updates that the node's I/O code runs on it.

mod heartbeats;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::blackboard::Identity;
use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, ServiceName, TargetName};
use crate::relay::access::{
    AccessClaim, AccessDenial, AccessGrant, FreshnessLimits, RequestSize, check_access, check_size,
};
use crate::relay::brittle::{BrittleTable, RoomLedger};
use crate::relay::budget::{RetryLedger, RetryLimits};
use crate::relay::choice::{CallRequirements, ChoiceContext, ChoiceScope, ChoiceWeights, choose_target};
use crate::relay::departure::DepartureGate;
use crate::relay::document::{DocumentIndex, RelayRoute, RelayService};
use crate::relay::duties::DutyTable;
use crate::relay::members::PeerTable;
use crate::relay::overload::OverloadBounds;
use crate::relay::paths::PathTable;
use crate::relay::pieces::PieceTable;
use crate::relay::placement::GrantLedger;
use crate::relay::prompts::PromptCacheTable;
use crate::relay::rank_guard::RankGuard;
use crate::relay::rate_limits::{PermitBuckets, RateLimitTable};
use crate::relay::rollout::{RolloutLimits, RolloutOrder, RolloutTable, VersionLane};
use crate::relay::rollout_board::VersionSightings;
use crate::relay::rosters::RosterTable;
use crate::relay::rows::{TableCopy, TableId};
use crate::relay::slow_start::{LimitCause, UsualTimeTable};
use crate::relay::speed::SpeedTable;
use crate::relay::steps::SilenceTimeouts;
use crate::relay::store_restoration::StoreRestoration;
use crate::relay::store_version::StoreVersion;
use crate::relay::suspect_row::SuspectRowState;
use crate::relay::suspects::{HarmfulContent, SuspectKey, SuspectLimits, SuspectTable};
use crate::relay::targets::{EntryEffect, TargetEntry, TargetRegistry};
use crate::relay::usage::UsageTable;

/// Settings of the relay's decisions: time limits, ratios and weights.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayTuning {
    /// Maximum ages of the document for access decisions.
    pub freshness_limits: FreshnessLimits,
    /// Limit on the retries of all nodes together.
    pub retry_limits: RetryLimits,
    /// Limits on the calls that candidate versions get.
    pub rollout_limits: RolloutLimits,
    /// Limits on the requests that are accepted while stages are busy.
    pub overload: OverloadBounds,
    /// Cost weights for the choice of a target.
    pub weights: ChoiceWeights,
    /// Timeouts after which a silent target is abandoned for another.
    pub silence_timeouts: SilenceTimeouts,
    /// Limits at which content that crashes targets is refused.
    pub suspect_limits: SuspectLimits,
    /// Time for which targets are kept without an entry in the store after an outage of the store. The platform
    /// guarantees that targets register again within this time, and after a loss, operators write again within it.
    pub reregistration_timeout: Duration,
    /// Age at which a node reads a table from the store itself, because no hub has confirmed the node's copy. A hub is
    /// the node that passes on the tables in its data centre.
    pub max_hub_copy_age: Duration,
    /// Relative strength of this VM. The strongest nodes act as hubs and batch the pieces of services.
    pub capacity: u32,
}

impl Default for RelayTuning {
    fn default() -> Self {
        Self {
            freshness_limits: FreshnessLimits::default(),
            retry_limits: RetryLimits::default(),
            rollout_limits: RolloutLimits::default(),
            overload: OverloadBounds::default(),
            weights: ChoiceWeights::default(),
            silence_timeouts: SilenceTimeouts::default(),
            suspect_limits: SuspectLimits::default(),
            reregistration_timeout: Duration::from_millis(1_900),
            max_hub_copy_age: Duration::from_millis(1_400),
            capacity: 0,
        }
    }
}

/// A change that an operator ordered.
#[derive(Clone, Debug)]
pub enum OrderChange {
    /// A document to be put in force, unless its version is not higher than that of the current one.
    Document(DocumentIndex),
    /// The data centre gets no new work.
    Close(DcName),
    /// The data centre may get new work again.
    Open(DcName),
    /// A service is to be moved to another version.
    Rollout(RolloutOrder),
    /// The order to move a service is withdrawn.
    RolloutWithdrawn(ServiceName),
}

/// Whether the content of a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContentVerdict {
    /// No content of the request is harmful.
    Allowed,
    /// The content is harmful, and the request may run once to find out whether it is blamed wrongly.
    Trial(HarmfulContent),
    /// The content is harmful and must not run.
    Harmful(HarmfulContent),
}

/// A document in the store that a node cannot decode.
#[derive(Clone, Copy, Debug)]
struct UndecodableDocument {
    /// When the document in force was last proven to be the newest before.
    proven_before: Option<Moment>,
}

/// The whole state of a relay node.
#[derive(Debug)]
pub struct RelayBoard {
    /// Name, instance, data centre and addresses of this node.
    pub identity: Identity,
    /// Settings of the decisions.
    pub tuning: RelayTuning,
    /// Lifecycle state of this node, which tells whether it accepts new work.
    pub state: NodeState,
    /// The document in force with its lookup tables.
    pub index: Arc<DocumentIndex>,
    /// Copies of the store's tables. A table that has not been read yet may be missing.
    pub copies: BTreeMap<TableId, TableCopy>,
    /// Data centres that an operator closed. Their targets get no new work.
    pub closed_dcs: BTreeSet<DcName>,
    /// Targets and their observed behaviour.
    pub targets: TargetRegistry,
    /// What this node knows of its paths to targets.
    pub paths: PathTable,
    /// Prompt prefixes that engines have cached.
    pub prompts: PromptCacheTable,
    /// Orders to move services to other versions, and what calls have shown about these versions.
    pub rollouts: RolloutTable,
    /// When the versions of each service were first seen.
    pub(super) sightings: VersionSightings,
    /// Usual speeds of calls.
    pub(super) speeds: SpeedTable,
    /// Usual times of answers, for services whose targets state their work time.
    pub(super) usual_times: UsualTimeTable,
    /// Peers: the other nodes, by their heartbeats.
    pub members: PeerTable,
    /// The roster that this node keeps as a hub, and those of other hubs.
    pub rosters: RosterTable,
    /// Prompts that this node has placed as a hub.
    pub grants: GrantLedger,
    /// Duties that this node has.
    pub duties: DutyTable,
    /// Requests that began to run, for metering; `None` if the nodes do not have that duty.
    pub usage: Option<UsageTable>,
    /// Planned end of this node, and which requests it accepts until then.
    pub departure: DepartureGate,
    /// Numbers of requests and retries of this node, for the retry budget.
    pub retry_ledger: RetryLedger,
    /// Pieces of preparation stages that this node batches.
    pub pieces: PieceTable,
    /// Recent admissions and refusals for load by rank.
    pub rank_guard: RankGuard,
    /// Content that may have crashed targets.
    pub suspects: SuspectTable,
    /// The row of the store that names content which crashes targets.
    pub(super) suspect_row: SuspectRowState,
    /// Limits that targets name on their requests per second.
    pub rate_limits: RateLimitTable,
    /// Rejections that brittle targets withstand.
    pub brittle: BrittleTable,
    /// Room of brittle targets that this node has leased to calls.
    pub(super) rooms: RoomLedger,
    /// Permits that this node has given for limited targets.
    pub(super) permit_buckets: PermitBuckets,
    /// Random generator for draws and jitter, seeded with the instance of this node.
    pub random: fastrand::Rng,
    /// When the store answered again after its last outage. Target entries may be missing for a while afterwards.
    pub(super) store_recovered_at: Option<Moment>,
    is_store_unreachable: bool,
    /// What the store lost when it was restored.
    pub(super) restoration: StoreRestoration,
    /// When the document was last proven to be the newest before the latest rows of its table were read.
    pub(super) document_proven_before: Option<Moment>,
    /// Set while the store holds a document that this node cannot decode.
    undecodable_document: Option<UndecodableDocument>,
    heartbeat_count: u64,
}

impl RelayBoard {
    /// Creates the state of a node that has not received anything yet.
    #[must_use]
    pub fn new(identity: Identity, tuning: RelayTuning) -> Self {
        let random = fastrand::Rng::with_seed(identity.instance.0);
        let suspects = SuspectTable::new(tuning.suspect_limits);
        Self {
            identity,
            state: NodeState::Starting,
            index: Arc::default(),
            copies: BTreeMap::new(),
            closed_dcs: BTreeSet::new(),
            targets: TargetRegistry::default(),
            paths: PathTable::default(),
            prompts: PromptCacheTable::default(),
            rollouts: RolloutTable::default(),
            sightings: VersionSightings::default(),
            speeds: SpeedTable::default(),
            usual_times: UsualTimeTable::default(),
            members: PeerTable::default(),
            rosters: RosterTable::default(),
            grants: GrantLedger::default(),
            duties: DutyTable::default(),
            usage: None,
            departure: DepartureGate::default(),
            tuning,
            retry_ledger: RetryLedger::default(),
            pieces: PieceTable::default(),
            rank_guard: RankGuard::default(),
            suspects,
            suspect_row: SuspectRowState::default(),
            rate_limits: RateLimitTable::default(),
            brittle: BrittleTable::default(),
            rooms: RoomLedger::default(),
            permit_buckets: PermitBuckets::default(),
            random,
            store_recovered_at: None,
            is_store_unreachable: false,
            restoration: StoreRestoration::default(),
            document_proven_before: None,
            undecodable_document: None,
            heartbeat_count: 0,
        }
    }

    /// Returns the time since the document was last known to be the newest, or `None` if this node has no document.
    #[must_use]
    pub fn document_age(&self, now: Moment) -> Option<Duration> {
        self.document_proven_at().filter(|_| self.index.version > 0).map(|proven_at| now.since(proven_at))
    }

    /// Returns the latest time at which the document was proven to be the newest. A store that may have lost a newer one
    /// proves nothing, and neither does one that holds a document that this node cannot decode: it may revoke keys.
    pub(super) fn document_proven_at(&self) -> Option<Moment> {
        let copy = self.copies.get(&TableId::Orders)?;
        if !self.restoration.is_proof(copy, self.index.version, self.tuning.reregistration_timeout) {
            return self.restoration.proven_before();
        }
        let confirmed_at = copy.confirmed_at()?;
        match self.undecodable_document {
            None => Some(confirmed_at),
            Some(undecodable) => undecodable.proven_before.map(|proven_at| proven_at.min(confirmed_at)),
        }
    }

    /// Records that the rows read last hold a document that this node cannot decode. The document in force then ages until
    /// one that can be decoded follows.
    pub fn record_undecodable_document(&mut self) {
        let undecodable = UndecodableDocument { proven_before: self.document_proven_before };
        self.undecodable_document.get_or_insert(undecodable);
    }

    /// Checks whether a request may be served. A node that has known for long that its document or another order is not
    /// the newest serves nothing.
    ///
    /// # Errors
    ///
    /// Returns the reason for the denial.
    pub fn check_access(&self, claim: AccessClaim<'_>, now: Moment) -> Result<AccessGrant, AccessDenial> {
        let lacks_rows_since = self.copies.get(&TableId::Orders).and_then(TableCopy::outdated_since);
        let lacks_document_since = self.restoration.newer_document_since(self.index.version);
        let outdated_since = lacks_rows_since.into_iter().chain(lacks_document_since).min();
        if outdated_since.is_some_and(|since| now.since(since) > self.tuning.freshness_limits.max_outdated_time) {
            return Err(AccessDenial::StaleDocument);
        }
        check_access(&self.index, self.access_age(now), &self.tuning.freshness_limits, claim)
    }

    /// Checks whether the size of a request is within the limits in force.
    ///
    /// # Errors
    ///
    /// Returns the reason for the denial.
    pub fn check_size(&self, size: RequestSize, now: Moment) -> Result<(), AccessDenial> {
        check_size(&self.index, self.access_age(now), &self.tuning.freshness_limits, size)
    }

    /// Draws the service for a request of `route` at random by weight. Returns `None` if all weights are 0.
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

    /// Returns the settings of `service`, or `None` if the document has none.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&RelayService> {
        self.index.services.get(service)
    }

    /// Chooses the target for a call and returns its entry, or `None` if no target may get the call now.
    pub fn choose(&mut self, call: &CallRequirements<'_>, now: Moment) -> Option<TargetEntry> {
        let lanes = self.version_lanes(call.service, now);
        lanes.iter().find_map(|lane| self.choose_in_lane(call, lane, ChoiceScope::Node, now))
    }

    /// Chooses the target for a call of any node as a hub does, among the versions of `lane`. Targets of this data centre
    /// are preferred, whose calls in flight this hub knows best.
    pub(super) fn choose_for_fleet(
        &mut self,
        call: &CallRequirements<'_>,
        lane: &VersionLane,
        now: Moment,
    ) -> Option<TargetEntry> {
        self.choose_in_lane(call, lane, ChoiceScope::Fleet, now)
    }

    fn choose_in_lane(
        &mut self,
        call: &CallRequirements<'_>,
        lane: &VersionLane,
        scope: ChoiceScope,
        now: Moment,
    ) -> Option<TargetEntry> {
        let mut random = self.random.clone();
        let unlimited = if call.only_unlimited { self.unlimited_targets(call.service) } else { BTreeSet::new() };
        let context = ChoiceContext {
            targets: &self.targets,
            paths: &self.paths,
            unlimited: &unlimited,
            prompts: &self.prompts,
            members: &self.members,
            service: self.index.services.get(call.service),
            closed_dcs: &self.closed_dcs,
            lane,
            node: &self.identity.node,
            dc: &self.identity.dc,
            weights: &self.tuning.weights,
            scope,
            now,
        };
        let chosen = choose_target(&context, call, &mut random);
        self.random = random;
        self.targets.get(&chosen?).map(|view| view.entry.clone())
    }

    /// Returns whether `service` has a target that is not leaving and whose data centre is not closed.
    #[must_use]
    pub fn has_target(&self, service: &ServiceName) -> bool {
        self.targets.of(service).any(|view| !view.entry.leaving && !self.closed_dcs.contains(&view.entry.dc))
    }

    /// Counts a retry for `service` if this node's share of the retry budget allows one. Returns whether it does.
    pub fn try_take_retry(&mut self, service: &ServiceName, now: Moment) -> bool {
        let nodes = self.members.budget_node_count();
        self.retry_ledger.try_take_retry(service, &self.tuning.retry_limits, nodes, now)
    }

    /// Decides whether a request with the content `keys` may be accepted. Harmful content runs only as a trial, which
    /// shows whether it is blamed wrongly. One node of the fleet makes the trials of a content.
    pub fn admit_content(&mut self, keys: &[SuspectKey], now: Moment) -> ContentVerdict {
        let harmful: Vec<HarmfulContent> = self.suspects.find_harmful(keys).cloned().collect();
        let Some(content) = harmful.first().cloned() else { return ContentVerdict::Allowed };
        let is_trial_node = |content: &HarmfulContent| {
            self.members.rendezvous_position(&content.to_string(), &self.identity.node, now) == 0
        };
        if harmful.len() == 1 && is_trial_node(&content) && self.suspects.try_start_trial(&content, now) {
            return ContentVerdict::Trial(content);
        }
        ContentVerdict::Harmful(content)
    }

    /// Applies a change by an operator. Returns whether the state differs afterwards.
    pub fn apply_order(&mut self, change: OrderChange, now: Moment) -> bool {
        if let OrderChange::Document(index) = &change {
            self.restoration.record_stored_document(index.version, true);
        }
        self.restoration.cancel_withheld(&change);
        self.put_in_force(change, now)
    }

    /// Applies a change by an operator, whether it was written or is withheld no longer.
    pub(super) fn put_in_force(&mut self, change: OrderChange, now: Moment) -> bool {
        if matches!(change, OrderChange::Document(_)) {
            self.undecodable_document = None;
        }
        match change {
            // The document version never decreases within one run of the process.
            OrderChange::Document(index) if index.version <= self.index.version => false,
            OrderChange::Document(index) => {
                self.index = Arc::new(index);
                self.retain_speeds();
                true
            }
            OrderChange::Close(dc) => self.closed_dcs.insert(dc),
            OrderChange::Open(dc) => {
                let is_opened = self.closed_dcs.remove(&dc);
                if is_opened {
                    self.targets.start_limits(|view| view.entry.dc == dc, LimitCause::DcOpened, now);
                }
                is_opened
            }
            // A starting node may read an order that has had its final state for long.
            OrderChange::Rollout(order) => self.rollouts.begin(order, self.state == NodeState::Starting, now),
            OrderChange::RolloutWithdrawn(service) => self.rollouts.withdraw(&service),
        }
    }

    /// Records that the store does not answer this node's reads of the targets' entries.
    pub fn record_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Records that the store answers. After an outage, this begins the time in which targets register again.
    pub fn record_store_answer(&mut self, now: Moment) {
        if std::mem::take(&mut self.is_store_unreachable) {
            self.store_recovered_at = Some(now);
        }
    }

    /// Records that a peer showed a state of the store that was the newest at `proven_at`. If that is recent, the store
    /// counts as answering, even if it does not answer this node.
    pub fn record_store_proof(&mut self, proven_at: Moment, now: Moment) {
        if now.since(proven_at) < self.tuning.max_hub_copy_age {
            self.record_store_answer(now);
        }
    }

    /// Inserts or updates the entry of a target. Forgets the cached prompts of a new incarnation.
    pub fn upsert_target(&mut self, entry: TargetEntry, now: Moment) -> EntryEffect {
        let (target, recorded) = (entry.target.clone(), entry.clone());
        let effect = self.targets.upsert(entry, now);
        if effect == EntryEffect::NewTarget {
            if self.are_entries_unproven() {
                self.targets.doubt_entry(&target);
            }
            self.forget_limits(&target);
            self.prompts.remove_target(&target);
            self.paths.remove_target(&target);
        }
        if effect != EntryEffect::Outdated {
            self.record_version(&recorded, now);
        }
        effect
    }

    /// Handles the removal of a target's entry from the store at the version `removed_in`. The target is removed with the next `remove_expired`.
    /// During an outage of the store and for `reregistration_timeout` after it, the target may still register again and
    /// is kept until then.
    pub fn handle_target_removed(&mut self, target: &TargetName, removed_in: StoreVersion, now: Moment) {
        let reregistration_end =
            self.store_recovered_at.map(|recovered_at| recovered_at + self.tuning.reregistration_timeout);
        let at = match reregistration_end {
            _ if self.is_store_unreachable => now + self.tuning.reregistration_timeout,
            Some(end) if end > now => end,
            _ => now,
        };
        self.targets.schedule_removal(target, removed_in, at);
    }

    /// Removes expired state: targets whose entries are gone, peers that have been silent for long, grants, and the loads
    /// of peers that count no longer. Returns the removed targets.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<TargetName> {
        for node in self.targets.peers_with_load() {
            if !self.counts_loads_of(&node, now) {
                self.targets.set_peer_loads(&node, Vec::new());
            }
        }
        for hub in self.targets.peers_with_grants() {
            if !self.members.get(&hub).is_some_and(|view| view.is_alive(now)) {
                self.targets.set_peer_grants(&hub, Vec::new());
            }
        }
        self.remove_expired_grants(now);
        self.rosters.remove_expired(now);
        self.members.evict_expired(now);
        self.maintain_limits(now);
        let removed = self.targets.remove_due(now);
        for target in &removed {
            self.prompts.remove_target(target);
            self.paths.remove_target(target);
            self.forget_limits(target);
        }
        if !removed.is_empty() {
            self.forget_versions();
        }
        removed
    }
}
