//! Test data that several test modules use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_core::blackboard::Identity;
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, InstanceId, NodeName, ServiceName, TargetName, VersionName};
use wasabipier_core::relay::board::{RelayBoard, RelayTuning};
use wasabipier_core::relay::choice::CallRequirements;
use wasabipier_core::relay::document::{DocumentIndex, KeyHolder, RelayDocument, RelayRoute, WeightedService};
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat};
use wasabipier_core::relay::paths::PathReport;
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::targets::TargetEntry;

/// Returns a proptest configuration with a fixed seed, so that every run tests the same cases.
pub fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns the time `ms` milliseconds after the start of a test.
pub fn at(ms: u64) -> Moment {
    Moment(1_000_000 + ms)
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a store version of the first era.
pub fn version(number: u64) -> StoreVersion {
    StoreVersion { era: 0, number }
}

/// Returns an address with `port` on the host that all fixtures share.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Returns the entry that a warm target of `service` in `dc` registers.
pub fn target_entry(target: &str, service: &str, dc: &str) -> TargetEntry {
    TargetEntry {
        target: TargetName::new(target),
        incarnation: Some(1),
        service: ServiceName::new(service),
        address: address(9000),
        dc: DcName::new(dc),
        version: VersionName::new("v1"),
        slots: 6,
        leaving: false,
        cold_time: Duration::ZERO,
        sequence: None,
        row_version: version(1),
    }
}

/// Returns the identity of a node in the data centre khomas-a.
pub fn identity(node: &str) -> Identity {
    Identity {
        node: NodeName::new(node),
        instance: InstanceId(7),
        dc: DcName::new("khomas-a"),
        caller_address: address(8000),
        peer_address: address(7000),
    }
}

/// Returns the state of a node with default settings that has not received anything yet.
pub fn board(node: &str) -> RelayBoard {
    RelayBoard::new(identity(node), RelayTuning::default())
}

/// Returns a heartbeat of a serving peer in the data centre khomas-b.
pub fn heartbeat(node: &str, sequence: u64) -> RelayHeartbeat {
    RelayHeartbeat {
        node: NodeName::new(node),
        instance: InstanceId(1),
        sequence,
        call_version: CallVersion::CURRENT,
        dc: DcName::new("khomas-b"),
        capacity: 0,
        caller_address: address(8001),
        peer_address: address(7001),
        state: NodeState::Serving,
        proofs: Vec::new(),
        document_version: 0,
        settled_from: None,
        loads: Vec::new(),
        prompts: Vec::new(),
        waits: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        brittle: Vec::new(),
        rollouts: Vec::new(),
        paths: PathReport::default(),
    }
}

/// Returns a route that sends requests for `prefix` at the host nets.example to one service.
pub fn route(prefix: &str, service: &str) -> RelayRoute {
    RelayRoute {
        name: Arc::from(prefix),
        host: Arc::from("nets.example"),
        prefix: Arc::from(prefix),
        services: vec![WeightedService { service: ServiceName::new(service), weight: 1 }],
        ..RelayRoute::default()
    }
}

/// Has a node choose the target of a first call to `service` that has neither a prompt nor inputs.
pub fn choose_for_plain_call(board: &mut RelayBoard, service: &ServiceName, now: Moment) -> Option<TargetEntry> {
    let call = CallRequirements {
        service,
        avoid: &[],
        prompt: None,
        input_bytes_by_dc: &BTreeMap::new(),
        only_unlimited: false,
    };
    board.choose(&call, now)
}

/// Returns a document with `routes` and one organisation, lions, whose API key is key-1.
pub fn document_index(routes: Vec<RelayRoute>) -> DocumentIndex {
    let holder = KeyHolder { org: "lions".into(), keys: vec![Arc::from("key-1")], rank: None };
    DocumentIndex::new(RelayDocument { version: 1, routes, holders: Some(vec![holder]), ..RelayDocument::default() })
}
