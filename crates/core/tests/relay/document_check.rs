//! Tests of the check of a document before it is sent.

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::document::{
    BatchSpec, KeyHolder, RelayDocument, RelayRoute, RelayService, StageSpec, WeightedService,
};
use wasabipier_core::relay::document_check::{FindingSeverity, check_document, compare_documents};

use crate::fixtures::{config, millis, route};

/// Returns a document without faults: one route with a stage, two services and one organisation.
fn sound_document() -> RelayDocument {
    let stage_service = RelayService {
        batch: Some(BatchSpec { storage_bytes: 1_000, fixed_call_time: millis(150), ..BatchSpec::default() }),
        ..RelayService::default()
    };
    let services = [("model", RelayService::default()), ("clubs", stage_service)];
    let stage = StageSpec { service: ServiceName::new("clubs"), input_stages: Vec::new(), result_bytes: 100 };
    let holder = KeyHolder { org: "lions".into(), keys: vec![Arc::from("key-1")], rank: None };
    RelayDocument {
        version: 3,
        routes: vec![RelayRoute { stages: vec![stage], ..route("/plan/", "model") }],
        services: services.map(|(name, service)| (ServiceName::new(name), service)).into(),
        holders: Some(vec![holder]),
        ..RelayDocument::default()
    }
}

fn errors(document: &RelayDocument) -> Vec<String> {
    let findings = check_document(document).into_iter();
    findings.filter(|finding| finding.severity == FindingSeverity::Error).map(|finding| finding.to_string()).collect()
}

/// Guards against a check that finds faults in documents that are in use, or misses a change that makes requests fail.
#[test]
fn each_fault_is_found_at_its_place_and_a_sound_document_has_none() {
    type Change = fn(&mut RelayDocument);
    let faults: [(&str, Change); 9] = [
        ("route `/plan/`: never matches, since route `/plan/`", |document| {
            document.routes.push(route("/plan/", "model"));
        }),
        ("no service gets its requests", |document| document.routes[0].services.clear()),
        ("service `modle` is unknown", |document| {
            document.routes[0].services = vec![WeightedService { service: ServiceName::new("modle"), weight: 1 }];
        }),
        ("route `/plan/`, stage 0: service `model` makes no pieces", |document| {
            document.routes[0].stages[0].service = ServiceName::new("model");
        }),
        ("a result of 2000 bytes exceeds the storage", |document| document.routes[0].stages[0].result_bytes = 2_000),
        ("can never all start", |document| document.routes[0].stages[0].input_stages = vec![0]),
        ("stages take 160 ms at least, the timeout is 100 ms", |document| {
            (document.routes[0].timeout, document.routes[0].objective) = (millis(100), millis(90));
        }),
        ("organisation `herons`: has an API key that `lions` has", |document| {
            let holder = KeyHolder { org: "herons".into(), keys: vec![Arc::from("key-1")], rank: None };
            document.holders.get_or_insert_default().push(holder);
        }),
        ("its targets take no pieces", |document| {
            let clubs = document.services.get_mut(&ServiceName::new("clubs")).expect("the fixture has it");
            clubs.batch.get_or_insert_default().slots = 0;
        }),
    ];

    assert_eq!(check_document(&sound_document()), Vec::new());
    for (expected, change) in faults {
        let mut document = sound_document();
        change(&mut document);
        let found = errors(&document);
        assert!(found.iter().any(|message| message.contains(expected)), "{expected}: {found:?}");
        assert!(found.iter().all(|message| !message.contains("key-1")), "API keys are secret: {found:?}");
    }
}

/// Guards against documents that are rejected for entries that work, and against contradictions that nobody is told of.
#[test]
fn limits_that_contradict_each_other_are_warnings() {
    let mut document = sound_document();
    document.routes[0].objective = millis(20_000);
    document.services.insert(ServiceName::new("unused"), RelayService::default());

    let warnings: Vec<String> = check_document(&document).iter().map(ToString::to_string).collect();

    assert_eq!(errors(&document), Vec::<String>::new());
    assert!(warnings[0].contains("objective of 20000 ms exceeds the timeout of 10000 ms"), "{warnings:?}");
    assert!(warnings[1].contains("service `unused`: no route uses it"), "{warnings:?}");
}

/// Guards against a change that is overlooked, and against API keys in the output.
#[test]
fn differences_name_entries_and_never_keys() {
    let (in_force, mut next) = (sound_document(), sound_document());
    next.version = 4;
    next.routes[0].timeout = millis(9_000);
    next.routes.push(route("/new/", "model"));
    next.services.remove(&ServiceName::new("clubs"));
    next.holders.get_or_insert_default()[0].keys.push(Arc::from("key-2"));

    let differences: Vec<String> = compare_documents(&in_force, &next).iter().map(ToString::to_string).collect();

    let expected =
        ["added route `/new/`", "changed route `/plan/`", "removed service `clubs`", "changed organisation `lions`"];
    assert_eq!(differences, expected);
    assert_eq!(compare_documents(&in_force, &in_force).len(), 1, "a version that is not higher is ignored by nodes");
}

fn any_route() -> impl Strategy<Value = RelayRoute> {
    let stage = (prop_oneof![8 => Just(1), 1 => Just(0), 1 => Just(2)], vec(0_usize..2, 0..2), 0_u64..1_100);
    (0_usize..2, prop_oneof![1 => Just(0), 6 => Just(1)], vec(stage, 0..3), 1_u64..20_000).prop_map(
        |(prefix, weight, stages, timeout)| {
            let names = ["model", "clubs", "lost"];
            let stages = stages.into_iter().map(|(service, input_stages, result_bytes)| StageSpec {
                service: ServiceName::new(names[service]),
                input_stages,
                result_bytes,
            });
            RelayRoute {
                services: vec![WeightedService { service: ServiceName::new("model"), weight }],
                stages: stages.collect(),
                timeout: millis(timeout),
                ..route(["/a/", "/b/"][prefix], "model")
            }
        },
    )
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against documents that pass the check and that nodes reject or cannot serve.
    #[test]
    fn nodes_accept_and_can_serve_what_passes_the_check(routes in vec(any_route(), 1..4)) {
        let document = RelayDocument { routes, ..sound_document() };
        if !errors(&document).is_empty() {
            return Ok(());
        }

        prop_assert!(document.check().is_ok());
        let mut prefixes = BTreeSet::new();
        for route in &document.routes {
            prop_assert!(prefixes.insert(route.prefix.clone()));
            prop_assert!(route.services.iter().any(|entry| entry.weight > 0));
            for stage in &route.stages {
                let batch = document.services[&stage.service].batch.as_ref();
                prop_assert!(batch.is_some_and(|batch| batch.storage_bytes >= stage.result_bytes));
            }
        }
    }
}
