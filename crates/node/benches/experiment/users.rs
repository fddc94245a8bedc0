//! The two companies that use wasabipier ("users"), as the bench simulates them: their services, numbers of targets and
//! organisations.

use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::{ServicePlan, TestPlan};

/// Number of nodes in each environment.
const NODE_COUNT: usize = 7;

/// Kind of request with its share of the traffic.
#[derive(Clone, Copy, Debug)]
pub struct RequestMix {
    /// Path of the goal: `pipelines/NAME` or `services/NAME`.
    pub goal: &'static str,
    /// Share of all requests, from 0 to 1.
    pub share: f64,
    /// Deadline of each request.
    pub deadline: Duration,
}

/// Company that runs wasabipier, with the traffic and services of its one environment.
#[derive(Clone, Debug)]
pub struct UserPlan {
    /// Name of the company.
    pub name: &'static str,
    /// Kinds of requests in the traffic.
    pub mix: [RequestMix; 5],
    /// Organisations with their weights in the traffic.
    pub orgs: &'static [(&'static str, u32)],
    region: &'static str,
    pipeline: &'static str,
    /// Services with their numbers of targets, in this order: the model, the one whose calls must not be repeated, and
    /// three look-ups.
    target_counts: [(&'static str, usize); 5],
}

const fn request_mix(goal: &'static str, share: f64, deadline_ms: u64) -> RequestMix {
    RequestMix { goal, share, deadline: Duration::from_millis(deadline_ms) }
}

impl UserPlan {
    /// Returns the plans of Crease & Net and Rantaradan.
    pub fn all() -> [Self; 2] {
        let crease = Self {
            name: "Crease & Net",
            mix: [
                request_mix("pipelines/season-plan", 0.3, 3000),
                request_mix("services/bookings", 0.25, 2000),
                request_mix("services/clubs", 0.15, 1000),
                request_mix("services/coaches", 0.2, 1000),
                request_mix("services/notify", 0.1, 1000),
            ],
            orgs: &[("lions", 5), ("swallows", 3), ("dusk", 1), ("harbour", 1), ("nets", 1)],
            region: "khomas",
            pipeline: "season-plan",
            target_counts: [("coachmodel", 12), ("bookings", 3), ("clubs", 3), ("coaches", 5), ("notify", 5)],
        };
        let rantaradan = Self {
            name: "Rantaradan",
            mix: [
                request_mix("pipelines/itinerary", 0.3, 3000),
                request_mix("services/lippukassa", 0.25, 2000),
                request_mix("services/aikataulu", 0.15, 1000),
                request_mix("services/kioski", 0.2, 1000),
                request_mix("services/hotellilinkki", 0.1, 1000),
            ],
            orgs: &[("lions", 5), ("ranta", 3), ("laituri", 1), ("hotelli", 1), ("kioskit", 1)],
            region: "pohjanranta",
            pipeline: "itinerary",
            target_counts: [
                ("kielipalvelu", 12),
                ("lippukassa", 3),
                ("aikataulu", 3),
                ("kioski", 6),
                ("hotellilinkki", 5),
            ],
        };
        [crease, rantaradan]
    }

    /// Returns the name of the service whose calls must not be repeated.
    pub fn booking_service(&self) -> &'static str {
        self.target_counts[1].0
    }

    /// Returns the services that get a new version, with the faults of its targets: first one without faults, then one
    /// with a version at which 30 % of the calls fail.
    pub fn candidates(&self) -> [(&'static str, FaultSettings); 2] {
        let faults = FaultSettings { fail_share: 0.3, ..FaultSettings::default() };
        [(self.target_counts[3].0, FaultSettings::default()), (self.target_counts[2].0, faults)]
    }

    /// Returns the plan of the service with this name, or the default plan if there is none.
    pub fn service(&self, name: &str) -> ServicePlan {
        self.services().into_iter().find(|service| service.name == name).unwrap_or_default()
    }

    /// Returns all services: those of the stages before the model, then the five of this user.
    pub fn services(&self) -> Vec<ServicePlan> {
        let settings = |work_ms| TargetSettings {
            work_duration: Duration::from_millis(work_ms),
            cold_capacity: 2,
            warm_capacity: 6,
            tokens: 40,
            ..TargetSettings::default()
        };
        let stage_service =
            |name, kind| ServicePlan { name, kind, target_count: 3, settings: settings(10), ..ServicePlan::default() };
        let mut services = vec![
            stage_service("encoder", ServiceKind::Encode),
            stage_service("retriever", ServiceKind::Retrieve),
            stage_service("reranker", ServiceKind::Rerank),
        ];
        for (number, (name, target_count)) in self.target_counts.into_iter().enumerate() {
            let kind = if number == 0 { ServiceKind::Generate } else { ServiceKind::Plain };
            let work_ms = if number == 0 { 10 } else { 60 };
            let settings = settings(work_ms);
            services.push(ServicePlan {
                name,
                kind,
                target_count,
                repeatable: number != 1,
                settings,
                ..ServicePlan::default()
            });
        }
        services
    }

    /// Returns the plan of the environment. The baseline takes targets in turn, without limits, early refusal, hedges
    /// or a retry budget.
    pub fn test_plan(&self, binary: &'static str, baseline: bool) -> TestPlan {
        const BASELINE_TUNING: &str =
            "round_robin = yes\nearly_refusal = no\nhedging = no\nretry_share = 1000\nretry_burst = 1000000";
        TestPlan {
            node_count: NODE_COUNT,
            services: self.services(),
            region: self.region,
            orgs: self.orgs,
            pipeline: self.pipeline,
            concurrency_limit: baseline.then_some(10_000),
            tuning_lines: if baseline { BASELINE_TUNING } else { "" },
            ..TestPlan::typical(binary)
        }
    }
}
