//! Keeps ranks in order under overload: while requests of a rank are refused for load, less urgent ones that share a stage
//! with it are refused at least as often.
//!
//! Admission compares a request with the objective of its own route. A class with a short pipeline and a long objective
//! passes at queue lengths at which a more urgent one with a long pipeline does not, and so keeps the shared stages full.
//! Each node decides by its own requests. Refusals that the guard causes are no evidence against still less urgent ranks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::ServiceName;
use crate::relay::document::RelayRoute;

/// Settings of the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankGuardLimits {
    /// Half-life of the counts of admissions and refusals.
    pub half_life: Duration,
    /// Number of requests of a rank in the counts from which on their ratio is used.
    pub min_requests: f64,
    /// Time after the last refusal of a rank for which the counts are used.
    pub max_refusal_age: Duration,
    /// Fraction by which the refusal ratio of less urgent requests may be lower. Classes may differ by 5 in 100 in what
    /// is served; the rest of that covers requests that are refused later.
    pub tolerance: f64,
    /// Time for which the properties of the last request of a rank are remembered.
    pub sample_memory: Duration,
}

impl Default for RankGuardLimits {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(1),
            min_requests: 3.0,
            max_refusal_age: Duration::from_secs(2),
            tolerance: 0.02,
            sample_memory: Duration::from_secs(30),
        }
    }
}

/// Properties of a recent request, from which the expected time of the next one like it can be estimated.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSample {
    /// Route of the request.
    pub route: Arc<RelayRoute>,
    /// Number of pieces by stage index.
    pub pieces: Vec<u32>,
    /// Estimated time from the start of the final call to its first event.
    pub final_call_duration: Duration,
    /// Time from the arrival of the request until its deadline.
    pub time_left: Duration,
}

impl RequestSample {
    /// Returns the services of the stages that have pieces.
    fn stage_services(&self) -> impl Iterator<Item = &ServiceName> {
        let stages = self.route.stages.iter().zip(&self.pieces);
        stages.filter(|(_, pieces)| **pieces > 0).map(|(stage, _)| &stage.service)
    }
}

/// What this node knows of a more urgent rank that shares a stage with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RankEvidence {
    /// The more urgent rank.
    pub rank: u8,
    /// Decayed number of its requests at the shared stage.
    pub requests: f64,
    /// Fraction of them that were refused for load; `None` if there are too few, or none was refused recently.
    pub refused_ratio: Option<f64>,
    /// The last of them.
    pub sample: RequestSample,
}

/// Requests of one rank that need one stage service.
#[derive(Clone, Debug)]
struct RankCounts {
    /// Decayed numbers of requests and of refusals for load, as of `updated_at`.
    requests: f64,
    refusals: f64,
    updated_at: Moment,
    last_refused_at: Option<Moment>,
    sample: RequestSample,
}

/// Returns the factor by which a count decays within `elapsed`.
fn decay_factor(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64().max(1e-3))
}

/// Recent admissions and refusals for load at this node, by stage service and rank.
#[derive(Clone, Debug, Default)]
pub struct RankGuard {
    counts: BTreeMap<ServiceName, BTreeMap<u8, RankCounts>>,
    /// Refusals that are due, as a fraction of one, by the rank of the requests to be refused.
    due_refusals: BTreeMap<u8, f64>,
}

impl RankGuard {
    /// Records that admission control accepted or refused a request by its estimate. Requests that cannot be on time
    /// without any load must not be recorded: they show no overload.
    pub fn record(
        &mut self,
        sample: &RequestSample,
        rank: u8,
        is_refused: bool,
        limits: &RankGuardLimits,
        now: Moment,
    ) {
        for ranks in self.counts.values_mut() {
            ranks.retain(|_, counts| now.since(counts.updated_at) <= limits.sample_memory);
        }
        self.counts.retain(|_, ranks| !ranks.is_empty());
        let mut counted: Vec<&ServiceName> = sample.stage_services().collect();
        counted.sort();
        counted.dedup();
        for service in counted {
            let ranks = self.counts.entry(service.clone()).or_default();
            let counts = ranks.entry(rank).or_insert_with(|| RankCounts {
                requests: 0.0,
                refusals: 0.0,
                updated_at: now,
                last_refused_at: None,
                sample: sample.clone(),
            });
            let factor = decay_factor(now.since(counts.updated_at), limits.half_life);
            counts.requests = counts.requests * factor + 1.0;
            counts.refusals = counts.refusals * factor + f64::from(u8::from(is_refused));
            counts.updated_at = now;
            counts.last_refused_at = if is_refused { Some(now) } else { counts.last_refused_at };
            counts.sample.clone_from(sample);
        }
    }

    /// Returns whether requests of another rank recently needed a stage of `sample`.
    #[must_use]
    pub fn has_other_rank(&self, sample: &RequestSample, rank: u8, limits: &RankGuardLimits, now: Moment) -> bool {
        let is_recent = |counts: &RankCounts| now.since(counts.updated_at) <= limits.sample_memory;
        let mut shared = sample.stage_services().filter_map(|service| self.counts.get(service)).flatten();
        shared.any(|(other, counts)| *other != rank && is_recent(counts))
    }

    /// Returns what is known of the ranks that are more urgent than `rank` and share a stage with `sample`: one entry for
    /// each, of the shared stage with the highest ratio of refusals.
    #[must_use]
    pub fn more_urgent(
        &self,
        sample: &RequestSample,
        rank: u8,
        limits: &RankGuardLimits,
        now: Moment,
    ) -> Vec<RankEvidence> {
        let mut by_rank: BTreeMap<u8, RankEvidence> = BTreeMap::new();
        let shared = sample.stage_services().filter_map(|service| self.counts.get(service));
        for (urgent, counts) in shared.flat_map(|ranks| ranks.range(..rank)) {
            let age = now.since(counts.updated_at);
            if age > limits.sample_memory {
                continue;
            }
            let requests = counts.requests * decay_factor(age, limits.half_life);
            let is_recent = counts.last_refused_at.is_some_and(|at| now.since(at) <= limits.max_refusal_age);
            let is_known = requests >= limits.min_requests && is_recent;
            let refused_ratio = is_known.then(|| counts.refusals / counts.requests);
            let known = by_rank.get(urgent);
            if known.is_none_or(|known| known.refused_ratio < refused_ratio) {
                let sample = counts.sample.clone();
                by_rank.insert(*urgent, RankEvidence { rank: *urgent, requests, refused_ratio, sample });
            }
        }
        by_rank.into_values().collect()
    }

    /// Decides whether a request of `rank` that its own estimate accepts is refused, given the refusal ratio of more urgent
    /// requests. Refusals are spread evenly: each request adds the fraction that is due, and one is refused whenever a
    /// whole one is due. `first_due` in 0..1 is where a rank begins, so that nodes do not refuse in step.
    pub fn refuses(
        &mut self,
        rank: u8,
        refused_ratio: f64,
        limits: &RankGuardLimits,
        first_due: impl FnOnce() -> f64,
    ) -> bool {
        let target = refused_ratio - limits.tolerance;
        if target <= 0.0 {
            return false;
        }
        let due = self.due_refusals.entry(rank).or_insert_with(first_due);
        *due += target;
        let is_refused = *due >= 1.0;
        if is_refused {
            *due -= 1.0;
        }
        is_refused
    }

    /// Returns the number of entries of the counts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no request has been counted recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
