//! Targets: what is known of their load, warmth and health at this node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::document::{Document, ServiceSpec};
use crate::event::FailureKind;
use crate::names::{ServiceName, TargetName, VersionName};
use crate::outcome::LoadReport;
use crate::tuning::Tuning;
use crate::warmth::{ServedCall, WarmthState};

/// What is known of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// How warm it is taken to be, and so the calls in flight that it bears over all nodes.
    pub warmth: WarmthState,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it gets no calls after failures.
    pub resting_until: Moment,
    /// Calls in flight that it reported.
    pub reported: u32,
    /// When those figures were true.
    pub reported_at: Moment,
    /// Smoothed time of a whole call; zero until known.
    pub call_time: Duration,
}

/// Targets by name, and by service and version.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    views: BTreeMap<TargetName, TargetView>,
    by_version: BTreeMap<ServiceName, BTreeMap<VersionName, Vec<TargetName>>>,
    /// Services of which operators let work go to a target.
    open: BTreeSet<ServiceName>,
}

impl TargetTable {
    /// Takes over a new document: new targets start cold, known ones keep what was learnt.
    pub fn install(&mut self, document: &Document, now: Moment) {
        let mut views = BTreeMap::new();
        self.by_version.clear();
        self.open.clear();
        for (name, spec) in &document.targets {
            let service = &document.services[&spec.service];
            let mut view = self.views.remove(name).unwrap_or_else(|| TargetView::cold(service, now));
            view.warmth.rebound((service.cold_limit, service.warm_limit));
            views.insert(name.clone(), view);
            let versions = self.by_version.entry(spec.service.clone()).or_default();
            versions.entry(spec.version.clone()).or_default().push(name.clone());
            if document.admits(spec) {
                self.open.insert(spec.service.clone());
            }
        }
        self.views = views;
    }

    /// One target.
    #[must_use]
    pub fn get(&self, target: &TargetName) -> Option<&TargetView> {
        self.views.get(target)
    }

    /// One target, to change.
    pub fn get_mut(&mut self, target: &TargetName) -> Option<&mut TargetView> {
        self.views.get_mut(target)
    }

    /// Targets of a version of a service.
    #[must_use]
    pub fn of(&self, service: &ServiceName, version: &VersionName) -> &[TargetName] {
        self.by_version.get(service).and_then(|versions| versions.get(version)).map_or(&[], Vec::as_slice)
    }

    /// Whether any target of a service may get work, as far as operators say.
    #[must_use]
    pub fn is_open(&self, service: &ServiceName) -> bool {
        self.open.contains(service)
    }

    /// All targets by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetView)> {
        self.views.iter()
    }

    /// Takes targets for cold of which nothing good was heard for too long.
    pub fn cool_stale(&mut self, tuning: &Tuning, now: Moment) {
        for view in self.views.values_mut().filter(|view| view.warmth.is_stale(tuning, now)) {
            view.warmth.turn_cold(now);
        }
    }
}

impl TargetView {
    const FIRST_REST: Duration = Duration::from_millis(500);
    const LONGEST_REST: Duration = Duration::from_secs(10);
    /// Faults in a row after which a target is taken to bear less.
    const FAULTS_IN_A_ROW: u32 = 3;

    fn cold(service: &ServiceSpec, now: Moment) -> Self {
        Self {
            warmth: WarmthState::new((service.cold_limit, service.warm_limit), now),
            failures: 0,
            resting_until: Moment::default(),
            reported: 0,
            reported_at: Moment::default(),
            call_time: Duration::ZERO,
        }
    }

    /// Calls in flight that it is taken to bear now, over all nodes.
    #[must_use]
    pub fn limit_at(&self, tuning: &Tuning, now: Moment) -> u32 {
        self.warmth.limit_at(tuning, now)
    }

    /// Learns from what the target says of itself; tells whether it turned cold by that.
    pub fn learn_report(&mut self, report: &LoadReport, now: Moment) -> bool {
        let true_at = now - Duration::from_millis(u64::from(report.age_ms));
        if true_at >= self.reported_at {
            self.reported = report.in_flight;
            self.reported_at = true_at;
        }
        self.warmth.learn_report(report, now)
    }

    /// Learns from a call that went well; tells whether it turned cold by its latency.
    pub fn learn_success(&mut self, call: ServedCall, tuning: &Tuning, now: Moment) -> bool {
        self.failures = 0;
        self.warmth.learn_success(call, tuning, now)
    }

    /// Learns the time of a whole call.
    pub fn learn_time(&mut self, took: Duration) {
        const OLD_WEIGHT: f64 = 0.9;
        let unknown = self.call_time.is_zero();
        let smoothed = self.call_time.mul_f64(OLD_WEIGHT) + took.mul_f64(1.0 - OLD_WEIGHT);
        self.call_time = if unknown { took } else { smoothed };
    }

    /// Learns from a failure: rests the target, longer with each in a row; tells whether it turned cold.
    pub fn learn_failure(&mut self, kind: FailureKind, now: Moment) -> bool {
        if matches!(kind, FailureKind::Rejected | FailureKind::Late) {
            return false;
        }
        self.failures += 1;
        let doubled = Self::FIRST_REST * 2_u32.pow((self.failures - 1).min(8));
        self.resting_until = now + doubled.min(Self::LONGEST_REST);
        let before = self.warmth.limit();
        match kind {
            FailureKind::Unreachable | FailureKind::Broken | FailureKind::Silent => {
                self.warmth.turn_cold(now);
                return self.warmth.limit() < before;
            }
            FailureKind::Full => self.warmth.step_down(now),
            _ if self.failures >= Self::FAULTS_IN_A_ROW => self.warmth.step_down(now),
            _ => {}
        }
        false
    }

    /// Load as far as known: calls of this node, and what the target reported, less as it ages.
    #[must_use]
    pub fn load(&self, own_in_flight: u32, now: Moment) -> f64 {
        const HALF_LIFE_MS: f64 = 500.0;
        let age_ms = now.since(self.reported_at).as_millis() as f64;
        let others = f64::from(self.reported.saturating_sub(own_in_flight));
        let fading = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        (f64::from(own_in_flight) + others * fading) / f64::from(self.warmth.limit().max(1))
    }
}
