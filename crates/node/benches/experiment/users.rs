//! Both users: their services, sizes and organisations.

use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::{ServicePlan, TestPlan};

/// Nodes of each user.
const NODES: usize = 7;

/// One kind of request and its share of the traffic.
#[derive(Clone, Copy, Debug)]
pub struct RequestMix {
    /// `pipelines/NAME` or `services/NAME`.
    pub goal: &'static str,
    /// Share of requests.
    pub share: f64,
    /// Deadline.
    pub deadline: Duration,
}

/// One user.
#[derive(Clone, Debug)]
pub struct UserPlan {
    /// Name.
    pub name: &'static str,
    /// Requests.
    pub mix: [RequestMix; 5],
    /// Organisations with their shares of the traffic.
    pub orgs: &'static [(&'static str, u32)],
    region: &'static str,
    pipeline: &'static str,
    /// The model, the calls that must not be repeated, and three look-ups, with their targets.
    sizes: [(&'static str, usize); 5],
}

const fn mix(goal: &'static str, share: f64, deadline_ms: u64) -> RequestMix {
    RequestMix { goal, share, deadline: Duration::from_millis(deadline_ms) }
}

impl UserPlan {
    /// Crease & Net and Rantaradan.
    pub fn all() -> [Self; 2] {
        let crease = Self {
            name: "Crease & Net",
            mix: [
                mix("pipelines/season-plan", 0.3, 3000),
                mix("services/bookings", 0.25, 2000),
                mix("services/clubs", 0.15, 1000),
                mix("services/coaches", 0.2, 1000),
                mix("services/notify", 0.1, 1000),
            ],
            orgs: &[("lions", 5), ("swallows", 3), ("dusk", 1), ("harbour", 1), ("nets", 1)],
            region: "khomas",
            pipeline: "season-plan",
            sizes: [("coachmodel", 12), ("bookings", 3), ("clubs", 3), ("coaches", 5), ("notify", 5)],
        };
        let rantaradan = Self {
            name: "Rantaradan",
            mix: [
                mix("pipelines/itinerary", 0.3, 3000),
                mix("services/lippukassa", 0.25, 2000),
                mix("services/aikataulu", 0.15, 1000),
                mix("services/kioski", 0.2, 1000),
                mix("services/hotellilinkki", 0.1, 1000),
            ],
            orgs: &[("lions", 5), ("ranta", 3), ("laituri", 1), ("hotelli", 1), ("kioskit", 1)],
            region: "pohjanranta",
            pipeline: "itinerary",
            sizes: [("kielipalvelu", 12), ("lippukassa", 3), ("aikataulu", 3), ("kioski", 6), ("hotellilinkki", 5)],
        };
        [crease, rantaradan]
    }

    /// The service whose calls must not be repeated.
    pub fn booking(&self) -> &'static str {
        self.sizes[1].0
    }

    /// Services that get a new version: first a good one, then one that fails.
    pub fn candidates(&self) -> [(&'static str, FaultSettings); 2] {
        let bad = FaultSettings { fail_share: 0.3, ..FaultSettings::default() };
        [(self.sizes[3].0, FaultSettings::default()), (self.sizes[2].0, bad)]
    }

    /// One service.
    pub fn service(&self, name: &str) -> ServicePlan {
        self.services().into_iter().find(|service| service.name == name).unwrap_or_default()
    }

    /// All services: pools for the stages before the model, then those of the brief.
    pub fn services(&self) -> Vec<ServicePlan> {
        let settings = |work_ms| TargetSettings {
            work: Duration::from_millis(work_ms),
            cold_bears: 2,
            warm_bears: 6,
            tokens: 40,
            ..TargetSettings::default()
        };
        let pool =
            |name, kind| ServicePlan { name, kind, targets: 3, settings: settings(10), ..ServicePlan::default() };
        let mut services = vec![
            pool("encoder", ServiceKind::Encode),
            pool("retriever", ServiceKind::Retrieve),
            pool("reranker", ServiceKind::Rerank),
        ];
        for (number, (name, targets)) in self.sizes.into_iter().enumerate() {
            let kind = if number == 0 { ServiceKind::Generate } else { ServiceKind::Plain };
            let work_ms = if number == 0 { 10 } else { 60 };
            let settings = settings(work_ms);
            services.push(ServicePlan {
                name,
                kind,
                targets,
                repeatable: number != 1,
                settings,
                ..ServicePlan::default()
            });
        }
        services
    }

    /// The environment; the baseline takes targets in turn, without limits, early refusal or a retry budget.
    pub fn test_plan(&self, binary: &'static str, baseline: bool) -> TestPlan {
        const PLAIN: &str =
            "round_robin = yes\nearly_refusal = no\nhedging = no\nretry_share = 1000\nretry_burst = 1000000";
        TestPlan {
            nodes: NODES,
            services: self.services(),
            region: self.region,
            orgs: self.orgs,
            pipeline: self.pipeline,
            limit: baseline.then_some(10_000),
            tuning: if baseline { PLAIN } else { "" },
            ..TestPlan::typical(binary)
        }
    }
}
