//! Rollouts: an operator orders that a service moves to a candidate version, whose targets run beside the stable ones.
//!
//! While a rollout is on trial, a small share of the calls goes to the candidate, and every node compares the calls of
//! all nodes to both versions. A candidate found bad gets no further calls. A candidate found good gets all calls
//! shortly before the deadline of the order, and the rollout is completed once the calls in flight at stable targets
//! have ended.

mod watch;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::judge::{RouteTallies, VersionFinding};
use crate::names::{InstanceId, NodeName, ServiceName, VersionName};
use crate::relay::store_version::StoreVersion;
use crate::tally::RouteTally;

pub use watch::RolloutWatch;

/// Limits on the calls that candidates get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Maximum share of a service's calls, 0 to 1, that a bad candidate may get before the deadline of its order.
    pub exposure_ratio: f64,
    /// Number of calls that a bad candidate may get in addition.
    pub exposure_slack: f64,
}

impl Default for RolloutLimits {
    fn default() -> Self {
        Self { exposure_ratio: 0.1, exposure_slack: 50.0 }
    }
}

/// An operator's order to move a service to a candidate version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service to be moved.
    pub service: ServiceName,
    /// Version to which the service is to be moved.
    pub candidate: VersionName,
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Store version of the order's row, which tells repeated orders apart.
    pub order_version: StoreVersion,
}

impl RolloutOrder {
    /// Returns whether `other` is this order, as the store has it after it was restored, or as the operator has written
    /// it again since.
    pub(super) fn is_same_in_later_era(&self, other: &Self) -> bool {
        other.order_version.era > self.order_version.era
            && (&other.candidate, other.duration) == (&self.candidate, self.duration)
    }
}

/// Phase of a rollout. A rollout only moves to later phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum RolloutPhase {
    /// A small share of the calls goes to the candidate.
    Trial,
    /// All new calls go to the candidate while those in flight at stable targets end.
    Shift,
    /// The candidate was found bad and gets no calls.
    RolledBack,
    /// The service has moved to the candidate.
    Completed,
}

/// State of a rollout as the store records it for operators. A record only moves to later states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum RecordedState {
    /// The rollout has begun.
    Active,
    /// The candidate is given up.
    RolledBack,
    /// The service has moved to the candidate.
    Completed,
}

/// A row of the store that records the state of a service's rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Store version of the row; `NONE` if there is no row.
    pub version: StoreVersion,
    /// Candidate and state of the rollout; `None` if the row is missing or malformed.
    pub content: Option<(VersionName, RecordedState)>,
}

/// A write of the state of a rollout, conditional on the store version of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutWrite {
    /// Service that is moved.
    pub service: ServiceName,
    /// Candidate of the rollout.
    pub candidate: VersionName,
    /// State to be recorded.
    pub state: RecordedState,
    /// Store version that the row must have; `NONE` if the row must not exist.
    pub expected_version: StoreVersion,
}

/// Calls to the candidate and to the stable version, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionTallies {
    /// Calls to the candidate.
    pub candidate: RouteTallies,
    /// Calls to all other versions.
    pub stable: RouteTallies,
}

impl VersionTallies {
    fn merge(&mut self, other: &Self, combine: impl Fn(RouteTally, RouteTally) -> RouteTally) {
        let sides = [(&mut self.candidate, &other.candidate), (&mut self.stable, &other.stable)];
        for (own, other) in sides {
            for (route, tally) in other {
                let sum = own.entry(route.clone()).or_default();
                *sum = combine(*sum, *tally);
            }
        }
    }
}

/// What a node reports to its peers about a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    /// Service that is moved.
    pub service: ServiceName,
    /// Store version of the order's row.
    pub order_version: StoreVersion,
    /// Time in milliseconds since the order was first known to be in force.
    pub age_ms: u32,
    /// Phase of the rollout at the node.
    pub phase: RolloutPhase,
    /// State that the store is known to record.
    pub recorded: Option<RecordedState>,
    /// The node's own calls since the order.
    pub tallies: VersionTallies,
}

/// The targets that a call may go to, by version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionLane {
    /// Targets of all versions.
    Any,
    /// Targets of one version only.
    Only(VersionName),
    /// Targets of all versions but one.
    Except(VersionName),
}

impl VersionLane {
    /// Returns whether a call may go to targets of `version`.
    #[must_use]
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(candidate) => version == candidate,
            Self::Except(candidate) => version != candidate,
        }
    }
}

/// Versions of which a service has usable targets: targets that are not leaving and whose data centre is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsableVersions {
    /// Whether there are usable targets of the candidate.
    pub candidate: bool,
    /// Whether there are usable targets of other versions.
    pub stable: bool,
}

/// State of the fleet on which the next step of a rollout depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetProgress {
    /// Position of this node among the live nodes in the rendezvous order of the service. 0 is the first.
    pub position: usize,
    /// Whether all live peers have stopped to send calls to stable targets.
    pub have_peers_shifted: bool,
    /// Whether calls are in flight at stable targets, from any node.
    pub has_stable_calls: bool,
    /// Usable targets.
    pub usable: UsableVersions,
}

/// A change of a rollout's phase or record, for the log.
#[derive(Clone, Debug)]
pub struct RolloutChange {
    /// The order.
    pub order: RolloutOrder,
    /// Present phase.
    pub phase: RolloutPhase,
    /// State that the store is known to record.
    pub recorded: Option<RecordedState>,
    /// Signal and route on which this node found the candidate bad.
    pub finding: Option<VersionFinding>,
    /// Time since the order.
    pub age: Duration,
    /// All known calls to the candidate and to the stable version.
    pub totals: (RouteTally, RouteTally),
}

/// Rollouts by service.
#[derive(Clone, Debug, Default)]
pub struct RolloutTable {
    watches: BTreeMap<ServiceName, RolloutWatch>,
}

impl RolloutTable {
    /// Begins the rollout of a new order, which replaces an earlier one of the service. Returns whether the order is
    /// new. `needs_record` says whether the order may already have a final state.
    pub fn begin(&mut self, order: RolloutOrder, needs_record: bool, now: Moment) -> bool {
        if let Some(watch) = self.watches.get_mut(&order.service) {
            if watch.order.is_same_in_later_era(&order) {
                watch.adopt_version(order.order_version);
                return false;
            }
            if watch.order.order_version >= order.order_version {
                return false;
            }
        }
        self.watches.insert(order.service.clone(), RolloutWatch::new(order, needs_record, now));
        true
    }

    /// Ends the rollout of a service, whose order was withdrawn. Returns whether there was one.
    pub fn withdraw(&mut self, service: &ServiceName) -> bool {
        self.watches.remove(service).is_some()
    }

    /// Forgets what the store is known to record, since it was restored. States are recorded again.
    pub fn forget_records(&mut self) {
        self.watches.values_mut().for_each(RolloutWatch::forget_record);
    }

    /// Returns the rollout of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutWatch> {
        self.watches.get(service)
    }

    /// Returns all rollouts.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutWatch> {
        self.watches.values()
    }

    /// Returns the services that have a rollout.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceName> {
        self.watches.keys().cloned().collect()
    }

    /// Returns the lanes of the next call to a service, in order of preference; `None` if it has no rollout.
    #[must_use]
    pub fn lanes(
        &self,
        service: &ServiceName,
        usable: UsableVersions,
        limits: &RolloutLimits,
        node_count: usize,
        now: Moment,
    ) -> Option<Vec<VersionLane>> {
        Some(self.watches.get(service)?.lanes(usable, limits, node_count, now))
    }

    /// Returns whether calls to `version` are compared with those to other versions, and are thus no baseline.
    #[must_use]
    pub fn is_on_trial(&self, service: &ServiceName, version: &VersionName) -> bool {
        let watch = self.watches.get(service);
        watch.is_some_and(|watch| watch.order.candidate == *version && watch.phase != RolloutPhase::Completed)
    }

    /// Returns whether all calls of a service are moving to `version`.
    #[must_use]
    pub fn is_shifting_to(&self, service: &ServiceName, version: &VersionName) -> bool {
        let watch = self.watches.get(service);
        watch.is_some_and(|watch| watch.order.candidate == *version && watch.phase == RolloutPhase::Shift)
    }

    /// Counts a call of this node that starts.
    pub fn record_call_start(&mut self, service: &ServiceName, version: &VersionName) {
        if let Some(watch) = self.watches.get_mut(service) {
            watch.call_count += 1;
            watch.candidate_call_count += u64::from(watch.order.candidate == *version);
        }
    }

    /// Returns the tally of this node's calls to a version on a route, or `None` if the service has no open rollout.
    pub fn tally_mut(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        route: &Arc<str>,
    ) -> Option<&mut RouteTally> {
        let watch = self.watches.get_mut(service).filter(|watch| !watch.is_final())?;
        let is_candidate = watch.order.candidate == *version;
        let tallies = if is_candidate { &mut watch.own.candidate } else { &mut watch.own.stable };
        Some(tallies.entry(route.clone()).or_default())
    }

    /// Returns what this node reports to its peers.
    #[must_use]
    pub fn reports(&self, now: Moment) -> Vec<RolloutReport> {
        self.watches.values().map(|watch| watch.report(now)).collect()
    }

    /// Handles the reports of a peer's instance, sent at about `sent_at`. Reports on other orders are ignored.
    pub fn handle_reports(
        &mut self,
        node: &NodeName,
        instance: InstanceId,
        reports: &[RolloutReport],
        sent_at: Moment,
        now: Moment,
    ) {
        for report in reports {
            let watch = self.watches.get_mut(&report.service);
            if let Some(watch) = watch.filter(|watch| watch.order.order_version == report.order_version) {
                watch.handle_report((node, instance), report, sent_at, now);
            }
        }
    }

    /// Takes the next step of a service's rollout. Returns what changed since the last call, if anything did.
    pub fn advance(&mut self, service: &ServiceName, progress: FleetProgress, now: Moment) -> Option<RolloutChange> {
        let watch = self.watches.get_mut(service)?;
        watch.evaluate(progress, now);
        watch.take_change(now)
    }

    /// Returns the write that this node is to make now. Until its end is recorded, no other write of the service is
    /// returned.
    pub fn take_write(&mut self, service: &ServiceName, progress: FleetProgress, now: Moment) -> Option<RolloutWrite> {
        self.watches.get_mut(service)?.take_write(progress, now)
    }

    /// Records that a write took effect and gave the row the store version `version`.
    pub fn record_written(&mut self, write: &RolloutWrite, version: StoreVersion, now: Moment) {
        let Some(watch) = self.watch_of(write) else { return };
        watch.is_write_pending = false;
        if version.era < watch.order.order_version.era {
            // The store has lost the row.
            return;
        }
        watch.record_version = version;
        watch.learn_state(write.state, now);
    }

    /// Records that the condition of a write did not hold, and what the store has recorded instead.
    pub fn record_conflict(&mut self, write: &RolloutWrite, record: &RolloutRecord, now: Moment) {
        let Some(watch) = self.watch_of(write) else { return };
        watch.is_write_pending = false;
        watch.record_version = record.version;
        // A record older than the order belongs to an earlier order.
        if record.version > watch.order.order_version
            && let Some((candidate, state)) = &record.content
            && *candidate == watch.order.candidate
        {
            watch.learn_state(*state, now);
        }
    }

    /// Records that a write got no answer. It is made again, under the same condition.
    pub fn record_write_failure(&mut self, write: &RolloutWrite) {
        if let Some(watch) = self.watch_of(write) {
            watch.is_write_pending = false;
        }
    }

    fn watch_of(&mut self, write: &RolloutWrite) -> Option<&mut RolloutWatch> {
        self.watches.get_mut(&write.service).filter(|watch| watch.order.candidate == write.candidate)
    }
}
