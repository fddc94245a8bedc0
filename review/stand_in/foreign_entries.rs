//! Another writer has left some unreadable entries among those of the servers. After all processes are killed, a quarter of
//! the requests that are sent later than 12 s after the machines are back must be served.

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record, SetupResult};
use crate::http;
use crate::store::Store;

const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
const SERVERS: [&str; 3] = ["i-1", "i-2", "i-3"];
/// Number of unreadable entries, and the size of each, which is the largest of a row.
const ENTRY_COUNT: usize = 16;
const ROW_BYTES: usize = 65_536;
const RECOVER_MS: u64 = 12_000;
/// Time for which the killed processes are down, times for which requests are sent before that and in the end, and interval
/// at which they are.
const DOWN_TIME: Duration = Duration::from_millis(1_400);
const BEFORE_MS: u64 = 8_000;
const JUDGED_MS: u64 = 10_000;
const INTERVAL: Duration = Duration::from_millis(50);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-check","host":"nets.example","prefix":"/check/","kind":"idempotent","timeoutMs":1500,"sloMs":100,"priority":2,"service":"bookings","maxAttempts":2,"public":true}],"services":[{"name":"bookings","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false,"warmupS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn start_server(id: &'static str, zone: &str, store: &Store, record: &Record) {
    let listener = http::listen().expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let record = record.clone();
    http::serve(listener, move |mut connection| {
        loop {
            let request = http::read_message(&mut connection.reader)?;
            let name = request.header("x-wasabipier-request-id").to_owned();
            let echo = ("X-Wasabipier-Request-Id", name.as_str());
            if ![id, ""].contains(&request.header("x-wasabipier-target-instance")) {
                connection.writer.write_all(&http::response(421, &[echo, ("X-Wasabipier-Not-Executed", "1")], ""))?;
                continue;
            }
            record.note(&format!("run       {name} at {id}"));
            thread::sleep(Duration::from_millis(15));
            let signature = format!("{id}.{name}");
            let headers = [echo, ("X-Wasabipier-Response-Signature", signature.as_str())];
            connection.writer.write_all(&http::response(200, &headers, "free"))?;
        }
    });
    let entry = format!(
        r#"{{"service":"bookings","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldMs":0,"seq":1,"born":1700000000000}}"#
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
    let request = http::request(&format!("GET /check/{id}"), &headers, "");
    http::call(node, &request, Duration::from_secs(2)).map_or(0, |response| response.status())
}

/// Sends requests for `duration_ms`. Returns the number of them and how many were served.
fn send_for(duration_ms: u64, prefix: &str, deployment: &Deployment, record: &Record) -> (usize, usize) {
    let ends_at = record.now_ms() + duration_ms;
    let (mut sent, mut served) = (0, 0);
    while record.now_ms() < ends_at {
        let (id, node) = (format!("{prefix}{sent}"), deployment.nodes[sent % deployment.nodes.len()].callers);
        record.note(&format!("sent      {id} to {node}"));
        let status = send(node, &id);
        record.note(&format!("answered  {id} {status}"));
        sent += 1;
        served += usize::from(status == 200);
        thread::sleep(INTERVAL);
    }
    (sent, served)
}

pub fn run(record: &Record, has_trouble: bool) -> SetupResult<Vec<String>> {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    for (id, zone) in SERVERS.into_iter().zip(ZONES) {
        start_server(id, zone, &store, record);
    }
    let mut deployment = Deployment::start(&store, &ZONES)?;
    if has_trouble {
        for number in 1..=ENTRY_COUNT {
            store.put_bytes("servers", &format!("copy of i-{number}"), &[0xfe; ROW_BYTES]);
        }
        record.note(&format!("entries   {ENTRY_COUNT} unreadable ones of another writer"));
    }
    let (sent, served) = send_for(BEFORE_MS, "b", &deployment, record);
    record.note(&format!("served    {served} of {sent} requests before the final fault"));
    if served * 4 < sent {
        return Err(format!("only {served} of {sent} requests were served before the final fault"));
    }
    store.put("op", "config", &CONFIG.replace(r#""version":7"#, r#""version":9"#));
    for node in &mut deployment.nodes {
        node.kill();
    }
    record.note("killed    all nodes, after version 9 was acknowledged");
    thread::sleep(DOWN_TIME);
    for node in &mut deployment.nodes {
        node.start()?;
    }
    record.note("started   all nodes");
    send_for(RECOVER_MS, "r", &deployment, record);
    let (sent, served) = send_for(JUDGED_MS, "a", &deployment, record);
    let ready = deployment.nodes.iter().filter(|node| node.is_ready()).count();
    record.note(&format!(
        "served    {served} of {sent} requests later than {RECOVER_MS} ms after that; {ready} nodes are ready"
    ));
    drop(deployment);
    let is_broken = served * 4 < sent;
    let line = format!(
        "{served} of {sent} requests were served later than {RECOVER_MS} ms after the nodes were back; {ready} nodes are ready"
    );
    Ok(if is_broken { vec![line] } else { Vec::new() })
}
