//! Document, goals and expected answers of the simulated fleet.

use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::document::{
    Admission, DcSpec, EngineRole, LoadSpec, OrgSpec, PipelineSpec, ServiceKind, ServiceSpec, TargetSpec,
};
use wasabipier_core::prelude::*;

/// Number of tokens in each answer of a `gen` target.
pub const TOKEN_COUNT: u32 = 5;
/// Request body that crashes each target that runs it.
pub const CRASHING_BODY: &str = "crashing";
/// Request bodies. The last one is used only by the checks after recovery.
pub const BODIES: [&str; 4] = ["plain", "other", CRASHING_BODY, "fresh"];

/// Targets, as names of the target, its service and its data centre.
pub const TARGETS: [(&str, &str, &str); 7] = [
    ("enc-1", "enc", "east"),
    ("enc-2", "enc", "west"),
    ("gen-1", "gen", "east"),
    ("gen-2", "gen", "west"),
    ("gen-3", "gen", "west"),
    ("book-1", "book", "east"),
    ("book-2", "book", "west"),
];

/// Returns a goal of requests by its index modulo 4: two pipelines and two services. One of each two must not run twice
/// for a request.
pub fn goal(number: u8) -> Goal {
    match number % 4 {
        0 => Goal::Service("book".into()),
        1 => Goal::Pipeline("plan".into()),
        2 => Goal::Pipeline("sell".into()),
        _ => Goal::Service("gen".into()),
    }
}

/// Returns the services that a goal runs, in order.
pub fn stages(goal: &Goal) -> Vec<&'static str> {
    match goal {
        Goal::Pipeline(name) if name.as_str() == "plan" => vec!["enc", "gen"],
        Goal::Pipeline(_) => vec!["enc", "book"],
        Goal::Service(name) if name.as_str() == "book" => vec!["book"],
        Goal::Service(_) => vec!["gen"],
    }
}

/// Returns whether a goal contains the service `book`, which must not run twice for a request.
pub fn is_at_most_once(goal: &Goal) -> bool {
    stages(goal).contains(&"book")
}

/// Returns the parts of a target's answer: tokens if `service` streams (`gen`), otherwise a single part.
///
/// `previous` is the answer of the pipeline's previous stage.
pub fn answer_parts(service: &str, key: &RequestKey, body: &str, previous: &str) -> Vec<Arc<str>> {
    let count = if service == "gen" { TOKEN_COUNT } else { 1 };
    (0..count).map(|index| format!("{service}({key},{body},{previous},{index})").into()).collect()
}

/// Returns the complete answer to a request.
pub fn expected_answer(goal: &Goal, key: &RequestKey, body: &str) -> String {
    stages(goal).iter().fold(String::new(), |previous, service| answer_parts(service, key, body, &previous).concat())
}

/// Returns what engines must have loaded; each `version_number` names different weights.
fn load_spec(version_number: usize) -> LoadSpec {
    LoadSpec {
        model: "model".into(),
        adapters: Vec::new(),
        version: VersionName::new(format!("weights-{version_number}")),
        role: EngineRole::default(),
    }
}

/// Returns a document in which the targets `targets_out` and the data centre `dc_out` take no new work.
pub fn document(targets_out: &[&str], dc_out: Option<&str>) -> Document {
    let admission = |is_out: bool| if is_out { Admission::Out } else { Admission::Open };
    let dc = |name: &str| {
        (DcName::new(name), DcSpec { region: Arc::from("coast"), admission: admission(dc_out == Some(name)) })
    };
    let service = |name: &str, kind, repeatable, cold_limit, warm_limit| {
        let spec = ServiceSpec { kind, repeatable, cold_limit, warm_limit, ..ServiceSpec::default() };
        (ServiceName::new(name), spec)
    };
    let target = |(name, service, dc): (&str, &str, &str)| {
        let spec = TargetSpec {
            service: service.into(),
            version: "v1".into(),
            dc: dc.into(),
            address: ([127, 0, 0, 1], 1).into(),
            admission: admission(targets_out.contains(&name)),
            checks_fencing: name == "gen-1",
            load: (service == "gen").then(|| load_spec(targets_out.len())),
        };
        (TargetName::new(name), spec)
    };
    let pipeline = |name: &str, stages: [&str; 2]| {
        let stages = stages.into_iter().map(ServiceName::new).collect();
        (PipelineName::new(name), PipelineSpec { stages, deadline: Duration::from_secs(6), objective: 0.99 })
    };
    Document {
        environment: Arc::from("test"),
        loads_per_minute: 60,
        seats: 3,
        dcs: [dc("east"), dc("west")].into(),
        orgs: [(OrgName::new("org"), OrgSpec::default())].into(),
        services: [
            service("enc", ServiceKind::Encode, true, 1, 3),
            service("gen", ServiceKind::Generate, true, 2, 4),
            service("book", ServiceKind::Plain, false, 1, 1),
        ]
        .into(),
        targets: TARGETS.into_iter().map(target).collect(),
        pipelines: [pipeline("plan", ["enc", "gen"]), pipeline("sell", ["enc", "book"])].into(),
    }
}

/// Returns the fingerprint of a request for `goal` with the body [`CRASHING_BODY`].
pub fn crashing_fingerprint(goal: &Goal) -> Fingerprint {
    let (kind, name) = match goal {
        Goal::Pipeline(name) => ("pipeline", name.as_str()),
        Goal::Service(name) => ("service", name.as_str()),
    };
    Fingerprint(stable_hash(&[kind.as_bytes(), name.as_bytes(), CRASHING_BODY.as_bytes()]))
}

/// Returns the goal whose pipeline or service is named `route`.
pub fn goal_of(route: &str) -> Goal {
    let is_route = |goal: &Goal| match goal {
        Goal::Pipeline(name) => name.as_str() == route,
        Goal::Service(name) => name.as_str() == route,
    };
    (0..4).map(goal).find(is_route).expect("routes come from goals")
}

/// Returns the service that a target runs, or an empty string if the target is unknown.
pub fn service_of(target: &TargetName) -> &'static str {
    TARGETS.iter().find(|(name, ..)| *name == target.as_str()).map_or("", |(_, service, _)| service)
}
