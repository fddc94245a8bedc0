//! Calls between relaying nodes come as they were sent.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, InstanceId, NodeName, TargetName};
use wasabipier_core::relay::fleet::FleetReport;
use wasabipier_core::relay::members::{RelayHeartbeat, TableProof, TargetLoad};
use wasabipier_core::relay::pieces::{PieceJob, PieceSource};
use wasabipier_core::relay::prompts::PromptCacheUpdate;
use wasabipier_core::relay::rows::SharedTable;
use wasabipier_wire::relay::{WireCall, WireJobs, WireNews, decode, encode, jobs_from_wire, jobs_to_wire};

const NOW: Moment = Moment(5_000_000);

fn config() -> ProptestConfig {
    ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(20_261_204), failure_persistence: None, ..Default::default() }
}

fn source() -> impl Strategy<Value = PieceSource> {
    prop_oneof![
        "[a-f]{4}".prop_map(|key| PieceSource::Content(key.into())),
        prop::collection::vec("[a-f]{4}".prop_map(Arc::from), 1..5)
            .prop_map(|handles: Vec<Arc<str>>| PieceSource::Results(handles.into())),
    ]
}

/// Pieces of one stage, as a request asks for them.
fn stage() -> impl Strategy<Value = Vec<PieceJob>> {
    (source(), "[0-9]{3}", 0_u32..4, 1_u32..20, 0_u64..9_000, any::<bool>()).prop_map(
        |(source, request, stage, pieces, left, is_placed)| {
            let job = |segment| PieceJob {
                request: request.clone().into(),
                stage,
                segment,
                source: source.clone(),
                deadline: NOW + Duration::from_millis(left),
                objective: NOW + Duration::from_millis(left / 2),
                time_needed: Duration::from_millis(300),
                rank: 1,
                wanted_in: is_placed.then(|| DcName::new("khomas-a")),
                result_bytes: 6_000,
                remote_bytes: 12_000,
            };
            (0..pieces).map(job).collect()
        },
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn pieces_come_as_they_were_sent(stages in prop::collection::vec(stage(), 0..5)) {
        let jobs = stages.concat();

        let sent: Vec<WireJobs> = decode(&encode(&jobs_to_wire(&jobs, NOW))).expect("it was just encoded");
        let got: Vec<PieceJob> = sent.into_iter().flat_map(|jobs| jobs_from_wire(jobs, NOW)).collect();

        prop_assert_eq!(got, jobs);
    }

    /// Bytes of any kind are told to be no call, and end nothing.
    #[test]
    fn bytes_that_are_no_call_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(call) = decode::<WireCall>(&bytes) {
            prop_assert!(decode::<WireCall>(&encode(&call)).is_ok());
        }
    }
}

/// Pattern: sixteen pieces that each work on the same eight results, over a link of 10 Mbit/s.
#[test]
fn inputs_that_pieces_share_are_sent_once() {
    let handles: Vec<Arc<str>> = (0..8).map(|number| Arc::from(format!("10.0.0.1:8721/result-{number}"))).collect();
    let first = PieceJob {
        request: "r".into(),
        stage: 3,
        segment: 0,
        source: PieceSource::Results(handles.into()),
        deadline: NOW,
        objective: NOW,
        time_needed: Duration::ZERO,
        rank: 0,
        wanted_in: None,
        result_bytes: 0,
        remote_bytes: 0,
    };
    let jobs: Vec<PieceJob> = (0..16).map(|segment| PieceJob { segment, ..first.clone() }).collect();

    let one = encode(&jobs_to_wire(&jobs[..1], NOW)).len();
    let all = encode(&jobs_to_wire(&jobs, NOW)).len();

    assert!(all < 2 * one, "{all} bytes for sixteen, {one} for one");
}

#[test]
fn news_of_a_fleet_comes_as_it_was_sent() {
    let heartbeat = RelayHeartbeat {
        node: NodeName::new("edge-1"),
        instance: InstanceId(9),
        sequence: 4,
        dc: DcName::new("khomas-a"),
        capacity: 100,
        caller_address: ([10, 0, 0, 1], 8000).into(),
        peer_address: ([10, 0, 0, 1], 7000).into(),
        state: NodeState::Serving,
        proofs: vec![TableProof { table: SharedTable::Targets, version: 9, changed: 7, age_ms: 30 }],
        loads: vec![TargetLoad { target: TargetName::new("i-1"), in_flight: 2, unread_tokens: 5 }],
        prompts: vec![PromptCacheUpdate { target: TargetName::new("i-1"), keys: vec![1, 2] }],
        waits: Vec::new(),
    };
    let news = FleetReport {
        loads: heartbeat.loads.clone(),
        prompts: heartbeat.prompts.clone(),
        members: vec![(heartbeat, Duration::from_millis(70))],
    };

    let wire: WireNews = decode(&encode(&WireNews::from(&news))).expect("it was just encoded");

    assert_eq!(FleetReport::from(wire), news);
}
