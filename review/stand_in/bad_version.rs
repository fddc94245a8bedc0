//! An operator has a service moved to a bad version, which answers half of its requests with a failure. It must get a
//! small share of the requests before the deadline of the order, and none later than 5 s after its 50th bad answer.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record, SetupResult};
use crate::http;
use crate::json::Json;
use crate::store::Store;

const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
const OLD_SERVERS: [&str; 3] = ["i-1", "i-2", "i-3"];
const NEW_SERVERS: [&str; 3] = ["i-4", "i-5", "i-6"];
const BASELINE_MS: u64 = 6_000;
const DURATION_MS: u64 = 12_000;
/// Time after the deadline in which requests are sent.
const AFTER_MS: u64 = 6_000;
/// Interval at which requests are sent.
const INTERVAL: Duration = Duration::from_millis(25);
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
const ROLLBACK_MS: u64 = 5_000;
const MAX_BAD_ANSWERS: usize = 50;
/// Status of a bad answer.
const BAD_STATUS: u16 = 404;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"nets.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":100,"priority":2,"service":"bookings","maxAttempts":1,"public":true}],"services":[{"name":"bookings","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false,"warmupS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A request that a server has run.
struct Run {
    id: String,
    at: u64,
    is_new: bool,
    is_bad: bool,
}

type Runs = Arc<Mutex<Vec<Run>>>;

fn start_server(
    id: &'static str,
    version: &str,
    zone: &str,
    is_bad: bool,
    store: &Store,
    record: &Record,
    runs: &Runs,
) {
    let listener = http::listen().expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (record, runs, is_new) = (record.clone(), runs.clone(), version == "v2");
    let count = Arc::new(Mutex::new(0_usize));
    http::serve(listener, move |mut connection| {
        loop {
            let request = http::read_message(&mut connection.reader)?;
            let name = request.header("x-wasabipier-request-id").to_owned();
            let echo = ("X-Wasabipier-Request-Id", name.as_str());
            if ![id, ""].contains(&request.header("x-wasabipier-target-instance")) {
                connection.writer.write_all(&http::response(421, &[echo, ("X-Wasabipier-Not-Executed", "1")], ""))?;
                continue;
            }
            let is_bad_answer = {
                let mut count = count.lock().expect("no thread panics with the lock");
                *count += 1;
                is_bad && *count % 2 == 0
            };
            let status = if is_bad_answer { BAD_STATUS } else { 200 };
            record.note(&format!("run       {name} at {id}, status {status}"));
            let run = Run { id: name.clone(), at: record.now_ms(), is_new, is_bad: is_bad_answer };
            runs.lock().expect("no thread panics with the lock").push(run);
            thread::sleep(Duration::from_millis(15));
            let signature = format!("{id}.{name}");
            let headers = [echo, ("X-Wasabipier-Response-Signature", signature.as_str())];
            connection.writer.write_all(&http::response(status, &headers, "answer"))?;
        }
    });
    let entry = format!(
        r#"{{"service":"bookings","address":"{address}","zone":"{zone}","version":"{version}","slots":6,"state":"ready","coldMs":0,"seq":1,"born":1700000000000}}"#
    );
    store.put("servers", id, &entry);
}

fn send(node: SocketAddr, id: &str) -> u16 {
    let headers = [
        ("Host", "nets.example"),
        ("X-Wasabipier-Request-Id", id),
        ("X-Wasabipier-Timeout-Ms", "1500"),
        ("Connection", "close"),
    ];
    let request = http::request(&format!("POST /book/{id}"), &headers, "slot");
    http::call(node, &request, Duration::from_secs(2)).map_or(0, |response| response.status())
}

pub fn run(record: &Record, has_trouble: bool) -> SetupResult<Vec<String>> {
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op", "config", CONFIG);
    for (id, zone) in OLD_SERVERS.into_iter().zip(ZONES) {
        start_server(id, "v1", zone, false, &store, record, &runs);
    }
    let deployment = Deployment::start(&store, &ZONES)?;
    let started = record.now_ms();
    let mut ordered_at = None;
    let mut state = String::new();
    let mut sent: HashMap<String, u64> = HashMap::new();
    let mut clients = Vec::new();
    for number in 0_usize.. {
        let now = record.now_ms();
        if now >= started + BASELINE_MS + DURATION_MS + AFTER_MS {
            break;
        }
        if ordered_at.is_none() && now >= started + BASELINE_MS {
            for (id, zone) in NEW_SERVERS.into_iter().zip(ZONES) {
                start_server(id, "v2", zone, has_trouble, &store, record, &runs);
            }
            store.put("op", "rollout/bookings", r#"{"service":"bookings","to":"v2","durationS":12}"#);
            ordered_at = Some(record.now_ms());
            record.note("operator  orders to move bookings to v2 within 12 s");
        }
        let new_state = Json::parse(&store.get("status", "rollout/bookings")).get("state").text().to_owned();
        if new_state != state {
            record.note(&format!("status    {new_state}"));
            if new_state == "completed" {
                OLD_SERVERS.iter().for_each(|id| store.remove("servers", id));
            }
            state = new_state;
        }
        let (id, node) = (format!("q{number}"), deployment.nodes[number % deployment.nodes.len()].callers);
        sent.insert(id.clone(), now);
        let record = record.clone();
        clients.push(thread::spawn(move || {
            record.note(&format!("sent      {id} to {node}"));
            let status = send(node, &id);
            record.note(&format!("answered  {id} {status}"));
        }));
        thread::sleep(INTERVAL);
    }
    for client in clients {
        // A client that has panicked has sent nothing.
        let _ = client.join();
    }
    drop(deployment);

    let runs = runs.lock().expect("no thread panics with the lock");
    let ordered_at = ordered_at.ok_or("the order was not written")?;
    let in_time = |run: &&Run| (ordered_at..ordered_at + DURATION_MS).contains(&run.at);
    let all = runs.iter().filter(in_time).count();
    let new = runs.iter().filter(in_time).filter(|run| run.is_new).count();
    if all < 100 || new == 0 {
        return Err(format!("only {all} requests were run after the order, {new} of them by the new version"));
    }
    let bad: Vec<&Run> = runs.iter().filter(|run| run.is_bad).collect();
    record.note(&format!(
        "the new version ran {new} of {all} requests before the deadline, and gave {} bad answers; status {state}",
        bad.len()
    ));
    if !has_trouble {
        return Ok(Vec::new());
    }
    let mut breaks = Vec::new();
    let limit = EXPOSE_SHARE * all as f64 + EXPOSE_SLACK;
    if new as f64 > limit {
        breaks.push(format!(
            "the bad version got {new} of {all} requests before the deadline; at most {limit} are allowed"
        ));
    }
    if let Some(last) = bad.get(MAX_BAD_ANSWERS - 1) {
        let late =
            runs.iter().filter(|run| run.is_new && sent.get(&run.id).is_some_and(|at| *at > last.at + ROLLBACK_MS));
        let late = late.count();
        if late > 0 {
            breaks.push(format!("the bad version got {late} requests that were sent later than {ROLLBACK_MS} ms after its 50th bad answer"));
        }
    }
    for line in &breaks {
        record.note(&format!("broken    {line}"));
    }
    Ok(breaks)
}
