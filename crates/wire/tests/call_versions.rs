//! Calls between nodes of different releases.
//!
//! `messages` holds calls and replies as the release wrote them that read calls of version 6 only. Every later release must
//! read and write them unchanged, and tell more only in fields that such a release does not look at.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use prost::Message;
use wasabipier_core::names::{DcName, InstanceId, NodeName, OrgName, ServiceName, TargetName, VersionName};
use wasabipier_core::relay::choice::{PromptPart, PromptSpec};
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat, TargetLoad};
use wasabipier_core::relay::placement::{GrantEnd, GrantEvent, GrantId, PlacementGrant, PlacementRequest};
use wasabipier_core::relay::rollout::VersionLane;
use wasabipier_core::relay::rosters::{KnownRoster, RosterId, RosterUpdate};
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::suspects::{CrashId, CrashReport, SuspectKey, SuspectReport};
use wasabipier_core::relay::usage::{RunCounts, UsageUpdate};
use wasabipier_wire::frame::FrameError;
use wasabipier_wire::relay::current::{
    CallKind, CurrentCall, CurrentReply, WireGrantEvents, WireGrantLoads, WirePlacement, WireUsage, decode_current,
    encode_current, is_current, reported_from_wire, reported_to_wire,
};
use wasabipier_wire::relay::extension::{
    HeartbeatExtension, decode_extended, encode_heartbeat, encode_heartbeat_reply,
};
use wasabipier_wire::relay::{WireCall, WireFleetReport, WireReply, decode, encode};

/// Returns the recorded messages of a kind, `call` or `reply`, with their file names.
fn recorded(kind: &str) -> Vec<(String, Vec<u8>)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/messages");
    let files =
        fs::read_dir(folder).expect("the messages are there").map(|file| file.expect("a readable folder").path());
    let files = files.filter(|path| path.extension().is_some_and(|extension| extension == kind));
    files.map(|path| (path.display().to_string(), fs::read(path).expect("a readable file"))).collect()
}

/// Returns a heartbeat as the earlier release wrote it.
fn recorded_heartbeat() -> WireCall {
    let (_, bytes) = recorded("call").into_iter().find(|(name, _)| name.ends_with("heartbeat.call")).expect("recorded");
    decode(&bytes).expect("it decodes")
}

fn member(name: &str) -> RelayHeartbeat {
    let WireCall::Heartbeat(heartbeat, _) = recorded_heartbeat() else { panic!("a heartbeat") };
    RelayHeartbeat { node: NodeName::new(name), call_version: CallVersion::CURRENT, ..(*heartbeat).into() }
}

#[test]
fn calls_of_the_earlier_release_are_read_and_written_unchanged() {
    let (calls, replies) = (recorded("call"), recorded("reply"));
    assert_eq!((calls.len(), replies.len()), (8, 7), "one of each kind, and two of permits");

    for (name, bytes) in calls {
        let (call, extension) = decode_extended::<WireCall>(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(encode(&call), bytes, "{name}");
        assert_eq!(extension, HeartbeatExtension::default(), "{name}");
    }
    for (name, bytes) in replies {
        let reply: WireReply = decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(encode(&reply), bytes, "{name}");
    }
}

/// Guards against heartbeats that the earlier release cannot read: it decodes the body and leaves the rest.
#[test]
fn what_a_heartbeat_tells_more_follows_the_body_of_the_earlier_release() {
    let call = recorded_heartbeat();
    let known = KnownRoster { id: RosterId(7), version: 3 };
    let update = RosterUpdate {
        known,
        base: 2,
        age: Duration::from_millis(40),
        changed: vec![member("edge-4")],
        gone: vec![NodeName::new("edge-5")],
    };
    let members = [(member("edge-6"), Duration::from_millis(90))];
    let extension = HeartbeatExtension::of_call(CallVersion::CURRENT, &[known]);
    let reply_extension = HeartbeatExtension::of_reply(CallVersion::CURRENT, std::slice::from_ref(&update), &members);

    let (bytes, reply_bytes) =
        (encode_heartbeat(&call, &extension), encode_heartbeat_reply(&WireReply::Done, &reply_extension));

    assert!(bytes.starts_with(&encode(&call)) && reply_bytes.starts_with(&encode(&WireReply::Done)));
    assert_eq!(decode::<WireCall>(&bytes).as_ref(), Ok(&call));
    let (_, decoded) = decode_extended::<WireCall>(&bytes).expect("it decodes");
    assert_eq!((decoded.call_version(), decoded.known()), (CallVersion::CURRENT, vec![known]));
    let (_, decoded) = decode_extended::<WireReply>(&reply_bytes).expect("it decodes");
    assert_eq!(decoded.into_report(), (vec![update], members.to_vec()));
}

/// Guards against nodes that disagree about content, since one of them does not learn which crashes were no outages, and
/// against heartbeats that the earlier release cannot read.
#[test]
fn isolated_crashes_of_suspects_follow_the_heartbeat_of_the_earlier_release() {
    let report = |crash, is_isolated| CrashReport {
        crash: CrashId(crash),
        age: Duration::from_millis(70),
        is_exonerated: false,
        is_isolated,
    };
    let suspects = vec![SuspectReport { key: SuspectKey::Part(5), crashes: vec![report(1, true), report(2, false)] }];
    let heartbeat = RelayHeartbeat { suspects: suspects.clone(), ..member("edge-1") };
    let call = WireCall::Heartbeat(Box::new((&heartbeat).into()), WireFleetReport::default());
    let extension = HeartbeatExtension::of_call(CallVersion::CURRENT, &[]).with_suspects(&heartbeat.suspects);

    let bytes = encode_heartbeat(&call, &extension);

    assert!(bytes.starts_with(&encode(&call)));
    let (WireCall::Heartbeat(wire, _), extension) = decode_extended(&bytes).expect("it decodes") else {
        panic!("a heartbeat")
    };
    assert_eq!(extension.complete(*wire.clone()), heartbeat);
    let from_earlier = HeartbeatExtension::default().complete(*wire);
    assert!(from_earlier.suspects[0].crashes.iter().all(|crash| !crash.is_isolated));
}

/// Guards against heartbeats that the earlier release cannot read, and against an era that counts as settled since a node
/// of that release tells nothing of it.
#[test]
fn a_settled_era_follows_the_heartbeat_of_the_earlier_release() {
    let heartbeat = RelayHeartbeat { settled_from: Some(StoreVersion::new(2, 41)), ..member("edge-1") };
    let call = WireCall::Heartbeat(Box::new((&heartbeat).into()), WireFleetReport::default());
    let extension = HeartbeatExtension::of_call(CallVersion::CURRENT, &[]).with_settled_era(heartbeat.settled_from);

    let bytes = encode_heartbeat(&call, &extension);

    assert!(bytes.starts_with(&encode(&call)));
    let (WireCall::Heartbeat(wire, _), extension) = decode_extended(&bytes).expect("it decodes") else {
        panic!("a heartbeat")
    };
    assert_eq!(extension.complete(*wire.clone()), heartbeat);
    assert_eq!(HeartbeatExtension::default().complete(*wire).settled_from, None);
}

#[test]
fn a_node_that_tells_no_version_reads_the_base_version() {
    let (_, extension) = decode_extended::<WireCall>(&encode(&recorded_heartbeat())).expect("it decodes");

    assert_eq!(extension.call_version(), CallVersion::BASE);
}

/// Returns one call of each kind of version 7.
fn current_calls() -> Vec<CallKind> {
    let request = PlacementRequest {
        service: ServiceName::new("coachmodel"),
        lane: VersionLane::Except(VersionName::new("v2")),
        prompt: PromptSpec { parts: vec![PromptPart { id: 5, tokens: 13_300 }, PromptPart { id: 6, tokens: 900 }] },
        avoid: vec![TargetName::new("i-1")],
        input_bytes_by_dc: [(DcName::new("khomas-a"), 3_000_000)].into(),
        hold_time: Duration::from_secs(9),
        holder: NodeName::new("edge-1"),
    };
    let events = [(GrantId(1), GrantEvent::PromptRead), (GrantId(2), GrantEvent::Ended(GrantEnd::Full))];
    let load = TargetLoad { target: TargetName::new("i-1"), in_flight: 2, pending_prompt_tokens: 70 };
    vec![
        CallKind::Place(WirePlacement::from(&request)),
        CallKind::GrantEvents(WireGrantEvents::new(&events)),
        CallKind::GrantLoads(WireGrantLoads::new(&NodeName::new("edge-1"), &[load])),
        CallKind::Usage(WireUsage::from(&usage_update())),
    ]
}

fn usage_update() -> UsageUpdate {
    let counts = [(OrgName::new("bozi300"), 412), (OrgName::new("nypu921"), 1)].into();
    let windows = vec![(353_445_119, BTreeMap::new()), (353_445_120, counts)];
    let ended = RunCounts { run: (NodeName::new("edge-2"), InstanceId(0xfade)), windows: windows.clone() };
    let own = RunCounts { run: (NodeName::new("edge-1"), InstanceId(0xfeed)), windows };
    UsageUpdate { reported: Some(353_445_118), runs: vec![own, ended] }
}

/// Guards against counts that arrive changed, and against replies that earlier releases cannot read: to them, the field
/// that tells the reported window is one that they do not know.
#[test]
fn counts_and_the_newest_reported_window_are_decoded_as_they_were() {
    let call = CurrentCall { kind: Some(CallKind::Usage(WireUsage::from(&usage_update()))) };
    let reply = CurrentReply { reported_end: reported_to_wire(Some(0)), ..CurrentReply::default() };

    let decoded: CurrentCall = decode_current(&encode_current(&call)).expect("it decodes");
    let decoded_reply: CurrentReply = decode_current(&encode_current(&reply)).expect("it decodes");

    let Some(CallKind::Usage(usage)) = decoded.kind else { panic!("counts") };
    assert_eq!(UsageUpdate::from(usage), usage_update());
    assert_eq!(reported_from_wire(decoded_reply.reported_end), Some(0));
    assert_eq!(reported_from_wire(CurrentReply::default().reported_end), None);
    assert_eq!(encode_current(&call)[..2], [7, 4 << 3 | 2], "the version byte of version 7, and the tag of the kind");
    assert_eq!(encode_current(&CurrentReply::default()), [7], "replies to other kinds of calls are unchanged");
}

#[test]
fn placements_and_what_follows_them_are_decoded_as_they_were() {
    let [place, events, loads, _] = current_calls().try_into().expect("four kinds");
    let (CallKind::Place(place), CallKind::GrantEvents(events), CallKind::GrantLoads(loads)) = (place, events, loads)
    else {
        panic!("one of each kind")
    };
    let grant = PlacementGrant { id: GrantId(9), target: TargetName::new("i-2"), unread_tokens: 900, tokens_ahead: 40 };

    let request = PlacementRequest::from(place);
    let reply = encode_current(&CurrentReply { grant: Some((&grant).into()), ..CurrentReply::default() });

    assert_eq!(PlacementRequest::from(WirePlacement::from(&request)), request);
    assert_eq!((request.lane, request.prompt.tokens()), (VersionLane::Except(VersionName::new("v2")), 14_200));
    let ended = GrantEvent::Ended(GrantEnd::Full);
    assert_eq!(events.into_events(), [(GrantId(1), GrantEvent::PromptRead), (GrantId(2), ended)]);
    assert_eq!(loads.into_parts().1[0].pending_prompt_tokens, 70);
    let decoded: CurrentReply = decode_current(&reply).expect("it decodes");
    assert_eq!(decoded.grant.map(PlacementGrant::from), Some(grant));
}

/// Guards against a later release whose calls this one cannot read: fields that it does not know are skipped, and a call of
/// a kind that it does not know is told from a malformed one.
#[test]
fn unknown_fields_are_skipped_and_unknown_kinds_are_told() {
    /// A field that this release does not have.
    #[derive(Clone, PartialEq, Message)]
    struct LaterField {
        #[prost(string, tag = "1000")]
        text: String,
    }
    let later = LaterField { text: "of a later release".to_owned() }.encode_to_vec();
    let mut heartbeat = encode_heartbeat(&recorded_heartbeat(), &HeartbeatExtension::of_call(CallVersion(9), &[]));
    heartbeat.extend_from_slice(&later);

    let (_, extension) = decode_extended::<WireCall>(&heartbeat).expect("it decodes");
    assert_eq!(extension.call_version(), CallVersion(9));
    for kind in current_calls() {
        let call = CurrentCall { kind: Some(kind) };
        let mut bytes = encode_current(&call);
        bytes.extend_from_slice(&later);
        assert!(is_current(&bytes));
        assert_eq!(decode_current::<CurrentCall>(&bytes), Ok(call));
    }
    let mut unknown = encode_current(&CurrentCall::default());
    unknown.extend_from_slice(&later);
    assert_eq!(decode_current::<CurrentCall>(&unknown), Ok(CurrentCall { kind: None }));
    assert!(matches!(decode_current::<CurrentCall>(&[7, 0xff]), Err(FrameError::Malformed(_))));
    assert_eq!(decode_current::<CurrentCall>(&[6]), Err(FrameError::WrongVersion(6)));
}
