//! A part of a prompt crashes each model server that begins to answer it. All nodes are killed at the same moment, and
//! requests with that part go on coming.
//!
//! Arguments: the program of the node, the template of its settings, a temporary folder and the path of the record.
//! `TROUBLE=0` leaves out the kill.

#[path = "platform.rs"]
mod platform;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use platform::{COULD_NOT_RUN, EngineFleet, Node, Record, Store, new_request_id, send_request};

const NODE_COUNT: usize = 7;
const ENGINE_COUNT: usize = 12;
const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
/// `contactMs` of the settings.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Number of arrivals later than that after the fifth crash that the rule allows.
const MAX_LATE_ARRIVALS: usize = 3;
const DEADLY_PART: &str = "dead01";
/// Time from the first deadly requests, one at each node, to the kill.
const TIME_TO_KILL: Duration = Duration::from_secs(5);
/// Time until killed processes start again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time from the restart to the next deadly request, and from each to the next one.
const FIRST_DELAY: Duration = Duration::from_secs(4);
const DEADLY_INTERVAL: Duration = Duration::from_secs(3);
const DEADLY_COUNT: usize = 14;
const SOUND_CALLERS: usize = 6;

fn config() -> String {
    r#"{"version":1,"routes":[{"name":"plan","host":"shop.example","prefix":"/plan/","kind":"streaming","resumable":true,"timeoutMs":12000,"sloMs":1300,"priority":0,"service":"model","maxAttempts":2,"public":false,"sticky":true,"itlTargetMs":300}],"services":[{"name":"model","healthPath":"/healthz","maxConns":360,"warmupS":0.0,"coldPerS":0.0,"engine":{"slots":64}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"lions","apiKeys":["key-1"]}]}"#.to_owned()
}

/// Sends a generation to a node. `part` is the second part of its prompt; the first one is common to all.
fn send_generation(node: std::net::SocketAddr, part: &str) -> (String, u16) {
    let id = new_request_id();
    let head = format!(
        "POST /plan/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Wasabipier-Request-Id: {id}\r\nX-Api-Key: key-1\r\nX-Wasabipier-Timeout-Ms: 6000\r\nX-Wasabipier-Model: m\r\nX-Wasabipier-Token-Count: 140,10\r\nX-Wasabipier-Prompt-Prefix: 5c1e07a2:50,{part}:40,{id}:50\r\n"
    );
    let status = send_request(node, &head, &id, Duration::from_secs(8));
    (id, status)
}

fn main() {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, template, folder, record] = &arguments[..] else { std::process::exit(COULD_NOT_RUN) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match Record::create(record).and_then(|record| play(program, template, folder, &record, has_trouble)) {
        Ok(late) => i32::from(late > MAX_LATE_ARRIVALS),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            COULD_NOT_RUN
        }
    };
    std::process::exit(code);
}

/// Plays the case, and returns the number of late arrivals of deadly requests from machines in touch.
fn play(
    program: &PathBuf,
    template: &PathBuf,
    folder: &PathBuf,
    record: &Record,
    has_trouble: bool,
) -> std::io::Result<usize> {
    let store = Store::default();
    let store_address = store.start()?;
    store.put("op", "config", &config());
    let fleet = EngineFleet::new(&store, record, DEADLY_PART);
    for number in 0..ENGINE_COUNT {
        fleet.start_engine(ZONES[number % ZONES.len()])?;
    }
    let mut nodes = Node::prepare(NODE_COUNT, program, template, folder, store_address)?;
    for node in &mut nodes {
        node.start()?;
    }
    let wait_until_ready = |nodes: &[Node]| match nodes.iter().find(|node| !node.wait_until_ready(Duration::from_secs(20))) {
        Some(node) => Err(std::io::Error::other(format!("{} is not ready", node.name))),
        None => Ok(()),
    };
    wait_until_ready(&nodes)?;
    record.note("all nodes are ready");
    let addresses: Vec<_> = nodes.iter().map(|node| node.caller_address).collect();
    let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let sound: Vec<_> = (0..SOUND_CALLERS)
        .map(|number| {
            let (is_over, served, addresses) = (is_over.clone(), served.clone(), addresses.clone());
            let record = record.clone();
            thread::spawn(move || {
                let mut turn = number;
                while !is_over.load(Ordering::Relaxed) {
                    turn += 1;
                    let node = turn % addresses.len();
                    let (id, status) = send_generation(addresses[node], &format!("a{}", turn % 4));
                    record.note(&format!("sound request {id} to {} was answered {status}", nodes_name(node)));
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let send_deadly = |node: usize| {
        let (address, name, record) = (addresses[node], nodes_name(node), record.clone());
        thread::spawn(move || {
            let (id, status) = send_generation(address, DEADLY_PART);
            record.note(&format!("deadly request {id} to {name} was answered {status}"));
        })
    };
    record.note("a deadly request is sent to each node");
    let first: Vec<_> = (0..NODE_COUNT).map(send_deadly).collect();
    first.into_iter().for_each(|caller| drop(caller.join()));
    let mut turn = 0;
    while fleet.crashes.lock().unwrap().len() < 5 && turn < 20 {
        turn += 1;
        let _ = send_deadly(turn % NODE_COUNT).join();
        thread::sleep(Duration::from_millis(500));
    }
    let fifth = fleet.crashes.lock().unwrap().get(4).copied();
    let fifth = fifth.ok_or_else(|| std::io::Error::other("fewer than five servers have crashed"))?;
    thread::sleep(TIME_TO_KILL);
    let mut in_touch_from = Duration::ZERO;
    if has_trouble {
        nodes.iter_mut().for_each(Node::kill);
        record.note("all nodes are killed");
        thread::sleep(RESTART_DELAY);
        for node in &mut nodes {
            node.start()?;
        }
        in_touch_from = record.now() + CONTACT_TIME;
        record.note("all nodes start again");
        wait_until_ready(&nodes)?;
    } else {
        thread::sleep(RESTART_DELAY);
    }
    thread::sleep(FIRST_DELAY);
    for number in 0..DEADLY_COUNT {
        let _ = send_deadly(number % NODE_COUNT).join();
        thread::sleep(DEADLY_INTERVAL);
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in sound {
        let _ = caller.join();
    }
    drop(nodes);
    let late_from = (fifth + CONTACT_TIME).max(in_touch_from);
    let arrivals = fleet.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.at > late_from).collect();
    for arrival in &late {
        let after = (arrival.at - fifth).as_secs_f64();
        record.note(&format!("late: {} reached {} {after:.1} s after the fifth crash", arrival.id, arrival.engine));
    }
    let (crashes, served) = (fleet.crashes.lock().unwrap().len(), served.load(Ordering::Relaxed));
    let summary = format!(
        "{} arrivals of deadly requests from machines in touch later than contactMs after the fifth crash, {MAX_LATE_ARRIVALS} are allowed; {crashes} crashes, {served} sound requests served",
        late.len()
    );
    record.note(&summary);
    println!("{summary}");
    if served == 0 {
        return Err(std::io::Error::other("no sound request was served"));
    }
    Ok(late.len())
}

fn nodes_name(node: usize) -> String {
    format!("node {node}")
}
