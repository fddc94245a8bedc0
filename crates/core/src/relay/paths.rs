//! Paths to targets: which targets this node reaches itself, as its attempts to connect have shown.
//!
//! A target that this node does not reach may be down, or the node may be partitioned from it. Peers tell which of the
//! two: a target that they reach is called through one of them. A node that fails to connect to several targets in a row
//! takes no path for granted until a connection succeeds, and probes others. If they fail, too, it counts as cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{NodeName, ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::members::{BatchingCandidate, PeerView, RelayHeartbeat, ServiceScope};
use crate::relay::targets::TargetEntry;

/// What a node tells its peers about its paths.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathReport {
    /// Whether the node counts as cut off from all targets.
    pub is_cut_off: bool,
    /// Number of targets that the node does not reach, by service. Services without such targets are left out.
    pub unreached: Vec<(ServiceName, u32)>,
}

impl PathReport {
    /// Returns the number of targets of `service` that the node does not reach.
    #[must_use]
    pub fn unreached_count(&self, service: &ServiceName) -> u32 {
        self.unreached.iter().find(|(other, _)| other == service).map_or(0, |(_, count)| *count)
    }

    /// Returns whether the node reaches at least half of the `target_count` targets of `service`.
    #[must_use]
    pub fn reaches(&self, service: &ServiceName, target_count: u32) -> bool {
        !self.is_cut_off && self.unreached_count(service) * 2 <= target_count
    }
}

/// How to open a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PathChoice {
    /// Connect to it.
    Direct,
    /// Connect through a peer.
    Tunnel,
    /// Do not try: neither this node nor a peer reached it a moment ago.
    Closed,
}

/// A change of what a node believes of all its paths together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The node counts as cut off from all targets from now on.
    CutOff,
    /// A connection has succeeded, and the node does not count as cut off any longer.
    Restored,
}

#[derive(Clone, Copy, Debug)]
struct FailedPath {
    /// When the first of these attempts failed.
    failed_at: Moment,
    /// Probes that failed in a row, with the attempt before them. Calls that fail at the same time count as one attempt.
    failures: u32,
    /// When the next attempt is made to find out whether the path works again.
    probe_at: Moment,
    /// Whether the next failure counts: the first one, or the first one after a probe was sent.
    counts_failure: bool,
}

/// What a node knows of its paths to targets.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    failed: BTreeMap<TargetName, FailedPath>,
    /// Targets whose paths have failed since the last connection that succeeded, except those that count as down.
    failed_in_row: BTreeSet<TargetName>,
    /// Targets to be probed although no attempt to connect has failed, since a call to them broke or they are silent.
    doubted: BTreeSet<TargetName>,
    /// Times until which targets count as down, since a peer with paths has not reached them either.
    down_until: BTreeMap<TargetName, Moment>,
    /// Targets of which is checked whether a peer that does not reach them has paths.
    down_checked: BTreeSet<TargetName>,
    /// When peers did not reach a target for which they were asked last.
    missed_at: BTreeMap<NodeName, Moment>,
    /// When a connection succeeded last.
    last_connected_at: Moment,
    is_cut_off: bool,
}

impl PathTable {
    /// Number of distinct targets in a row that cannot be connected to from which no path is taken for granted.
    const DOUBT_COUNT: usize = 3;
    /// Number of them from which a node counts as cut off.
    const CUT_OFF_COUNT: usize = 5;
    /// Time from a failed attempt to the first probe. It doubles with each further failure, up to `MAX_PROBE_PAUSE`.
    const MIN_PROBE_PAUSE: Duration = Duration::from_millis(250);
    const MAX_PROBE_PAUSE: Duration = Duration::from_secs(2);
    /// Time for which a target counts as down after a peer with paths has not reached it either.
    const DOWN_TIME: Duration = Duration::from_millis(500);
    /// Time for which other peers are asked first after one has not reached a target. Heartbeats tell more by then.
    const MISS_TIME: Duration = Duration::from_millis(500);
    /// Maximum number of probes of one round, and of a node that is cut off.
    const MAX_PROBES: usize = 3;
    const MAX_CUT_OFF_PROBES: usize = 1;

    /// Returns whether connections to `target` should lead through a peer: its path has failed, or so many others have
    /// that it probably has.
    #[must_use]
    pub fn is_doubtful(&self, target: &TargetName) -> bool {
        self.are_all_doubtful() || self.has_failed(target)
    }

    /// Returns whether the path to `target` has failed, or this node is cut off from all targets.
    #[must_use]
    pub fn has_failed(&self, target: &TargetName) -> bool {
        self.is_cut_off || self.failed.contains_key(target)
    }

    fn are_all_doubtful(&self) -> bool {
        self.is_cut_off || self.failed_in_row.len() >= Self::DOUBT_COUNT
    }

    /// Returns whether this node counts as cut off from all targets.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns the number of targets whose paths have failed.
    #[must_use]
    pub fn failed_count(&self) -> usize {
        self.failed.len()
    }

    /// Returns whether neither this node nor a peer reached `target` a moment ago.
    fn is_down(&self, target: &TargetName, now: Moment) -> bool {
        self.down_until.get(target).is_some_and(|until| *until > now)
    }

    /// Records that this node has connected to `target`.
    pub fn record_connected(&mut self, target: &TargetName, now: Moment) -> Option<ReachChange> {
        self.last_connected_at = now;
        self.remove_target(target);
        self.failed_in_row.clear();
        std::mem::take(&mut self.is_cut_off).then_some(ReachChange::Restored)
    }

    /// Records that this node could not connect to `target`, one of `target_count` known ones.
    pub fn record_failed(&mut self, target: &TargetName, target_count: usize, now: Moment) -> Option<ReachChange> {
        self.doubted.remove(target);
        if !self.failed.contains_key(target) && !self.is_down(target, now) {
            self.failed_in_row.insert(target.clone());
        }
        let new = FailedPath { failed_at: now, failures: 0, probe_at: now, counts_failure: true };
        let path = self.failed.entry(target.clone()).or_insert(new);
        if std::mem::take(&mut path.counts_failure) {
            let pause = Self::MIN_PROBE_PAUSE * 2_u32.pow(path.failures.min(4));
            path.failures += 1;
            path.probe_at = now + pause.min(Self::MAX_PROBE_PAUSE);
        }
        self.check_cut_off(target_count, now)
    }

    fn check_cut_off(&mut self, target_count: usize, now: Moment) -> Option<ReachChange> {
        let reachable_elsewhere = self.failed.keys().filter(|target| !self.is_down(target, now)).count();
        let is_cut_off = self.failed_in_row.len() >= Self::CUT_OFF_COUNT || reachable_elsewhere >= target_count.max(2);
        (is_cut_off && !std::mem::replace(&mut self.is_cut_off, is_cut_off)).then_some(ReachChange::CutOff)
    }

    /// Records that `peer` does not reach a target for which it was asked: the target may be down, or the peer without
    /// paths.
    pub fn record_miss(&mut self, peer: &NodeName, now: Moment) {
        self.missed_at.retain(|_, missed_at| now.since(*missed_at) < Self::MISS_TIME);
        self.missed_at.insert(peer.clone(), now);
    }

    fn has_missed(&self, peer: &NodeName, now: Moment) -> bool {
        self.missed_at.get(peer).is_some_and(|missed_at| now.since(*missed_at) < Self::MISS_TIME)
    }

    /// Begins a check whether peers that do not reach `target` reach another one, and returns whether there is one to make.
    /// A peer that is itself partitioned, and may not know it yet, reaches no target.
    #[must_use]
    pub fn begin_down_check(&mut self, target: &TargetName, now: Moment) -> bool {
        !self.is_down(target, now) && self.down_checked.insert(target.clone())
    }

    /// Records what a check has shown that [`Self::begin_down_check`] has begun.
    pub fn finish_down_check(&mut self, target: &TargetName, reaches_others: bool, now: Moment) {
        self.down_checked.remove(target);
        if reaches_others {
            self.record_down(target, now);
        }
    }

    fn record_down(&mut self, target: &TargetName, now: Moment) {
        self.failed_in_row.remove(target);
        self.down_until.retain(|_, until| *until > now);
        self.down_until.insert(target.clone(), now + Self::DOWN_TIME);
    }

    /// Records that a peer reaches `target`, one of `target_count` known ones, which is thus not down.
    pub fn record_relayed(&mut self, target: &TargetName, target_count: usize, now: Moment) -> Option<ReachChange> {
        self.down_until.remove(target);
        let path = self.failed.get(target)?;
        if path.failed_at > self.last_connected_at {
            self.failed_in_row.insert(target.clone());
        }
        self.check_cut_off(target_count, now)
    }

    /// Records that a call to `target` broke or that it is silent, so that its path is probed in the next round.
    pub fn record_doubt(&mut self, target: &TargetName) {
        if !self.failed.contains_key(target) {
            self.doubted.insert(target.clone());
        }
    }

    /// Forgets the path to a target that is gone or has another address.
    pub fn remove_target(&mut self, target: &TargetName) {
        self.failed.remove(target);
        self.failed_in_row.remove(target);
        self.doubted.remove(target);
        self.down_until.remove(target);
    }

    /// Returns the targets whose paths are to be probed now, out of `known`. If all paths are doubtful, those that have
    /// not failed come first.
    pub fn take_due_probes<'a>(&mut self, known: impl Iterator<Item = &'a TargetName>, now: Moment) -> Vec<TargetName> {
        let doubted = std::mem::take(&mut self.doubted);
        let are_all_doubtful = self.are_all_doubtful();
        let max_count = if self.is_cut_off { Self::MAX_CUT_OFF_PROBES } else { Self::MAX_PROBES };
        let mut due: Vec<(Moment, &TargetName)> = known
            .filter_map(|target| match self.failed.get(target) {
                Some(path) => (path.probe_at <= now).then_some((path.probe_at, target)),
                None => (are_all_doubtful || doubted.contains(target)).then_some((Moment::default(), target)),
            })
            .collect();
        due.sort();
        let due: Vec<TargetName> = due.into_iter().take(max_count).map(|(_, target)| target.clone()).collect();
        for target in &due {
            if let Some(path) = self.failed.get_mut(target) {
                (path.probe_at, path.counts_failure) = (now + Self::MAX_PROBE_PAUSE, true);
            }
        }
        due
    }
}

impl RelayBoard {
    /// Returns the report on this node's paths.
    #[must_use]
    pub fn path_report(&self) -> PathReport {
        let mut unreached: BTreeMap<&ServiceName, u32> = BTreeMap::new();
        for view in self.targets.iter().filter(|view| self.paths.has_failed(&view.entry.target)) {
            *unreached.entry(&view.entry.service).or_default() += 1;
        }
        PathReport {
            is_cut_off: self.paths.is_cut_off(),
            unreached: unreached.into_iter().map(|(service, count)| (service.clone(), count)).collect(),
        }
    }

    /// Records that this node has connected to `target`.
    pub fn record_connected(&mut self, target: &TargetName, now: Moment) -> Option<ReachChange> {
        self.paths.record_connected(target, now)
    }

    /// Records that this node could not connect to `target`.
    pub fn record_connect_failure(&mut self, target: &TargetName, now: Moment) -> Option<ReachChange> {
        let target_count = self.connectable_count();
        self.paths.record_failed(target, target_count, now)
    }

    /// Records that a peer reaches `target`.
    pub fn record_relayed(&mut self, target: &TargetName, now: Moment) -> Option<ReachChange> {
        let target_count = self.connectable_count();
        self.paths.record_relayed(target, target_count, now)
    }

    fn connectable_count(&self) -> usize {
        self.targets.iter().filter(|view| !view.entry.leaving).count()
    }

    /// Returns the targets whose paths are to be probed now.
    pub fn take_due_probes(&mut self, now: Moment) -> Vec<TargetEntry> {
        let Self { paths, targets, .. } = self;
        let known = targets.iter().filter(|view| !view.entry.leaving).map(|view| &view.entry.target);
        let due = paths.take_due_probes(known, now);
        due.iter().filter_map(|target| Some(targets.get(target)?.entry.clone())).collect()
    }

    /// Returns how to open a connection to a target. A node without peers has its own path only.
    #[must_use]
    pub fn choose_path(&self, target: &TargetName, now: Moment) -> PathChoice {
        let has_peer = || self.members.serving(now).any(|view| view.is_reachable(now));
        if !self.paths.is_doubtful(target) || !has_peer() {
            return PathChoice::Direct;
        }
        if self.paths.is_down(target, now) { PathChoice::Closed } else { PathChoice::Tunnel }
    }

    /// Returns up to `max_count` peers to ask for a tunnel to a target of `service`, in this order: those that have not missed one
    /// just now come first, then those that miss the fewest targets of the service, and among equal ones those of this data
    /// centre, in random order.
    pub fn tunnel_peers(&mut self, service: &ServiceName, max_count: usize, now: Moment) -> Vec<RelayHeartbeat> {
        let is_usable = |view: &&PeerView| view.is_reachable(now) && !view.heartbeat.paths.is_cut_off;
        let Self { members, random, paths, identity, .. } = self;
        let mut peers: Vec<&RelayHeartbeat> =
            members.serving(now).filter(is_usable).map(|view| &view.heartbeat).collect();
        random.shuffle(&mut peers);
        peers.sort_by_key(|heartbeat| {
            let has_missed = paths.has_missed(&heartbeat.node, now);
            (has_missed, heartbeat.paths.unreached_count(service), heartbeat.dc != identity.dc)
        });
        peers.into_iter().take(max_count).cloned().collect()
    }

    /// Returns whether a tunnel through `peer` may be used further: the peer accepts new work.
    #[must_use]
    pub fn is_tunnel_usable(&self, peer: &NodeName, now: Moment) -> bool {
        self.members.serving(now).any(|view| view.is_reachable(now) && view.heartbeat.node == *peer)
    }

    /// Returns the number of known targets of `service`.
    pub(super) fn target_count(&self, service: &ServiceName) -> u32 {
        self.targets.of(service).filter(|view| !view.entry.leaving).count() as u32
    }

    /// Returns whether this node reaches at least half of the targets of `service`.
    #[must_use]
    pub fn reaches_service(&self, service: &ServiceName) -> bool {
        let unreached = self.targets.of(service).filter(|view| !view.entry.leaving);
        let unreached = unreached.filter(|view| self.paths.has_failed(&view.entry.target)).count() as u32;
        !self.paths.is_cut_off() && unreached * 2 <= self.target_count(service)
    }

    /// Returns whether `node`, this node or a peer, reaches at least half of the targets of `service`, as far as this node
    /// knows.
    #[must_use]
    pub fn node_reaches(&self, node: &NodeName, service: &ServiceName) -> bool {
        let scope = self.service_scope(service);
        match self.members.get(node) {
            _ if *node == self.identity.node => self.reaches_service(service),
            Some(view) => scope.is_reached_by(view),
            None => true,
        }
    }

    /// Returns the node that batches the pieces of `service`. It is not this node while it is leaving, unless it has no
    /// serving peer.
    #[must_use]
    pub fn batching_node(&self, service: &ServiceName, now: Moment) -> &NodeName {
        let own = BatchingCandidate {
            reaches_service: self.reaches_service(service),
            capacity: self.tuning.capacity,
            node: &self.identity.node,
        };
        let candidate = (self.state != NodeState::Leaving).then_some(own);
        self.members.batching_node(self.service_scope(service), candidate, now).unwrap_or(own.node)
    }

    pub(super) fn service_scope<'a>(&self, service: &'a ServiceName) -> ServiceScope<'a> {
        ServiceScope { name: service, target_count: self.target_count(service) }
    }
}
