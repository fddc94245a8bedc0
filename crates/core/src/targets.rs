//! This node's view of the load, warmth and health of targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::document::{Document, ServiceSpec};
use crate::event::FailureKind;
use crate::names::{ServiceName, TargetName, VersionName};
use crate::outcome::LoadReport;
use crate::tuning::Tuning;
use crate::warmth::{ServedCall, WarmthState};

/// This node's view of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target's warmth estimate, and the limit that follows from it on calls in flight over all nodes.
    pub warmth: WarmthState,
    /// Number of consecutive failed calls. Rejected and late calls do not count.
    pub consecutive_failures: u32,
    /// The end of the backoff after failures. The target gets no calls before this moment.
    pub backoff_until: Moment,
    /// Number of calls in flight from all nodes, from the target's last report.
    pub reported_in_flight: u32,
    /// The moment at which the target measured the reported number of calls in flight.
    pub report_measured_at: Moment,
    /// Moving average of the duration of a whole call, or zero while it is unknown.
    pub average_call_duration: Duration,
}

/// The views of all targets by name, and the targets of each version of a service.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    views: BTreeMap<TargetName, TargetView>,
    by_version: BTreeMap<ServiceName, BTreeMap<VersionName, Vec<TargetName>>>,
    /// Services with at least one target that operators admit work to.
    services_with_admitted: BTreeSet<ServiceName>,
}

impl TargetTable {
    /// Installs the targets of a new document. New targets start cold, known ones keep their state.
    pub fn install(&mut self, document: &Document, now: Moment) {
        let mut views = BTreeMap::new();
        self.by_version.clear();
        self.services_with_admitted.clear();
        for (name, spec) in &document.targets {
            let service = &document.services[&spec.service];
            let mut view = self.views.remove(name).unwrap_or_else(|| TargetView::new_cold(service, now));
            view.warmth.set_limit_bounds((service.cold_limit, service.warm_limit));
            views.insert(name.clone(), view);
            let versions = self.by_version.entry(spec.service.clone()).or_default();
            versions.entry(spec.version.clone()).or_default().push(name.clone());
            if document.admits(spec) {
                self.services_with_admitted.insert(spec.service.clone());
            }
        }
        self.views = views;
    }

    /// Returns the view of a target.
    #[must_use]
    pub fn get(&self, target: &TargetName) -> Option<&TargetView> {
        self.views.get(target)
    }

    /// Returns the view of a target, with mutable access.
    pub fn get_mut(&mut self, target: &TargetName) -> Option<&mut TargetView> {
        self.views.get_mut(target)
    }

    /// Returns the targets of a version of a service, whether operators admit work to them or not.
    #[must_use]
    pub fn of_version(&self, service: &ServiceName, version: &VersionName) -> &[TargetName] {
        self.by_version.get(service).and_then(|versions| versions.get(version)).map_or(&[], Vec::as_slice)
    }

    /// Returns whether operators admit work to any target of a service.
    #[must_use]
    pub fn has_admitted_target(&self, service: &ServiceName) -> bool {
        self.services_with_admitted.contains(service)
    }

    /// Returns all targets with their views, in order of names.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetView)> {
        self.views.iter()
    }

    /// Resets the limit of each target whose limit is stale to its cold limit.
    pub fn reset_stale_limits(&mut self, tuning: &Tuning, now: Moment) {
        for view in self.views.values_mut().filter(|view| view.warmth.is_stale(tuning, now)) {
            view.warmth.turn_cold(now);
        }
    }
}

impl TargetView {
    /// Backoff after the first failure.
    const MIN_BACKOFF: Duration = Duration::from_millis(500);
    const MAX_BACKOFF: Duration = Duration::from_secs(10);
    /// Number of consecutive failures from which each failure that does not turn the target cold halves the limit.
    const HALVE_AFTER_FAILURES: u32 = 3;

    fn new_cold(service: &ServiceSpec, now: Moment) -> Self {
        Self {
            warmth: WarmthState::new((service.cold_limit, service.warm_limit), now),
            consecutive_failures: 0,
            backoff_until: Moment::default(),
            reported_in_flight: 0,
            report_measured_at: Moment::default(),
            average_call_duration: Duration::ZERO,
        }
    }

    /// Returns the target's limit in force at `now`, in calls in flight over all nodes.
    #[must_use]
    pub fn limit_at(&self, tuning: &Tuning, now: Moment) -> u32 {
        self.warmth.limit_at(tuning, now)
    }

    /// Records a load report of the target. Returns whether the report shows a restart or that a warm target is no
    /// longer warm, which reset the limit.
    pub fn record_load_report(&mut self, report: &LoadReport, now: Moment) -> bool {
        let measured_at = now - Duration::from_millis(u64::from(report.age_ms));
        if measured_at >= self.report_measured_at {
            self.reported_in_flight = report.in_flight;
            self.report_measured_at = measured_at;
        }
        self.warmth.record_load_report(report, now)
    }

    /// Records a successful call. Returns whether the call's latency reset the limit from above the cold limit.
    pub fn record_success(&mut self, call: ServedCall, tuning: &Tuning, now: Moment) -> bool {
        self.consecutive_failures = 0;
        self.warmth.record_success(call, tuning, now)
    }

    /// Adds the duration of a whole call to the moving average.
    pub fn record_call_time(&mut self, took: Duration) {
        const HISTORY_WEIGHT: f64 = 0.9;
        let is_unknown = self.average_call_duration.is_zero();
        let average = self.average_call_duration.mul_f64(HISTORY_WEIGHT) + took.mul_f64(1.0 - HISTORY_WEIGHT);
        self.average_call_duration = if is_unknown { took } else { average };
    }

    /// Records a failure, and starts a backoff that doubles with each consecutive failure up to a maximum. Ignores
    /// rejected and late calls. Returns whether the failure reset the limit from above the cold limit.
    pub fn record_failure(&mut self, kind: FailureKind, now: Moment) -> bool {
        if matches!(kind, FailureKind::Rejected | FailureKind::Late) {
            return false;
        }
        self.consecutive_failures += 1;
        let backoff = Self::MIN_BACKOFF * 2_u32.pow((self.consecutive_failures - 1).min(8));
        self.backoff_until = now + backoff.min(Self::MAX_BACKOFF);
        let limit_before = self.warmth.limit();
        match kind {
            FailureKind::Unreachable | FailureKind::Broken | FailureKind::Silent => {
                self.warmth.turn_cold(now);
                return self.warmth.limit() < limit_before;
            }
            FailureKind::Full => self.warmth.halve_limit(now),
            _ if self.consecutive_failures >= Self::HALVE_AFTER_FAILURES => self.warmth.halve_limit(now),
            _ => {}
        }
        false
    }

    /// Returns the estimated load of the target as a ratio of its limit.
    ///
    /// The load is this node's calls in flight plus the other calls that the target reported, which count less as the
    /// report ages.
    #[must_use]
    pub fn load(&self, own_in_flight: u32, now: Moment) -> f64 {
        const HALF_LIFE_MS: f64 = 500.0;
        let age_ms = now.since(self.report_measured_at).as_millis() as f64;
        let others = f64::from(self.reported_in_flight.saturating_sub(own_in_flight));
        let age_factor = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        (f64::from(own_in_flight) + others * age_factor) / f64::from(self.warmth.limit().max(1))
    }
}
