//! Candidate versions: their share of traffic, and the counts of calls by version and route.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::document::{CandidateSpec, Document, ServiceSpec};
use crate::latency_tail::LatencyTail;
use crate::message::VersionCounts;
use crate::names::{InstanceId, ServiceName, VersionKey, VersionName};
use crate::store::{RolloutRow, RolloutState};
use crate::tally::RouteTally;

/// Shares of traffic, 0 to 1, of the steps between a candidate's first share and all traffic. Shares that are not above
/// the first share are skipped.
pub const STEP_SHARES: [f64; 3] = [0.05, 0.25, 0.5];

/// Identifies one attempt to move a service to a candidate version, or a stable version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CandidateKey {
    /// Service and version.
    pub version: VersionKey,
    /// Number of the attempt, from 1; 0 for a stable version.
    pub attempt: u32,
}

impl fmt::Display for CandidateKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} attempt {}", self.version, self.attempt)
    }
}

/// Key under which the calls of a version on a route are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountKey {
    /// Version, which may be a stable one, and attempt.
    pub candidate: CandidateKey,
    /// Route of the calls: name of the pipeline, or of the service that was called directly.
    pub route: Arc<str>,
}

/// Status of a candidate's rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateStatus {
    /// Version and attempt.
    pub candidate: CandidateKey,
    /// Whether the candidate is on trial only.
    pub trial: bool,
    /// State of the rollout.
    pub state: RolloutState,
    /// Current step of the traffic share, from 0; 0 until a row is known.
    pub step: u32,
    /// Share of the service's traffic that the candidate gets, 0 to 1.
    pub share: f64,
    /// Reason why the candidate was rolled back; empty otherwise.
    pub reason: Arc<str>,
    /// Whether a row of the table service with this state is known.
    pub recorded: bool,
}

/// Counts of calls at one node instance, by version and route.
pub type InstanceCounts = BTreeMap<CountKey, RouteTally>;

/// Rollouts of candidates by service, and counts by version and route.
#[derive(Clone, Debug, Default)]
pub struct VersionTable {
    /// Furthest known row of each candidate of the document in force; no entry until a row is known.
    pub rollouts: BTreeMap<ServiceName, RolloutRow>,
    /// Candidates that were found bad and get no traffic any more, with the reason.
    pub bad_candidates: BTreeMap<CandidateKey, Arc<str>>,
    /// This instance's own counts.
    pub own_counts: InstanceCounts,
    /// Counts that other instances reported; counts of instances that ended are kept.
    pub peer_counts: BTreeMap<InstanceId, InstanceCounts>,
    /// Tail latencies of stable versions, by route.
    latency_tails: BTreeMap<CountKey, LatencyTail>,
}

impl VersionTable {
    /// Limit of other instances whose counts are kept.
    const MAX_INSTANCES: usize = 2_048;
    /// Limit of counts kept per instance.
    const MAX_COUNTS_PER_INSTANCE: usize = 512;

    /// Drops rollouts and findings of candidates that `document` does not name, and counts of versions that it does not
    /// compare.
    pub fn install(&mut self, document: &Document) {
        self.rollouts.retain(|service, row| candidate_of(document, service).as_ref() == Some(&row.candidate));
        self.bad_candidates.retain(|candidate, _| is_candidate(document, candidate));
        let is_wanted = |key: &CountKey| is_counted(document, &key.candidate);
        self.own_counts.retain(|key, _| is_wanted(key));
        self.latency_tails.retain(|key, _| is_wanted(key));
        for counts in self.peer_counts.values_mut() {
            counts.retain(|key, _| is_wanted(key));
        }
        self.peer_counts.retain(|_, counts| !counts.is_empty());
    }

    /// Returns the versions to try for a call, in order; empty if the service is unknown.
    ///
    /// `draw` is a uniform random number from 0 to 1.
    #[must_use]
    pub fn versions_to_try(&self, document: &Document, service: &ServiceName, draw: f64) -> Vec<VersionName> {
        let Some(spec) = document.services.get(service) else { return Vec::new() };
        let stable = spec.stable.clone();
        let Some(candidate) = &spec.candidate else { return vec![stable] };
        let share = self.candidate_share(service, candidate);
        if share >= 1.0 {
            return vec![candidate.version.clone()];
        }
        if draw < share { vec![candidate.version.clone(), stable] } else { vec![stable] }
    }

    /// Returns the share of a service's traffic that its candidate gets, 0 to 1; 0 while no row is known.
    #[must_use]
    pub fn candidate_share(&self, service: &ServiceName, candidate: &CandidateSpec) -> f64 {
        // Without a row it is unknown whether the version was rolled back.
        let Some(row) = self.rollouts.get(service) else { return 0.0 };
        if self.bad_candidates.contains_key(&row.candidate) {
            return 0.0;
        }
        match row.state {
            RolloutState::RolledBack | RolloutState::Proved => 0.0,
            RolloutState::Finished => 1.0,
            RolloutState::Comparing if candidate.trial_only => candidate.first_share,
            RolloutState::Comparing => step_share(candidate, row.step),
        }
    }

    /// Returns the status of each candidate of `document`, as this node knows it.
    #[must_use]
    pub fn candidate_statuses(&self, document: &Document) -> Vec<CandidateStatus> {
        let services = document.services.iter();
        services
            .filter_map(|(service, spec)| Some(self.candidate_status(service, spec, spec.candidate.as_ref()?)))
            .collect()
    }

    fn candidate_status(
        &self,
        service: &ServiceName,
        spec: &ServiceSpec,
        candidate_spec: &CandidateSpec,
    ) -> CandidateStatus {
        let candidate = candidate_key(service, spec, &candidate_spec.version);
        let row = self.rollouts.get(service);
        let mut status = CandidateStatus {
            trial: row.map_or(candidate_spec.trial_only, |row| row.trial),
            state: row.map_or(RolloutState::Comparing, |row| row.state),
            step: row.map_or(0, |row| row.step),
            share: self.candidate_share(service, candidate_spec),
            reason: row.map(|row| row.reason.clone()).unwrap_or_default(),
            recorded: row.is_some(),
            candidate,
        };
        if let Some(reason) = self.bad_candidates.get(&status.candidate)
            && status.state != RolloutState::RolledBack
        {
            status.state = RolloutState::RolledBack;
            status.reason = reason.clone();
            status.recorded = false;
        }
        status
    }

    /// Returns this instance's tally of a version on a route, for updating; it is created empty if missing.
    pub fn own_tally_mut(&mut self, key: CountKey) -> &mut RouteTally {
        self.own_counts.entry(key).or_default()
    }

    /// Returns the tail latency of a stable version on a route, for updating; it is created empty if missing.
    pub fn latency_tail_mut(&mut self, key: CountKey) -> &mut LatencyTail {
        self.latency_tails.entry(key).or_default()
    }

    /// Merges counts that a peer reported for `instance`.
    ///
    /// Counts of versions that are not compared, and counts beyond the limits, are dropped.
    pub fn merge_peer_counts(&mut self, document: &Document, instance: InstanceId, counts: &[VersionCounts]) {
        if self.peer_counts.len() >= Self::MAX_INSTANCES && !self.peer_counts.contains_key(&instance) {
            return;
        }
        for reported in counts.iter().filter(|reported| is_counted(document, &reported.key.candidate)) {
            let known = self.peer_counts.entry(instance).or_default();
            if known.len() < Self::MAX_COUNTS_PER_INSTANCE || known.contains_key(&reported.key) {
                let tally = known.entry(reported.key.clone()).or_default();
                *tally = tally.latest(reported.tally);
            }
        }
    }

    /// Returns the counts of a version summed over all instances, by route.
    #[must_use]
    pub fn totals(&self, candidate: &CandidateKey) -> BTreeMap<Arc<str>, RouteTally> {
        let mut totals: BTreeMap<Arc<str>, RouteTally> = BTreeMap::new();
        for counts in self.peer_counts.values().chain([&self.own_counts]) {
            for (key, tally) in counts.iter().filter(|(key, _)| key.candidate == *candidate) {
                let total = totals.entry(key.route.clone()).or_default();
                *total = total.plus(*tally);
            }
        }
        totals
    }
}

/// Returns the share of traffic, 0 to 1, that a candidate gets at a step counted from 0; 1 after the last step.
#[must_use]
pub fn step_share(candidate: &CandidateSpec, step: u32) -> f64 {
    step_shares(candidate).nth(step as usize).unwrap_or(1.0)
}

/// Returns the number of steps with a limited share before a candidate carries all traffic.
#[must_use]
pub fn step_count(candidate: &CandidateSpec) -> u32 {
    step_shares(candidate).count() as u32
}

fn step_shares(candidate: &CandidateSpec) -> impl Iterator<Item = f64> {
    let first = candidate.first_share;
    std::iter::once(first).chain(STEP_SHARES.into_iter().filter(move |share| *share > first))
}

/// Returns the key of the candidate that the document names for a service, or `None` if it names none.
#[must_use]
pub fn candidate_of(document: &Document, service: &ServiceName) -> Option<CandidateKey> {
    let spec = document.services.get(service)?;
    let candidate = spec.candidate.as_ref()?;
    Some(candidate_key(service, spec, &candidate.version))
}

/// Returns the key of a version of a service, with the attempt number if the version is the candidate, otherwise 0.
#[must_use]
pub fn candidate_key(service: &ServiceName, spec: &ServiceSpec, version: &VersionName) -> CandidateKey {
    let matching_candidate = spec.candidate.as_ref().filter(|candidate| candidate.version == *version);
    CandidateKey {
        version: VersionKey { service: service.clone(), version: version.clone() },
        attempt: matching_candidate.map_or(0, |candidate| candidate.attempt),
    }
}

fn is_candidate(document: &Document, candidate: &CandidateKey) -> bool {
    candidate_of(document, &candidate.version.service).as_ref() == Some(candidate)
}

/// Returns whether calls of a version are counted, because it is compared with another version of its service.
fn is_counted(document: &Document, candidate: &CandidateKey) -> bool {
    let Some(spec) = document.services.get(&candidate.version.service) else { return false };
    let compared = [Some(&spec.stable), spec.candidate.as_ref().map(|candidate| &candidate.version)];
    spec.candidate.is_some()
        && compared.into_iter().flatten().any(|version| {
            let key = candidate_key(&candidate.version.service, spec, version);
            key == *candidate
        })
}
