//! Candidate versions: their share of traffic and what was counted of them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::document::{CandidateSpec, Document, ServiceSpec};
use crate::latency_tail::LatencyTail;
use crate::message::VersionCounts;
use crate::names::{InstanceId, ServiceName, VersionKey, VersionName};
use crate::store::{RolloutRow, RolloutState};
use crate::tally::RouteTally;

/// Shares of traffic after the first, by step, before a candidate carries all of it.
pub const STEP_SHARES: [f64; 3] = [0.05, 0.25, 0.5];

/// One attempt to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CandidateKey {
    /// The version.
    pub version: VersionKey,
    /// Which attempt, from 1; 0 for a stable version.
    pub attempt: u32,
}

impl fmt::Display for CandidateKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} attempt {}", self.version, self.attempt)
    }
}

/// What calls are counted by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountKey {
    /// The version and attempt.
    pub candidate: CandidateKey,
    /// Route: the pipeline's or service's name under which the calls came.
    pub route: Arc<str>,
}

/// Where a candidate stands.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateStanding {
    /// The version and attempt.
    pub candidate: CandidateKey,
    /// Whether it is on trial only.
    pub trial: bool,
    /// State.
    pub state: RolloutState,
    /// Step, from 0.
    pub step: u32,
    /// Share of the service's traffic that it gets, 0 to 1.
    pub share: f64,
    /// Why it was taken back, or empty.
    pub reason: Arc<str>,
    /// Whether the table service has it so.
    pub recorded: bool,
}

/// Counts of one instance.
pub type InstanceCounts = BTreeMap<CountKey, RouteTally>;

/// Candidates by service, and counts by version and route.
#[derive(Clone, Debug, Default)]
pub struct VersionTable {
    /// How far each candidate of the document in force has come; none until its row is known.
    pub rollouts: BTreeMap<ServiceName, RolloutRow>,
    /// Versions that get no traffic any more, with the reason.
    pub bad: BTreeMap<CandidateKey, Arc<str>>,
    /// This instance's own counts.
    pub own: InstanceCounts,
    /// Counts of other instances, as told; those of instances that ended are kept.
    pub told: BTreeMap<InstanceId, InstanceCounts>,
    /// Call times of stable versions, by route.
    tails: BTreeMap<CountKey, LatencyTail>,
}

impl VersionTable {
    /// Most instances whose counts are kept.
    const MOST_INSTANCES: usize = 2_048;
    /// Most counts kept of one instance.
    const MOST_COUNTS: usize = 512;

    /// Forgets candidates that the document does not name any more, and their counts.
    pub fn install(&mut self, document: &Document) {
        self.rollouts.retain(|service, row| candidate_of(document, service).as_ref() == Some(&row.candidate));
        self.bad.retain(|candidate, _| is_candidate(document, candidate));
        let wanted = |key: &CountKey| is_counted(document, &key.candidate);
        self.own.retain(|key, _| wanted(key));
        self.tails.retain(|key, _| wanted(key));
        for counts in self.told.values_mut() {
            counts.retain(|key, _| wanted(key));
        }
        self.told.retain(|_, counts| !counts.is_empty());
    }

    /// Versions to try for a call, in order; `draw` is uniform in 0 to 1.
    #[must_use]
    pub fn order(&self, document: &Document, service: &ServiceName, draw: f64) -> Vec<VersionName> {
        let Some(spec) = document.services.get(service) else { return Vec::new() };
        let stable = spec.stable.clone();
        let Some(candidate) = &spec.candidate else { return vec![stable] };
        let share = self.share(service, candidate);
        if share >= 1.0 {
            return vec![candidate.version.clone()];
        }
        if draw < share { vec![candidate.version.clone(), stable] } else { vec![stable] }
    }

    /// Share of a service's traffic that its candidate gets.
    #[must_use]
    pub fn share(&self, service: &ServiceName, candidate: &CandidateSpec) -> f64 {
        // Without a row it is not known whether the version was taken back.
        let Some(row) = self.rollouts.get(service) else { return 0.0 };
        if self.bad.contains_key(&row.candidate) {
            return 0.0;
        }
        match row.state {
            RolloutState::TakenBack | RolloutState::Proved => 0.0,
            RolloutState::Finished => 1.0,
            RolloutState::Comparing if candidate.trial_only => candidate.first_share,
            RolloutState::Comparing => step_share(candidate, row.step),
        }
    }

    /// Where each candidate of a document stands, as this node knows it.
    #[must_use]
    pub fn standings(&self, document: &Document) -> Vec<CandidateStanding> {
        let services = document.services.iter();
        services.filter_map(|(service, spec)| Some(self.standing(service, spec, spec.candidate.as_ref()?))).collect()
    }

    fn standing(&self, service: &ServiceName, spec: &ServiceSpec, of: &CandidateSpec) -> CandidateStanding {
        let candidate = key_of(service, spec, &of.version);
        let row = self.rollouts.get(service);
        let mut standing = CandidateStanding {
            trial: row.map_or(of.trial_only, |row| row.trial),
            state: row.map_or(RolloutState::Comparing, |row| row.state),
            step: row.map_or(0, |row| row.step),
            share: self.share(service, of),
            reason: row.map(|row| row.reason.clone()).unwrap_or_default(),
            recorded: row.is_some(),
            candidate,
        };
        if let Some(reason) = self.bad.get(&standing.candidate)
            && standing.state != RolloutState::TakenBack
        {
            standing.state = RolloutState::TakenBack;
            standing.reason = reason.clone();
            standing.recorded = false;
        }
        standing
    }

    /// This instance's counts of a version on a route, to add to.
    pub fn count(&mut self, key: CountKey) -> &mut RouteTally {
        self.own.entry(key).or_default()
    }

    /// Call times of a stable version on a route.
    pub fn tail(&mut self, key: CountKey) -> &mut LatencyTail {
        self.tails.entry(key).or_default()
    }

    /// Merges counts that a peer told; those of no candidate and those beyond the bounds are dropped.
    pub fn merge(&mut self, document: &Document, instance: InstanceId, counts: &[VersionCounts]) {
        if self.told.len() >= Self::MOST_INSTANCES && !self.told.contains_key(&instance) {
            return;
        }
        for told in counts.iter().filter(|told| is_counted(document, &told.key.candidate)) {
            let known = self.told.entry(instance).or_default();
            if known.len() < Self::MOST_COUNTS || known.contains_key(&told.key) {
                let tally = known.entry(told.key.clone()).or_default();
                *tally = tally.latest(told.tally);
            }
        }
    }

    /// Counts of a version over all instances, by route.
    #[must_use]
    pub fn totals(&self, candidate: &CandidateKey) -> BTreeMap<Arc<str>, RouteTally> {
        let mut totals: BTreeMap<Arc<str>, RouteTally> = BTreeMap::new();
        for counts in self.told.values().chain([&self.own]) {
            for (key, tally) in counts.iter().filter(|(key, _)| key.candidate == *candidate) {
                let total = totals.entry(key.route.clone()).or_default();
                *total = total.plus(*tally);
            }
        }
        totals
    }
}

/// Share of traffic at a step; 1 after the last.
#[must_use]
pub fn step_share(candidate: &CandidateSpec, step: u32) -> f64 {
    step_shares(candidate).nth(step as usize).unwrap_or(1.0)
}

/// Steps until a candidate carries all traffic.
#[must_use]
pub fn step_count(candidate: &CandidateSpec) -> u32 {
    step_shares(candidate).count() as u32
}

fn step_shares(candidate: &CandidateSpec) -> impl Iterator<Item = f64> {
    let first = candidate.first_share;
    std::iter::once(first).chain(STEP_SHARES.into_iter().filter(move |share| *share > first))
}

/// The attempt that the document's candidate of a service is.
#[must_use]
pub fn candidate_of(document: &Document, service: &ServiceName) -> Option<CandidateKey> {
    let spec = document.services.get(service)?;
    let candidate = spec.candidate.as_ref()?;
    Some(key_of(service, spec, &candidate.version))
}

/// What calls to a version of a service are counted by.
#[must_use]
pub fn key_of(service: &ServiceName, spec: &ServiceSpec, version: &VersionName) -> CandidateKey {
    let attempt = spec.candidate.as_ref().filter(|candidate| candidate.version == *version);
    CandidateKey {
        version: VersionKey { service: service.clone(), version: version.clone() },
        attempt: attempt.map_or(0, |candidate| candidate.attempt),
    }
}

fn is_candidate(document: &Document, candidate: &CandidateKey) -> bool {
    candidate_of(document, &candidate.version.service).as_ref() == Some(candidate)
}

/// Whether the document compares this version with another.
fn is_counted(document: &Document, candidate: &CandidateKey) -> bool {
    let Some(spec) = document.services.get(&candidate.version.service) else { return false };
    let compared = [Some(&spec.stable), spec.candidate.as_ref().map(|candidate| &candidate.version)];
    spec.candidate.is_some()
        && compared.into_iter().flatten().any(|version| {
            let key = key_of(&candidate.version.service, spec, version);
            key == *candidate
        })
}
