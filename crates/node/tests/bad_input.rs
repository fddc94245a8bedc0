//! Invalid input from callers, operators, peers and settings: the answer is a typed error with its remedy, and the node
//! keeps running.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;

use bytes::Bytes;
use http::Request;
use serde_json::Value;
use wasabipier_fakes::test_env::{OPERATOR_KEY, PEER_KEY, TestEnv, TestPlan};
use wasabipier_wire::frame::{MAX_FRAME_BYTES, WireFrame};

const BINARY: &str = env!("CARGO_BIN_EXE_wasabipier");
/// Headers of a valid request.
const COMPLETE_HEADERS: [&str; 3] = ["x-organisation: lions", "x-request-id: bad-1", "x-deadline-ms: 2000"];

/// Request line, headers and body, and the expected status, error kind and remedy.
type CallerCase<'a> = (&'a str, Vec<&'a str>, &'a [u8], u16, &'a str, &'a str);

fn start_env() -> TestEnv {
    TestEnv::start(TestPlan { node_count: 1, edge_lines: "most_body_bytes = 16384", ..TestPlan::typical(BINARY) })
}

/// Sends one HTTP request as bytes and returns the status and the JSON body of the answer.
fn exchange(address: SocketAddr, line: &str, headers: &[&str], body: &[u8]) -> (u16, Value) {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    let headers = headers.join("\r\n");
    let head = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the head can be sent");
    stream.write_all(body).expect("the body can be sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer comes");
    let status = answer.get(9..12).and_then(|text| text.parse().ok()).unwrap_or_default();
    let json = answer.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
    (status, serde_json::from_str(json).unwrap_or_default())
}

/// Connects as a peer, sends `bytes` in one stream and returns the status and text of the node's answer.
fn send_as_peer(address: SocketAddr, key: &str, bytes: &[u8]) -> (u16, String) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let send_and_read = async {
        let socket = tokio::net::TcpStream::connect(address).await.expect("the node listens");
        let (client, connection) = h2::client::handshake(socket).await.expect("a handshake");
        let driver = tokio::spawn(connection);
        let mut client = client.ready().await.expect("a stream can be opened");
        let request = Request::post(format!("http://{address}/peer"))
            .header("authorization", format!("Bearer {key}"))
            .header("x-node", "entry-9");
        let (response, mut stream) = client.send_request(request.body(()).expect("a head"), false).expect("it is sent");
        stream.send_data(Bytes::copy_from_slice(bytes), true).expect("the frame is sent");
        let response = response.await.expect("the node answers");
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut text = Vec::new();
        while let Some(Ok(part)) = body.data().await {
            text.extend_from_slice(&part);
        }
        driver.abort();
        (status, String::from_utf8_lossy(&text).into_owned())
    };
    runtime.block_on(async {
        tokio::time::timeout(std::time::Duration::from_secs(10), send_and_read).await.expect("in time")
    })
}

/// Returns the frame preceded by its length as four bytes, big endian.
fn prefix_length(frame: &[u8]) -> Vec<u8> {
    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
    bytes.extend(frame);
    bytes
}

/// Checks that the node still serves, has not panicked and has logged no key.
fn assert_serves_without_leaks(env: &TestEnv, request: &str) {
    assert_eq!(env.ask(0, "services/clubs", request, "{}").outcome(), "done");
    let log = env.log("entry-1");
    assert!(!log.contains(PEER_KEY) && !log.contains(OPERATOR_KEY), "a key in the log:\n{log}");
    assert!(!log.contains("panicked"), "{log}");
}

/// Guards against invalid requests that run, get an error without a remedy or make the node exit.
#[test]
fn caller_is_told_what_to_correct() {
    // Arrange
    let env = start_env();
    let without =
        |name: &str| COMPLETE_HEADERS.into_iter().filter(|header| !header.starts_with(name)).collect::<Vec<_>>();
    let with = |header: &'static str| {
        let name = header.split(':').next().unwrap_or_default();
        without(name).into_iter().chain([header]).collect::<Vec<_>>()
    };
    let (clubs, large) = ("POST /v1/services/clubs", vec![b' '; 20_000]);
    let complete = COMPLETE_HEADERS.to_vec();
    let cases: Vec<CallerCase<'_>> = vec![
        (clubs, without("x-request-id"), b"{}", 400, "missing-header", "`x-request-id` is missing: send it"),
        (clubs, without("x-organisation"), b"{}", 400, "missing-header", "`x-organisation` is missing: send it"),
        (clubs, without("x-deadline-ms"), b"{}", 400, "missing-header", "`x-deadline-ms` is missing: send it"),
        (clubs, with("x-deadline-ms: soon"), b"{}", 400, "bad-header", "send 1 to 600000 milliseconds"),
        (clubs, with("x-deadline-ms: -5"), b"{}", 400, "bad-header", "send 1 to 600000 milliseconds"),
        (clubs, with("x-request-id: a/b"), b"{}", 400, "bad-header", "no `/`"),
        (clubs, with("x-priority: urgent"), b"{}", 400, "bad-header", "send `interactive`, `normal` or `batch`"),
        (clubs, with("x-organisation: strangers"), b"{}", 403, "unknown-org", "add it to the environment's document"),
        ("POST /v1/pipelines/none", complete.clone(), b"{}", 404, "unknown-goal", "check the path"),
        ("POST /v1/services/none", complete.clone(), b"{}", 404, "unknown-goal", "check the path"),
        ("POST /v2/clubs", complete.clone(), b"{}", 404, "no-such-path", "use POST /v1/pipelines/NAME"),
        ("GET /v1/services/clubs", complete.clone(), b"{}", 404, "no-such-path", "use POST /v1/pipelines/NAME"),
        (clubs, complete.clone(), &large, 413, "body-too-large", "more than 16384 bytes: send less"),
        (clubs, complete.clone(), b"{\"lane\":", 400, "not-json", "send one JSON value"),
        (clubs, complete.clone(), b"\xff\xfe", 400, "not-json", "send one JSON value"),
        (clubs, complete.clone(), b"", 400, "not-json", "send one JSON value"),
    ];

    for (line, headers, body, status, kind, remedy) in cases {
        // Act
        let (actual_status, answer) = exchange(env.nodes[0].caller_address, line, &headers, body);

        // Assert
        let message = answer["error"]["message"].as_str().unwrap_or_default();
        assert_eq!(
            (actual_status, answer["error"]["kind"].as_str()),
            (status, Some(kind)),
            "{line} {headers:?}: {answer}"
        );
        assert!(message.contains(remedy), "{line} {headers:?}: {message}");
        assert_eq!(answer["outcome"], "not-run");
    }
    assert_eq!(env.count_runs("clubs", "bad-1"), 0);
    assert_serves_without_leaks(&env, "club-1");
}

/// Guards against promotions without a valid key, and against documents whose faults are reported one at a time.
#[test]
fn operator_is_told_all_faults_at_once() {
    // Arrange
    let env = start_env();
    let address = env.nodes[0].caller_address;
    let key = format!("authorization: Bearer {OPERATOR_KEY}");
    let faulty_document = env
        .document()
        .replace("stages = encoder", "stages = missing")
        .replace("warm_limit = 8", "warm_limit = 0")
        + "[target stray]\nservice = nothing\nversion = v1\ndata_centre = nowhere\naddress = 10.0.0.1:1\nadmission = maybe\n";
    let call = serde_json::json!({ "seen": 1, "author": "tester", "text": faulty_document }).to_string();

    // Act
    let no_key = exchange(address, "POST /v1/operator/promote", &["x-none: 1"], call.as_bytes());
    let wrong_key = exchange(address, "GET /v1/operator/status", &["authorization: Bearer guess"], b"");
    let wrong_types = exchange(address, "POST /v1/operator/promote", &[&key], b"{\"seen\": \"one\"}");
    let wrong_path = exchange(address, "POST /v1/operator/demote", &[&key], b"{}");
    let reply = env.try_promote(0, 1, "tester", &faulty_document);

    // Assert
    assert_eq!((no_key.0, wrong_key.0), (401, 401));
    assert!(
        no_key.1["error"]["message"].as_str().is_some_and(|text| text.contains("send `Authorization: Bearer KEY`"))
    );
    assert_eq!((wrong_types.0, wrong_types.1["error"]["kind"].as_str()), (400, Some("not-json")));
    assert_eq!(wrong_path.0, 404);
    let answer = format!("{reply:?}");
    for fault in ["no service `missing`", "warm_limit", "no service `nothing`", "no data centre `nowhere`", "admission"]
    {
        assert!(answer.contains(fault), "`{fault}` is not among the faults: {answer}");
    }
    assert_eq!(env.status(0).map(|status| status.revision), Some(1), "nothing was promoted");
    assert_serves_without_leaks(&env, "club-2");
}

/// Guards against a stream with a wrong key, or a frame with a wrong version or size, that makes the node exit or is
/// refused without a reason.
#[test]
fn peer_is_told_what_is_wrong_with_its_frames() {
    // Arrange
    let env = start_env();
    let address = env.nodes[0].peer_address;
    let valid = WireFrame::DocumentWanted { wanted: 0, have: 0 }.encode();
    let mut other_version = valid.clone();
    other_version[0] = 99;
    let truncated = prefix_length(&valid)[..5].to_vec();
    let too_large = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let cases: Vec<(&str, Vec<u8>, u16, &str)> = vec![
        ("wrong-peers-key-1", prefix_length(&valid), 401, "use the same peers' key"),
        (PEER_KEY, prefix_length(&other_version), 200, "run the same release on all nodes"),
        (PEER_KEY, truncated, 200, "the stream ended within a frame"),
        (PEER_KEY, prefix_length(&[valid[0], 0xff, 0xff]), 200, "check that the address is that of a node"),
        (PEER_KEY, too_large.to_vec(), 200, "split the document"),
    ];

    for (key, bytes, status, remedy) in cases {
        // Act
        let (actual_status, text) = send_as_peer(address, key, &bytes);

        // Assert
        assert_eq!(actual_status, status, "{remedy}");
        assert!(text.contains(remedy), "`{remedy}` was not sent: {text:?}");
        assert!(env.log("entry-1").contains(remedy), "`{remedy}` is not in the log");
    }
    TcpStream::connect(address).and_then(|mut stream| stream.write_all(b"GET / HTTP/1.0\r\n\r\n")).expect("it is sent");
    assert_serves_without_leaks(&env, "club-3");
}

/// Guards against settings whose faults are reported one at a time, and against keys that appear in error messages.
#[test]
fn faulty_settings_are_reported_whole() {
    // Arrange
    let folder = std::env::temp_dir().join(format!("wasabipier-settings-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder can be made");
    let path = folder.join("entry.ini");
    let text = "[node]\nname = entry-1\nenvironment = production\ncaller_address = here\npeer_address = 127.0.0.1:7001\n\
        colour = green\n[platform]\naddress = 127.0.0.1\n[keys]\npeers = tooshort9\noperators = operators-test-key\n\
        operator = misplaced-secret-1\n[peers]\nentry-2 = nowhere\n[tuning]\nchoices = 0\n[edges]\ncaller_threads = many\n[edgse]\n";
    fs::write(&path, text).expect("the settings can be written");

    // Act
    let output = Command::new(BINARY).arg("--settings").arg(&path).output().expect("the node runs");
    let missing = Command::new(BINARY).args(["--settings", "/none/entry.ini"]).output().expect("the node runs");
    fs::remove_dir_all(&folder).expect("the folder can be removed");

    // Assert
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    let faults = [
        "[node] data_centre:",
        "[node] caller_address:",
        "[node] colour:",
        "[platform] address:",
        "[keys] peers: too short; use a random text",
        "[keys] operator:",
        "[peers] entry-2:",
        "[tuning] choices:",
        "[edges] caller_threads:",
        "[edgse]: unknown section; use one of",
    ];
    for fault in faults {
        assert!(stderr.contains(fault), "`{fault}` is not reported:\n{stderr}");
    }
    assert!(stderr.lines().all(|line| line.contains("; ")), "each fault has a remedy:\n{stderr}");
    assert!(!stderr.contains("tooshort9") && !stderr.contains("misplaced-secret-1"), "a key is shown:\n{stderr}");
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("name the file with --settings"));
}
