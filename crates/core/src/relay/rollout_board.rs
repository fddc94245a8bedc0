//! Rollouts on the board: which versions a call may go to, what calls show about versions, and the next steps.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{ServiceName, VersionName};
use crate::relay::board::RelayBoard;
use crate::relay::members::RelayHeartbeat;
use crate::relay::rollout::{FleetProgress, RolloutChange, RolloutPhase, RolloutWrite, UsableVersions, VersionLane};
use crate::relay::speed::{SpeedAspect, SpeedTable};
use crate::relay::targets::{CallResult, TargetEntry, TargetView};

/// Time for which a version that appears beside others without an order gets no calls. Targets of a new version may
/// register before their order is read.
const UNORDERED_HOLD: Duration = Duration::from_secs(2);

/// What a call is compared by: its service, version and route.
#[derive(Clone, Debug)]
pub struct CallOrigin {
    /// Service that is called.
    pub service: ServiceName,
    /// Version of the target.
    pub version: VersionName,
    /// Name of the request's route, or of the service for the calls of stages.
    pub route: Arc<str>,
    /// Whether the target was cold when the call started.
    pub is_cold: bool,
}

/// When the versions of each service were first seen.
#[derive(Clone, Debug, Default)]
pub struct VersionSightings {
    first_seen: BTreeMap<ServiceName, BTreeMap<VersionName, Moment>>,
}

impl VersionSightings {
    /// Records a target's version. `is_established` says whether the version may have been there for long.
    fn record(&mut self, entry: &TargetEntry, is_established: bool, now: Moment) {
        let versions = self.first_seen.entry(entry.service.clone()).or_default();
        let seen_at = if is_established || versions.is_empty() { Moment::default() } else { now };
        versions.entry(entry.version.clone()).or_insert(seen_at);
    }

    /// Returns the version that appeared within `UNORDERED_HOLD`.
    fn newcomer(&self, service: &ServiceName, now: Moment) -> Option<&VersionName> {
        let is_new = |seen_at: &Moment| *seen_at > Moment::default() && now.since(*seen_at) < UNORDERED_HOLD;
        self.first_seen.get(service)?.iter().find(|(_, seen_at)| is_new(seen_at)).map(|(version, _)| version)
    }

    fn retain(&mut self, mut has_targets: impl FnMut(&ServiceName, &VersionName) -> bool) {
        self.first_seen.retain(|service, versions| {
            versions.retain(|version, _| has_targets(service, version));
            !versions.is_empty()
        });
    }
}

impl RelayBoard {
    /// Returns the lanes of the next call to a service, in order of preference.
    #[must_use]
    pub fn version_lanes(&self, service: &ServiceName, now: Moment) -> Vec<VersionLane> {
        if let Some(watch) = self.rollouts.get(service) {
            let usable = self.usable_versions(service, &watch.order().candidate);
            let node_count = self.members.budget_node_count();
            let lanes = self.rollouts.lanes(service, usable, &self.tuning.rollout_limits, node_count, now);
            return lanes.unwrap_or_else(|| vec![VersionLane::Any]);
        }
        match self.sightings.newcomer(service, now) {
            Some(version) if self.usable_versions(service, version).stable => {
                vec![VersionLane::Except(version.clone())]
            }
            _ => vec![VersionLane::Any],
        }
    }

    fn usable_versions(&self, service: &ServiceName, candidate: &VersionName) -> UsableVersions {
        let mut usable = UsableVersions::default();
        let is_usable = |entry: &TargetEntry| !entry.leaving && !self.closed_dcs.contains(&entry.dc);
        for view in self.targets.of(service).filter(|view| is_usable(&view.entry)) {
            if view.entry.version == *candidate { usable.candidate = true } else { usable.stable = true }
        }
        usable
    }

    /// Records the version of a target's entry.
    pub(super) fn record_version(&mut self, entry: &TargetEntry, now: Moment) {
        self.sightings.record(entry, self.state == NodeState::Starting, now);
    }

    /// Forgets the versions that no target has.
    pub(super) fn forget_versions(&mut self) {
        let targets = &self.targets;
        self.sightings.retain(|service, version| targets.of(service).any(|view| view.entry.version == *version));
    }

    /// Forgets the speeds of routes and services that the document does not have.
    pub(super) fn retain_speeds(&mut self) {
        let services: BTreeSet<ServiceName> = self.index.services.keys().cloned().collect();
        let routes = self.index.routes().map(|route| route.name.clone());
        let routes = routes.chain(services.iter().map(ServiceName::to_shared_str)).collect();
        self.speeds.retain(&routes, &services);
        self.usual_times.retain(|service, route| routes.contains(route) && services.contains(service));
    }

    /// Records the start of a call by this node to a target, which has to read `tokens` prompt tokens first.
    pub fn record_call_start(&mut self, entry: &TargetEntry, tokens: u32, now: Moment) {
        self.targets.record_call_start(&entry.target, tokens, now);
        self.rollouts.record_call_start(&entry.service, &entry.version);
    }

    /// Records the time from the start of a call to the first part of its answer. `tokens` is the number of prompt
    /// tokens that the target had to read first, including those of other calls.
    pub fn record_first_part(&mut self, call: &CallOrigin, took: Duration, tokens: u32) {
        let took = SpeedTable::relative_time(took, tokens, self.tuning.weights.tokens_per_ms);
        self.record_speed(call, SpeedAspect::FirstPart, took);
    }

    /// Records the mean pause between the events of a stream.
    pub fn record_event_pause(&mut self, call: &CallOrigin, pause: Duration) {
        self.record_speed(call, SpeedAspect::EventPause, pause);
    }

    /// Records that a call was given up after `waited` without any part of an answer. It counts if that is slow.
    pub fn record_unanswered(&mut self, call: &CallOrigin, waited: Duration, tokens: u32) {
        let waited = SpeedTable::relative_time(waited, tokens, self.tuning.weights.tokens_per_ms);
        if self.is_slow(call, SpeedAspect::FirstPart, waited) == Some(true) {
            self.count_timed(call, true);
        }
    }

    /// Returns whether a call is slow, or `None` if that cannot be said.
    fn is_slow(&self, call: &CallOrigin, aspect: SpeedAspect, took: Duration) -> Option<bool> {
        let is_shifting = self.rollouts.is_shifting_to(&call.service, &call.version);
        // The prompts that a candidate reads anew during the shift delay the events of all its streams.
        if is_shifting && aspect == SpeedAspect::EventPause {
            return None;
        }
        let factor = if is_shifting { SpeedTable::SHIFT_SLOW_FACTOR } else { SpeedTable::SLOW_FACTOR };
        self.speeds.is_slow(&call.service, &call.route, aspect, took, factor)
    }

    fn record_speed(&mut self, call: &CallOrigin, aspect: SpeedAspect, took: Duration) {
        if let Some(is_slow) = self.is_slow(call, aspect, took) {
            self.count_timed(call, is_slow);
        }
        if !self.rollouts.is_on_trial(&call.service, &call.version) {
            self.speeds.record(&call.service, &call.route, aspect, took);
        }
    }

    fn count_timed(&mut self, call: &CallOrigin, is_slow: bool) {
        let Some(tally) = self.rollouts.tally_mut(&call.service, &call.version, &call.route) else { return };
        if call.is_cold {
            tally.cold_timed += 1;
            tally.cold_slow += u64::from(is_slow);
        }
        if !call.is_cold || !is_slow {
            tally.timed += 1;
            tally.slow += u64::from(is_slow);
        }
    }

    /// Counts the end of a call for the comparison of versions. Results that say nothing about the version do not count.
    pub fn record_outcome(&mut self, call: &CallOrigin, result: CallResult) {
        let is_fault = match result {
            CallResult::Good(_) => false,
            CallResult::Faulty | CallResult::Declined | CallResult::Garbled | CallResult::Broken => true,
            CallResult::Full | CallResult::Unreachable | CallResult::Replaced | CallResult::Unknown => return,
        };
        let Some(tally) = self.rollouts.tally_mut(&call.service, &call.version, &call.route) else { return };
        if call.is_cold {
            tally.cold_calls += 1;
            tally.cold_faults += u64::from(is_fault);
        }
        if !call.is_cold || !is_fault {
            tally.calls += 1;
            tally.faults += u64::from(is_fault);
        }
    }

    /// Handles the rollouts in a heartbeat that a peer sent at about `sent_at`.
    pub(super) fn handle_rollout_reports(&mut self, heartbeat: &RelayHeartbeat, sent_at: Moment, now: Moment) {
        let RelayHeartbeat { node, instance, rollouts, .. } = heartbeat;
        if *node != self.identity.node {
            self.rollouts.handle_reports(node, *instance, rollouts, sent_at, now);
        }
    }

    /// Takes the next step of every rollout. Returns the changes for the log; peers should learn of them at once.
    pub fn advance_rollouts(&mut self, now: Moment) -> Vec<RolloutChange> {
        let services = self.rollouts.services().into_iter();
        services
            .filter_map(|service| {
                let progress = self.fleet_progress(&service, now)?;
                self.rollouts.advance(&service, progress, now)
            })
            .collect()
    }

    /// Returns the writes of rollout states that this node is to make now.
    pub fn take_rollout_writes(&mut self, now: Moment) -> Vec<RolloutWrite> {
        let services = self.rollouts.services().into_iter();
        services
            .filter_map(|service| {
                let progress = self.fleet_progress(&service, now)?;
                self.rollouts.take_write(&service, progress, now)
            })
            .collect()
    }

    fn fleet_progress(&self, service: &ServiceName, now: Moment) -> Option<FleetProgress> {
        let order = self.rollouts.get(service)?.order();
        let has_shifted = |heartbeat: &RelayHeartbeat| {
            let report = heartbeat.rollouts.iter().find(|report| report.service == *service);
            report.is_some_and(|report| {
                report.order_version == order.order_version && report.phase >= RolloutPhase::Shift
            })
        };
        let stable = self.targets.of(service).filter(|view| view.entry.version != order.candidate);
        Some(FleetProgress {
            position: self.members.rendezvous_position(service.as_str(), &self.identity.node, now),
            have_peers_shifted: self.members.alive(now).all(|view| has_shifted(&view.heartbeat)),
            has_stable_calls: stable.map(TargetView::total_in_flight).sum::<u32>() > 0,
            usable: self.usable_versions(service, &order.candidate),
        })
    }
}
