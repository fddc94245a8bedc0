//! The state of one rollout at one node: its phase, what calls have shown, and the step that comes next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{
    FleetProgress, RecordedState, RolloutChange, RolloutLimits, RolloutOrder, RolloutPhase, RolloutReport,
    RolloutWrite, UsableVersions, VersionLane, VersionTallies,
};
use crate::clock::Moment;
use crate::judge::{RouteTallies, VersionFinding, VersionJudge};
use crate::names::{InstanceId, NodeName};
use crate::relay::store_version::StoreVersion;
use crate::tally::RouteTally;

/// State that a node keeps for one order.
#[derive(Clone, Debug)]
pub struct RolloutWatch {
    pub(super) order: RolloutOrder,
    /// Earliest time at which the order is known to have been in force.
    ordered_at: Moment,
    pub(super) phase: RolloutPhase,
    shifted_at: Option<Moment>,
    finding: Option<VersionFinding>,
    /// Whether the order may have a final state that this node does not know yet.
    needs_record: bool,
    recorded: Option<RecordedState>,
    pub(super) record_version: StoreVersion,
    /// State that is to be written, and since when it is.
    wanted: Option<(RecordedState, Moment)>,
    pub(super) is_write_pending: bool,
    /// Numbers of this node's calls to all targets and to the candidate.
    pub(super) call_count: u64,
    pub(super) candidate_call_count: u64,
    pub(super) own: VersionTallies,
    peers: BTreeMap<(NodeName, InstanceId), VersionTallies>,
    judge: VersionJudge,
    has_seen_stable: bool,
    logged: Option<(RolloutPhase, Option<RecordedState>)>,
}

impl RolloutWatch {
    /// Fraction of the exposure ratio that is used. The rest allows for nodes that restart and forget their counts.
    const USED_RATIO: f64 = 0.7;
    /// Fraction of the exposure slack that is used.
    const USED_SLACK: f64 = 0.6;
    /// Fraction of the order's duration over which the slack is spread, so that faults that appear late are seen.
    const SLACK_SPREAD_RATIO: f64 = 0.5;
    /// Maximum time before the deadline at which all calls move to the candidate, as a fraction of the order's duration
    /// and as a time. A bad candidate that was not found before gets all calls until it is.
    const SHIFT_RATIO: f64 = 0.35;
    const MAX_SHIFT_TIME: Duration = Duration::from_secs(4);
    /// Time before the deadline at which a shifted rollout is completed although calls are still in flight.
    const COMPLETION_MARGIN: Duration = Duration::from_millis(500);
    /// Minimum time after the shift for such a completion.
    const MIN_SHIFT_TIME: Duration = Duration::from_secs(1);
    /// Time after the shift from which peers that have not confirmed it are not waited for.
    const MAX_PEER_WAIT: Duration = Duration::from_secs(6);
    /// Minimum number of compared calls of the candidate for a shift.
    const MIN_SHIFT_CALLS: u64 = 12;
    /// Delay after which the next node in the rendezvous order takes over a step that was not taken.
    const TAKEOVER_DELAY: Duration = Duration::from_millis(700);
    /// Time after the order in which targets of the stable version must become known.
    const DISCOVERY_TIME: Duration = Duration::from_secs(2);

    pub(super) fn new(order: RolloutOrder, needs_record: bool, now: Moment) -> Self {
        Self {
            order,
            ordered_at: now,
            phase: RolloutPhase::Trial,
            shifted_at: None,
            finding: None,
            needs_record,
            recorded: None,
            record_version: StoreVersion::NONE,
            wanted: None,
            is_write_pending: false,
            call_count: 0,
            candidate_call_count: 0,
            own: VersionTallies::default(),
            peers: BTreeMap::new(),
            judge: VersionJudge::default(),
            has_seen_stable: false,
            logged: None,
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the present phase.
    #[must_use]
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns the state that the store is known to record.
    #[must_use]
    pub fn recorded(&self) -> Option<RecordedState> {
        self.recorded
    }

    /// Returns the numbers of this node's calls since the order: to all targets and to the candidate.
    #[must_use]
    pub fn call_counts(&self) -> (u64, u64) {
        (self.call_count, self.candidate_call_count)
    }

    pub(super) fn is_final(&self) -> bool {
        self.phase >= RolloutPhase::RolledBack
    }

    /// Forgets what the store is known to record.
    pub(super) fn forget_record(&mut self) {
        (self.recorded, self.record_version) = (None, StoreVersion::NONE);
    }

    /// Takes over the version that the order has since the store was restored.
    pub(super) fn adopt_version(&mut self, order_version: StoreVersion) {
        self.order.order_version = order_version;
        // A peer may have told of a record that the store has lost.
        self.forget_record();
    }

    fn age(&self, now: Moment) -> Duration {
        now.since(self.ordered_at)
    }

    fn advance_to(&mut self, phase: RolloutPhase, now: Moment) {
        if phase > self.phase {
            self.phase = phase;
            if phase == RolloutPhase::Shift {
                self.shifted_at = Some(now);
            }
        }
    }

    /// Returns whether one more call to the candidate keeps this node within its part of the exposure limit.
    fn has_credit(&self, limits: &RolloutLimits, node_count: usize, now: Moment) -> bool {
        let spread = self.order.duration.mul_f64(Self::SLACK_SPREAD_RATIO).max(Duration::from_millis(1));
        let elapsed_ratio = (self.age(now).as_secs_f64() / spread.as_secs_f64()).min(1.0);
        let slack = limits.exposure_slack * Self::USED_SLACK * elapsed_ratio / node_count.max(1) as f64;
        let allowed = limits.exposure_ratio * Self::USED_RATIO * self.call_count as f64 + slack;
        (self.candidate_call_count + 1) as f64 <= allowed
    }

    /// Returns the lanes of the next call, in order of preference.
    pub(super) fn lanes(
        &self,
        usable: UsableVersions,
        limits: &RolloutLimits,
        node_count: usize,
        now: Moment,
    ) -> Vec<VersionLane> {
        let only = || VersionLane::Only(self.order.candidate.clone());
        let except = || VersionLane::Except(self.order.candidate.clone());
        match self.phase {
            RolloutPhase::Completed => vec![only(), except()],
            RolloutPhase::Shift if usable.candidate => vec![only()],
            RolloutPhase::Trial if !usable.stable => vec![only()],
            RolloutPhase::Trial if !self.needs_record && self.has_credit(limits, node_count, now) => {
                vec![only(), except()]
            }
            RolloutPhase::Trial | RolloutPhase::Shift | RolloutPhase::RolledBack => vec![except()],
        }
    }

    /// Returns the tallies of all known nodes.
    fn totals(&self) -> VersionTallies {
        let mut totals = self.own.clone();
        for tallies in self.peers.values() {
            totals.merge(tallies, RouteTally::plus);
        }
        totals
    }

    /// Judges the candidate, and moves to the next phase if it is time for it.
    pub(super) fn evaluate(&mut self, progress: FleetProgress, now: Moment) {
        self.has_seen_stable |= progress.usable.stable;
        if self.is_final() {
            return;
        }
        let totals = self.totals();
        if let Some(finding) = self.judge.evaluate(&totals.candidate, &totals.stable) {
            self.finding = Some(finding);
            self.advance_to(RolloutPhase::RolledBack, now);
        } else if self.phase == RolloutPhase::Trial && self.is_shift_due(progress, now) {
            self.advance_to(RolloutPhase::Shift, now);
        }
    }

    fn is_shift_due(&self, progress: FleetProgress, now: Moment) -> bool {
        let takeover = Self::TAKEOVER_DELAY * progress.position as u32;
        if !progress.usable.candidate || self.needs_record {
            return false;
        }
        if !self.has_seen_stable {
            return self.age(now) >= Self::DISCOVERY_TIME + takeover;
        }
        let shift_time = self.order.duration.mul_f64(Self::SHIFT_RATIO).min(Self::MAX_SHIFT_TIME);
        let is_time = self.age(now) + shift_time >= self.order.duration + takeover;
        is_time && self.judge.favours_candidate(Self::MIN_SHIFT_CALLS)
    }

    fn is_completion_due(&self, progress: FleetProgress, now: Moment) -> bool {
        let Some(shifted_at) = self.shifted_at.filter(|_| self.phase == RolloutPhase::Shift) else { return false };
        let elapsed = now.since(shifted_at);
        let is_late = elapsed >= Self::MAX_SHIFT_TIME
            || (self.age(now) + Self::COMPLETION_MARGIN >= self.order.duration && elapsed >= Self::MIN_SHIFT_TIME);
        (progress.have_peers_shifted || elapsed >= Self::MAX_PEER_WAIT) && (!progress.has_stable_calls || is_late)
    }

    /// Returns the write that this node is to make now, and marks it as pending.
    pub(super) fn take_write(&mut self, progress: FleetProgress, now: Moment) -> Option<RolloutWrite> {
        let state = match self.phase {
            RolloutPhase::RolledBack => RecordedState::RolledBack,
            RolloutPhase::Completed => RecordedState::Completed,
            _ if self.is_completion_due(progress, now) => RecordedState::Completed,
            _ => RecordedState::Active,
        };
        if self.recorded >= Some(state) || self.is_write_pending {
            return None;
        }
        let since = self.wanted.filter(|(wanted, _)| *wanted == state).map_or(now, |(_, since)| since);
        self.wanted = Some((state, since));
        if now.since(since) < Self::TAKEOVER_DELAY * progress.position as u32 {
            return None;
        }
        self.is_write_pending = true;
        let (service, candidate) = (self.order.service.clone(), self.order.candidate.clone());
        Some(RolloutWrite { service, candidate, state, expected_version: self.record_version })
    }

    /// Handles the state that the store records.
    pub(super) fn learn_state(&mut self, state: RecordedState, now: Moment) {
        self.needs_record = false;
        self.recorded = self.recorded.max(Some(state));
        match state {
            RecordedState::Active => {}
            RecordedState::RolledBack => self.advance_to(RolloutPhase::RolledBack, now),
            RecordedState::Completed => self.advance_to(RolloutPhase::Completed, now),
        }
    }

    pub(super) fn handle_report(
        &mut self,
        node: (&NodeName, InstanceId),
        report: &RolloutReport,
        sent_at: Moment,
        now: Moment,
    ) {
        let ordered_at = sent_at - Duration::from_millis(u64::from(report.age_ms));
        self.ordered_at = self.ordered_at.min(ordered_at);
        let known = self.peers.entry((node.0.clone(), node.1)).or_default();
        known.merge(&report.tallies, RouteTally::latest);
        if let Some(state) = report.recorded {
            self.learn_state(state, now);
        }
        self.advance_to(report.phase, now);
    }

    pub(super) fn report(&self, now: Moment) -> RolloutReport {
        let is_settled = self.recorded.is_some_and(|state| state > RecordedState::Active);
        RolloutReport {
            service: self.order.service.clone(),
            order_version: self.order.order_version,
            age_ms: self.age(now).as_millis().min(u128::from(u32::MAX)) as u32,
            phase: self.phase,
            recorded: self.recorded,
            tallies: if is_settled { VersionTallies::default() } else { self.own.clone() },
        }
    }

    pub(super) fn take_change(&mut self, now: Moment) -> Option<RolloutChange> {
        let state = (self.phase, self.recorded);
        if self.logged.replace(state) == Some(state) {
            return None;
        }
        let totals = self.totals();
        let sum = |tallies: &RouteTallies| tallies.values().copied().fold(RouteTally::default(), RouteTally::plus);
        Some(RolloutChange {
            order: self.order.clone(),
            phase: self.phase,
            recorded: self.recorded,
            finding: self.finding.clone(),
            age: self.age(now),
            totals: (sum(&totals.candidate), sum(&totals.stable)),
        })
    }
}
