//! What a test environment starts with.

use wasabipier_core::document::ServiceKind;

use crate::target::TargetSettings;

/// One service of a plan.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name.
    pub name: &'static str,
    /// Kind.
    pub kind: ServiceKind,
    /// Whether its calls may be repeated.
    pub repeatable: bool,
    /// Targets of version `v1`.
    pub targets: usize,
    /// Behaviour of the stand-ins.
    pub settings: TargetSettings,
    /// More lines for its section of the document.
    pub extra: &'static str,
}

impl Default for ServicePlan {
    fn default() -> Self {
        Self {
            name: "clubs",
            kind: ServiceKind::Plain,
            repeatable: true,
            targets: 1,
            settings: TargetSettings::default(),
            extra: "",
        }
    }
}

/// What a test environment starts with.
#[derive(Clone, Debug)]
pub struct TestPlan {
    /// The real binary, from `env!("CARGO_BIN_EXE_wasabipier")`.
    pub binary: &'static str,
    /// Nodes, spread over three data centres.
    pub nodes: usize,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Region, which names the data centres.
    pub region: &'static str,
    /// Organisations with their weights; `lions` is among them.
    pub orgs: &'static [(&'static str, u32)],
    /// The pipeline over all services that are not plain.
    pub pipeline: &'static str,
    /// Calls at once that the document allows at each target, in place of what the stand-ins bear.
    pub limit: Option<u32>,
    /// Lines for the `[tuning]` section of all nodes.
    pub tuning: &'static str,
    /// Lines for the `[edges]` section of all nodes.
    pub edges: &'static str,
}

impl TestPlan {
    /// Both users' kinds of service: a pipeline of four stages, a booking and a look-up.
    #[must_use]
    pub fn typical(binary: &'static str) -> Self {
        let stage = |name, kind, targets| ServicePlan { name, kind, targets, ..ServicePlan::default() };
        let services = vec![
            stage("encoder", ServiceKind::Encode, 1),
            stage("retriever", ServiceKind::Retrieve, 1),
            stage("reranker", ServiceKind::Rerank, 1),
            stage("coachmodel", ServiceKind::Generate, 2),
            ServicePlan { name: "bookings", repeatable: false, targets: 2, ..ServicePlan::default() },
            ServicePlan { targets: 2, ..ServicePlan::default() },
        ];
        Self {
            binary,
            nodes: 3,
            services,
            region: "khomas",
            orgs: &[("lions", 1), ("swallows", 1)],
            pipeline: "season-plan",
            limit: None,
            tuning: "",
            edges: "",
        }
    }
}
