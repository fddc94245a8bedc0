//! Candidate versions: their share of traffic and what was counted of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::document::Document;
use crate::message::VersionCounts;
use crate::names::{InstanceId, ServiceName, VersionKey, VersionName};
use crate::store::{RolloutRow, RolloutState};

/// Shares of traffic, by step, before a candidate carries all of it.
pub const STEP_SHARES: [f64; 4] = [0.01, 0.05, 0.25, 0.5];

/// Candidates by service, and counts by version and route.
#[derive(Clone, Debug, Default)]
pub struct VersionTable {
    /// How far each candidate has come.
    pub rollouts: BTreeMap<ServiceName, RolloutRow>,
    /// Versions that get no traffic any more, with the reason.
    pub bad: BTreeMap<VersionKey, Arc<str>>,
    /// This instance's own counts.
    pub own: BTreeMap<(VersionKey, Arc<str>), VersionCounts>,
    /// Counts of other instances, as told.
    pub told: BTreeMap<InstanceId, Vec<VersionCounts>>,
}

impl VersionTable {
    /// Forgets candidates that the document does not name any more.
    pub fn install(&mut self, document: &Document) {
        self.rollouts.retain(|service, row| {
            let candidate = document.services.get(service).and_then(|spec| spec.candidate.as_ref());
            candidate.is_some_and(|candidate| candidate.version == row.version.version)
        });
    }

    /// Versions to try for a call, in order; `draw` is uniform in 0 to 1.
    #[must_use]
    pub fn order(&self, document: &Document, service: &ServiceName, draw: f64) -> Vec<VersionName> {
        let Some(spec) = document.services.get(service) else { return Vec::new() };
        let stable = spec.stable.clone();
        let Some(candidate) = &spec.candidate else { return vec![stable] };
        let key = VersionKey { service: service.clone(), version: candidate.version.clone() };
        if self.bad.contains_key(&key) {
            return vec![stable];
        }
        let (state, step) =
            self.rollouts.get(service).map_or((RolloutState::Comparing, 0), |row| (row.state, row.step));
        match state {
            RolloutState::TakenBack => vec![stable],
            RolloutState::Finished => vec![candidate.version.clone()],
            RolloutState::Comparing => {
                let share = STEP_SHARES.get(step as usize).copied().unwrap_or(1.0).max(candidate.first_share);
                if draw < share { vec![candidate.version.clone(), stable] } else { vec![stable] }
            }
        }
    }

    /// This instance's counts of a version on a route, to add to.
    pub fn count(&mut self, version: &VersionKey, route: &Arc<str>) -> &mut VersionCounts {
        self.own.entry((version.clone(), route.clone())).or_insert_with(|| VersionCounts {
            version: version.clone(),
            route: route.clone(),
            calls: 0,
            faults: 0,
            slow: 0,
        })
    }
}
