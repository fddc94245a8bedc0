//! The environment of the simulated fleet.

use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::document::{
    Admission, DcSpec, EngineRole, LoadSpec, OrgSpec, PipelineSpec, ServiceKind, ServiceSpec, TargetSpec,
};
use wasabipier_core::prelude::*;

/// Tokens of each generated answer.
pub const TOKENS: u32 = 5;
/// Content that brings down each target that runs it.
pub const CRASHING: &str = "crashing";
/// Bodies of requests.
pub const BODIES: [&str; 4] = ["plain", "other", CRASHING, "fresh"];

/// Targets with their services and data centres.
pub const TARGETS: [(&str, &str, &str); 7] = [
    ("enc-1", "enc", "east"),
    ("enc-2", "enc", "west"),
    ("gen-1", "gen", "east"),
    ("gen-2", "gen", "west"),
    ("gen-3", "gen", "west"),
    ("book-1", "book", "east"),
    ("book-2", "book", "west"),
];

/// What callers ask for: two pipelines, and two services of which one must not be repeated.
pub fn goal(number: u8) -> Goal {
    match number % 4 {
        0 => Goal::Service("book".into()),
        1 => Goal::Pipeline("plan".into()),
        2 => Goal::Pipeline("sell".into()),
        _ => Goal::Service("gen".into()),
    }
}

/// Services that a goal runs, in order.
pub fn stages(goal: &Goal) -> Vec<&'static str> {
    match goal {
        Goal::Pipeline(name) if name.as_str() == "plan" => vec!["enc", "gen"],
        Goal::Pipeline(_) => vec!["enc", "book"],
        Goal::Service(name) if name.as_str() == "book" => vec!["book"],
        Goal::Service(_) => vec!["gen"],
    }
}

/// Whether a goal must not run twice.
pub fn is_claimed(goal: &Goal) -> bool {
    stages(goal).contains(&"book")
}

/// What a target answers in parts: tokens for a stream, one part otherwise.
pub fn parts(service: &str, key: &RequestKey, body: &str, previous: &str) -> Vec<Arc<str>> {
    let count = if service == "gen" { TOKENS } else { 1 };
    (0..count).map(|index| format!("{service}({key},{body},{previous},{index})").into()).collect()
}

/// The whole answer to a request.
pub fn whole_answer(goal: &Goal, key: &RequestKey, body: &str) -> String {
    stages(goal).iter().fold(String::new(), |previous, service| parts(service, key, body, &previous).concat())
}

/// What engines shall have loaded: other weights with each number.
fn load(number: usize) -> LoadSpec {
    LoadSpec {
        model: "model".into(),
        adapters: Vec::new(),
        version: VersionName::new(format!("weights-{number}")),
        role: EngineRole::default(),
    }
}

/// A document in which the targets `out` and the data centre `dc_out` take no new work.
pub fn document(out: &[&str], dc_out: Option<&str>) -> Document {
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
            admission: admission(out.contains(&name)),
            checks_fencing: name == "gen-1",
            load: (service == "gen").then(|| load(out.len())),
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

/// The fingerprint of the crashing content under a goal.
pub fn crashing(goal: &Goal) -> Fingerprint {
    let (kind, name) = match goal {
        Goal::Pipeline(name) => ("pipeline", name.as_str()),
        Goal::Service(name) => ("service", name.as_str()),
    };
    Fingerprint(stable_hash(&[kind.as_bytes(), name.as_bytes(), CRASHING.as_bytes()]))
}

/// The goal behind a route.
pub fn goal_of(route: &str) -> Goal {
    let is_route = |goal: &Goal| match goal {
        Goal::Pipeline(name) => name.as_str() == route,
        Goal::Service(name) => name.as_str() == route,
    };
    (0..4).map(goal).find(is_route).expect("routes come from goals")
}

/// The service that a target carries.
pub fn service_of(target: &TargetName) -> &'static str {
    TARGETS.iter().find(|(name, ..)| *name == target.as_str()).map_or("", |(_, service, _)| service)
}
