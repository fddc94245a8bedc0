//! Targets: what is known of their load, warmth and health at this node.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::document::{Document, ServiceSpec};
use crate::event::FailureKind;
use crate::names::{InstanceId, ServiceName, TargetName, VersionName};
use crate::outcome::LoadReport;
use crate::tuning::Tuning;

/// What is known of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// Calls in flight that it is taken to bear, over all nodes.
    pub limit: u32,
    /// Bounds of the limit, cold and warm.
    pub bounds: (u32, u32),
    /// Its instance, zero until known.
    pub instance: InstanceId,
    /// When the limit was last changed.
    pub limit_since: Moment,
    /// Calls that succeeded since then.
    pub successes: u32,
    /// When a call last succeeded.
    pub last_success: Moment,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it gets no calls after failures.
    pub resting_until: Moment,
    /// Calls in flight that it reported.
    pub reported: u32,
    /// When those figures were true.
    pub reported_at: Moment,
    /// Smoothed time of a call in milliseconds.
    pub latency_ms: f64,
}

/// Targets by name, and by service and version.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    views: BTreeMap<TargetName, TargetView>,
    by_version: BTreeMap<ServiceName, BTreeMap<VersionName, Vec<TargetName>>>,
}

impl TargetTable {
    /// Takes over a new document: new targets start cold, known ones keep what was learnt.
    pub fn install(&mut self, document: &Document, now: Moment) {
        let mut views = BTreeMap::new();
        self.by_version.clear();
        for (name, spec) in &document.targets {
            let service = &document.services[&spec.service];
            let mut view = self.views.remove(name).unwrap_or_else(|| TargetView::cold(service, now));
            view.rebound(service);
            views.insert(name.clone(), view);
            let versions = self.by_version.entry(spec.service.clone()).or_default();
            versions.entry(spec.version.clone()).or_default().push(name.clone());
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

    /// All targets by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetView)> {
        self.views.iter()
    }

    /// Takes idle targets for cold.
    pub fn cool_idle(&mut self, tuning: &Tuning, now: Moment) {
        for view in self.views.values_mut() {
            if view.limit > view.bounds.0 && now.since(view.last_success) > tuning.idle_cold_after {
                view.turn_cold(now);
            }
        }
    }
}

impl TargetView {
    const SMOOTHING: f64 = 0.2;
    const FIRST_REST: Duration = Duration::from_millis(500);
    const LONGEST_REST: Duration = Duration::from_secs(10);

    fn cold(service: &ServiceSpec, now: Moment) -> Self {
        Self {
            limit: service.cold_limit,
            bounds: (service.cold_limit, service.warm_limit),
            instance: InstanceId::default(),
            limit_since: now,
            successes: 0,
            last_success: now,
            failures: 0,
            resting_until: Moment::default(),
            reported: 0,
            reported_at: Moment::default(),
            latency_ms: 0.0,
        }
    }

    fn rebound(&mut self, service: &ServiceSpec) {
        self.bounds = (service.cold_limit, service.warm_limit);
        self.limit = self.limit.clamp(service.cold_limit, service.warm_limit);
    }

    /// Starts the ramp anew.
    pub fn turn_cold(&mut self, now: Moment) {
        self.limit = self.bounds.0;
        self.limit_since = now;
        self.successes = 0;
        self.last_success = now;
    }

    /// Learns from what the target says of itself; tells whether it turned cold by that.
    pub fn learn_report(&mut self, report: &LoadReport, now: Moment) -> bool {
        self.reported = report.in_flight;
        self.reported_at = now - Duration::from_millis(u64::from(report.age_ms));
        let restarted = self.instance != InstanceId::default() && self.instance != report.instance;
        self.instance = report.instance;
        if restarted {
            self.turn_cold(now);
        }
        restarted
    }

    /// Learns from a success that took `took`; raises the limit in steps.
    pub fn learn_success(&mut self, took: Duration, tuning: &Tuning, now: Moment) {
        let took_ms = took.as_secs_f64() * 1000.0;
        let first = self.latency_ms == 0.0;
        self.latency_ms = if first { took_ms } else { self.latency_ms + Self::SMOOTHING * (took_ms - self.latency_ms) };
        self.failures = 0;
        self.last_success = now;
        self.successes += 1;
        let served = now.since(self.limit_since) >= tuning.ramp_step;
        if served && self.limit < self.bounds.1 {
            self.limit = (self.limit * 2).min(self.bounds.1);
            self.limit_since = now;
            self.successes = 0;
        }
    }

    /// Learns from a failure: rests the target, longer with each in a row; tells whether it turned cold.
    pub fn learn_failure(&mut self, kind: FailureKind, now: Moment) -> bool {
        if kind == FailureKind::Rejected {
            return false;
        }
        self.failures += 1;
        let doubled = Self::FIRST_REST * 2_u32.pow((self.failures - 1).min(8));
        self.resting_until = now + doubled.min(Self::LONGEST_REST);
        let lost = matches!(kind, FailureKind::Unreachable | FailureKind::Broken | FailureKind::Silent);
        if lost && self.limit > self.bounds.0 {
            self.turn_cold(now);
            return true;
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
        (f64::from(own_in_flight) + others * fading) / f64::from(self.limit.max(1))
    }
}
