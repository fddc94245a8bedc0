//! Failures of connections to targets: broken streams, silent connections, callers that hang up and deadlines.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::{TestAnswer, TestEnv, TestPlan};

const PIPELINE_GOAL: &str = "pipelines/season-plan";
const BODY: &str = r#"{"prompt":"under-13s"}"#;

/// Starts an environment whose `coachmodel` engines answer with `tokens` tokens, one every `work_ms` milliseconds.
fn start_env(tokens: u32, work_ms: u64) -> TestEnv {
    let mut plan = TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier"));
    plan.edge_lines = "target_silence_ms = 500";
    for service in &mut plan.services {
        // A node may run as many calls at once as it has permits for the target. A silent call holds its permit until
        // it must have ended, so the other calls need permits of their own.
        service.settings = TargetSettings { cold_capacity: 6, ..service.settings.clone() };
        if service.name == "coachmodel" {
            service.settings =
                TargetSettings { tokens, work_duration: Duration::from_millis(work_ms), ..service.settings.clone() };
        }
    }
    TestEnv::start(plan)
}

/// Checks that the outcome is `done`, that every token came once and in order, and that the answer is that of
/// `reference`.
fn assert_complete(answer: &TestAnswer, reference: &TestAnswer) {
    assert_eq!(answer.outcome(), "done", "{answer:?}");
    assert!(answer.tokens.iter().enumerate().all(|(index, token)| token.index == index as u32), "{answer:?}");
    assert_eq!(answer.text(), reference.text());
    assert_eq!(answer.final_reply.as_ref().and_then(|reply| reply.answer.as_str()), Some(reference.text().as_str()));
}

/// Returns the number of calls that run at the `coachmodel` engines.
fn running_engine_calls(env: &TestEnv) -> u32 {
    let engines = env.targets.values().filter(|target| target.service == "coachmodel");
    engines.map(|engine| engine.state().load().in_flight).sum()
}

/// Guards against lost or repeated tokens when an engine breaks its stream after some tokens and the stream is resumed
/// at another engine.
#[test]
fn stream_that_breaks_is_resumed_at_another_engine() {
    // Arrange
    let env = start_env(12, 5);
    let reference = env.ask(0, PIPELINE_GOAL, "plan-0", BODY);
    let engine = env.targets["coachmodel-1"].state();
    engine.faults.set(FaultSettings { break_after_tokens: 5, ..FaultSettings::default() });

    // Act
    let mut answers = Vec::new();
    while engine.stats()["crashes"] == 0 {
        assert!(answers.len() < 100, "the engine gets no calls");
        answers.push(env.ask(answers.len() % 3, PIPELINE_GOAL, &format!("plan-{}", answers.len() + 1), BODY));
    }

    // Assert
    assert_eq!(reference.tokens.len(), 12, "{reference:?}");
    for answer in &answers {
        assert_complete(answer, &reference);
    }
}

/// Guards against a stream that hangs until its deadline when the links of its engine go silent without closing.
#[test]
fn stream_that_goes_silent_is_resumed_at_another_engine() {
    // Arrange
    let env = start_env(30, 20);
    let reference = env.ask(0, PIPELINE_GOAL, "plan-0", BODY);

    // Act
    let resumed = thread::scope(|scope| {
        let caller = scope.spawn(|| env.ask(1, PIPELINE_GOAL, "plan-1", BODY));
        env.wait_until("an engine runs a call", |env| running_engine_calls(env) > 0);
        thread::sleep(Duration::from_millis(100));
        for engine in env.targets.values().filter(|target| target.service == "coachmodel") {
            engine.state().link.freeze();
        }
        caller.join().expect("the caller thread ends")
    });

    // Assert
    assert_complete(&resumed, &reference);
}

/// Guards against failed requests when idle connections kept for reuse have gone silent in the meantime.
#[test]
fn kept_connections_that_went_silent_cost_no_request() {
    // Arrange
    let env = start_env(12, 5);
    for number in 0..30 {
        assert_eq!(env.ask(number % 3, "services/clubs", &format!("warm-{number}"), "{}").outcome(), "done");
    }

    // Act
    for target in env.targets.values().filter(|target| target.service == "clubs") {
        target.state().link.freeze();
    }
    let answers: Vec<TestAnswer> =
        (0..9).map(|number| env.ask(number % 3, "services/clubs", &format!("club-{number}"), "{}")).collect();

    // Assert
    for answer in answers {
        assert_eq!(answer.outcome(), "done", "{answer:?}");
    }
}

/// Guards against an engine that goes on generating tokens for a caller that has hung up.
#[test]
fn caller_that_hangs_up_stops_the_engine() {
    // Arrange
    let env = start_env(100_000, 20);
    let mut stream = TcpStream::connect(env.nodes[0].caller_address).expect("the node listens");
    let head = "POST /v1/pipelines/season-plan HTTP/1.1\r\nhost: x\r\nx-organisation: lions\r\nx-request-id: plan-1\r\n\
        x-deadline-ms: 6000\r\ncontent-length: 2\r\n\r\n{}";
    stream.write_all(head.as_bytes()).expect("the request is sent");
    let mut first_bytes = [0; 64];
    let count = stream.read(&mut first_bytes).expect("tokens come");

    // Act
    env.wait_until("an engine runs a call", |env| running_engine_calls(env) == 1);
    drop(stream);

    // Assert
    assert!(count > 0);
    env.wait_until("the engine has stopped", |env| running_engine_calls(env) == 0);
}

/// Guards against an engine that goes on generating tokens after the deadline of the request.
#[test]
fn deadline_stops_the_engine() {
    // Arrange
    let env = start_env(100_000, 20);

    // Act
    let answer = env.ask_within(0, PIPELINE_GOAL, "plan-1", BODY, Duration::from_secs(1));

    // Assert
    assert_ne!(answer.outcome(), "done");
    env.wait_until("the engine has stopped", |env| running_engine_calls(env) == 0);
}
