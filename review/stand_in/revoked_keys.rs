//! Keys are taken away until no organisation has one. Requests with a key that was taken away must not run later than 5 s
//! after the acknowledgement, and requests with a key that no configuration ever held must never run.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record, SetupResult};
use crate::http;
use crate::store::Store;

const REVOKE_MS: u64 = 5_000;
const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
const KEYS: [&str; 2] = ["key-of-lions", "key-of-herons"];
const NEVER_HELD: &str = "key-of-nobody";
/// Time between the two revocations.
const GAP: Duration = Duration::from_millis(1_500);
/// Time for which requests are sent after the second one.
const SENDING_TIME: Duration = Duration::from_secs(9);

/// What the servers ran: the id of each request with the time and the tenant that it was run for.
type Runs = Arc<Mutex<HashMap<String, (u64, String)>>>;

fn config(version: u64, lions: &str, herons: &str) -> String {
    let keys = |key: &str| if key.is_empty() { String::new() } else { format!("\"{key}\"") };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"nets.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":100,"priority":2,"service":"bookings","maxAttempts":1,"public":false}}],"services":[{{"name":"bookings","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false,"warmupS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"lions","apiKeys":[{}]}},{{"name":"herons","apiKeys":[{}]}}]}}"#,
        keys(lions),
        keys(herons)
    )
}

fn start_server(id: &'static str, zone: &str, store: &Store, record: &Record, runs: &Runs) {
    let listener = http::listen().expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (record, runs) = (record.clone(), runs.clone());
    http::serve(listener, move |mut connection| {
        loop {
            let request = http::read_message(&mut connection.reader)?;
            let name = request.header("x-wasabipier-request-id").to_owned();
            let echo = ("X-Wasabipier-Request-Id", name.as_str());
            if ![id, ""].contains(&request.header("x-wasabipier-target-instance")) {
                connection.writer.write_all(&http::response(421, &[echo, ("X-Wasabipier-Not-Executed", "1")], ""))?;
                continue;
            }
            let tenant = request.header("x-wasabipier-tenant").to_owned();
            record.note(&format!("run       {name} at {id} for tenant '{tenant}'"));
            runs.lock().expect("no thread panics with the lock").insert(name.clone(), (record.now_ms(), tenant));
            thread::sleep(Duration::from_millis(15));
            let signature = format!("{id}.{name}");
            let headers = [echo, ("X-Wasabipier-Response-Signature", signature.as_str())];
            connection.writer.write_all(&http::response(200, &headers, "booked"))?;
        }
    });
    let entry = format!(
        r#"{{"service":"bookings","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldMs":0,"seq":1,"born":1700000000000}}"#
    );
    store.put("servers", id, &entry);
}

fn send(node: SocketAddr, id: &str, key: &str) -> u16 {
    let headers = [
        ("Host", "nets.example"),
        ("X-Wasabipier-Request-Id", id),
        ("X-Wasabipier-Timeout-Ms", "1500"),
        ("X-Api-Key", key),
        ("Connection", "close"),
    ];
    let request = http::request(&format!("POST /book/{id}"), &headers, "slot");
    http::call(node, &request, Duration::from_secs(2)).map_or(0, |response| response.status())
}

pub fn run(record: &Record, has_trouble: bool) -> SetupResult<Vec<String>> {
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op", "config", &config(7, KEYS[0], KEYS[1]));
    for (id, zone) in ["i-1", "i-2", "i-3"].into_iter().zip(ZONES) {
        start_server(id, zone, &store, record, &runs);
    }
    let deployment = Deployment::start(&store, &ZONES)?;
    let nodes: Vec<SocketAddr> = deployment.nodes.iter().map(|node| node.callers).collect();

    // Each request by its id: the key and the time at which it is sent.
    let mut sent: Vec<(String, &str, u64)> = Vec::new();
    let mut taken_at: HashMap<&str, u64> = HashMap::new();
    let started = record.now_ms();
    let (first, second) = (started + 2_000, started + 2_000 + GAP.as_millis() as u64);
    let mut changes = vec![(second, 13, KEYS[1], ["", ""]), (first, 9, KEYS[0], ["", KEYS[1]])];
    for number in 0_usize.. {
        let now = record.now_ms();
        if now > second + SENDING_TIME.as_millis() as u64 {
            break;
        }
        if let Some((_, version, key, [lions, herons])) = changes.pop_if(|change| change.0 <= now) {
            let kept = if has_trouble { [lions, herons] } else { KEYS };
            store.put("op", "config", &config(version, kept[0], kept[1]));
            if has_trouble {
                taken_at.insert(key, record.now_ms());
            }
            record.note(&format!("operator  version {version} acknowledged; keys {kept:?}"));
        }
        let key = [KEYS[0], KEYS[1], NEVER_HELD][number % 3];
        let (id, node) = (format!("q{number}"), nodes[number / 3 % nodes.len()]);
        sent.push((id.clone(), key, record.now_ms()));
        record.note(&format!("sent      {id} with {key} to {node}"));
        let status = send(node, &id, key);
        record.note(&format!("answered  {id} {status}"));
        thread::sleep(Duration::from_millis(40));
    }
    drop(deployment);

    let runs = runs.lock().expect("no thread panics with the lock");
    if !sent.iter().any(|(id, key, _)| KEYS.contains(key) && runs.contains_key(id)) {
        return Err("no request with a key that is held was run".to_owned());
    }
    let breaks = sent.iter().filter_map(|(id, key, sent_at)| {
        let (ran_at, tenant) = runs.get(id)?;
        if *key == NEVER_HELD {
            return Some(format!("{id}: sent at {sent_at} ms with a key that no configuration held, run at {ran_at} ms for tenant '{tenant}'"));
        }
        let late = sent_at.checked_sub(*taken_at.get(key)?)?;
        (late > REVOKE_MS).then(|| format!("{id}: sent {late} ms after {key} was taken away, run at {ran_at} ms for tenant '{tenant}'"))
    });
    let breaks: Vec<String> = breaks.collect();
    for line in &breaks {
        record.note(&format!("broken    {line}"));
    }
    Ok(breaks)
}
