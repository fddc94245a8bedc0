//! Answers of targets, and requests of callers, that do not end.

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::thread;

use wasabipier_fakes::faults::FaultSettings;
use wasabipier_fakes::target::TargetSettings;
use wasabipier_fakes::test_env::{TestEnv, TestPlan};

/// Number of requests that run at the same time.
const REQUEST_COUNT: usize = 8;
/// Bytes of a head after which its caller sends no more.
const MAX_HEAD_BYTES: usize = 64 * 1024 * 1024;
/// Memory in bytes that a node may take.
const MAX_NODE_MEMORY: u64 = 256 * 1024 * 1024;

/// Returns the largest resident set of a node's process so far in bytes.
fn peak_memory(env: &TestEnv, node: usize) -> u64 {
    let pid = env.pid(node).expect("the node runs");
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    peak.and_then(|kilobytes| kilobytes.parse::<u64>().ok()).expect("the kernel reports the peak") * 1024
}

/// Guards against a node that keeps all that a target sends until it runs out of memory, and with it the requests of
/// others: a line of a stream, or a whole answer.
#[test]
fn answers_without_end_take_bounded_memory() {
    let mut plan = TestPlan { node_count: 1, ..TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")) };
    for service in &mut plan.services {
        service.settings = TargetSettings { cold_capacity: 16, warm_capacity: 16, ..TargetSettings::default() };
    }
    let env = TestEnv::start(plan);
    for (service, goal) in [("coachmodel", "pipelines/season-plan"), ("clubs", "services/clubs")] {
        assert_eq!(env.ask(0, goal, &format!("{service}-before"), "{}").outcome(), "done", "{service}");
        env.set_service_faults(service, &FaultSettings { endless: true, ..FaultSettings::default() });

        let env = &env;
        thread::scope(|scope| {
            for number in 0..REQUEST_COUNT {
                scope.spawn(move || env.ask(0, goal, &format!("{service}-{number}"), "{}"));
            }
        });
        let peak = peak_memory(env, 0);
        env.set_service_faults(service, &FaultSettings::default());

        println!("{service}: peak of {} MB", peak / 1024 / 1024);
        assert!(peak < MAX_NODE_MEMORY, "{service}: peak of {} MB", peak / 1024 / 1024);
        env.wait_until("the node serves again", |env| {
            let id = format!("{service}-{:?}", std::time::Instant::now());
            let id: String = id.chars().filter(char::is_ascii_alphanumeric).collect();
            env.ask(0, goal, &id, "{}").outcome() == "done"
        });
    }
}

/// Guards against a node that keeps all of a request line that does not end.
#[test]
fn heads_without_end_of_callers_take_bounded_memory() {
    let env = TestEnv::start(TestPlan { node_count: 1, ..TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")) });
    let address = env.nodes[0].caller_address;
    let block = vec![b'a'; 64 * 1024];

    let connections: Vec<TcpStream> = thread::scope(|scope| {
        let send = || {
            let mut stream = TcpStream::connect(address).expect("the node listens");
            let mut written = stream.write_all(b"GET /");
            for _ in 0..MAX_HEAD_BYTES / block.len() {
                // A write fails once the node has closed the connection.
                written = written.and_then(|()| stream.write_all(&block));
            }
            stream
        };
        let senders: Vec<_> = (0..REQUEST_COUNT).map(|_| scope.spawn(send)).collect();
        senders.into_iter().map(|sender| sender.join().expect("it does not panic")).collect()
    });
    let peak = peak_memory(&env, 0);
    drop(connections);

    assert!(peak < MAX_NODE_MEMORY, "peak of {} MB", peak / 1024 / 1024);
}
