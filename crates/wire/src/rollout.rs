//! Encoded form of the reports on rollouts in heartbeats.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::judge::RouteTallies;
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::rollout::{RecordedState, RolloutPhase, RolloutReport, VersionTallies};
use wasabipier_core::tally::RouteTally;

use crate::relay::{WireVersion, version_from_wire, version_to_wire};

/// Encoded form of [`RouteTally`]: the name of the route, and the counts in the order of the fields.
type WireTally = (String, [u64; 9]);

/// Encoded form of [`RolloutReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRolloutReport {
    service: String,
    order_version: WireVersion,
    age_ms: u32,
    /// Number of the [`RolloutPhase`].
    phase: u8,
    /// Number of the [`RecordedState`].
    recorded: Option<u8>,
    candidate: Vec<WireTally>,
    stable: Vec<WireTally>,
}

fn tallies_to_wire(tallies: &RouteTallies) -> Vec<WireTally> {
    let counts = |tally: &RouteTally| {
        [
            tally.calls,
            tally.faults,
            tally.timed,
            tally.slow,
            tally.cold_calls,
            tally.cold_faults,
            tally.cold_timed,
            tally.cold_slow,
            tally.crashes,
        ]
    };
    tallies.iter().map(|(route, tally)| (route.to_string(), counts(tally))).collect()
}

fn tallies_from_wire(tallies: Vec<WireTally>) -> RouteTallies {
    let decode = |counts: [u64; 9]| {
        let [calls, faults, timed, slow, cold_calls, cold_faults, cold_timed, cold_slow, crashes] = counts;
        RouteTally { calls, faults, timed, slow, cold_calls, cold_faults, cold_timed, cold_slow, crashes }
    };
    tallies.into_iter().map(|(route, counts)| (Arc::from(route), decode(counts))).collect()
}

impl From<&RolloutReport> for WireRolloutReport {
    fn from(report: &RolloutReport) -> Self {
        Self {
            service: report.service.to_string(),
            order_version: version_to_wire(report.order_version),
            age_ms: report.age_ms,
            phase: report.phase as u8,
            recorded: report.recorded.map(|state| state as u8),
            candidate: tallies_to_wire(&report.tallies.candidate),
            stable: tallies_to_wire(&report.tallies.stable),
        }
    }
}

impl WireRolloutReport {
    /// Decodes the report. Returns `None` if it has a phase or state that this release does not know.
    #[must_use]
    pub fn into_report(self) -> Option<RolloutReport> {
        let recorded = match self.recorded {
            Some(number) => Some(RecordedState::from_repr(number)?),
            None => None,
        };
        Some(RolloutReport {
            service: ServiceName::new(self.service),
            order_version: version_from_wire(self.order_version),
            age_ms: self.age_ms,
            phase: RolloutPhase::from_repr(self.phase)?,
            recorded,
            tallies: VersionTallies {
                candidate: tallies_from_wire(self.candidate),
                stable: tallies_from_wire(self.stable),
            },
        })
    }
}
