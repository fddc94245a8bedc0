//! Autoscaling: how many targets each service that can be scaled needs in each data centre.
//!
//! Every node that can become the holder of the duty follows the loads, so that a new holder knows the trend.

mod inputs;
mod orders;
mod trend;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, ServiceName};
use crate::relay::document::ScalingSpec;

pub use self::inputs::{DcLoad, FleetLoad, LoadEvidence, ServiceLoad};
pub use self::orders::{OrderOutcome, OrderTable, ScaleOrder};
use self::trend::LoadTrend;

/// Ratios and times of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingLimits {
    /// Fraction of a target's slots that it runs without late answers. Each call slows the others of its batch.
    pub usable_slot_ratio: f64,
    /// Fraction of the objective in which a target reads the prompt tokens that wait at it.
    pub usable_objective_ratio: f64,
    /// Time over which the load is averaged.
    pub mean_time: Duration,
    /// Time over which the trend is taken.
    pub trend_time: Duration,
    /// Maximum ratio of the forecast to the mean load.
    pub max_growth_ratio: f64,
    /// Time for which the need must have been lower before targets are given up.
    pub scale_down_delay: Duration,
    /// Fraction of the targets that is given up each time.
    pub scale_down_ratio: f64,
    /// Age of the loads from which no targets are given up.
    pub max_load_age: Duration,
    /// Fraction of the known nodes from whose silence on no targets are given up.
    pub max_silent_ratio: f64,
}

impl Default for ScalingLimits {
    fn default() -> Self {
        Self {
            usable_slot_ratio: 0.4,
            usable_objective_ratio: 0.5,
            mean_time: Duration::from_secs(3),
            trend_time: Duration::from_secs(10),
            max_growth_ratio: 2.0,
            scale_down_delay: Duration::from_secs(10),
            scale_down_ratio: 0.1,
            max_load_age: Duration::from_secs(3),
            max_silent_ratio: 0.25,
        }
    }
}

/// A service and one of its data centres, whose targets are ordered together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScaleSubject {
    /// Name of the service.
    pub service: ServiceName,
    /// Data centre of the targets.
    pub dc: DcName,
}

/// What a decision rests on. All loads are in targets: the number of targets that the load keeps usefully busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScaleBasis {
    /// Number of targets that are not leaving.
    pub present: u32,
    /// Number of targets that are leaving.
    pub leaving: u32,
    /// Calls in flight.
    pub in_flight: u32,
    /// Prompt tokens that have not been processed yet.
    pub unread_tokens: u64,
    /// Mean load of the last seconds.
    pub mean_load: f64,
    /// Growth of the load per second. 0 if it falls or does not grow steadily.
    pub growth_per_s: f64,
    /// Load of closed data centres that comes here.
    pub moved_load: f64,
    /// Load that comes here if the largest other data centre is lost.
    pub reserve: f64,
    /// Whether the data centre is closed.
    pub is_closed: bool,
    /// Whether the loads are complete and recent enough to give up targets.
    pub is_load_known: bool,
}

/// The number of targets that a service is to have in a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalePlan {
    /// What is ordered.
    pub subject: ScaleSubject,
    /// Number of targets to be ordered.
    pub desired: u32,
    /// Number that was to be ordered before this decision.
    pub previous: u32,
    /// Number of targets that the load needs, within the bounds of the document.
    pub need: u32,
    /// What the decision rests on.
    pub basis: ScaleBasis,
}

/// What is remembered of a service in a data centre.
#[derive(Clone, Debug)]
struct SubjectState {
    trend: LoadTrend,
    desired: u32,
    /// Since when the need has been lower than `desired`, and the highest need since.
    lower_need: Option<(Moment, u32)>,
    /// Last load; zero once the data centre has no targets.
    last: DcLoad,
}

impl SubjectState {
    /// Sets the desired number for a need. Targets are added at once, and given up after a delay.
    fn update(&mut self, need: u32, spec: &ScalingSpec, basis: &ScaleBasis, limits: &ScalingLimits, now: Moment) {
        if need >= self.desired || basis.is_closed {
            (self.desired, self.lower_need) = (need, None);
            return;
        }
        self.desired = self.desired.min(spec.max_targets);
        if !basis.is_load_known {
            self.lower_need = None;
            return;
        }
        let (since, highest) = self.lower_need.unwrap_or((now, need));
        let highest = highest.max(need);
        self.lower_need = Some((since, highest));
        if now.since(since) >= limits.scale_down_delay {
            let step = (f64::from(self.desired) * limits.scale_down_ratio).ceil() as u32;
            self.desired = self.desired.saturating_sub(step.max(1)).max(highest);
            self.lower_need = None;
        }
    }
}

/// Decides the numbers of targets from the loads over time.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    limits: ScalingLimits,
    subjects: BTreeMap<ScaleSubject, SubjectState>,
}

impl Autoscaler {
    /// Creates an autoscaler that knows no loads yet.
    #[must_use]
    pub fn new(limits: ScalingLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Takes over the duty: what the former holder ordered last is not known, so targets that are present are not given up
    /// before the need has been lower for the delay.
    pub fn begin_term(&mut self) {
        for state in self.subjects.values_mut() {
            state.desired = state.desired.max(state.last.present);
            state.lower_need = None;
        }
    }

    /// Decides the numbers of targets by the loads of `fleet` at `now`. Data centres in which a service has run before are
    /// included.
    pub fn decide(&mut self, fleet: &FleetLoad, now: Moment) -> Vec<ScalePlan> {
        self.subjects.retain(|subject, _| fleet.services.contains_key(&subject.service));
        let is_load_known = fleet.evidence.is_sufficient(&self.limits);
        let services = fleet.services.iter();
        services.flat_map(|(name, service)| self.decide_service(name, service, is_load_known, now)).collect()
    }

    fn decide_service(
        &mut self,
        name: &ServiceName,
        service: &ServiceLoad,
        is_load_known: bool,
        now: Moment,
    ) -> Vec<ScalePlan> {
        let limits = self.limits;
        self.record_loads(name, service, now);
        let states = self.subjects.iter_mut().filter(|(subject, _)| subject.service == *name);
        let mut states: Vec<(&ScaleSubject, &mut SubjectState)> = states.collect();
        let means: Vec<f64> = states.iter().map(|(_, state)| state.trend.mean(limits.mean_time, now)).collect();
        let closed: Vec<bool> = states.iter().map(|(_, state)| state.last.is_closed).collect();
        let open_count = closed.iter().filter(|is_closed| !**is_closed).count();
        let closed_load: f64 =
            means.iter().zip(&closed).filter(|(_, is_closed)| **is_closed).fold(0.0, |sum, (mean, _)| sum + mean);
        let lead_time = service.spec.boot_time + service.cold_time;
        let plans = states.iter_mut().enumerate().map(|(index, (subject, state))| {
            let others =
                means.iter().zip(&closed).enumerate().filter(|(other, (_, closed))| *other != index && !**closed);
            let largest_other = others.map(|(_, (mean, _))| *mean).fold(0.0, f64::max);
            let last = &state.last;
            let basis = ScaleBasis {
                present: last.present,
                leaving: last.leaving,
                in_flight: last.in_flight,
                unread_tokens: last.unread_tokens,
                mean_load: means[index],
                growth_per_s: state.trend.growth_per_s(limits.trend_time, now),
                moved_load: closed_load / open_count.max(1) as f64,
                reserve: largest_other / open_count.saturating_sub(1).max(1) as f64,
                is_closed: last.is_closed,
                is_load_known,
            };
            let need = needed_targets(&basis, last, &service.spec, lead_time, &limits);
            let previous = state.desired;
            state.update(need, &service.spec, &basis, &limits, now);
            ScalePlan { subject: (*subject).clone(), desired: state.desired, previous, need, basis }
        });
        plans.collect()
    }

    /// Records the loads of a service. Data centres that have no targets any more have no load.
    fn record_loads(&mut self, name: &ServiceName, service: &ServiceLoad, now: Moment) {
        let limits = self.limits;
        for (dc, dc_load) in &service.dcs {
            let subject = ScaleSubject { service: name.clone(), dc: dc.clone() };
            let state = self.subjects.entry(subject).or_insert_with(|| SubjectState {
                trend: LoadTrend::default(),
                desired: dc_load.present.clamp(service.spec.min_targets, service.spec.max_targets),
                lower_need: None,
                last: dc_load.clone(),
            });
            state.last = dc_load.clone();
            state.trend.record(service.load_in_targets(dc_load, &limits), limits.trend_time, now);
        }
        for (subject, state) in &mut self.subjects {
            if subject.service == *name && !service.dcs.contains_key(&subject.dc) {
                state.last = DcLoad { is_closed: state.last.is_closed, ..DcLoad::default() };
                state.trend.record(0.0, limits.trend_time, now);
            }
        }
    }
}

/// Returns the number of targets that a data centre needs. A closed one keeps what its calls in flight need.
fn needed_targets(
    basis: &ScaleBasis,
    last: &DcLoad,
    spec: &ScalingSpec,
    lead_time: Duration,
    limits: &ScalingLimits,
) -> u32 {
    let forecast = basis.mean_load + basis.growth_per_s * lead_time.as_secs_f64();
    let forecast = forecast.min(basis.mean_load * limits.max_growth_ratio);
    let load = if basis.is_closed { 0.0 } else { forecast + basis.moved_load + basis.reserve };
    // A need that is whole but for rounding errors is not raised by one.
    let need = (load - 1e-6).ceil().max(last.occupied_targets());
    (need.min(f64::from(u32::MAX)) as u32).max(spec.min_targets).min(spec.max_targets)
}
