//! Inputs of the decision, and how they follow from what a node knows.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ScalingLimits;
use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, NodeName, ServiceName};
use crate::relay::board::RelayBoard;
use crate::relay::document::{RelayRoute, ScalingSpec};
use crate::relay::duties::DutyKind;
use crate::relay::members::{CallVersion, PeerView};
use crate::relay::rows::{TableCopy, TableId};

/// Load of a service's targets in one data centre, as all nodes put it on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DcLoad {
    /// Number of targets that are not leaving.
    pub present: u32,
    /// Number of targets that are leaving.
    pub leaving: u32,
    /// Calls in flight, also at leaving targets.
    pub in_flight: u32,
    /// Prompt tokens that have not been processed yet.
    pub unread_tokens: u64,
    /// Total slots of all targets, also of leaving ones.
    pub slots: u64,
    /// Whether the data centre gets no new work.
    pub is_closed: bool,
}

impl DcLoad {
    /// Returns the number of targets whose slots the calls in flight fill.
    #[must_use]
    pub fn occupied_targets(&self) -> f64 {
        (f64::from(self.in_flight) / self.slots_per_target()).ceil()
    }

    fn slots_per_target(&self) -> f64 {
        let count = f64::from(self.present) + f64::from(self.leaving);
        (self.slots as f64 / count.max(1.0)).max(1.0)
    }
}

/// Loads of a service that can be scaled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Limits of the document.
    pub spec: ScalingSpec,
    /// Strictest latency objective of the routes to the service.
    pub objective: Duration,
    /// Prompt tokens that a target processes per millisecond.
    pub tokens_per_ms: f64,
    /// Time for which a new target remains cold.
    pub cold_time: Duration,
    /// Loads by data centre.
    pub dcs: BTreeMap<DcName, DcLoad>,
}

impl ServiceLoad {
    /// Returns the number of targets that a load keeps usefully busy, by its calls or by its tokens.
    #[must_use]
    pub fn load_in_targets(&self, load: &DcLoad, limits: &ScalingLimits) -> f64 {
        let calls_per_target = (load.slots_per_target() * limits.usable_slot_ratio).max(1.0);
        let read_ms = self.objective.as_secs_f64() * 1e3 * limits.usable_objective_ratio;
        let tokens_per_target = (read_ms * self.tokens_per_ms).max(1.0);
        (f64::from(load.in_flight) / calls_per_target).max(load.unread_tokens as f64 / tokens_per_target)
    }
}

/// How complete and how recent the loads are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadEvidence {
    /// Age of the oldest report that the loads include.
    pub load_age: Duration,
    /// Time since the list of targets was known to be up to date.
    pub targets_age: Duration,
    /// Number of nodes that are known and not leaving, including this one.
    pub known_nodes: usize,
    /// Number of those that are alive.
    pub live_nodes: usize,
    /// Whether the loads of all nodes are told to this one.
    pub is_told: bool,
}

impl LoadEvidence {
    /// Returns whether the evidence is sufficient to give up targets.
    #[must_use]
    pub fn is_sufficient(&self, limits: &ScalingLimits) -> bool {
        let silent_nodes = self.known_nodes.saturating_sub(self.live_nodes);
        let are_most_heard = silent_nodes as f64 <= self.known_nodes as f64 * limits.max_silent_ratio;
        self.is_told && are_most_heard && self.load_age.max(self.targets_age) <= limits.max_load_age
    }
}

/// Loads of all services that can be scaled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// Loads by service.
    pub services: BTreeMap<ServiceName, ServiceLoad>,
    /// How complete and recent they are.
    pub evidence: LoadEvidence,
}

impl RelayBoard {
    /// Returns the loads of the services that can be scaled, as this node knows them.
    #[must_use]
    pub fn fleet_load(&self, now: Moment) -> FleetLoad {
        let scaled = self.index.services.iter().filter_map(|(name, service)| Some((name, service.scaling?)));
        let services = scaled.map(|(name, spec)| (name.clone(), self.service_load(name, spec))).collect();
        FleetLoad { services, evidence: self.load_evidence(now) }
    }

    /// Returns whether `node` competes for the duty, and so is told the loads of the services that can be scaled.
    #[must_use]
    pub fn is_scaling_candidate(&self, node: &NodeName, now: Moment) -> bool {
        self.duty_candidates(DutyKind::Autoscale, now).iter().any(|(candidate, _)| candidate == node)
    }

    fn service_load(&self, name: &ServiceName, spec: ScalingSpec) -> ServiceLoad {
        let mut dcs: BTreeMap<DcName, DcLoad> = BTreeMap::new();
        let mut cold_time = Duration::ZERO;
        for view in self.targets.of(name) {
            let load = dcs.entry(view.entry.dc.clone()).or_default();
            load.is_closed = self.closed_dcs.contains(&view.entry.dc);
            load.in_flight = load.in_flight.saturating_add(view.total_in_flight());
            load.unread_tokens += u64::from(view.total_pending_tokens());
            load.slots += u64::from(view.entry.slots);
            if view.entry.leaving {
                load.leaving += 1;
            } else {
                load.present += 1;
                cold_time = cold_time.max(view.entry.cold_time);
            }
        }
        let uses_service = |route: &&RelayRoute| {
            route.services.iter().any(|weighted| weighted.service == *name && weighted.weight > 0)
                || route.stages.iter().any(|stage| stage.service == *name)
        };
        let objective = self.index.routes().filter(uses_service).map(|route| route.objective).min();
        ServiceLoad {
            spec,
            objective: objective.unwrap_or(RelayRoute::default().objective),
            tokens_per_ms: self.tuning.weights.tokens_per_ms,
            cold_time,
            dcs,
        }
    }

    /// Returns how complete and recent the loads are. A follower knows those that its hub tells.
    fn load_evidence(&self, now: Moment) -> LoadEvidence {
        let is_follower = !self.is_small_fleet() && !self.is_hub(now);
        let hub = self.hub(&self.identity.dc, now).and_then(|hub| self.members.get(hub));
        let tells = |view: &PeerView| view.heartbeat.call_version >= CallVersion::DUTIES;
        let is_told = !is_follower || (hub.is_some_and(tells) && self.is_scaling_candidate(&self.identity.node, now));
        let reporters = self.members.alive(now).filter(|view| self.counts_loads_of(&view.heartbeat.node, now));
        let load_age = reporters.map(|view| now.since(view.last_heartbeat_at)).max().unwrap_or_default();
        let confirmed_at = self.copies.get(&TableId::Targets).and_then(TableCopy::confirmed_at).unwrap_or_default();
        let is_staying = |view: &&PeerView| view.heartbeat.state != NodeState::Leaving;
        LoadEvidence {
            load_age,
            targets_age: now.since(confirmed_at),
            known_nodes: 1 + self.members.known().filter(is_staying).count(),
            live_nodes: 1 + self.members.alive(now).filter(is_staying).count(),
            is_told,
        }
    }
}
