//! Encoding and decoding of calls between relay nodes.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, Fingerprint, InstanceId, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::brittle::RejectTolerance;
use wasabipier_core::relay::fleet::FleetReport;
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat, TableProof, TargetLoad};
use wasabipier_core::relay::paths::PathReport;
use wasabipier_core::relay::pieces::{PieceJob, PieceSource};
use wasabipier_core::relay::prompts::PromptCacheUpdate;
use wasabipier_core::relay::rate_limits::{LimitReport, RequestRate};
use wasabipier_core::relay::rollout::{RecordedState, RolloutPhase, RolloutReport, VersionTallies};
use wasabipier_core::relay::rows::TableId;
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::suspects::{CrashId, CrashReport, SuspectKey, SuspectReport};
use wasabipier_core::tally::RouteTally;
use wasabipier_wire::frame::FrameError;
use wasabipier_wire::relay::{
    WireCall, WireFleetReport, WireJobs, compress_chunks, decode, decompress_chunks, encode, jobs_from_wire,
    jobs_to_wire,
};

const NOW: Moment = Moment(5_000_000);

fn version(number: u64) -> StoreVersion {
    StoreVersion { era: 2, number }
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(20_261_204), failure_persistence: None, ..Default::default() }
}

fn piece_source() -> impl Strategy<Value = PieceSource> {
    prop_oneof![
        "[a-f]{4}".prop_map(|key| PieceSource::Content(key.into())),
        prop::collection::vec("[a-f]{4}".prop_map(Arc::from), 1..5)
            .prop_map(|handles: Vec<Arc<str>>| PieceSource::Results(handles.into())),
    ]
}

/// Jobs for all pieces of one stage of a request.
fn stage_jobs() -> impl Strategy<Value = Vec<PieceJob>> {
    (piece_source(), "[0-9]{3}", 0_u32..4, 1_u32..20, 0_u64..9_000, any::<bool>()).prop_map(
        |(source, request, stage, pieces, left_ms, has_wanted_dc)| {
            let job = |segment| PieceJob {
                request: request.clone().into(),
                stage,
                segment,
                source: source.clone(),
                deadline: NOW + Duration::from_millis(left_ms),
                objective: NOW + Duration::from_millis(left_ms / 2),
                time_needed: Duration::from_millis(300),
                rank: 1,
                wanted_in: has_wanted_dc.then(|| DcName::new("khomas-a")),
                result_bytes: 6_000,
                remote_bytes: 12_000,
            };
            (0..pieces).map(job).collect()
        },
    )
}

/// Guards against a document that takes a slow link several times as long as its content requires.
#[test]
fn chunks_are_sent_compressed() {
    let route =
        |number: u32| format!("{{\"name\":\"r-{number:x}\",\"kind\":\"idempotent\",\"timeoutMs\":1000}},").into_bytes();
    let chunks: Vec<Vec<u8>> =
        (0..40).map(|chunk| (0..20).flat_map(|line| route(chunk * 7_919 + line)).collect()).collect();

    let sent = compress_chunks(&chunks);

    assert!(sent.len() * 2 < chunks.concat().len(), "{} bytes of {}", sent.len(), chunks.concat().len());
    assert_eq!(decompress_chunks(&sent), Ok(chunks));
    assert!(matches!(decompress_chunks(&sent[..sent.len() / 2]), Err(FrameError::Malformed(_))));
    assert_eq!(decompress_chunks(&u32::MAX.to_le_bytes()), Err(FrameError::TooLarge(u32::MAX as usize)));
}

proptest! {
    #![proptest_config(config())]

    /// Guards against jobs that are lost, reordered or changed when jobs of several stages are grouped for sending.
    #[test]
    fn decoded_jobs_equal_the_encoded_jobs(stages in prop::collection::vec(stage_jobs(), 0..5)) {
        let jobs = stages.concat();

        let wire: Vec<WireJobs> = decode(&encode(&jobs_to_wire(&jobs, NOW))).expect("encoded jobs decode");
        let decoded: Vec<PieceJob> = wire.into_iter().flat_map(|jobs| jobs_from_wire(jobs, NOW)).collect();

        prop_assert_eq!(decoded, jobs);
    }

    /// Guards against a panic while arbitrary bytes are decoded. A call that they decode to must encode and decode
    /// again.
    #[test]
    fn decoding_arbitrary_bytes_fails_or_returns_a_call(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(call) = decode::<WireCall>(&bytes) {
            prop_assert!(decode::<WireCall>(&encode(&call)).is_ok());
        }
    }
}

/// Guards against an encoding that repeats shared inputs for each piece, here for sixteen pieces that all use the same
/// eight results, over a link of 10 Mbit/s.
#[test]
fn inputs_shared_by_pieces_are_sent_once() {
    let handles: Vec<Arc<str>> = (0..8).map(|number| Arc::from(format!("10.0.0.1:8721/result-{number}"))).collect();
    let template = PieceJob {
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
    let jobs: Vec<PieceJob> = (0..16).map(|segment| PieceJob { segment, ..template.clone() }).collect();

    let bytes_for_one = encode(&jobs_to_wire(&jobs[..1], NOW)).len();
    let bytes_for_all = encode(&jobs_to_wire(&jobs, NOW)).len();

    assert!(bytes_for_all < 2 * bytes_for_one, "{bytes_for_all} bytes for sixteen, {bytes_for_one} for one");
}

/// Returns the report that a suspect with `key` is held responsible for one crash.
fn suspect_report(key: SuspectKey, is_exonerated: bool) -> SuspectReport {
    let crash = CrashReport { crash: CrashId(9), age: Duration::from_millis(1_250), is_exonerated, is_isolated: false };
    SuspectReport { key, crashes: vec![crash] }
}

fn rollout_report() -> RolloutReport {
    let tally = |calls| RouteTally {
        calls,
        faults: 2,
        timed: 3,
        slow: 4,
        cold_calls: 5,
        cold_faults: 6,
        cold_timed: 7,
        cold_slow: 8,
        crashes: 9,
    };
    RolloutReport {
        service: ServiceName::new("coachmodel"),
        order_version: version(37),
        age_ms: 900,
        phase: RolloutPhase::Shift,
        recorded: Some(RecordedState::Active),
        tallies: VersionTallies {
            candidate: [("plan".into(), tally(1))].into(),
            stable: [("plan".into(), tally(10))].into(),
        },
    }
}

#[test]
fn decoded_fleet_report_equals_the_encoded_report() {
    let heartbeat = RelayHeartbeat {
        node: NodeName::new("edge-1"),
        instance: InstanceId(9),
        sequence: 4,
        call_version: CallVersion::BASE,
        dc: DcName::new("khomas-a"),
        capacity: 100,
        caller_address: ([10, 0, 0, 1], 8000).into(),
        peer_address: ([10, 0, 0, 1], 7000).into(),
        state: NodeState::Serving,
        proofs: vec![TableProof {
            table: TableId::Targets,
            version: version(9),
            last_change_version: version(7),
            newest_row_version: version(6),
            age_ms: 30,
        }],
        document_version: 12,
        settled_from: None,
        loads: vec![TargetLoad { target: TargetName::new("i-1"), in_flight: 2, pending_prompt_tokens: 5 }],
        prompts: vec![PromptCacheUpdate { target: TargetName::new("i-1"), keys: vec![1, 2] }],
        waits: Vec::new(),
        suspects: vec![
            suspect_report(SuspectKey::Part(0xdead), true),
            suspect_report(SuspectKey::Content(Fingerprint(5)), false),
        ],
        limits: [Some(RequestRate(1_500)), None]
            .map(|limit| LimitReport { target: TargetName::new("engine-1"), limit, age: Duration::from_millis(40) })
            .to_vec(),
        brittle: [Some(RejectTolerance(5)), None]
            .map(|limit| LimitReport { target: TargetName::new("engine-2"), limit, age: Duration::from_millis(50) })
            .to_vec(),
        rollouts: vec![rollout_report()],
        paths: PathReport { is_cut_off: true, unreached: vec![(ServiceName::new("coaches"), 7)] },
    };
    let report = FleetReport {
        loads: heartbeat.loads.clone(),
        prompts: heartbeat.prompts.clone(),
        members: vec![(heartbeat, Duration::from_millis(70))],
        rosters: Vec::new(),
    };

    let wire: WireFleetReport = decode(&encode(&WireFleetReport::from(&report))).expect("encoded report decodes");

    assert_eq!(FleetReport::from(wire), report);
}
