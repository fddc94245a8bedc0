//! All nodes lose power in a drill in which the store comes back from a copy. A key that was taken away before is used.
//!
//! Arguments: the program of the node, the template of its settings, a temporary folder and the path of the record.
//! `TROUBLE=0` leaves out the drill and the loss of power.

#[path = "platform.rs"]
mod platform;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{COULD_NOT_RUN, Node, Record, Server, Store, new_request_id, send_request};

const NODE_COUNT: usize = 3;
/// `revokeMs` of the settings.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
/// Time from the copy to the change that takes the key away.
const COPY_TO_CHANGE: Duration = Duration::from_millis(500);
/// Time from the acknowledgement of the change until the store is away.
const CHANGE_TO_DRILL: Duration = Duration::from_millis(5_000);
/// Time for which the store is away. The copy is 6 s old as it returns.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Time from the return of the store until the operator and the servers have written again what was lost.
const REWRITE_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the key is used after that.
const TIME_AFTER: Duration = Duration::from_secs(3);

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"book","host":"shop.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":100,"priority":2,"service":"bookings","maxAttempts":1,"public":false}}],"services":[{{"name":"bookings","healthPath":"/healthz","maxConns":100,"warmupS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"lions","apiKeys":[{keys}]}}]}}"#
    )
}

/// A request with the key that is taken away.
struct Sent {
    at: Duration,
    id: String,
    status: u16,
}

fn main() {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, template, folder, record] = &arguments[..] else { std::process::exit(COULD_NOT_RUN) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match Record::create(record).and_then(|record| play(program, template, folder, &record, has_trouble)) {
        Ok(late_runs) => i32::from(late_runs > 0),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            COULD_NOT_RUN
        }
    };
    std::process::exit(code);
}

/// Plays the case, and returns the number of requests that ran though they were sent too late.
fn play(
    program: &PathBuf,
    template: &PathBuf,
    folder: &PathBuf,
    record: &Record,
    has_trouble: bool,
) -> std::io::Result<usize> {
    let store = Store::default();
    let store_address = store.start()?;
    store.put("op", "config", &config(1, r#""key-1","key-2""#));
    let server = Server::start("i-1", record)?;
    store.put("servers", server.id, &server.entry("bookings", "khomas-a"));
    let mut nodes = Node::prepare(NODE_COUNT, program, template, folder, store_address)?;
    for node in &mut nodes {
        node.start()?;
    }
    for node in &nodes {
        if !node.wait_until_ready(Duration::from_secs(20)) {
            return Err(std::io::Error::other(format!("{} is not ready", node.name)));
        }
    }
    record.note("all nodes are ready");
    thread::sleep(Duration::from_secs(1));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let callers: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (address, name, record) = (node.caller_address, node.name.clone(), record.clone());
            let (is_over, sent) = (is_over.clone(), sent.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let (id, at) = (new_request_id(), record.now());
                    let head = format!(
                        "POST /book/lane HTTP/1.1\r\nHost: shop.example\r\nX-Wasabipier-Request-Id: {id}\r\nX-Api-Key: key-2\r\nX-Wasabipier-Timeout-Ms: 1500\r\n"
                    );
                    let status = send_request(address, &head, "lane 7", Duration::from_secs(2));
                    record.note(&format!("sent {id} at {:.3} to {name} with key-2, answered {status}", at.as_secs_f64()));
                    sent.lock().unwrap().push(Sent { at, id, status });
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let copy = store.copy();
    record.note("a copy of the store is made");
    thread::sleep(COPY_TO_CHANGE);
    store.put("op", "config", &config(2, r#""key-1""#));
    let (changed, changed_at) = (Instant::now(), record.now());
    record.note("a configuration without key-2 is acknowledged");
    thread::sleep(CHANGE_TO_DRILL);
    if has_trouble {
        store.leave();
        for node in &mut nodes {
            node.kill();
        }
        record.note("the store is away, and all nodes have lost power");
        thread::sleep(AWAY_TIME);
        store.return_from(copy);
        for node in &mut nodes {
            node.start()?;
        }
        record.note("the store is back from its copy, and the nodes start again");
    } else {
        thread::sleep(AWAY_TIME);
    }
    thread::sleep(REWRITE_TIME);
    store.write_lost_rows();
    record.note("the operator and the servers have written again what was lost");
    thread::sleep(TIME_AFTER);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let sent = sent.lock().unwrap();
    let runs = server.runs.lock().unwrap();
    let ran = |request: &&Sent| runs.iter().any(|run| run.id == request.id);
    let early = sent.iter().filter(|request| request.at < changed_at && request.status == 200).count();
    let late: Vec<&Sent> = sent.iter().filter(|request| request.at > changed_at + REVOKE_TIME).filter(ran).collect();
    for request in &late {
        let after = (request.at - changed_at).as_secs_f64();
        record.note(&format!("too late: {} was sent {after:.3} s after the key was taken away, and ran", request.id));
    }
    let (all, span) = (sent.len(), changed.elapsed().as_secs_f64());
    let summary = format!("{} of {all} requests ran too late, {early} were served before the change, {span:.1} s after it", late.len());
    record.note(&summary);
    println!("{summary}");
    if early == 0 {
        return Err(std::io::Error::other("no request was served while the key was valid"));
    }
    Ok(late.len())
}
