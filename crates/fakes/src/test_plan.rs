//! Plan of a test environment: nodes, services, targets and settings.

use wasabipier_core::document::ServiceKind;

use crate::target::TargetSettings;

/// Service of a plan.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// Kind of the service, which decides the kind of stand-in and whether the service is a stage.
    pub kind: ServiceKind,
    /// Whether calls of the service may be repeated.
    pub repeatable: bool,
    /// Number of targets of version `v1`.
    pub target_count: usize,
    /// Behaviour of the targets' stand-ins.
    pub settings: TargetSettings,
    /// Further lines of the service's section in the document.
    pub extra_lines: &'static str,
}

impl Default for ServicePlan {
    fn default() -> Self {
        Self {
            name: "clubs",
            kind: ServiceKind::Plain,
            repeatable: true,
            target_count: 1,
            settings: TargetSettings::default(),
            extra_lines: "",
        }
    }
}

/// Plan of a test environment.
#[derive(Clone, Debug)]
pub struct TestPlan {
    /// Path of the nodes' binary, from `env!("CARGO_BIN_EXE_wasabipier")`.
    pub binary: &'static str,
    /// Number of nodes, spread over three data centres.
    pub node_count: usize,
    /// Services and their targets.
    pub services: Vec<ServicePlan>,
    /// Region, whose name is the prefix of the data centres' names.
    pub region: &'static str,
    /// Organisations with their weights in the document. `lions` must be among them, since tests send its requests.
    pub orgs: &'static [(&'static str, u32)],
    /// Name of the pipeline, whose stages are all services that are not plain, in their order.
    pub pipeline: &'static str,
    /// Number of calls at once that the document allows at each target, cold or warm. `None` allows as many as the
    /// target's stand-in serves at full speed.
    pub concurrency_limit: Option<u32>,
    /// Lines of the `[tuning]` section in the settings of all nodes.
    pub tuning_lines: &'static str,
    /// Further lines of the `[edges]` section in the settings of all nodes.
    pub edge_lines: &'static str,
}

impl TestPlan {
    /// Returns a plan of three nodes with the kinds of service that the two companies that use wasabipier run: a
    /// pipeline of four stages, bookings that must not be repeated and look-ups that may be.
    #[must_use]
    pub fn typical(binary: &'static str) -> Self {
        let stage = |name, kind, target_count| ServicePlan { name, kind, target_count, ..ServicePlan::default() };
        let services = vec![
            stage("encoder", ServiceKind::Encode, 1),
            stage("retriever", ServiceKind::Retrieve, 1),
            stage("reranker", ServiceKind::Rerank, 1),
            stage("coachmodel", ServiceKind::Generate, 2),
            ServicePlan { name: "bookings", repeatable: false, target_count: 2, ..ServicePlan::default() },
            ServicePlan { target_count: 2, ..ServicePlan::default() },
        ];
        Self {
            binary,
            node_count: 3,
            services,
            region: "khomas",
            orgs: &[("lions", 1), ("swallows", 1)],
            pipeline: "season-plan",
            concurrency_limit: None,
            tuning_lines: "",
            edge_lines: "",
        }
    }
}
